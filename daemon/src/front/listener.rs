//! Accepts client connections, enforces their timeouts, and closes them gracefully at shutdown.

use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::{Arc, OnceLock};
use std::task::Poll;
use std::time::Duration;

use frosttrail_core::EventStream;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::{debug, info, warn, Logger};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::yield_now;
use tokio::time::{sleep, sleep_until, Instant};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::arrival::ArrivalClock;
use super::body::{ResponseBody, ServiceResult, TrackedBody};
use super::clients::{BodyReadNotice, ConnectionLimiter, ConnectionSlot, OpenRequestGuard};
use super::framing::{FramingState, FramingStream, MAX_HEADERS};
use super::input::{Admission, ArrivalDeadline, ArrivedAt, InputError};
use super::socket::ClientSocket;
use crate::buffer_budget::BufferBudget;
use crate::transient::{is_resource_shortage, retry_at_start};

/// Connections that the kernel queues until they are accepted.
const LISTEN_BACKLOG: u32 = 1_024;
/// Size of the buffer for a request head, and thereby of the largest head.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Consecutive failures to accept, as when file descriptors have run out, before the listener pauses between
/// attempts. The first ones retry at once, since queued connections must not wait for a failure that passes
/// immediately.
const ACCEPT_FAILURES_BEFORE_PAUSE: u32 = 8;
/// The first pause; it doubles with each further failure, up to `MAX_ACCEPT_PAUSE`.
const MIN_ACCEPT_PAUSE: Duration = Duration::from_millis(1);
const MAX_ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Minimum time between log messages about failures to accept.
const ACCEPT_WARNING_INTERVAL: Duration = Duration::from_millis(100);

/// Time beyond the arrival timeout before a connection without a request is closed, so that a response can
/// still say that the request was too slow.
const NO_REQUEST_GRACE: Duration = Duration::from_millis(300);

/// Why a client's connection is closed.
#[derive(Debug, thiserror::Error)]
enum CloseReason {
    /// One side closed it between requests, or the idle timeout expired.
    #[error("ended between requests")]
    Ended,
    /// The connection failed, or the input was not a valid request.
    #[error("{0}")]
    Failed(hyper::Error),
    /// The client disconnected before its response was complete.
    #[error("client disconnected")]
    ClientGone,
    /// No whole request arrived in time.
    #[error("no request arrived in time")]
    NoRequest,
    /// A request head was still incomplete when its time was over.
    #[error("request head incomplete after its timeout")]
    HeadTimeout,
    /// It was idle, and its slot was needed for another connection.
    #[error("evicted to make room for another connection")]
    Evicted,
}

/// Responds to the requests of one front.
pub trait Service: Send + Sync + 'static {
    /// The events of a streamed response.
    type Events: EventStream;

    /// Responds to one request. The future is dropped if the client disconnects.
    fn respond(&self, request: Request<Incoming>)
        -> impl Future<Output = ServiceResult<Self::Events>> + Send;

    /// Creates the response to a request that is rejected.
    fn reject(&self, error: InputError) -> Response<ResponseBody<Self::Events>>;
}

/// Time limits on clients.
#[derive(Clone, Copy, Debug)]
pub struct ClientTimeouts {
    /// Time for a request to arrive in full: since its connection was accepted or, after the first response
    /// there, since its head arrived. A connection without a whole request is closed a little later.
    pub request_arrival: Duration,
    /// A connection without an open request is closed after this time.
    pub idle: Duration,
    /// A client that takes nothing of what is sent to it for this long counts as disconnected.
    pub write: Duration,
}

