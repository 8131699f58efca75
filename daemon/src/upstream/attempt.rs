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

use super::link::{Link, Written};
use super::pool::{NoLink, Pool, BODY_MOST};
use super::sse::{report, Splitter, Unreadable};
use super::Call;

/// The time that the conductor will wait.
pub(crate) const REMAINING: HeaderName = HeaderName::from_static("x-remaining");
/// Says that a request was turned away and never ran.
const TURNED_AWAY: HeaderName = HeaderName::from_static("x-turned-away");
/// A load report.
const PRESSURE: HeaderName = HeaderName::from_static("x-pressure");

/// One attempt under way.
struct Going<'a> {
    call: &'a Call,
    stop_at: Instant,
    written: &'a Written,
    permit: &'a SendPermit,
}

/// Makes one attempt. Given up before the last byte was written, it never ran.
pub(super) async fn attempt(
    pool: &Arc<Pool>,
    server: &Id,
    call: &Call,
    wait: Duration,
    permit: &SendPermit,
) -> AttemptReply<ServerEvents> {
    let (written, stop_at) = (Written::counted(pool.sends.clone()), Instant::now() + wait);
    let going = Going { call, stop_at, written: &written, permit };
    match timeout_at(stop_at, run(pool, server, &going)).await {
        Ok(reply) => reply,
        Err(_) if written.is_whole() => AttemptReply::Ended(Outcome::NoAnswer, None),
        Err(_) => AttemptReply::Ended(Outcome::NoConnection, None),
    }
}

/// A kept connection that turns out to have closed before the request was written is replaced by a new
/// one: the server has not seen the request, so this is still the first copy.
async fn run(pool: &Arc<Pool>, server: &Id, going: &Going<'_>) -> AttemptReply<ServerEvents> {
    if let Some(link) = pool.kept(server).await {
        let (idle, sent_at) = (link.idle_since.elapsed(), Instant::now());
        match send(link, going).await {
            Err(Unanswered::NeverWritten) => {}
            Err(Unanswered::Reset) if pool.was_stale(sent_at.elapsed()) => {
                pool.was_dead(server, idle);
                return AttemptReply::Ended(Outcome::StaleConnection, None);
            }
            sent => return outcome(pool, server, sent).await,
        }
    }
    match pool.fresh(server).await {
        Ok(link) => outcome(pool, server, send(link, going).await).await,
        Err(NoLink::Server) => AttemptReply::Ended(Outcome::NoConnection, None),
        Err(NoLink::Local) => AttemptReply::Ended(Outcome::NotSent, None),
    }
}

/// Why there is no answer.
enum Unanswered {
    /// It was not begun, as something forbids it by now.
    Withheld,
    /// The connection broke before the request's last byte was written.
    NeverWritten,
    /// It broke after that.
    Reset,
    /// What came after that is no answer.
    Spoilt,
}

async fn send(mut link: Link, going: &Going<'_>) -> Result<(Link, Response<Incoming>), Unanswered> {
    let Going { call, stop_at, written, permit } = *going;
    permit.check().map_err(|_| Unanswered::Withheld)?;
    let mut request = Request::new(call.body.clone());
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.target.clone();
    *request.headers_mut() = call.headers.clone();
    // What is left now: a connection may have taken its time to come up.
    request.headers_mut().insert(REMAINING, remaining(stop_at.saturating_duration_since(Instant::now())));
    request.headers_mut().entry(HOST).or_insert(HeaderValue::from_static("box"));
    match link.send(request, written).await {
        Ok(answer) => Ok((link, answer)),
        Err(_) if !written.is_whole() => Err(Unanswered::NeverWritten),
        Err(e) if e.is_spoilt() => Err(Unanswered::Spoilt),
        Err(_) => Err(Unanswered::Reset),
    }
}

/// Microseconds, with their unit.
fn remaining(wait: Duration) -> HeaderValue {
    HeaderValue::try_from(format!("{}u", wait.as_micros().max(1)))
        .unwrap_or_else(|_| HeaderValue::from_static("1u"))
}

async fn outcome(
    pool: &Arc<Pool>,
    server: &Id,
    sent: Result<(Link, Response<Incoming>), Unanswered>,
) -> AttemptReply<ServerEvents> {
    let (link, answer) = match sent {
        Ok(sent) => sent,
        Err(Unanswered::Withheld) => return AttemptReply::Ended(Outcome::NotSent, None),
        Err(Unanswered::NeverWritten) => return AttemptReply::Ended(Outcome::NoConnection, None),
        Err(Unanswered::Reset) => return AttemptReply::Ended(Outcome::ConnectionLost, None),
        // The server runs and answers, if badly: no reason to keep other requests from it.
        Err(Unanswered::Spoilt) => return AttemptReply::Ended(Outcome::Failed, None),
    };
    let (head, body) = answer.into_parts();
    let turned_away = head.headers.get(TURNED_AWAY).is_some_and(|v| v == "1");
    let load = head.headers.get(PRESSURE).and_then(|report| pressure(report.as_bytes(), &link));
    let ended = match head.status {
        StatusCode::OK => {
            let framed =
                [CONTENT_LENGTH, TRANSFER_ENCODING].iter().any(|name| head.headers.contains_key(name));
            let events = ServerEvents::new(pool.clone(), server.clone(), link, body, framed);
            return events.begun(load).await;
        }
        StatusCode::ACCEPTED => return read_done(pool, server, link, body, load).await,
        StatusCode::GONE if turned_away => Outcome::CacheMissing,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if turned_away => Outcome::Rejected,
        _ => Outcome::Failed,
    };
    pool.keep_after(server, link, body);
    AttemptReply::Ended(ended, load)
}

