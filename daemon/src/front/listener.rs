//! Accepts client connections, and closes them gracefully at shutdown.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use frosttrail_core::EventStream;
use hyper::body::Incoming;
use hyper::{Request, Response};
use prometheus::IntCounterVec;
use slog::{info, warn, Logger};
use tokio::net::{TcpListener, TcpSocket};
use tokio::task::yield_now;
use tokio::time::{sleep, Instant};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::arrival::ArrivalClock;
use super::body::{ResponseBody, ServiceResult};
use super::clients::ConnectionLimiter;
use super::input::InputError;
use crate::buffer_budget::BufferBudget;
use crate::transient::{is_resource_shortage, retry_at_start};

/// Connections that the kernel queues until they are accepted.
const LISTEN_BACKLOG: u32 = 1_024;
/// Consecutive failures to accept, as when file descriptors have run out, before the listener pauses between
/// attempts. The first ones retry at once, since queued connections must not wait for a failure that passes
/// immediately.
const ACCEPT_FAILURES_BEFORE_PAUSE: u32 = 8;
/// The first pause; it doubles with each further failure, up to `MAX_ACCEPT_PAUSE`.
const MIN_ACCEPT_PAUSE: Duration = Duration::from_millis(1);
const MAX_ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Minimum time between log messages about failures to accept.
const ACCEPT_WARNING_INTERVAL: Duration = Duration::from_millis(100);

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
    pub(super) limiter: ConnectionLimiter,
    pub(super) timeouts: ClientTimeouts,
    /// Whether another process may listen on the same address (`SO_REUSEPORT`).
    share_address: bool,
    /// The memory for what clients send.
    pub(super) buffers: BufferBudget,
    pub(super) arrivals: ArrivalClock,
    /// Cancelled once shutdown is planned: each response then carries `Connection: close`.
    pub(super) keep_alive_ended: CancellationToken,
    /// Cancelled once another process accepts the queued connections.
    handed_over: CancellationToken,
    /// Cancelled at shutdown: no connection is accepted any more, and each closes once it has no open
    /// request.
    pub(super) closing: CancellationToken,
    /// When `closing` is cancelled, once that is known.
    pub(super) closes_at: Arc<OnceLock<Instant>>,
    accepting: TaskTracker,
    pub(super) connections: TaskTracker,
    /// Holds a token for each request whose response has not begun.
    pub(super) unanswered: TaskTracker,
    /// Holds a token for each response that has begun and not ended.
    pub(super) streams: TaskTracker,
    /// Counts closed connections by reason.
    pub(super) closes: IntCounterVec,
    pub(super) log: Logger,
}

impl ClientListeners {
    /// Creates the state for at most `max_connections` connections on all listeners together. `closes` counts
    /// closed connections by reason.
    pub fn new(max_connections: usize, timeouts: ClientTimeouts, closes: IntCounterVec, log: Logger) -> Self {
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
            closes,
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
}

/// Pauses after a failure to accept, by the number of consecutive failures.
async fn pause_after(failures: u32) {
    match failures.checked_sub(ACCEPT_FAILURES_BEFORE_PAUSE) {
        None => yield_now().await,
        Some(more) => sleep(MAX_ACCEPT_PAUSE.min(MIN_ACCEPT_PAUSE * (1 << more.min(4)))).await,
    }
}