/// State shared by all client listeners: the limit on connections and the stages of shutdown.
#[derive(Clone)]
pub struct ClientListeners {
    limiter: ConnectionLimiter,
    timeouts: ClientTimeouts,
    /// Whether another process may listen on the same address (`SO_REUSEPORT`).
    share_address: bool,
    /// The memory for what clients send.
    buffers: BufferBudget,
    arrivals: ArrivalClock,
    /// Cancelled once shutdown is planned: each response then carries `Connection: close`.
    keep_alive_ended: CancellationToken,
    /// Cancelled once another process accepts the queued connections.
    handed_over: CancellationToken,
    /// Cancelled at shutdown: no connection is accepted any more, and each closes once it has no open
    /// request.
    closing: CancellationToken,
    /// When `closing` is cancelled, once that is known.
    closes_at: Arc<OnceLock<Instant>>,
    accepting: TaskTracker,
    connections: TaskTracker,
    /// Holds a token for each request whose response has not begun.
    unanswered: TaskTracker,
    /// Holds a token for each response that has begun and not ended.
    streams: TaskTracker,
    log: Logger,
}

impl ClientListeners {
    /// Creates the state for at most `max_connections` connections on all listeners together.
    pub fn new(max_connections: usize, timeouts: ClientTimeouts, log: Logger) -> Self {
        ClientListeners {
            limiter: ConnectionLimiter::new(max_connections),
            timeouts,
            share_address: false,
            buffers: BufferBudget::unlimited(),
            arrivals: ArrivalClock::default(),
            keep_alive_ended: CancellationToken::new(),
            handed_over: CancellationToken::new(),
            closing: CancellationToken::new(),
            closes_at: Arc::default(),
            accepting: TaskTracker::new(),
            connections: TaskTracker::new(),
            unanswered: TaskTracker::new(),
            streams: TaskTracker::new(),
            log,
        }
    }

    /// Lets another process of the same conductor listen on the same address.
    pub fn sharing_address(self) -> Self {
        ClientListeners { share_address: true, ..self }
    }

    /// Limits the memory for what clients send.
    pub fn with_buffer_budget(self, buffers: BufferBudget) -> Self {
        ClientListeners { buffers, ..self }
    }

    /// Listens on an address and serves connections; returns the bound address.
    pub fn open<S: Service>(&self, address: SocketAddr, service: S) -> std::io::Result<SocketAddr> {
        self.serve_on(self.bind(address)?, service)
    }

    /// Listens on an address without accepting connections yet.
    pub fn bind(&self, address: SocketAddr) -> std::io::Result<std::net::TcpListener> {
        retry_at_start(is_resource_shortage, || self.try_bind(address))
    }