/// A load report; who sends one that can't be read may send other things besides.
fn pressure(report: &[u8], link: &Link) -> Option<LoadReport> {
    let report = serde_json::from_slice(report).ok().and_then(|r| frosttrail::setup::load_report(&r).ok());
    if report.is_none() {
        link.taint();
    }
    report
}

#[derive(Deserialize)]
struct Found {
    cached_tokens: u64,
}

/// A reader's answer. One that breaks off has left a state all the same; the decisions let go of it.
async fn read_done(
    pool: &Arc<Pool>,
    server: &Id,
    link: Link,
    body: Incoming,
    load: Option<LoadReport>,
) -> AttemptReply<ServerEvents> {
    let Ok(body) = Limited::new(body, BODY_MOST).collect().await else {
        return AttemptReply::Ended(Outcome::ConnectionLost, load);
    };
    pool.keep(server, link);
    // How much was kept is a hint; without it the read is as good.
    let found = serde_json::from_slice(&body.to_bytes()).unwrap_or(Found { cached_tokens: 0 });
    AttemptReply::PrefillDone { cached_tokens: found.cached_tokens, load }
}

/// The events of a server's answer as they come.
pub struct ServerEvents {
    pool: Arc<Pool>,
    server: Id,
    link: Option<Link>,
    body: Incoming,
    splitter: Splitter,
    first: Option<Bytes>,
    /// The answer says itself where it ends; one that ends with its connection can't be told from one
    /// that broke off.
    framed: bool,
    ended: bool,
}

impl ServerEvents {
    fn new(pool: Arc<Pool>, server: Id, link: Link, body: Incoming, framed: bool) -> Self {
        let (splitter, first) = (Splitter::default(), None);
        ServerEvents { pool, server, link: Some(link), body, splitter, first, framed, ended: false }
    }

    /// Waits for the first event: until it is there, nothing has gone to the client and the request can
    /// still take another way.
    async fn begun(mut self, load: Option<LoadReport>) -> AttemptReply<Self> {
        match std::future::poll_fn(|cx| self.poll_step(cx)).await {
            StreamStep::Event(first) => {
                self.first = Some(first);
                AttemptReply::Stream(self)
            }
            StreamStep::End => AttemptReply::Ended(Outcome::ConnectionLost, load),
            StreamStep::Broken(outcome) => AttemptReply::Ended(outcome, load),
        }
    }

    fn event(&self, event: Bytes) -> StreamStep {
        if let (Some(report), Some(link)) = (report(&event), &self.link) {
            // It decides nothing here; the one in the head of an answer is handed on.
            pressure(report, link);
        }
        StreamStep::Event(event)
    }
}

/// Whether a break is the server's words rather than its connection's end.
fn broken(e: &hyper::Error) -> StreamStep {
    let kind = e.source().and_then(|e| e.downcast_ref::<std::io::Error>()).map(std::io::Error::kind);
    let spoilt = matches!(kind, Some(ErrorKind::InvalidInput | ErrorKind::InvalidData));
    StreamStep::Broken(if spoilt || e.is_parse() { Outcome::Failed } else { Outcome::ConnectionLost })
}

impl EventStream for ServerEvents {
    fn poll_step(&mut self, cx: &mut Context<'_>) -> Poll<StreamStep> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(StreamStep::Event(first));
        }
        loop {
            match self.splitter.next() {
                Ok(Some(event)) => return Poll::Ready(self.event(event)),
                Ok(None) => {}
                Err(Unreadable) => return Poll::Ready(StreamStep::Broken(Outcome::Failed)),
            }
            if self.ended {
                if let Some(link) = self.link.take() {
                    self.pool.keep(&self.server, link);
                }
                return Poll::Ready(StreamStep::End);
            }
            match ready!(Pin::new(&mut self.body).poll_frame(cx)) {
                Some(Err(e)) => return Poll::Ready(broken(&e)),
                None if !self.framed => return Poll::Ready(StreamStep::Broken(Outcome::ConnectionLost)),
                None => {
                    self.ended = true;
                    if let Some(rest) = self.splitter.rest() {
                        return Poll::Ready(self.event(rest));
                    }
                }
                Some(Ok(frame)) => {
                    let data = frame.into_data().unwrap_or_default();
                    if self.splitter.push(&data).is_err() {
                        return Poll::Ready(StreamStep::Broken(Outcome::Failed));
                    }
                }
            }
        }
    }
}
