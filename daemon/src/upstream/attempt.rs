//! Makes one attempt at one server and maps the response to an outcome by the table in PROTOCOL, which also
//! says whether the request has run.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use frosttrail::{Id, LoadReport, Outcome};
use frosttrail_core::{AttemptReply, EventStream, SendPermit, StreamStep};
use http_body::Body;
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue, CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use hyper::{Request, Response, StatusCode};
use serde::Deserialize;
use tokio::time::{timeout_at, Instant};

use super::connection::{Connection, WriteProgress};
use super::observer::InvalidResponse;
use super::pool::{ConnectFailure, ConnectionPool};
use super::response_body::read_to_end;
use super::response_framing::invalid_response;
use super::sse::{has_data, load_report_comment, EventSplitter, InvalidEvent, MAX_EVENT_BYTES};
use super::Call;

/// Carries the time that the conductor will wait for the response.
pub(crate) const REMAINING_HEADER: HeaderName = HeaderName::from_static("x-remaining");
/// Marks a request that the server rejected and never ran.
const TURNED_AWAY_HEADER: HeaderName = HeaderName::from_static("x-turned-away");
/// Carries a load report.
const LOAD_REPORT_HEADER: HeaderName = HeaderName::from_static("x-pressure");

/// The parameters and the progress of one attempt.
struct AttemptContext<'a> {
    call: &'a Call,
    stop_at: Instant,
    progress: &'a WriteProgress,
    permit: &'a SendPermit,
}

/// Makes one attempt. A request that times out before its last byte was written never ran.
pub(super) async fn attempt(
    pool: &Arc<ConnectionPool>,
    server: &Id,
    call: &Call,
    wait: Duration,
    permit: &SendPermit,
) -> AttemptReply<ServerEvents> {
    let (progress, stop_at) =
        (WriteProgress::with_counter(pool.observer.sends.clone()), Instant::now() + wait);
    let context = AttemptContext { call, stop_at, progress: &progress, permit };
    match timeout_at(stop_at, send_with_reconnect(pool, server, &context)).await {
        Ok(reply) => reply,
        Err(_) if progress.is_complete() => AttemptReply::Ended(Outcome::NoAnswer, None),
        Err(_) => AttemptReply::Ended(Outcome::NoConnection, None),
    }
}

/// Sends the request on an idle connection, or on a new one. An idle connection that turns out to have closed
/// before the request was written is replaced: the server has not received it, so the new copy is the first.
async fn send_with_reconnect(
    pool: &Arc<ConnectionPool>,
    server: &Id,
    context: &AttemptContext<'_>,
) -> AttemptReply<ServerEvents> {
    if let Some(connection) = pool.take_idle(server).await {
        let (idle, sent_at) = (connection.idle_since.elapsed(), Instant::now());
        match send_request(connection, context).await {
            Err(SendFailure::NotWritten) => {}
            Err(SendFailure::ConnectionLost) if pool.is_stale_reset(sent_at.elapsed()) => {
                pool.record_stale(server, idle);
                return AttemptReply::Ended(Outcome::StaleConnection, None);
            }
            result => return read_reply(pool, server, context.call, result).await,
        }
    }
    match pool.connect(server).await {
        Ok(connection) => {
            read_reply(pool, server, context.call, send_request(connection, context).await).await
        }
        Err(ConnectFailure::Server) => AttemptReply::Ended(Outcome::NoConnection, None),
        Err(ConnectFailure::Local) => AttemptReply::Ended(Outcome::NotSent, None),
    }
}

/// Why there is no valid response.
enum SendFailure {
    /// The send permit was no longer valid, so nothing was written.
    NotPermitted,
    /// The connection broke before the request's last byte was written.
    NotWritten,
    /// The connection broke after the request's last byte was written.
    ConnectionLost,
    /// The request was written, but the response of the server at this address is not valid HTTP.
    InvalidResponse(SocketAddr, InvalidResponse),
}

async fn send_request(
    mut connection: Connection,
    context: &AttemptContext<'_>,
) -> Result<(Connection, Response<Incoming>), SendFailure> {
    let AttemptContext { call, stop_at, progress, permit } = *context;
    permit.check().map_err(|_| SendFailure::NotPermitted)?;
    let mut request = Request::new(call.body.clone());
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.target.clone();
    *request.headers_mut() = call.headers.clone();
    // Computed only now, as opening the connection may have taken a while.
    request
        .headers_mut()
        .insert(REMAINING_HEADER, remaining_header(stop_at.saturating_duration_since(Instant::now())));
    request.headers_mut().entry(HOST).or_insert(HeaderValue::from_static("box"));
    match connection.send(request, progress).await {
        Ok(response) => Ok((connection, response)),
        Err(_) if !progress.is_complete() => Err(SendFailure::NotWritten),
        Err(e) => Err(match e.invalid_response() {
            Some(why) => SendFailure::InvalidResponse(connection.address, why),
            None => SendFailure::ConnectionLost,
        }),
    }
}