    fn try_bind(&self, address: SocketAddr) -> std::io::Result<std::net::TcpListener> {
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        // A restarted conductor can bind its address while old connections are in TIME_WAIT.
        socket.set_reuseaddr(true)?;
        // At an upgrade, the new process listens while this one still serves.
        socket.set_reuseport(self.share_address)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)?.into_std()
    }

    /// Serves the connections of a listener; returns its local address.
    pub fn serve_on<S: Service>(
        &self,
        listener: std::net::TcpListener,
        service: S,
    ) -> std::io::Result<SocketAddr> {
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let listener = TcpListener::from_std(listener)?;
        self.arrivals.start();
        info!(self.log, "listening"; "at" => %address);
        self.accepting.spawn(self.clone().accept(listener, Arc::new(service)));
        Ok(address)
    }

    /// Announces when the listeners will close: what arrives later is refused, even if the process is held up
    /// and closes them after that.
    pub fn plan_close(&self, at: Instant) {
        self.closes_at.get_or_init(|| at);
    }

    /// Ends keep-alive ahead of shutdown: requests are still served, but each connection closes after its
    /// next response.
    pub fn end_keep_alive(&self) {
        self.keep_alive_ended.cancel();
    }

    /// Stops accepting connections, because another process accepts them from the same queue.
    pub fn stop_accepting(&self) {
        self.handed_over.cancel();
    }

    /// Stops accepting connections; resolves once every accepted request is answered and all connections are
    /// closed.
    pub async fn close(&self) {
        self.closes_at.get_or_init(Instant::now);
        self.closing.cancel();
        for tasks in [&self.accepting, &self.connections] {
            tasks.close();
            tasks.wait().await;
        }
    }

    /// The number of open connections.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// The number of requests whose clients have received nothing yet.
    pub fn unanswered_count(&self) -> usize {
        self.unanswered.len()
    }

    /// The number of responses that have begun and not ended.
    pub fn stream_count(&self) -> usize {
        self.streams.len()
    }

    /// Resolves once every response that has begun has ended. The last bytes may not have been written yet.
    pub async fn wait_for_streams(&self) {
        self.streams.close();
        self.streams.wait().await;
    }

    async fn accept<S: Service>(self, listener: TcpListener, service: Arc<S>) {
        let (mut failures, mut warn_at) = (0, Instant::now());
        loop {
            let accepted = tokio::select! {
                biased;
                () = self.handed_over.cancelled() => return,
                accepted = listener.accept() => accepted,
                // Polled last, so that the kernel's queue is empty first: a request written to a queued
                // connection counts as accepted.
                () = self.closing.cancelled() => return,
            };
            match accepted {
                Ok((stream, _)) => {
                    failures = 0;
                    let accepted_at = Instant::now();
                    self.serve_connection(
                        stream,
                        accepted_at,
                        self.limiter.acquire_slot().await,
                        service.clone(),
                    );
                }
                Err(e) => {
                    failures += 1;
                    if Instant::now() >= warn_at {
                        warn!(self.log, "accepting a connection failed"; "why" => %e, "in a row" => failures);
                        warn_at = Instant::now() + ACCEPT_WARNING_INTERVAL;
                    }
                    pause_after(failures).await;
                }
            }
        }
    }

    fn serve_connection<S: Service>(
        &self,
        stream: TcpStream,
        accepted_at: Instant,
        slot: ConnectionSlot,
        service: Arc<S>,
    ) {
        let ClientTimeouts { request_arrival, idle, write } = self.timeouts;
        let (closing, keep_alive_ended, log) =
            (self.closing.clone(), self.keep_alive_ended.clone(), self.log.clone());
        let (unanswered, streams) = (self.unanswered.clone(), self.streams.clone());
        let (buffers, arrivals) = (self.buffers.clone(), self.arrivals.clone());
        let admission = Admission {
            closes_at: self.closes_at.clone(),
            has_slot: !slot.is_refusing(),
            buffers: buffers.clone(),
        };
        self.connections.spawn(async move {
            let (eviction, slot, framing) =
                (slot.eviction_token(), Arc::new(slot), Arc::new(FramingState::default()));
            // Otherwise Nagle's algorithm delays events until the client acknowledges earlier ones. Fails
            // only on a connection that is already closed.
            let _ = stream.set_nodelay(true);
            let peer = stream.peer_addr().ok();
            let socket = ClientSocket::new(stream, write, &buffers, arrivals);
            let stream = FramingStream::new(socket.clone(), framing.clone(), slot.clone());
            let (request_slot, request_socket, head_state) = (slot.clone(), socket.clone(), framing.clone());
            let request_heads = framing.clone();
            let handler = service_fn(move |mut request: Request<Incoming>| {
                let open_request = OpenRequestGuard(request_slot.clone());
                let started_at =
                    if request_slot.has_answered_request() { Instant::now() } else { accepted_at };
                let arrived_at = request_heads.next_head_arrival().unwrap_or_else(Instant::now);
                request.extensions_mut().insert(ArrivedAt(arrived_at));
                request.extensions_mut().insert(ArrivalDeadline(started_at + request_arrival));
                request.extensions_mut().insert(BodyReadNotice(request_slot.clone()));
                request.extensions_mut().insert(admission.clone());
                let has_slot = admission.has_slot;
                let (service, keep_alive_ended, framing) =
                    (service.clone(), keep_alive_ended.clone(), framing.clone());
                let request_socket = request_socket.clone();
                let (unanswered_token, streams) = (unanswered.token(), streams.clone());
                async move {
                    let _unanswered_token = unanswered_token;
                    let mut response = match framing.is_ambiguous() {
                        true => service.reject(InputError::AmbiguousFraming),
                        false => service.respond(request).await?,
                    };
                    // The rest of a rejected request's body must not be parsed as another request.
                    let is_client_error = response.status().is_client_error();
                    let is_refused = response.status() == StatusCode::TOO_MANY_REQUESTS;
                    let is_last = !has_slot
                        || keep_alive_ended.is_cancelled()
                        || framing.is_last_request()
                        || request_socket.has_dropped_bytes();
                    if is_last || (is_client_error && !is_refused) {
                        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                    }
                    Ok::<_, Infallible>(
                        response.map(|body| TrackedBody::new(body, open_request, streams.token())),
                    )
                }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(idle)
                .max_headers(MAX_HEADERS)
                .max_buf_size(MAX_HEAD_BYTES)
                .serve_connection(TokioIo::new(stream), handler);
            // Whatever the reason, hyper's connection is dropped first, and with it the open request and its
            // attempt.
            let reason = {
                let mut connection = pin!(connection);
                let mut first_request_timeout = pin!(async {
                    sleep_until(accepted_at + request_arrival + NO_REQUEST_GRACE).await;
                    if slot.has_received_request() {
                        std::future::pending().await
                    }
                });
                let mut partial_head_timeout =
                    pin!(partial_head_timeout(&head_state, &slot, request_arrival));
                // Until a request has been read and between requests, hyper detects the disconnect itself.
                let mut client_closed = pin!(poll_fn(|cx| match slot.is_awaiting_response() {
                    true => socket.poll_client_end(cx),
                    false => Poll::Pending,
                }));
                let mut is_shutting_down = false;
                loop {
                    tokio::select! {
                        biased;
                        ended = connection.as_mut() => break match ended {
                            Ok(()) => CloseReason::Ended,
                            Err(e) => CloseReason::Failed(e),
                        },
                        () = client_closed.as_mut() => break CloseReason::ClientGone,
                        () = first_request_timeout.as_mut() => break CloseReason::NoRequest,
                        () = partial_head_timeout.as_mut() => break CloseReason::HeadTimeout,
                        () = shutdown_requested(&closing, &eviction), if !is_shutting_down => {
                            // A request that has arrived only in part does not keep the slot.
                            if eviction.is_cancelled() && !slot.has_open_request() {
                                break CloseReason::Evicted;
                            }
                            // Closes the connection at once, or after the current response.
                            connection.as_mut().graceful_shutdown();
                            is_shutting_down = true;
                        }
                    }
                }
            };
            debug!(log, "connection closed"; "peer" => ?peer, "why" => %reason);
            tokio::select! {
                () = socket.close() => {}
                // An evicted connection releases its slot without draining.
                () = eviction.cancelled() => {}
            }
        });
    }
}

/// Resolves once a request head has been incomplete for `within` while no request is open. Until the requests
/// ahead of a head are answered, hyper reads no further, so that its client can't complete it. hyper's own
/// timeout runs from the previous response and allows for the idle time, which is longer than an incomplete
/// head may take.
async fn partial_head_timeout(head_state: &FramingState, slot: &ConnectionSlot, within: Duration) {
    let mut timer = pin!(sleep(within));
    let mut timed_since = None;
    poll_fn(|cx| {
        let since = head_state.partial_head_since().filter(|_| !slot.has_open_request());
        if since.is_some() && since != timed_since {
            timer.as_mut().reset(Instant::now() + within);
        }
        timed_since = since;
        match since {
            Some(_) => timer.as_mut().poll(cx),
            None => Poll::Pending,
        }
    })
    .await
}

/// Resolves once either token is cancelled and the runtime has polled the sockets once more: a request that
/// has arrived by then must be read before the connection is closed.
async fn shutdown_requested(closing: &CancellationToken, eviction: &CancellationToken) {
    tokio::select! {
        () = closing.cancelled() => {}
        () = eviction.cancelled() => {}
    }
    tokio::task::yield_now().await;
}

/// Pauses after a failure to accept, by the number of consecutive failures.
async fn pause_after(failures: u32) {
    match failures.checked_sub(ACCEPT_FAILURES_BEFORE_PAUSE) {
        None => yield_now().await,
        Some(more) => sleep(MAX_ACCEPT_PAUSE.min(MIN_ACCEPT_PAUSE * (1 << more.min(4)))).await,
    }
}

#[cfg(test)]
#[path = "../../tests/unit/listener.rs"]
mod tests;
