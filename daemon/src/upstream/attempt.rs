//! One attempt at one server: PROTOCOL's table of what comes back and whether it has run.

use std::error::Error;
use std::io::ErrorKind;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use frosttrail::{Id, LoadReport, Outcome};
use frosttrail_core::{AttemptReply, EventStream, SendPermit, StreamStep};
use http_body::Body;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue, CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use hyper::{Request, Response, StatusCode};
use serde::Deserialize;
use tokio::time::{timeout_at, Instant};

use super::link::{Connection, WriteProgress};
use super::pool::{ConnectFailure, ConnectionPool, MAX_BODY_BYTES};
use super::sse::{load_report_comment, EventSplitter, InvalidEvent};
use super::Call;

/// The time that the conductor will wait.
pub(crate) const REMAINING_HEADER: HeaderName = HeaderName::from_static("x-remaining");
/// Says that a request was turned away and never ran.
const TURNED_AWAY_HEADER: HeaderName = HeaderName::from_static("x-turned-away");
/// A load report.
const LOAD_REPORT_HEADER: HeaderName = HeaderName::from_static("x-pressure");

/// One attempt under way.
struct AttemptContext<'a> {
    call: &'a Call,
    stop_at: Instant,
    progress: &'a WriteProgress,
    permit: &'a SendPermit,
}

/// Makes one attempt. Given up before the last byte was written, it never ran.
pub(super) async fn attempt(
    pool: &Arc<ConnectionPool>,
    server: &Id,
    call: &Call,
    wait: Duration,
    permit: &SendPermit,
) -> AttemptReply<ServerEvents> {
    let (progress, stop_at) = (WriteProgress::with_counter(pool.sends.clone()), Instant::now() + wait);
    let context = AttemptContext { call, stop_at, progress: &progress, permit };
    match timeout_at(stop_at, send_with_reconnect(pool, server, &context)).await {
        Ok(reply) => reply,
        Err(_) if progress.is_complete() => AttemptReply::Ended(Outcome::NoAnswer, None),
        Err(_) => AttemptReply::Ended(Outcome::NoConnection, None),
    }
}

/// A kept connection that turns out to have closed before the request was written is replaced by a new
/// one: the server has not seen the request, so this is still the first copy.
async fn send_with_reconnect(
    pool: &Arc<ConnectionPool>,
    server: &Id,
    context: &AttemptContext<'_>,
) -> AttemptReply<ServerEvents> {
    if let Some(connection) = pool.take_idle(server).await {
        let (idle, sent_at) = (connection.idle_since.elapsed(), Instant::now());
        match send_request(connection, context).await {
            Err(SendFailure::NotWritten) => {}
            Err(SendFailure::ConnectionReset) if pool.is_stale_reset(sent_at.elapsed()) => {
                pool.record_stale(server, idle);
                return AttemptReply::Ended(Outcome::StaleConnection, None);
            }
            result => return read_reply(pool, server, result).await,
        }
    }
    match pool.connect(server).await {
        Ok(connection) => read_reply(pool, server, send_request(connection, context).await).await,
        Err(ConnectFailure::Server) => AttemptReply::Ended(Outcome::NoConnection, None),
        Err(ConnectFailure::Local) => AttemptReply::Ended(Outcome::NotSent, None),
    }
}

/// Why there is no answer.
enum SendFailure {
    /// It was not begun, as something forbids it by now.
    NotPermitted,
    /// The connection broke before the request's last byte was written.
    NotWritten,
    /// It broke after that.
    ConnectionReset,
    /// What came after that is no answer.
    InvalidResponse,
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
    // What is left now: a connection may have taken its time to come up.
    request
        .headers_mut()
        .insert(REMAINING_HEADER, remaining_header(stop_at.saturating_duration_since(Instant::now())));
    request.headers_mut().entry(HOST).or_insert(HeaderValue::from_static("box"));
    match connection.send(request, progress).await {
        Ok(response) => Ok((connection, response)),
        Err(_) if !progress.is_complete() => Err(SendFailure::NotWritten),
        Err(e) if e.is_invalid_response() => Err(SendFailure::InvalidResponse),
        Err(_) => Err(SendFailure::ConnectionReset),
    }
}

/// Microseconds, with their unit.
fn remaining_header(wait: Duration) -> HeaderValue {
    HeaderValue::try_from(format!("{}u", wait.as_micros().max(1)))
        .unwrap_or_else(|_| HeaderValue::from_static("1u"))
}

