//! Accepting clients: a bound on connections and on what each may take of time, and an orderly end.

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

use super::body::{ResponseBody, ServiceResult, TrackedBody};
use super::clients::{BodyReadNotice, ConnectionLimiter, ConnectionSlot, OpenRequestGuard};
use super::framing::{FramingState, FramingStream, MAX_HEADERS};
use super::input::{Admission, ArrivalDeadline, InputError};
use super::socket::ClientSocket;
use crate::transient::{is_shortage, retry_at_start};

/// Connections that the kernel holds until they are accepted.
const LISTEN_BACKLOG: u32 = 1_024;
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Accepts that fail in a row, as when descriptors have run out, before there is a pause between them. It
/// doubles up to the longest: what stands in the queue must not wait for a failure that passes at once.
const ACCEPT_FAILURES_BEFORE_PAUSE: u32 = 8;
const MIN_ACCEPT_PAUSE: Duration = Duration::from_millis(1);
const MAX_ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// So often at most the log is told of them.
const ACCEPT_WARNING_INTERVAL: Duration = Duration::from_millis(100);

/// Beyond the time in which a first request must come, so that it can be told that it was too slow.
const NO_REQUEST_GRACE: Duration = Duration::from_millis(300);

/// Why a client's connection is closed.
#[derive(Debug, thiserror::Error)]
enum CloseReason {
    /// One side said so, between requests, or the idle time is over.
    #[error("it is over")]
    Ended,
    /// It broke, or what came is no request.
    #[error("{0}")]
    Failed(hyper::Error),
    /// The client has gone before its answer.
    #[error("its client has gone")]
    ClientGone,
    /// No whole request has come in time.
    #[error("no request in time")]
    NoRequest,
    /// A head has come in part, and not in time.
    #[error("half a head in time")]
    HeadTimeout,
    /// Its place is wanted.
    #[error("room for others")]
    Evicted,
}

/// What answers requests.
pub trait Service: Send + Sync + 'static {
    /// Answers' events.
    type Events: EventStream;

    /// Answers one request. Dropped if its client goes.
    fn respond(&self, request: Request<Incoming>)
        -> impl Future<Output = ServiceResult<Self::Events>> + Send;

    /// Turns down what is no request.
    fn reject(&self, error: InputError) -> Response<ResponseBody<Self::Events>>;
}

/// How long clients may take.
#[derive(Clone, Copy, Debug)]
pub struct ClientTimeouts {
    /// A request must have come whole this long after its connection was accepted or, if it is not the
    /// first there, after its head. A connection on which none has is closed a little later.
    pub request_arrival: Duration,
    /// A connection without an open request is closed after this time.
    pub idle: Duration,
    /// A client that takes nothing of what is sent to it for this long has gone without a word.
    pub write: Duration,
}

/// What the listeners have in common: the bound on connections, and how far they are open.
#[derive(Clone)]
pub struct ClientListeners {
    limiter: ConnectionLimiter,
    timeouts: ClientTimeouts,
    /// Another process may listen at the same address.
    share_address: bool,
    /// An end is planned: clients are told with each answer to come back on another connection.
    keep_alive_ended: CancellationToken,
    /// Another process accepts what waits in the queue.
    handed_over: CancellationToken,
    /// Nothing more is accepted, and each connection ends once it has no request.
    closing: CancellationToken,
    /// When that began.
    closed_at: Arc<OnceLock<Instant>>,
    accepting: TaskTracker,
    connections: TaskTracker,
    log: Logger,
}

impl ClientListeners {
    /// Room for so many connections, on all listeners together.
    pub fn new(max_connections: usize, timeouts: ClientTimeouts, log: Logger) -> Self {
        ClientListeners {
            limiter: ConnectionLimiter::new(max_connections),
            timeouts,
            share_address: false,
            keep_alive_ended: CancellationToken::new(),
            handed_over: CancellationToken::new(),
            closing: CancellationToken::new(),
            closed_at: Arc::default(),
            accepting: TaskTracker::new(),
            connections: TaskTracker::new(),
            log,
        }
    }

    /// Lets another process of the same conductor listen at the same address.
    pub fn sharing_address(self) -> Self {
        ClientListeners { share_address: true, ..self }
    }

    /// Listens, and serves what comes; the address is the one bound.
    pub fn open<S: Service>(&self, address: SocketAddr, service: S) -> std::io::Result<SocketAddr> {
        self.serve_on(self.bind(address)?, service)
    }

    /// Listens at an address and accepts nothing yet.
    pub fn bind(&self, address: SocketAddr) -> std::io::Result<std::net::TcpListener> {
        retry_at_start(is_shortage, || self.try_bind(address))
    }