/// Formats the remaining time in microseconds, with the unit.
fn remaining_header(wait: Duration) -> HeaderValue {
    HeaderValue::try_from(format!("{}u", wait.as_micros().max(1)))
        .unwrap_or_else(|_| HeaderValue::from_static("1u"))
}

async fn read_reply(
    pool: &Arc<ConnectionPool>,
    server: &Id,
    call: &Call,
    result: Result<(Connection, Response<Incoming>), SendFailure>,
) -> AttemptReply<ServerEvents> {
    let (connection, response) = match result {
        Ok(sent) => sent,
        Err(SendFailure::NotPermitted) => return AttemptReply::Ended(Outcome::NotSent, None),
        Err(SendFailure::NotWritten) => return AttemptReply::Ended(Outcome::NoConnection, None),
        Err(SendFailure::ConnectionLost) => return AttemptReply::Ended(Outcome::ConnectionLost, None),
        // The server runs and responds, if incorrectly, so other requests may still go to it.
        Err(SendFailure::InvalidResponse(address, why)) => {
            pool.observer.record_invalid_response(call.id(), server, address, why);
            return AttemptReply::Ended(Outcome::Failed, None);
        }
    };
    let (head, body) = response.into_parts();
    let is_rejected = head.headers.get(TURNED_AWAY_HEADER).is_some_and(|v| v == "1");
    let load = head
        .headers
        .get(LOAD_REPORT_HEADER)
        .and_then(|report| parse_load_report(report.as_bytes(), &connection));
    let outcome = match head.status {
        StatusCode::OK => {
            let is_framed =
                [CONTENT_LENGTH, TRANSFER_ENCODING].iter().any(|name| head.headers.contains_key(name));
            let request = call.id().to_string();
            let events =
                ServerEvents::new(pool.clone(), server.clone(), request, connection, body, is_framed);
            return events.wait_for_first_event(load).await;
        }
        StatusCode::ACCEPTED => return read_prefill_reply(pool, server, connection, body, load).await,
        StatusCode::GONE if is_rejected => Outcome::CacheMissing,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_rejected => Outcome::Rejected,
        _ => Outcome::Failed,
    };
    pool.put_after_body(server, connection, body);
    AttemptReply::Ended(outcome, load)
}

/// Parses a load report. An invalid one taints the connection, as a server that sends one may also send other
/// unexpected bytes.
fn parse_load_report(report: &[u8], connection: &Connection) -> Option<LoadReport> {
    let report = serde_json::from_slice(report).ok().and_then(|r| frosttrail::setup::load_report(&r).ok());
    if report.is_none() {
        connection.mark_tainted();
    }
    report
}

#[derive(Deserialize)]
struct PrefillBody {
    cached_tokens: u64,
}

/// Reads the response of a prefill server. One that breaks off has still left a KV cache, which the decisions
/// release.
async fn read_prefill_reply(
    pool: &Arc<ConnectionPool>,
    server: &Id,
    connection: Connection,
    body: Incoming,
    load: Option<LoadReport>,
) -> AttemptReply<ServerEvents> {
    let Ok(body) = read_to_end(body).await else {
        return AttemptReply::Ended(Outcome::ConnectionLost, load);
    };
    pool.put(server, connection);
    // The number of cached tokens is a hint; the prefill is valid without it.
    let prefill_body = serde_json::from_slice(&body).unwrap_or(PrefillBody { cached_tokens: 0 });
    AttemptReply::PrefillDone { cached_tokens: prefill_body.cached_tokens, load }
}

/// The events of a server's response, as they arrive.
pub struct ServerEvents {
    pool: Arc<ConnectionPool>,
    server: Id,
    /// The id of the request.
    request: String,
    connection: Option<Connection>,
    body: Incoming,
    event_splitter: EventSplitter,
    first_event: Option<Bytes>,
    /// Whether the response's framing marks its end. A response that ends with its connection can't be
    /// distinguished from one that broke off.
    is_framed: bool,
    has_ended: bool,
}

