//! One connection to a box, which knows how much of a request has left this machine.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
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

/// How far the request that is out has got. A box starts on a request with its last byte, so this tells
/// a request that never ran from one that may have.
#[derive(Default)]
struct Progress {
    /// The library has taken all of the body.
    taken: AtomicBool,
    /// Bytes have gone to the socket since.
    wrote: AtomicBool,
    /// Nothing was left to write after both.
    done: AtomicBool,
}

impl Progress {
    fn arm(&self, empty: bool) {
        self.taken.store(empty, Ordering::Relaxed);
        self.wrote.store(false, Ordering::Relaxed);
        self.done.store(false, Ordering::Relaxed);
    }

    fn wrote(&self, bytes: usize) {
        if bytes > 0 {
            self.wrote.store(true, Ordering::Relaxed);
        }
    }

    /// The library flushes only what it has written whole.
    fn flushed(&self) {
        if self.taken.load(Ordering::Relaxed) && self.wrote.load(Ordering::Relaxed) {
            self.done.store(true, Ordering::Relaxed);
        }
    }
}

/// A request's body that notes when it has been taken.
pub(super) struct Outgoing {
    bytes: Option<Bytes>,
    progress: Arc<Progress>,
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
            this.progress.taken.store(true, Ordering::Relaxed);
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
    progress: Arc<Progress>,
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
        self.progress.wrote(bytes);
        Poll::Ready(Ok(bytes))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let bytes = ready!(Pin::new(&mut self.io).poll_write_vectored(cx, bufs))?;
        self.progress.wrote(bytes);
        Poll::Ready(Ok(bytes))
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        ready!(Pin::new(&mut self.io).poll_flush(cx))?;
        self.progress.flushed();
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
    progress: Arc<Progress>,
    _driver: AbortOnDropHandle<()>,
    _permit: OwnedSemaphorePermit,
    pub(super) idle_since: Instant,
}

impl Link {
    /// Opens a connection.
    pub(super) async fn open(address: SocketAddr, permit: OwnedSemaphorePermit) -> Result<Self, LinkError> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let progress = Arc::new(Progress::default());
        let wire = Wire { io: TokioIo::new(stream), progress: progress.clone() };
        let (sender, connection) = handshake(wire).await?;
        let driver = tokio::spawn(async move {
            // How it ended shows in the answer that is out, or in the sender.
            let _ = connection.await;
        });
        Ok(Link {
            sender,
            progress,
            _driver: AbortOnDropHandle::new(driver),
            _permit: permit,
            idle_since: Instant::now(),
        })
    }

    /// Whether another request can go out on it now.
    pub(super) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request, once. On an error [`Link::all_written`] tells whether it may have run.
    pub(super) async fn send(&mut self, request: Request<Bytes>) -> Result<Response<Incoming>, hyper::Error> {
        let progress = self.progress.clone();
        let request =
            request.map(|bytes| Outgoing { bytes: Some(bytes).filter(|b| !b.is_empty()), progress });
        self.progress.arm(request.body().is_end_stream());
        self.sender.send_request(request).await
    }

    /// Whether the last byte of the request that was sent has been written.
    pub(super) fn all_written(&self) -> bool {
        self.progress.done.load(Ordering::Relaxed)
    }
}
