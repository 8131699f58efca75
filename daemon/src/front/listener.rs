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

use super::body::{FrontBody, FrontResponse, Held};
use super::clients::{Arrival, Clients, Place, UnderWay};
use super::framing::{Found, Framed, HEADERS_MOST};
use super::input::{Admission, ArriveBy, InputError};
use super::socket::Socket;
use crate::transient::{is_resource_shortage, retry_at_start};

/// Connections that the kernel holds until they are accepted.
const BACKLOG: u32 = 1_024;
const HEAD_BYTES: usize = 16 << 10;
/// Accepts that fail in a row, as when descriptors have run out, before there is a pause between them. It
/// doubles up to the longest: what stands in the queue must not wait for a failure that passes at once.
const ACCEPT_FAILURES_AT_ONCE: u32 = 8;
const ACCEPT_PAUSE: Duration = Duration::from_millis(1);
const ACCEPT_PAUSE_MOST: Duration = Duration::from_millis(10);
/// So often at most the log is told of them.
const ACCEPT_TOLD_EVERY: Duration = Duration::from_millis(100);

/// Beyond the time in which a first request must come, so that it can be told that it was too slow.
const LINGER: Duration = Duration::from_millis(300);

/// Why a client's connection is closed.
#[derive(Debug, thiserror::Error)]
enum CloseReason {
    /// One side said so, between requests, or the idle time is over.
    #[error("it is over")]
    Over,
    /// It broke, or what came is no request.
    #[error("{0}")]
    Broken(hyper::Error),
    /// The client has gone before its answer.
    #[error("its client has gone")]
    ClientGone,
    /// No whole request has come in time.
    #[error("no request in time")]
    NoRequest,
    /// A head has come in part, and not in time.
    #[error("half a head in time")]
    SlowHead,
    /// Its place is wanted.
    #[error("room for others")]
    RoomForOthers,
}

/// What answers requests.
pub trait Service: Send + Sync + 'static {
    /// Answers' events.
    type Events: EventStream;

    /// Answers one request. Dropped if its client goes.
    fn answer(&self, request: Request<Incoming>) -> impl Future<Output = FrontResponse<Self::Events>> + Send;

    /// Turns down what is no request.
    fn turn_down(&self, error: InputError) -> Response<FrontBody<Self::Events>>;
}

/// How long clients may take.
#[derive(Clone, Copy, Debug)]
pub struct ClientTimeouts {
    /// A request must have come whole this long after its connection was accepted or, if it is not the
    /// first there, after its head. A connection on which none has is closed a little later.
    pub arrive: Duration,
    /// A connection without an open request is closed after this time.
    pub idle: Duration,
    /// A client that takes nothing of what is sent to it for this long has gone without a word.
    pub stall: Duration,
}