impl ServerEvents {
    fn new(
        pool: Arc<ConnectionPool>,
        server: Id,
        request: String,
        connection: Connection,
        body: Incoming,
        is_framed: bool,
    ) -> Self {
        let (event_splitter, first_event) = (EventSplitter::new(&pool.buffers), None);
        ServerEvents {
            pool,
            server,
            request,
            connection: Some(connection),
            body,
            event_splitter,
            first_event,
            is_framed,
            has_ended: false,
        }
    }

    /// Waits for the first event. Until it arrives, nothing has been sent to the client and the request can
    /// still go to another server. Comments before it are passed on with it.
    async fn wait_for_first_event(mut self, load: Option<LoadReport>) -> AttemptReply<Self> {
        let mut beginning = BytesMut::new();
        loop {
            match std::future::poll_fn(|cx| self.poll_step(cx)).await {
                StreamStep::Comment(comment) if beginning.len() <= MAX_EVENT_BYTES => {
                    beginning.extend_from_slice(&comment);
                }
                StreamStep::Comment(_) => {
                    self.reject(InvalidResponse::TooLarge);
                    return AttemptReply::Ended(Outcome::Failed, load);
                }
                StreamStep::Event(first) if beginning.is_empty() => {
                    self.first_event = Some(first);
                    return AttemptReply::Stream(self);
                }
                StreamStep::Event(first) => {
                    beginning.extend_from_slice(&first);
                    self.first_event = Some(beginning.freeze());
                    return AttemptReply::Stream(self);
                }
                // A whole answer, even if it says nothing.
                StreamStep::End if !beginning.is_empty() => {
                    self.first_event = Some(beginning.freeze());
                    return AttemptReply::Stream(self);
                }
                StreamStep::End => return AttemptReply::Ended(Outcome::ConnectionLost, load),
                StreamStep::Broken(outcome) => return AttemptReply::Ended(outcome, load),
            }
        }
    }

    fn event_step(&self, event: Bytes) -> StreamStep {
        if let (Some(report), Some(connection)) = (load_report_comment(&event), &self.connection) {
            // Parsed only to detect a tainted connection; the report in a response head is the one passed on.
            parse_load_report(report, connection);
        }
        match has_data(&event) {
            true => StreamStep::Event(event),
            false => StreamStep::Comment(event),
        }
    }

    /// Ends the attempt because of what the server has sent.
    fn reject(&self, why: InvalidResponse) -> StreamStep {
        if let Some(connection) = &self.connection {
            let (observer, address) = (&self.pool.observer, connection.address);
            observer.record_invalid_response(&self.request, &self.server, address, why);
        }
        StreamStep::Broken(Outcome::Failed)
    }

    /// Tells invalid framing from a lost connection.
    fn broken_step(&self, e: &hyper::Error) -> StreamStep {
        match invalid_response(e, InvalidResponse::Framing) {
            Some(why) => self.reject(why),
            None => StreamStep::Broken(Outcome::ConnectionLost),
        }
    }
}

impl EventStream for ServerEvents {
    fn poll_step(&mut self, cx: &mut Context<'_>) -> Poll<StreamStep> {
        if let Some(first) = self.first_event.take() {
            return Poll::Ready(StreamStep::Event(first));
        }
        loop {
            match self.event_splitter.next_event() {
                Ok(Some(event)) => return Poll::Ready(self.event_step(event)),
                Ok(None) => {}
                Err(InvalidEvent) => return Poll::Ready(self.reject(InvalidResponse::Event)),
            }
            if self.has_ended {
                if let Some(connection) = self.connection.take() {
                    self.pool.put(&self.server, connection);
                }
                return Poll::Ready(StreamStep::End);
            }
            match ready!(Pin::new(&mut self.body).poll_frame(cx)) {
                Some(Err(e)) => return Poll::Ready(self.broken_step(&e)),
                None if !self.is_framed => return Poll::Ready(StreamStep::Broken(Outcome::ConnectionLost)),
                None => {
                    self.has_ended = true;
                    if let Some(remainder) = self.event_splitter.remainder() {
                        return Poll::Ready(self.event_step(remainder));
                    }
                }
                Some(Ok(frame)) => {
                    let data = frame.into_data().unwrap_or_default();
                    if let Err(e) = self.event_splitter.push(&data) {
                        return Poll::Ready(self.reject(e.into()));
                    }
                }
            }
        }
    }
}
