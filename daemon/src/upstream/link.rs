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
use crate::transient::is_resource_shortage;

/// A head comes in one piece or nearly so; one that has begun and has not ended by then never will.
const RESPONSE_HEAD_TIMEOUT: Duration = Duration::from_millis(400);
/// No head is larger, and no more is read ahead.
const MAX_BUFFER_BYTES: usize = 32 << 10;

/// How far one request has got. A server starts on a request with its last byte, so this tells a request
/// that never ran from one that may have.
#[derive(Clone, Default)]
pub(super) struct WriteProgress(Arc<ProgressState>);

#[derive(Default)]
struct ProgressState {
    /// The library has taken all of the body.
    is_body_taken: AtomicBool,
    /// Bytes have gone to the socket since the request was handed over.
    has_written: AtomicBool,
    /// Nothing was left to write after both.
    is_complete: AtomicBool,
    /// When the head of an answer began to come.
    head_started_at: watch::Sender<Option<Instant>>,
    /// Counts the request once it is whole.
    counter: Option<IntCounter>,
}

impl WriteProgress {
    /// A request that is counted once it is written whole.
    pub(super) fn with_counter(counter: IntCounter) -> Self {
        WriteProgress(Arc::new(ProgressState { counter: Some(counter), ..ProgressState::default() }))
    }

    /// Whether the last byte has been written.
    pub(super) fn is_complete(&self) -> bool {
        self.0.is_complete.load(Ordering::Relaxed)
    }

    /// The request goes out anew: what an earlier connection took of it does not count.
    fn reset(&self) {
        let ProgressState { is_body_taken, has_written, is_complete, head_started_at, .. } = &*self.0;
        [is_body_taken, has_written, is_complete]
            .iter()
            .for_each(|flag| flag.store(false, Ordering::Relaxed));
        head_started_at.send_replace(None);
    }

    /// Bytes have come; those of an answer in front of the answer itself do not count.
    fn record_read(&self) {
        self.0.head_started_at.send_if_modified(|at| {
            let is_first = at.is_none();
            at.get_or_insert_with(Instant::now);
            is_first
        });
    }

