//! One connection to a box, which knows how much of a request has left this machine.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{ready, Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;
use tokio_util::task::AbortOnDropHandle;

use super::lock;

/// How far one request has got. A box starts on a request with its last byte, so this tells a request
/// that never ran from one that may have.
#[derive(Clone, Default)]
pub(super) struct Written(Arc<Progress>);

#[derive(Default)]
struct Progress {
    /// The library has taken all of the body.
    taken: AtomicBool,
    /// Bytes have gone to the socket since the request was handed over.
    wrote: AtomicBool,
    /// Nothing was left to write after both.
    whole: AtomicBool,
}

impl Written {
    /// Whether the last byte has been written.
    pub(super) fn is_whole(&self) -> bool {
        self.0.whole.load(Ordering::Relaxed)
    }

    fn taken(&self) {
        self.0.taken.store(true, Ordering::Relaxed);
    }

    fn wrote(&self, bytes: usize) {
        if bytes > 0 {
            self.0.wrote.store(true, Ordering::Relaxed);
        }
    }

    /// The library flushes only what it has written whole.
    fn flushed(&self) {
        if self.0.taken.load(Ordering::Relaxed) && self.0.wrote.load(Ordering::Relaxed) {
            self.0.whole.store(true, Ordering::Relaxed);
        }
    }
}

/// The request that a connection carries at the moment.
type Carried = Arc<Mutex<Written>>;

/// A request's body that notes when it has been taken.
pub(super) struct Outgoing {
    bytes: Option<Bytes>,
    written: Written,
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let this = self.get_mut();
        let bytes = this.bytes.take();
        if bytes.is_some() {
            this.written.taken();
        }
        Poll::Ready(bytes.map(|b| Ok(Frame::data(b))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.as_ref().map_or(0, |b| b.len() as u64))
    }
}

/// The socket, which notes what is written.
struct Wire {
    io: TokioIo<TcpStream>,
    carried: Carried,
}

impl Read for Wire {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl Write for Wire {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let bytes = ready!(Pin::new(&mut self.io).poll_write(cx, buf))?;
        lock(&self.carried).wrote(bytes);
        Poll::Ready(Ok(bytes))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let bytes = ready!(Pin::new(&mut self.io).poll_write_vectored(cx, bufs))?;
        lock(&self.carried).wrote(bytes);
        Poll::Ready(Ok(bytes))
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        ready!(Pin::new(&mut self.io).poll_flush(cx))?;
        lock(&self.carried).flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}

/// Why a connection did not come up.
#[derive(Debug, thiserror::Error)]
pub(super) enum LinkError {
    #[error("socket: {0}")]
    Socket(#[from] std::io::Error),
    #[error("http: {0}")]
    Http(#[from] hyper::Error),
}

/// A connection. Dropping it closes the socket, which gives up whatever is out on it.
pub(super) struct Link {
    sender: SendRequest<Outgoing>,
    carried: Carried,
    _driver: AbortOnDropHandle<()>,
    _permit: OwnedSemaphorePermit,
    pub(super) idle_since: Instant,
}

impl Link {
    /// Opens a connection.
    pub(super) async fn open(address: SocketAddr, permit: OwnedSemaphorePermit) -> Result<Self, LinkError> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let carried = Carried::default();
        let wire = Wire { io: TokioIo::new(stream), carried: carried.clone() };
        let (sender, connection) = handshake(wire).await?;
        let driver = tokio::spawn(async move {
            // How it ended shows in the answer that is out, or in the sender.
            let _ = connection.await;
        });
        Ok(Link {
            sender,
            carried,
            _driver: AbortOnDropHandle::new(driver),
            _permit: permit,
            idle_since: Instant::now(),
        })
    }

    /// Whether another request can go out on it now.
    pub(super) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Whether it has ended.
    pub(super) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request, once, and notes how far it gets.
    pub(super) async fn send(
        &mut self,
        request: Request<Bytes>,
        written: &Written,
    ) -> Result<Response<Incoming>, hyper::Error> {
        let (head, bytes) = request.into_parts();
        let bytes = Some(bytes).filter(|b| !b.is_empty());
        if bytes.is_none() {
            written.taken();
        }
        *lock(&self.carried) = written.clone();
        self.sender
            .send_request(Request::from_parts(head, Outgoing { bytes, written: written.clone() }))
            .await
    }
}
