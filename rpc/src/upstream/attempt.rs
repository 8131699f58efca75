//! One attempt, from its connection to its first message, and the answer whose stream that message starts.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use frosttrail::Outcome;
use frosttrail_core::{AttemptReply, EventStream, SendPermit, StreamStep};
use h2::client::ResponseFuture;
use http::{HeaderMap, Method, Request, StatusCode, Version};
use prost::Message;
use tokio::time::{timeout_at, Instant};

use super::connection::{ConnectionPool, StreamLease, StreamSlot};
use super::load_report;
use super::messages::{attempt_end, parse_status, MessageReader, StreamItem};
use crate::outcome::{outcome_of, AttemptEnd, StatusDetail};
use crate::proto;

const SERVICE_NAME: &str = "frosttrail.box.v1.ModelBox";

/// The outcome of an exchange that returned no message, and the server's load report if it sent one.
type ExchangeFailure = (Outcome, Option<proto::Load>);

/// Sends requests to one server.
pub(super) struct ServerClient {
    pub(super) address: SocketAddr,
    pub(super) pool: Arc<ConnectionPool>,
    pub(super) connect_timeout: Duration,
    /// Checked before a request is sent.
    pub(super) permit: SendPermit,
}

/// A request that has been sent, or whose sending was cut short by the server.
struct SentRequest {
    response: ResponseFuture,
    lease: StreamLease,
    /// Bytes that the socket had accepted when the last byte was queued; `None` before that.
    written_before_last_byte: Option<u64>,
}

impl SentRequest {
    /// Whether the last byte may have been written, which is assumed if it is unknown.
    fn may_be_written(&self) -> bool {
        self.written_before_last_byte
            .is_some_and(|written_before| self.lease.written_bytes.bytes() > written_before)
    }
}

/// The end of an attempt, and whether the whole request may have been written before it.
struct SendFailure {
    end: AttemptEnd,
    may_be_written: bool,
    load: Option<proto::Load>,
}

impl From<SendFailure> for ExchangeFailure {
    fn from(failure: SendFailure) -> ExchangeFailure {
        (outcome_of(failure.end, failure.may_be_written), failure.load)
    }
}

impl ServerClient {
    /// Sends a request to a prefill server.
    pub(super) async fn prefill(&self, encoded: Bytes, wait: Duration) -> AttemptReply<GrpcAnswer> {
        match self.call_unary::<proto::ReadDone>("Read", encoded, wait).await {
            Ok(done) => AttemptReply::PrefillDone {
                cached_tokens: done.cached_tokens,
                load: done.load.map(load_report),
            },
            Err((outcome, load)) => AttemptReply::Ended(outcome, load.map(load_report)),
        }
    }

    /// Sends a request to a decode server, and waits for the first message.
    pub(super) async fn decode(&self, encoded: Bytes, wait: Duration) -> AttemptReply<GrpcAnswer> {
        let started = self.exchange("Write", encoded, wait, |mut messages| async move {
            let first = decode_event(next_item(&mut messages).await)?;
            Ok((messages, first))
        });
        match started.await {
            Ok(((messages, first), slot)) => AttemptReply::Stream(GrpcAnswer::new(messages, first, slot)),
            Err((outcome, load)) => AttemptReply::Ended(outcome, load.map(load_report)),
        }
    }

    /// Sends a request that is answered with one message.
    pub(super) async fn call_unary<M: Message + Default>(
        &self,
        method: &str,
        encoded: Bytes,
        wait: Duration,
    ) -> Result<M, ExchangeFailure> {
        let answer = self.exchange(method, encoded, wait, |mut messages| async move {
            let message = match next_item(&mut messages).await? {
                StreamItem::Message(message) => {
                    M::decode(message).map_err(|_| (AttemptEnd::InvalidResponse, None))?
                }
                StreamItem::End(trailers) => return Err(end_without_message(&trailers)),
            };
            match next_item(&mut messages).await? {
                StreamItem::End(trailers) => match parse_status(&trailers) {
                    Some(Ok(())) => Ok(message),
                    Some(Err((detail, load))) => Err((AttemptEnd::Status(detail), load)),
                    None => Err((AttemptEnd::InvalidResponse, None)),
                },
                StreamItem::Message(_) => Err((AttemptEnd::InvalidResponse, None)),
            }
        });
        answer.await.map(|(message, _)| message)
    }

    /// Sends a request, and reads the response with `read`, for `wait` at most.
    async fn exchange<T, F>(
        &self,
        method: &str,
        encoded: Bytes,
        wait: Duration,
        read: impl FnOnce(MessageReader) -> F,
    ) -> Result<(T, StreamSlot), ExchangeFailure>
    where
        F: std::future::Future<Output = Result<T, (AttemptEnd, Option<proto::Load>)>>,
    {
        let deadline = Instant::now() + wait;
        let leasing = self.pool.lease_stream(self.address, self.connect_timeout);
        let Ok(Some(lease)) = timeout_at(deadline, leasing).await else {
            return Err((Outcome::NoConnection, None));
        };
        if self.permit.check().is_err() {
            return Err((Outcome::NotSent, None));
        }
        let mut sent = match timeout_at(deadline, self.send(lease, method, encoded, wait)).await {
            Ok(Ok(sent)) => sent,
            Ok(Err(failure)) => return Err(failure.into()),
            // The last byte was not queued yet.
            Err(_) => return Err((Outcome::NoConnection, None)),
        };
        let answering = async {
            let response = (&mut sent.response).await.map_err(|e| (attempt_end(&e), None))?;
            let (head, body) = response.into_parts();
            if let Some(Err((detail, load))) = parse_status(&head.headers) {
                return Err((AttemptEnd::Status(detail), load));
            }
            let is_grpc = head
                .headers
                .get("content-type")
                .is_some_and(|t| t.as_bytes().starts_with(b"application/grpc"));
            if head.status != StatusCode::OK || !is_grpc {
                return Err((AttemptEnd::InvalidResponse, None));
            }
            read(MessageReader::new(body)).await
        };
        let answered = timeout_at(deadline, answering).await.unwrap_or(Err((AttemptEnd::Timeout, None)));
        match answered {
            Ok(value) => Ok((value, sent.lease.slot)),
            Err((end, load)) => {
                if matches!(end, AttemptEnd::ExcludedByGoaway | AttemptEnd::ConnectionFailed) {
                    self.pool.remove(&sent.lease.written_bytes);
                }
                Err(SendFailure { end, may_be_written: sent.may_be_written(), load }.into())
            }
        }
    }