    /// Resolves once a head has begun to come and has not ended for so long.
    async fn wait_for_head_timeout(&self) {
        let mut head_started_at = self.0.head_started_at.subscribe();
        loop {
            let started_at = *head_started_at.borrow_and_update();
            let timed_out = async {
                match started_at {
                    Some(at) => sleep_until(at + RESPONSE_HEAD_TIMEOUT).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = timed_out => return,
                // The sender is in here.
                _ = head_started_at.changed() => {}
            }
        }
    }

    fn record_body_taken(&self) {
        self.0.is_body_taken.store(true, Ordering::Relaxed);
    }

    fn record_write(&self, bytes: usize) {
        if bytes > 0 {
            self.0.has_written.store(true, Ordering::Relaxed);
        }
    }

    /// The library flushes only what it has written whole.
    fn record_flush(&self) {
        if self.0.is_body_taken.load(Ordering::Relaxed) && self.0.has_written.load(Ordering::Relaxed) {
            let is_first = !self.0.is_complete.swap(true, Ordering::Relaxed);
            if let Some(counter) = self.0.counter.as_ref().filter(|_| is_first) {
                counter.inc();
            }
        }
    }
}

/// The request that a connection carries at the moment.
type CurrentRequest = Arc<Mutex<WriteProgress>>;

/// A request's body that notes when it has been taken.
pub(super) struct RequestBody {
    bytes: Option<Bytes>,
    progress: WriteProgress,
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let this = self.get_mut();
        let bytes = this.bytes.take();
        if bytes.is_some() {
            this.progress.record_body_taken();
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
type SharedSocket = Arc<Mutex<Option<TokioIo<TcpConnection>>>>;

/// The socket as the library has it, which notes what is written. The library's task may outlive the
/// connection by a moment; the socket does not.
struct TrackedSocket {
    socket: SharedSocket,
    current_request: CurrentRequest,
}

impl TrackedSocket {
    fn with_socket<T>(
        &self,
        io: impl FnOnce(Pin<&mut TokioIo<TcpConnection>>) -> Poll<std::io::Result<T>>,
    ) -> Poll<std::io::Result<T>> {
        match lock(&self.socket).as_mut() {
            Some(socket) => io(Pin::new(socket)),
            None => Poll::Ready(Err(ErrorKind::NotConnected.into())),
        }
    }
}

impl Read for TrackedSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        ready!(self.with_socket(|io| io.poll_read(cx, buf)))?;
        lock(&self.current_request).record_read();
        Poll::Ready(Ok(()))
    }
}

impl Write for TrackedSocket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<std::io::Result<usize>> {
        let bytes = ready!(self.with_socket(|io| io.poll_write(cx, buf)))?;
        lock(&self.current_request).record_write(bytes);
        Poll::Ready(Ok(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let bytes = ready!(self.with_socket(|io| io.poll_write_vectored(cx, bufs)))?;
        lock(&self.current_request).record_write(bytes);
        Poll::Ready(Ok(bytes))
    }

    fn is_write_vectored(&self) -> bool {
        // As every TCP socket of the library's is.
        true
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        ready!(self.with_socket(|io| io.poll_flush(cx)))?;
        lock(&self.current_request).record_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        self.with_socket(|io| io.poll_shutdown(cx))
    }
}

/// Why a connection did not come up.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectError {
    #[error("socket: {0}")]
    Socket(#[from] std::io::Error),
    #[error("http: {0}")]
    Http(#[from] hyper::Error),
}

/// A connection. Dropping it closes the socket there and then, which gives up whatever is out on it: the
/// answer that a request gets next must not overtake the end of its attempt.
pub(super) struct Connection {
    socket: SharedSocket,
    sender: SendRequest<RequestBody>,
    current_request: CurrentRequest,
    /// More has come on it than belonged to its answers.
    is_tainted: Arc<AtomicBool>,
    _driver: AbortOnDropHandle<()>,
    _permit: OwnedSemaphorePermit,
    /// Where it leads.
    pub(super) address: SocketAddr,
    pub(super) idle_since: Instant,
}

impl ConnectError {
    /// This machine lacks what it takes, or can't reach any network: nothing was asked of the server.
    pub(super) fn is_local(&self) -> bool {
        matches!(self, ConnectError::Socket(e) if is_resource_shortage(e))
    }
}

impl Connection {
    /// Opens a connection.
    pub(super) async fn open(
        address: SocketAddr,
        permit: OwnedSemaphorePermit,
    ) -> Result<Self, ConnectError> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let current_request = CurrentRequest::default();
        let socket = SharedSocket::new(Mutex::new(Some(TokioIo::new(TcpConnection::new(stream)))));
        let tracked_socket =
            TrackedSocket { socket: socket.clone(), current_request: current_request.clone() };
        // A header that can't be read, as a load report may be, spoils nothing else.
        let mut builder = Builder::new();
        builder.ignore_invalid_headers_in_responses(true).max_buf_size(MAX_BUFFER_BYTES);
        let (sender, http_connection) = builder.handshake(tracked_socket).await?;
        let driver = tokio::spawn(async move {
            // How it ended shows in the answer that is out, or in the sender.
            let _ = http_connection.await;
        });
        Ok(Connection {
            socket,
            sender,
            current_request,
            is_tainted: Arc::default(),
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
    pub(super) fn is_unusable(&self) -> bool {
        self.sender.is_closed() || self.is_tainted.load(Ordering::Relaxed)
    }

    /// It brings what nobody asked for; no other request should go out on it.
    pub(super) fn mark_tainted(&self) {
        self.is_tainted.store(true, Ordering::Relaxed);
    }

    /// Sends a request, once, and notes how far it gets. The head of its answer, once it has begun, has a
    /// time of its own: a spoilt one may never end, and the connection stays open.
    pub(super) async fn send(
        &mut self,
        request: Request<Bytes>,
        progress: &WriteProgress,
    ) -> Result<Response<Incoming>, SendError> {
        progress.reset();
        let (head, body) = request.into_parts();
        let body = Some(body).filter(|b| !b.is_empty());
        if body.is_none() {
            progress.record_body_taken();
        }
        *lock(&self.current_request) = progress.clone();
        let mut request = Request::from_parts(head, RequestBody { bytes: body, progress: progress.clone() });
        let (is_tainted, interim_progress) = (self.is_tainted.clone(), progress.clone());
        on_informational(&mut request, move |_| {
            is_tainted.store(true, Ordering::Relaxed);
            interim_progress.0.head_started_at.send_replace(None);
        });
        tokio::select! {
            biased;
            response = self.sender.send_request(request) => Ok(response?),
            () = progress.wait_for_head_timeout() => Err(SendError::HeadTimeout),
        }
    }
}

impl Drop for Connection {
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
    HeadTimeout,
}

impl SendError {
    /// What came is no answer; the connection itself did not break.
    pub(super) fn is_invalid_response(&self) -> bool {
        match self {
            SendError::Http(e) => e.is_parse(),
            SendError::HeadTimeout => true,
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/link.rs"]
mod tests;
