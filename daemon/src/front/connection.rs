//! Serves one client's connection: hands its requests to the front and closes it when a timeout expires, the
//! client leaves, its slot is needed or the process shuts down.

use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::pin::pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::debug;
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, Instant};
use tokio_util::sync::CancellationToken;

use super::body::TrackedBody;
use super::clients::{BodyReadNotice, ConnectionSlot, OpenRequestGuard};
use super::framing::{FramingState, FramingStream, MAX_HEADERS};
use super::input::{Admission, ArrivalDeadline, ArrivedAt, InputError};
use super::listener::{ClientListeners, ClientTimeouts, Service};
use super::socket::ClientSocket;

/// Size of the buffer for a request head, and thereby of the largest head.
const MAX_HEAD_BYTES: usize = 16 << 10;
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

impl CloseReason {
    /// The label of the metric that counts it.
    fn label(&self) -> &'static str {
        match self {
            CloseReason::Ended => "ended",
            CloseReason::Failed(e) if e.is_parse() => "invalid_input",
            CloseReason::Failed(e) if e.is_user() => "stream_cut",
            CloseReason::Failed(_) => "connection_failed",
            CloseReason::ClientGone => "client_gone",
            CloseReason::NoRequest => "no_request",
            CloseReason::HeadTimeout => "head_timeout",
            CloseReason::Evicted => "evicted",
        }
    }
}

impl ClientListeners {
    /// Serves one connection, in a task of its own, until it is closed.
    pub(super) fn serve_connection<S: Service>(
        &self,
        stream: TcpStream,
        accepted_at: Instant,
        slot: ConnectionSlot,
        service: Arc<S>,
    ) {
        let ClientTimeouts { request_arrival, idle, write } = self.timeouts;
        let (closing, keep_alive_ended) = (self.closing.clone(), self.keep_alive_ended.clone());
        let (closes, log) = (self.closes.clone(), self.log.clone());
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
            closes.with_label_values(&[reason.label()]).inc();
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

#[cfg(test)]
#[path = "../../tests/unit/client_connection.rs"]
mod tests;
