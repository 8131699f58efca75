//! One connection to a server, which tracks how much of a request has been written to the socket.

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
use super::observer::InvalidResponse;
use super::response_framing::{invalid_response, FramedResponses};
use crate::tcp::TcpConnection;
use crate::transient::is_resource_shortage;

/// How long a response head may take from its first byte to its end. Heads arrive in one piece or nearly so;
/// one that has not ended by then never will.
const RESPONSE_HEAD_TIMEOUT: Duration = Duration::from_millis(400);
/// Limits the size of a response head, and how much is read ahead.
const MAX_BUFFER_BYTES: usize = 32 << 10;

/// How much of one request has been written. A server starts a request when it receives the last byte, so
/// this tells a request that never ran from one that may have.
#[derive(Clone, Default)]
pub(super) struct WriteProgress(Arc<ProgressState>);

#[derive(Default)]
struct ProgressState {
    /// Whether hyper has taken all of the body.
    is_body_taken: AtomicBool,
    /// Whether bytes have been written to the socket since the request was passed to hyper.
    has_written: AtomicBool,
    /// Whether the socket was flushed after both, so that nothing is left to write.
    is_complete: AtomicBool,
    /// When the first byte of the response head arrived.
    head_started_at: watch::Sender<Option<Instant>>,
    /// Counts the request once it is written completely.
    counter: Option<IntCounter>,
}

impl WriteProgress {
    /// Creates the progress of a request that is counted once it is written completely.
    pub(super) fn with_counter(counter: IntCounter) -> Self {
        WriteProgress(Arc::new(ProgressState { counter: Some(counter), ..ProgressState::default() }))
    }

    /// Whether the last byte has been written.
    pub(super) fn is_complete(&self) -> bool {
        self.0.is_complete.load(Ordering::Relaxed)
    }

    /// Starts again on another connection: what was written to an earlier one does not count.
    fn reset(&self) {
        let ProgressState { is_body_taken, has_written, is_complete, head_started_at, .. } = &*self.0;
        [is_body_taken, has_written, is_complete]
            .iter()
            .for_each(|flag| flag.store(false, Ordering::Relaxed));
        head_started_at.send_replace(None);
    }

    /// Records that bytes have arrived. Those of an interim (1xx) response do not count.
    fn record_read(&self) {
        self.0.head_started_at.send_if_modified(|at| {
            let is_first = at.is_none();
            at.get_or_insert_with(Instant::now);
            is_first
        });
    }