/// What the listeners have in common: the bound on connections, and how far they are open.
#[derive(Clone)]
pub struct ClientListeners {
    clients: Clients,
    patience: ClientTimeouts,
    /// Another process may listen at the same address.
    share_address: bool,
    /// An end is planned: clients are told with each answer to come back on another connection.
    leaving: CancellationToken,
    /// Another process accepts what waits in the queue.
    passed_on: CancellationToken,
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
    pub fn new(most: usize, patience: ClientTimeouts, log: Logger) -> Self {
        ClientListeners {
            clients: Clients::new(most),
            patience,
            share_address: false,
            leaving: CancellationToken::new(),
            passed_on: CancellationToken::new(),
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
        retry_at_start(is_resource_shortage, || self.try_bind(address))
    }

    fn try_bind(&self, address: SocketAddr) -> std::io::Result<std::net::TcpListener> {
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        // A conductor that is started anew takes its address over from connections that linger.
        socket.set_reuseaddr(true)?;
        // The process that takes over listens while this one still serves.
        socket.set_reuseport(self.share_address)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)?.into_std()
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
    pub fn leave(&self) {
        self.leaving.cancel();
    }

    /// Accepts nothing more: another process does, from the same queue.
    pub fn stop_accepting(&self) {
        self.passed_on.cancel();
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
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    async fn accept<S: Service>(self, listener: TcpListener, service: Arc<S>) {
        let (mut failures, mut tell_at) = (0, Instant::now());
        loop {
            let accepted = tokio::select! {
                biased;
                () = self.passed_on.cancelled() => return,
                accepted = listener.accept() => accepted,
                // Only once none is left with the kernel: what is written to those counts as taken.
                () = self.closing.cancelled() => return,
            };
            match accepted {
                Ok((stream, _)) => {
                    failures = 0;
                    let arrived = Instant::now();
                    self.serve(stream, arrived, self.clients.place().await, service.clone());
                }
                Err(e) => {
                    failures += 1;
                    if Instant::now() >= tell_at {
                        warn!(self.log, "accept"; "why" => %e, "in a row" => failures);
                        tell_at = Instant::now() + ACCEPT_TOLD_EVERY;
                    }
                    pause_after(failures).await;
                }
            }
        }
    }

    fn serve<S: Service>(&self, stream: TcpStream, accepted: Instant, place: Place, service: Arc<S>) {
        let ClientTimeouts { arrive, idle, stall } = self.patience;
        let (closing, leaving, log) = (self.closing.clone(), self.leaving.clone(), self.log.clone());
        let admission = Admission { closed_at: self.closed_at.clone(), has_place: !place.refuses() };
        self.connections.spawn(async move {
            let (leave, place, found) = (place.leave(), Arc::new(place), Arc::new(Found::default()));
            // Without it events would wait for the client's acknowledgement; it can only fail on a
            // connection that is no more.
            let _ = stream.set_nodelay(true);
            let peer = stream.peer_addr().ok();
            let socket = Socket::new(stream, stall);
            let stream = Framed::new(socket.clone(), found.clone(), place.clone());
            let (asked, ahead, heads) = (place.clone(), socket.clone(), found.clone());
            let answer = service_fn(move |mut request: Request<Incoming>| {
                let under_way = UnderWay(asked.clone());
                let from = if asked.has_answered() { Instant::now() } else { accepted };
                request.extensions_mut().insert(ArriveBy(from + arrive));
                request.extensions_mut().insert(Arrival(asked.clone()));
                request.extensions_mut().insert(admission.clone());
                let has_place = admission.has_place;
                let (service, leaving, found) = (service.clone(), leaving.clone(), found.clone());
                let ahead = ahead.clone();
                async move {
                    let mut answer = match found.is_ambiguous() {
                        true => service.turn_down(InputError::Framing),
                        false => service.answer(request).await?,
                    };
                    // What is left of a body that was turned down must not be read as another request.
                    let bad = answer.status().is_client_error();
                    let refused = answer.status() == StatusCode::TOO_MANY_REQUESTS;
                    let last = !has_place || leaving.is_cancelled() || found.is_last() || ahead.is_overrun();
                    if last || (bad && !refused) {
                        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                    }
                    Ok::<_, Infallible>(answer.map(|body| Held::new(body, under_way)))
                }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(idle)
                .max_headers(HEADERS_MOST)
                .max_buf_size(HEAD_BYTES)
                .serve_connection(TokioIo::new(stream), answer);
            // Whichever way it ends, the library lets go of the connection first: with it go the request
            // that is open, and its attempt.
            let reason = {
                let mut connection = pin!(connection);
                let mut none_came = pin!(async {
                    sleep_until(accepted + arrive + LINGER).await;
                    if place.has_asked() {
                        std::future::pending().await
                    }
                });
                let mut slow_head = pin!(slow_head(&heads, arrive));
                // Up to a request's end and between requests the library looks for itself.
                let mut gone = pin!(poll_fn(|cx| match place.is_waited_for() {
                    true => socket.poll_gone(cx),
                    false => Poll::Pending,
                }));
                let mut told = false;
                loop {
                    tokio::select! {
                        biased;
                        ended = connection.as_mut() => break match ended {
                            Ok(()) => CloseReason::Over,
                            Err(e) => CloseReason::Broken(e),
                        },
                        () = gone.as_mut() => break CloseReason::ClientGone,
                        () = none_came.as_mut() => break CloseReason::NoRequest,
                        () = slow_head.as_mut() => break CloseReason::SlowHead,
                        () = told_to_end(&closing, &leave), if !told => {
                            // What came too slowly to be a request yet has no claim to its place.
                            if leave.is_cancelled() && !place.is_busy() {
                                break CloseReason::RoomForOthers;
                            }
                            // Ends it at once, or after the answer under way.
                            connection.as_mut().graceful_shutdown();
                            told = true;
                        }
                    }
                }
            };
            debug!(log, "connection closed"; "peer" => ?peer, "why" => %reason);
            tokio::select! {
                () = socket.close() => {}
                // Its place is wanted more.
                () = leave.cancelled() => {}
            }
        });
    }
}

/// Resolves once a head has come in part for so long. The library counts its time from the last answer on,
/// and a client may rest for longer than a bad one is given.
async fn slow_head(heads: &Found, within: Duration) {
    let mut timer = pin!(sleep(within));
    let mut timed = None;
    poll_fn(|cx| {
        let Some(since) = heads.head_since() else { return Poll::Pending };
        if timed.replace(since) != Some(since) {
            timer.as_mut().reset(since + within);
        }
        timer.as_mut().poll(cx)
    })
    .await
}

/// Resolves once either is cancelled and the runtime has heard what lies in the sockets by then: a request
/// that has come must be read, not closed over.
async fn told_to_end(closing: &CancellationToken, leave: &CancellationToken) {
    tokio::select! {
        () = closing.cancelled() => {}
        () = leave.cancelled() => {}
    }
    tokio::task::yield_now().await;
}

/// Between accepts that fail, so many in a row.
async fn pause_after(failures: u32) {
    match failures.checked_sub(ACCEPT_FAILURES_AT_ONCE) {
        None => yield_now().await,
        Some(more) => sleep(ACCEPT_PAUSE_MOST.min(ACCEPT_PAUSE * (1 << more.min(4)))).await,
    }
}

#[cfg(test)]
#[path = "../../tests/unit/listener.rs"]
mod tests;