    fn try_bind(&self, address: SocketAddr) -> std::io::Result<std::net::TcpListener> {
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        // A conductor that is started anew takes its address over from connections that linger.
        socket.set_reuseaddr(true)?;
        // The process that takes over listens while this one still serves.
        socket.set_reuseport(self.share_address)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)?.into_std()
    }

    /// Serves what comes to a listener; the address is its own.
    pub fn serve_on<S: Service>(
        &self,
        listener: std::net::TcpListener,
        service: S,
    ) -> std::io::Result<SocketAddr> {
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let listener = TcpListener::from_std(listener)?;
        info!(self.log, "listening"; "at" => %address);
        self.accepting.spawn(self.clone().accept(listener, Arc::new(service)));
        Ok(address)
    }

    /// The end is near: everything is served, but no connection beyond its next answer.
    pub fn end_keep_alive(&self) {
        self.keep_alive_ended.cancel();
    }

    /// Accepts nothing more: another process does, from the same queue.
    pub fn stop_accepting(&self) {
        self.handed_over.cancel();
    }

    /// Accepts nothing more; resolves once every request that has been taken is answered.
    pub async fn close(&self) {
        self.closed_at.get_or_init(Instant::now);
        self.closing.cancel();
        for tasks in [&self.accepting, &self.connections] {
            tasks.close();
            tasks.wait().await;
        }
    }

    /// Connections that have not ended.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    async fn accept<S: Service>(self, listener: TcpListener, service: Arc<S>) {
        let (mut failures, mut warn_at) = (0, Instant::now());
        loop {
            let accepted = tokio::select! {
                biased;
                () = self.handed_over.cancelled() => return,
                accepted = listener.accept() => accepted,
                // Only once none is left with the kernel: what is written to those counts as taken.
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
                        warn!(self.log, "accept"; "why" => %e, "in a row" => failures);
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
        let admission = Admission { closed_at: self.closed_at.clone(), has_slot: !slot.is_refusing() };
        self.connections.spawn(async move {
            let (eviction, slot, framing) =
                (slot.eviction_token(), Arc::new(slot), Arc::new(FramingState::default()));
            // Without it events would wait for the client's acknowledgement; it can only fail on a
            // connection that is no more.
            let _ = stream.set_nodelay(true);
            let peer = stream.peer_addr().ok();
            let socket = ClientSocket::new(stream, write);
            let stream = FramingStream::new(socket.clone(), framing.clone(), slot.clone());
            let (request_slot, request_socket, head_state) = (slot.clone(), socket.clone(), framing.clone());
            let handler = service_fn(move |mut request: Request<Incoming>| {
                let open_request = OpenRequestGuard(request_slot.clone());
                let started_at =
                    if request_slot.has_answered_request() { Instant::now() } else { accepted_at };
                request.extensions_mut().insert(ArrivalDeadline(started_at + request_arrival));
                request.extensions_mut().insert(BodyReadNotice(request_slot.clone()));
                request.extensions_mut().insert(admission.clone());
                let has_slot = admission.has_slot;
                let (service, keep_alive_ended, framing) =
                    (service.clone(), keep_alive_ended.clone(), framing.clone());
                let request_socket = request_socket.clone();
                async move {
                    let mut response = match framing.is_ambiguous() {
                        true => service.reject(InputError::AmbiguousFraming),
                        false => service.respond(request).await?,
                    };
                    // What is left of a body that was turned down must not be read as another request.
                    let is_client_error = response.status().is_client_error();
                    let is_refused = response.status() == StatusCode::TOO_MANY_REQUESTS;
                    let is_last = !has_slot
                        || keep_alive_ended.is_cancelled()
                        || framing.is_last_request()
                        || request_socket.has_dropped_bytes();
                    if is_last || (is_client_error && !is_refused) {
                        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                    }
                    Ok::<_, Infallible>(response.map(|body| TrackedBody::new(body, open_request)))
                }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(idle)
                .max_headers(MAX_HEADERS)
                .max_buf_size(MAX_HEAD_BYTES)
                .serve_connection(TokioIo::new(stream), handler);
            // Whichever way it ends, the library lets go of the connection first: with it go the request
            // that is open, and its attempt.
            let reason = {
                let mut connection = pin!(connection);
                let mut first_request_timeout = pin!(async {
                    sleep_until(accepted_at + request_arrival + NO_REQUEST_GRACE).await;
                    if slot.has_received_request() {
                        std::future::pending().await
                    }
                });
                let mut partial_head_timeout = pin!(partial_head_timeout(&head_state, request_arrival));
                // Up to a request's end and between requests the library looks for itself.
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
                            // What came too slowly to be a request yet has no claim to its place.
                            if eviction.is_cancelled() && !slot.has_open_request() {
                                break CloseReason::Evicted;
                            }
                            // Ends it at once, or after the answer under way.
                            connection.as_mut().graceful_shutdown();
                            is_shutting_down = true;
                        }
                    }
                }
            };
            debug!(log, "connection closed"; "peer" => ?peer, "why" => %reason);
            tokio::select! {
                () = socket.close() => {}
                // Its place is wanted more.
                () = eviction.cancelled() => {}
            }
        });
    }
}

/// Resolves once a head has come in part for so long. The library counts its time from the last answer on,
/// and a client may rest for longer than a bad one is given.
async fn partial_head_timeout(head_state: &FramingState, within: Duration) {
    let mut timer = pin!(sleep(within));
    let mut timed_since = None;
    poll_fn(|cx| {
        let Some(since) = head_state.partial_head_since() else { return Poll::Pending };
        if timed_since.replace(since) != Some(since) {
            timer.as_mut().reset(since + within);
        }
        timer.as_mut().poll(cx)
    })
    .await
}

/// Resolves once either is cancelled and the runtime has heard what lies in the sockets by then: a request
/// that has come must be read, not closed over.
async fn shutdown_requested(closing: &CancellationToken, eviction: &CancellationToken) {
    tokio::select! {
        () = closing.cancelled() => {}
        () = eviction.cancelled() => {}
    }
    tokio::task::yield_now().await;
}

/// Between accepts that fail, so many in a row.
async fn pause_after(failures: u32) {
    match failures.checked_sub(ACCEPT_FAILURES_BEFORE_PAUSE) {
        None => yield_now().await,
        Some(more) => sleep(MAX_ACCEPT_PAUSE.min(MIN_ACCEPT_PAUSE * (1 << more.min(4)))).await,
    }
}

#[cfg(test)]
#[path = "../../tests/unit/listener.rs"]
mod tests;