    /// Queues the whole request.
    async fn send(
        &self,
        lease: StreamLease,
        method: &str,
        encoded: Bytes,
        wait: Duration,
    ) -> Result<SentRequest, SendFailure> {
        let unwritten = |end| SendFailure { end, may_be_written: false, load: None };
        let mut ready = match lease.sender.clone().ready().await {
            Ok(ready) => ready,
            Err(_) => {
                self.pool.remove(&lease.written_bytes);
                return Err(unwritten(AttemptEnd::ConnectionFailed));
            }
        };
        let request = Request::builder()
            .method(Method::POST)
            .version(Version::HTTP_2)
            .uri(format!("http://{}/{SERVICE_NAME}/{method}", self.address))
            .header("content-type", "application/grpc")
            .header("te", "trailers")
            .header("grpc-timeout", format!("{}m", wait.as_millis().min(99_999_999)))
            .body(());
        let Ok(request) = request else { return Err(unwritten(AttemptEnd::InvalidResponse)) };
        let (response, mut stream) =
            ready.send_request(request, false).map_err(|e| unwritten(attempt_end(&e)))?;
        let mut sent = SentRequest { response, lease, written_before_last_byte: None };
        let mut remaining = encoded;
        while !remaining.is_empty() {
            stream.reserve_capacity(remaining.len());
            let capacity = match poll_fn(|cx| stream.poll_capacity(cx)).await {
                Some(Ok(capacity)) => capacity,
                Some(Err(e)) => return Err(unwritten(attempt_end(&e))),
                // The stream was reset or closed; awaiting the response returns the reason.
                None => return Ok(sent),
            };
            let chunk = remaining.split_to(capacity.min(remaining.len()));
            if remaining.is_empty() {
                sent.written_before_last_byte = Some(sent.lease.written_bytes.bytes());
            }
            if stream.send_data(chunk, remaining.is_empty()).is_err() {
                return Ok(sent);
            }
        }
        Ok(sent)
    }
}

async fn next_item(messages: &mut MessageReader) -> Result<StreamItem, (AttemptEnd, Option<proto::Load>)> {
    poll_fn(|cx| messages.poll_next(cx)).await.map_err(|end| (end, None))
}

fn decode_event(
    item: Result<StreamItem, (AttemptEnd, Option<proto::Load>)>,
) -> Result<proto::Event, (AttemptEnd, Option<proto::Load>)> {
    match item? {
        StreamItem::Message(message) => {
            proto::Event::decode(message).map_err(|_| (AttemptEnd::InvalidResponse, None))
        }
        StreamItem::End(trailers) => Err(end_without_message(&trailers)),
    }
}

/// Returns the end of an exchange without a message. A status of success is a failure too.
fn end_without_message(trailers: &HeaderMap) -> (AttemptEnd, Option<proto::Load>) {
    match parse_status(trailers) {
        Some(Err((detail, load))) => (AttemptEnd::Status(detail), load),
        Some(Ok(())) => (AttemptEnd::Status(StatusDetail::Unspecified), None),
        None => (AttemptEnd::InvalidResponse, None),
    }
}

/// An answer that has started. Dropping it resets its stream.
#[derive(Debug)]
pub struct GrpcAnswer {
    messages: MessageReader,
    first: Option<proto::Event>,
    /// Whether the last event has arrived, so that only the trailers may follow.
    has_last_event: bool,
    _slot: StreamSlot,
}

impl GrpcAnswer {
    fn new(messages: MessageReader, first: proto::Event, slot: StreamSlot) -> Self {
        GrpcAnswer { messages, first: Some(first), has_last_event: false, _slot: slot }
    }

    fn accept_event(&mut self, event: proto::Event) -> StreamStep {
        if self.has_last_event {
            return StreamStep::Broken(Outcome::Failed);
        }
        self.has_last_event = event.last;
        StreamStep::Event(event.body.into())
    }
}

impl EventStream for GrpcAnswer {
    fn poll_step(&mut self, cx: &mut Context<'_>) -> Poll<StreamStep> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(self.accept_event(first));
        }
        Poll::Ready(match ready!(self.messages.poll_next(cx)) {
            Ok(StreamItem::Message(message)) => match proto::Event::decode(message) {
                Ok(event) => self.accept_event(event),
                Err(_) => StreamStep::Broken(Outcome::Failed),
            },
            Ok(StreamItem::End(trailers)) => match parse_status(&trailers) {
                // An answer is complete only if its last event has arrived.
                Some(Ok(())) if self.has_last_event => StreamStep::End,
                _ => StreamStep::Broken(Outcome::Failed),
            },
            Err(end) => StreamStep::Broken(outcome_of(end, true)),
        })
    }
}
