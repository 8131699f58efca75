//! One connection to a server, which knows how much of a request has left this machine.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::ext::on_informational;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use prometheus::IntCounter;
use tokio::net::TcpStream;
use tokio::sync::{watch, OwnedSemaphorePermit};
use tokio::time::{sleep_until, Instant};
use tokio_util::task::AbortOnDropHandle;

use super::lock;
use crate::tcp::TcpConnection;
use crate::transient::is_shortage;

/// A head comes in one piece or nearly so; one that has begun and has not ended by then never will.
const HEAD_WAIT: Duration = Duration::from_millis(400);
/// No head is larger, and no more is read ahead.
const BUFFER: usize = 32 << 10;

/// How far one request has got. A server starts on a request with its last byte, so this tells a request
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
    /// When the head of an answer began to come.
    answering: watch::Sender<Option<Instant>>,
    /// Counts the request once it is whole.
    counter: Option<IntCounter>,
}

impl Written {
    /// A request that is counted once it is written whole.
    pub(super) fn counted(counter: IntCounter) -> Self {
        Written(Arc::new(Progress { counter: Some(counter), ..Progress::default() }))
    }

    /// Whether the last byte has been written.
    pub(super) fn is_whole(&self) -> bool {
        self.0.whole.load(Ordering::Relaxed)
    }

    /// The request goes out anew: what an earlier connection took of it does not count.
    fn begin(&self) {
        let Progress { taken, wrote, whole, answering, .. } = &*self.0;
        [taken, wrote, whole].iter().for_each(|mark| mark.store(false, Ordering::Relaxed));
        answering.send_replace(None);
    }

    /// Bytes have come; those of an answer in front of the answer itself do not count.
    fn read(&self) {
        self.0.answering.send_if_modified(|at| {
            let first = at.is_none();
            at.get_or_insert_with(Instant::now);
            first
        });
    }