    /// Resolves [`RESPONSE_HEAD_TIMEOUT`] after the first byte of a response head.
    async fn wait_for_head_timeout(&self) {
        let mut head_started_at = self.0.head_started_at.subscribe();
        loop {
            let started_at = *head_started_at.borrow_and_update();
            let head_timeout = async {
                match started_at {
                    Some(at) => sleep_until(at + RESPONSE_HEAD_TIMEOUT).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = head_timeout => return,
                // Never fails, as `self` owns the sender.
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

    /// Records a flush. Hyper flushes only once it has written all that it has.
    fn record_flush(&self) {
        if self.0.is_body_taken.load(Ordering::Relaxed) && self.0.has_written.load(Ordering::Relaxed) {
            let is_first = !self.0.is_complete.swap(true, Ordering::Relaxed);
            if let Some(counter) = self.0.counter.as_ref().filter(|_| is_first) {
                counter.inc();
            }
        }
    }
}

/// The progress of the request that a connection currently carries.
type CurrentProgress = Arc<Mutex<WriteProgress>>;

/// A request body that records when hyper has taken it.
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

/// The socket of a connection, or `None` once the connection is dropped.
type SharedSocket = Arc<Mutex<Option<ServerSocket>>>;

type ServerSocket = TokioIo<FramedResponses<TcpConnection>>;

/// The socket as hyper uses it, which records reads, writes and flushes. Hyper's task may outlive the
/// connection by a moment; the socket does not.
struct TrackedSocket {
    socket: SharedSocket,
    current_progress: CurrentProgress,
}

impl TrackedSocket {
    fn with_socket<T>(
        &self,
        io: impl FnOnce(Pin<&mut ServerSocket>) -> Poll<std::io::Result<T>>,
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
        lock(&self.current_progress).record_read();
        Poll::Ready(Ok(()))
    }
}

impl Write for TrackedSocket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<std::io::Result<usize>> {
        let bytes = ready!(self.with_socket(|io| io.poll_write(cx, buf)))?;
        lock(&self.current_progress).record_write(bytes);
        Poll::Ready(Ok(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let bytes = ready!(self.with_socket(|io| io.poll_write_vectored(cx, bufs)))?;
        lock(&self.current_progress).record_write(bytes);
        Poll::Ready(Ok(bytes))
    }

    fn is_write_vectored(&self) -> bool {
        // True of every TCP socket of tokio.
        true
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        ready!(self.with_socket(|io| io.poll_flush(cx)))?;
        lock(&self.current_progress).record_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        self.with_socket(|io| io.poll_shutdown(cx))
    }
}

/// Why a connection could not be opened.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectError {
    #[error("socket error: {0}")]
    Socket(#[from] std::io::Error),
    #[error("HTTP error: {0}")]
    Http(#[from] hyper::Error),
}

/// A connection. Dropping it closes the socket immediately, which cancels the request on it: the response
/// that the client gets next must not be sent before the attempt has ended.
pub(super) struct Connection {
    socket: SharedSocket,
    sender: SendRequest<RequestBody>,
    current_progress: CurrentProgress,
    /// Whether more has arrived on it than belongs to its responses.
    is_tainted: Arc<AtomicBool>,
    _driver: AbortOnDropHandle<()>,
    _permit: OwnedSemaphorePermit,
    /// The address of the server.
    pub(super) address: SocketAddr,
    pub(super) idle_since: Instant,
}

impl ConnectError {
    /// Whether this machine lacks a resource or can't reach any network, so that the server saw nothing.
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
        let current_progress = CurrentProgress::default();
        let stream = FramedResponses::new(TcpConnection::new(stream));
        let socket = SharedSocket::new(Mutex::new(Some(TokioIo::new(stream))));
        let tracked_socket =
            TrackedSocket { socket: socket.clone(), current_progress: current_progress.clone() };
        // An invalid header, such as a malformed load report, does not fail the response.
        let mut builder = Builder::new();
        builder.ignore_invalid_headers_in_responses(true).max_buf_size(MAX_BUFFER_BYTES);
        let (sender, http_connection) = builder.handshake(tracked_socket).await?;
        let driver = tokio::spawn(async move {
            // An error also shows in the pending response, or in the sender.
            let _ = http_connection.await;
        });
        Ok(Connection {
            socket,
            sender,
            current_progress,
            is_tainted: Arc::default(),
            _driver: AbortOnDropHandle::new(driver),
            _permit: permit,
            address,
            idle_since: Instant::now(),
        })
    }

    /// Whether another request can be sent on it now.
    pub(super) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Whether it can't be reused: it has closed, or its bytes can't be assigned to responses.
    pub(super) fn is_unusable(&self) -> bool {
        self.sender.is_closed() || self.is_tainted.load(Ordering::Relaxed)
    }

    /// Marks it as having delivered unexpected bytes, so that no other request is sent on it.
    pub(super) fn mark_tainted(&self) {
        self.is_tainted.store(true, Ordering::Relaxed);
    }

    /// Sends a request once and records its progress. A response head that has started must end within
    /// [`RESPONSE_HEAD_TIMEOUT`]: a malformed one may never end while the connection stays open.
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
        *lock(&self.current_progress) = progress.clone();
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

/// Why there is no valid response to a request.
#[derive(Debug, thiserror::Error)]
pub(super) enum SendError {
    #[error("HTTP error: {0}")]
    Http(#[from] hyper::Error),
    #[error("the response head did not end in time")]
    HeadTimeout,
}

impl SendError {
    /// Why the response is invalid; `None` if the connection broke.
    pub(super) fn invalid_response(&self) -> Option<InvalidResponse> {
        match self {
            SendError::Http(e) => invalid_response(e, InvalidResponse::Head),
            SendError::HeadTimeout => Some(InvalidResponse::HeadTimeout),
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/connection.rs"]
mod tests;