async fn read_reply(
    pool: &Arc<ConnectionPool>,
    server: &Id,
    result: Result<(Connection, Response<Incoming>), SendFailure>,
) -> AttemptReply<ServerEvents> {
    let (connection, response) = match result {
        Ok(sent) => sent,
        Err(SendFailure::NotPermitted) => return AttemptReply::Ended(Outcome::NotSent, None),
        Err(SendFailure::NotWritten) => return AttemptReply::Ended(Outcome::NoConnection, None),
        Err(SendFailure::ConnectionReset) => return AttemptReply::Ended(Outcome::ConnectionLost, None),
        // The server runs and answers, if badly: no reason to keep other requests from it.
        Err(SendFailure::InvalidResponse) => return AttemptReply::Ended(Outcome::Failed, None),
    };
    let (head, body) = response.into_parts();
    let turned_away = head.headers.get(TURNED_AWAY_HEADER).is_some_and(|v| v == "1");
    let load = head
        .headers
        .get(LOAD_REPORT_HEADER)
        .and_then(|report| parse_load_report(report.as_bytes(), &connection));
    let outcome = match head.status {
        StatusCode::OK => {
            let is_framed =
                [CONTENT_LENGTH, TRANSFER_ENCODING].iter().any(|name| head.headers.contains_key(name));
            let events = ServerEvents::new(pool.clone(), server.clone(), connection, body, is_framed);
            return events.wait_for_first_event(load).await;
        }
        StatusCode::ACCEPTED => return read_prefill_reply(pool, server, connection, body, load).await,
        StatusCode::GONE if turned_away => Outcome::CacheMissing,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if turned_away => Outcome::Rejected,
        _ => Outcome::Failed,
    };
    pool.put_after_body(server, connection, body);
    AttemptReply::Ended(outcome, load)
}

/// A load report; who sends one that can't be read may send other things besides.
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

/// A reader's answer. One that breaks off has left a state all the same; the decisions let go of it.
async fn read_prefill_reply(
    pool: &Arc<ConnectionPool>,
    server: &Id,
    connection: Connection,
    body: Incoming,
    load: Option<LoadReport>,
) -> AttemptReply<ServerEvents> {
    let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
        return AttemptReply::Ended(Outcome::ConnectionLost, load);
    };
    pool.put(server, connection);
    // How much was kept is a hint; without it the read is as good.
    let prefill_body = serde_json::from_slice(&body.to_bytes()).unwrap_or(PrefillBody { cached_tokens: 0 });
    AttemptReply::PrefillDone { cached_tokens: prefill_body.cached_tokens, load }
}

/// The events of a server's answer as they come.
pub struct ServerEvents {
    pool: Arc<ConnectionPool>,
    server: Id,
    connection: Option<Connection>,
    body: Incoming,
    event_splitter: EventSplitter,
    first_event: Option<Bytes>,
    /// The answer says itself where it ends; one that ends with its connection can't be told from one
    /// that broke off.
    is_framed: bool,
    has_ended: bool,
}

impl ServerEvents {
    fn new(
        pool: Arc<ConnectionPool>,
        server: Id,
        connection: Connection,
        body: Incoming,
        is_framed: bool,
    ) -> Self {
        let (event_splitter, first_event) = (EventSplitter::default(), None);
        ServerEvents {
            pool,
            server,
            connection: Some(connection),
            body,
            event_splitter,
            first_event,
            is_framed,
            has_ended: false,
        }
    }

    /// Waits for the first event: until it is there, nothing has gone to the client and the request can
    /// still take another way.
    async fn wait_for_first_event(mut self, load: Option<LoadReport>) -> AttemptReply<Self> {
        match std::future::poll_fn(|cx| self.poll_step(cx)).await {
            StreamStep::Event(first) => {
                self.first_event = Some(first);
                AttemptReply::Stream(self)
            }
            StreamStep::End => AttemptReply::Ended(Outcome::ConnectionLost, load),
            StreamStep::Broken(outcome) => AttemptReply::Ended(outcome, load),
        }
    }

    fn event_step(&self, event: Bytes) -> StreamStep {
        if let (Some(report), Some(connection)) = (load_report_comment(&event), &self.connection) {
            // It decides nothing here; the one in the head of an answer is handed on.
            parse_load_report(report, connection);
        }
        StreamStep::Event(event)
    }
}

/// Whether a break is the server's words rather than its connection's end.
fn broken_step(e: &hyper::Error) -> StreamStep {
    let io_error_kind = e.source().and_then(|e| e.downcast_ref::<std::io::Error>()).map(std::io::Error::kind);
    let is_invalid = matches!(io_error_kind, Some(ErrorKind::InvalidInput | ErrorKind::InvalidData));
    StreamStep::Broken(if is_invalid || e.is_parse() { Outcome::Failed } else { Outcome::ConnectionLost })
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
                Err(InvalidEvent) => return Poll::Ready(StreamStep::Broken(Outcome::Failed)),
            }
            if self.has_ended {
                if let Some(connection) = self.connection.take() {
                    self.pool.put(&self.server, connection);
                }
                return Poll::Ready(StreamStep::End);
            }
            match ready!(Pin::new(&mut self.body).poll_frame(cx)) {
                Some(Err(e)) => return Poll::Ready(broken_step(&e)),
                None if !self.is_framed => return Poll::Ready(StreamStep::Broken(Outcome::ConnectionLost)),
                None => {
                    self.has_ended = true;
                    if let Some(remainder) = self.event_splitter.remainder() {
                        return Poll::Ready(self.event_step(remainder));
                    }
                }
                Some(Ok(frame)) => {
                    let data = frame.into_data().unwrap_or_default();
                    if self.event_splitter.push(&data).is_err() {
                        return Poll::Ready(StreamStep::Broken(Outcome::Failed));
                    }
                }
            }
        }
    }
}