    /// Resolves once a head has begun to come and has not ended for so long.
    async fn head_overdue(&self) {
        let mut answering = self.0.answering.subscribe();
        loop {
            let began = *answering.borrow_and_update();
            let overdue = async {
                match began {
                    Some(at) => sleep_until(at + HEAD_WAIT).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = overdue => return,
                // The sender is in here.
                _ = answering.changed() => {}
            }
        }
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
            let first = !self.0.whole.swap(true, Ordering::Relaxed);
            if let Some(counter) = self.0.counter.as_ref().filter(|_| first) {
                counter.inc();
            }
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

/// A connection's socket, for as long as the connection is not dropped.
type Socket = Arc<Mutex<Option<TokioIo<TcpConnection>>>>;

/// The socket as the library has it, which notes what is written. The library's task may outlive the
/// connection by a moment; the socket does not.
struct Wire {
    socket: Socket,
    carried: Carried,
}

impl Wire {
    fn with<T>(
        &self,
        io: impl FnOnce(Pin<&mut TokioIo<TcpConnection>>) -> Poll<std::io::Result<T>>,
    ) -> Poll<std::io::Result<T>> {
        match lock(&self.socket).as_mut() {
            Some(socket) => io(Pin::new(socket)),
            None => Poll::Ready(Err(ErrorKind::NotConnected.into())),
        }
    }
}

impl Read for Wire {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        ready!(self.with(|io| io.poll_read(cx, buf)))?;
        lock(&self.carried).read();
        Poll::Ready(Ok(()))
    }
}

impl Write for Wire {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<std::io::Result<usize>> {
        let bytes = ready!(self.with(|io| io.poll_write(cx, buf)))?;
        lock(&self.carried).wrote(bytes);
        Poll::Ready(Ok(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let bytes = ready!(self.with(|io| io.poll_write_vectored(cx, bufs)))?;
        lock(&self.carried).wrote(bytes);
        Poll::Ready(Ok(bytes))
    }

    fn is_write_vectored(&self) -> bool {
        // As every TCP socket of the library's is.
        true
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        ready!(self.with(|io| io.poll_flush(cx)))?;
        lock(&self.carried).flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        self.with(|io| io.poll_shutdown(cx))
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

/// A connection. Dropping it closes the socket there and then, which gives up whatever is out on it: the
/// answer that a request gets next must not overtake the end of its attempt.
pub(super) struct Link {
    socket: Socket,
    sender: SendRequest<Outgoing>,
    carried: Carried,
    /// More has come on it than belonged to its answers.
    tainted: Arc<AtomicBool>,
    _driver: AbortOnDropHandle<()>,
    _permit: OwnedSemaphorePermit,
    /// Where it leads.
    pub(super) address: SocketAddr,
    pub(super) idle_since: Instant,
}

impl LinkError {
    /// This machine lacks what it takes, or can't reach any network: nothing was asked of the server.
    pub(super) fn is_local(&self) -> bool {
        matches!(self, LinkError::Socket(e) if is_shortage(e))
    }
}

impl Link {
    /// Opens a connection.
    pub(super) async fn open(address: SocketAddr, permit: OwnedSemaphorePermit) -> Result<Self, LinkError> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let carried = Carried::default();
        let socket = Socket::new(Mutex::new(Some(TokioIo::new(TcpConnection::new(stream)))));
        let wire = Wire { socket: socket.clone(), carried: carried.clone() };
        // A header that can't be read, as a load report may be, spoils nothing else.
        let mut builder = Builder::new();
        builder.ignore_invalid_headers_in_responses(true).max_buf_size(BUFFER);
        let (sender, connection) = builder.handshake(wire).await?;
        let driver = tokio::spawn(async move {
            // How it ended shows in the answer that is out, or in the sender.
            let _ = connection.await;
        });
        Ok(Link {
            socket,
            sender,
            carried,
            tainted: Arc::default(),
            _driver: AbortOnDropHandle::new(driver),
            _permit: permit,
            address,
            idle_since: Instant::now(),
        })
    }

    /// Whether another request can go out on it now.
    pub(super) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Whether it is of no further use: it has ended, or what comes on it can't be told apart.
    pub(super) fn is_spent(&self) -> bool {
        self.sender.is_closed() || self.tainted.load(Ordering::Relaxed)
    }

    /// It brings what nobody asked for; no other request should go out on it.
    pub(super) fn taint(&self) {
        self.tainted.store(true, Ordering::Relaxed);
    }

    /// Sends a request, once, and notes how far it gets. The head of its answer, once it has begun, has a
    /// time of its own: a spoilt one may never end, and the connection stays open.
    pub(super) async fn send(
        &mut self,
        request: Request<Bytes>,
        written: &Written,
    ) -> Result<Response<Incoming>, SendError> {
        written.begin();
        let (head, bytes) = request.into_parts();
        let bytes = Some(bytes).filter(|b| !b.is_empty());
        if bytes.is_none() {
            written.taken();
        }
        *lock(&self.carried) = written.clone();
        let mut request = Request::from_parts(head, Outgoing { bytes, written: written.clone() });
        let (tainted, early) = (self.tainted.clone(), written.clone());
        on_informational(&mut request, move |_| {
            tainted.store(true, Ordering::Relaxed);
            early.0.answering.send_replace(None);
        });
        tokio::select! {
            biased;
            answer = self.sender.send_request(request) => Ok(answer?),
            () = written.head_overdue() => Err(SendError::Endless),
        }
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        lock(&self.socket).take();
    }
}

/// Why there is no answer to a request.
#[derive(Debug, thiserror::Error)]
pub(super) enum SendError {
    #[error("http: {0}")]
    Http(#[from] hyper::Error),
    #[error("the head of its answer did not end")]
    Endless,
}

impl SendError {
    /// What came is no answer; the connection itself did not break.
    pub(super) fn is_spoilt(&self) -> bool {
        match self {
            SendError::Http(e) => e.is_parse(),
            SendError::Endless => true,
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/link.rs"]
mod tests;
