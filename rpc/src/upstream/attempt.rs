//! One attempt, from its connection to its first message, and the answer that it may become.

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

use super::connection::{Lent, Place, Pool};
use super::load_of;
use super::messages::{end_of, status, Messages, Next};
use crate::outcome::{outcome, End, Said};
use crate::proto;

const SERVICE: &str = "frosttrail.box.v1.ModelBox";

/// How an exchange ended that brought no message, and the server's load report, if it sent one.
type Ended = (Outcome, Option<proto::Load>);

/// Calls to one server.
pub(super) struct Calls {
    pub(super) at: SocketAddr,
    pub(super) pool: Arc<Pool>,
    pub(super) connect: Duration,
    /// Asked before a call is sent.
    pub(super) permit: SendPermit,
}

/// What is known of a stream while it is out.
struct Sent {
    response: ResponseFuture,
    lent: Lent,
    /// What the socket had taken when the last byte was queued; `None` before that.
    queued: Option<u64>,
}

impl Sent {
    /// Where it can't be told, it was written.
    fn written(&self) -> bool {
        self.queued.is_some_and(|queued| self.lent.taken.bytes() > queued)
    }
}

/// An end, and whether all of the request had been written by then.
struct Failure {
    end: End,
    written: bool,
    load: Option<proto::Load>,
}

impl From<Failure> for Ended {
    fn from(failure: Failure) -> Ended {
        (outcome(failure.end, failure.written), failure.load)
    }
}

impl Calls {
    /// To a reader.
    pub(super) async fn read(&self, framed: Bytes, wait: Duration) -> AttemptReply<Answer> {
        match self.unary::<proto::ReadDone>("Read", framed, wait).await {
            Ok(done) => {
                AttemptReply::PrefillDone { cached_tokens: done.cached_tokens, load: done.load.map(load_of) }
            }
            Err((outcome, load)) => AttemptReply::Ended(outcome, load.map(load_of)),
        }
    }

    /// To a writer: until the first message.
    pub(super) async fn write(&self, framed: Bytes, wait: Duration) -> AttemptReply<Answer> {
        let begun = self.exchange("Write", framed, wait, |mut messages| async move {
            let first = event(next(&mut messages).await)?;
            Ok((messages, first))
        });
        match begun.await {
            Ok(((messages, first), place)) => AttemptReply::Stream(Answer::new(messages, first, place)),
            Err((outcome, load)) => AttemptReply::Ended(outcome, load.map(load_of)),
        }
    }

    /// One message each way.
    pub(super) async fn unary<M: Message + Default>(
        &self,
        method: &str,
        framed: Bytes,
        wait: Duration,
    ) -> Result<M, Ended> {
        let answered = self.exchange(method, framed, wait, |mut messages| async move {
            let message = match next(&mut messages).await? {
                Next::Message(message) => M::decode(message).map_err(|_| (End::NoGrpc, None))?,
                Next::End(trailers) => return Err(no_message(&trailers)),
            };
            match next(&mut messages).await? {
                Next::End(trailers) => match status(&trailers) {
                    Some(Ok(())) => Ok(message),
                    Some(Err((said, load))) => Err((End::Status(said), load)),
                    None => Err((End::NoGrpc, None)),
                },
                Next::Message(_) => Err((End::NoGrpc, None)),
            }
        });
        answered.await.map(|(message, _)| message)
    }

    /// Sends a request and reads what comes back, as `read` says, until `wait` is over.
    async fn exchange<T, F>(
        &self,
        method: &str,
        framed: Bytes,
        wait: Duration,
        read: impl FnOnce(Messages) -> F,
    ) -> Result<(T, Place), Ended>
    where
        F: std::future::Future<Output = Result<T, (End, Option<proto::Load>)>>,
    {
        let end = Instant::now() + wait;
        let lending = self.pool.lend(self.at, self.connect);
        let Ok(Some(lent)) = timeout_at(end, lending).await else {
            return Err((Outcome::NoConnection, None));
        };
        if self.permit.check().is_err() {
            return Err((Outcome::NotSent, None));
        }
        let mut sent = match timeout_at(end, self.send(lent, method, framed, wait)).await {
            Ok(Ok(sent)) => sent,
            Ok(Err(failure)) => return Err(failure.into()),
            // The last byte was not even queued.
            Err(_) => return Err((Outcome::NoConnection, None)),
        };
        let answering = async {
            let response = (&mut sent.response).await.map_err(|e| (end_of(&e), None))?;
            let (head, body) = response.into_parts();
            if let Some(Err((said, load))) = status(&head.headers) {
                return Err((End::Status(said), load));
            }
            let grpc = head
                .headers
                .get("content-type")
                .is_some_and(|t| t.as_bytes().starts_with(b"application/grpc"));
            if head.status != StatusCode::OK || !grpc {
                return Err((End::NoGrpc, None));
            }
            read(Messages::new(body)).await
        };
        let answered = timeout_at(end, answering).await.unwrap_or(Err((End::Time, None)));
        match answered {
            Ok(got) => Ok((got, sent.lent.place)),
            Err((end, load)) => {
                if matches!(end, End::BehindGoaway | End::Connection) {
                    self.pool.forget(&sent.lent.taken);
                }
                Err(Failure { end, written: sent.written(), load }.into())
            }
        }
    }

    /// Queues all of a request.
    async fn send(&self, lent: Lent, method: &str, framed: Bytes, wait: Duration) -> Result<Sent, Failure> {
        let unwritten = |end| Failure { end, written: false, load: None };
        let mut ready = match lent.send.clone().ready().await {
            Ok(ready) => ready,
            Err(_) => {
                self.pool.forget(&lent.taken);
                return Err(unwritten(End::Connection));
            }
        };
        let request = Request::builder()
            .method(Method::POST)
            .version(Version::HTTP_2)
            .uri(format!("http://{}/{SERVICE}/{method}", self.at))
            .header("content-type", "application/grpc")
            .header("te", "trailers")
            .header("grpc-timeout", format!("{}m", wait.as_millis().min(99_999_999)))
            .body(());
        let Ok(request) = request else { return Err(unwritten(End::NoGrpc)) };
        let (response, mut stream) = ready.send_request(request, false).map_err(|e| unwritten(end_of(&e)))?;
        let mut sent = Sent { response, lent, queued: None };
        let mut rest = framed;
        while !rest.is_empty() {
            stream.reserve_capacity(rest.len());
            let capacity = match poll_fn(|cx| stream.poll_capacity(cx)).await {
                Some(Ok(capacity)) => capacity,
                Some(Err(e)) => return Err(unwritten(end_of(&e))),
                // Reset, or closed: the head tells why.
                None => return Ok(sent),
            };
            let piece = rest.split_to(capacity.min(rest.len()));
            if rest.is_empty() {
                sent.queued = Some(sent.lent.taken.bytes());
            }
            if stream.send_data(piece, rest.is_empty()).is_err() {
                return Ok(sent);
            }
        }
        Ok(sent)
    }
}

async fn next(messages: &mut Messages) -> Result<Next, (End, Option<proto::Load>)> {
    poll_fn(|cx| messages.poll_next(cx)).await.map_err(|end| (end, None))
}

fn event(next: Result<Next, (End, Option<proto::Load>)>) -> Result<proto::Event, (End, Option<proto::Load>)> {
    match next? {
        Next::Message(message) => proto::Event::decode(message).map_err(|_| (End::NoGrpc, None)),
        Next::End(trailers) => Err(no_message(&trailers)),
    }
}

/// It ended without a message: a good status is no answer either.
fn no_message(trailers: &HeaderMap) -> (End, Option<proto::Load>) {
    match status(trailers) {
        Some(Err((said, load))) => (End::Status(said), load),
        Some(Ok(())) => (End::Status(Said::Nothing), None),
        None => (End::NoGrpc, None),
    }
}

/// An answer that has begun. Dropping it resets its stream.
#[derive(Debug)]
pub struct Answer {
    messages: Messages,
    first: Option<proto::Event>,
    /// The last event has come; the trailers are to follow.
    last: bool,
    _place: Place,
}

impl Answer {
    fn new(messages: Messages, first: proto::Event, place: Place) -> Self {
        Answer { messages, first: Some(first), last: false, _place: place }
    }

    fn step(&mut self, event: proto::Event) -> StreamStep {
        if self.last {
            return StreamStep::Broken(Outcome::Failed);
        }
        self.last = event.last;
        StreamStep::Event(event.body.into())
    }
}

impl EventStream for Answer {
    fn poll_step(&mut self, cx: &mut Context<'_>) -> Poll<StreamStep> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(self.step(first));
        }
        Poll::Ready(match ready!(self.messages.poll_next(cx)) {
            Ok(Next::Message(message)) => match proto::Event::decode(message) {
                Ok(event) => self.step(event),
                Err(_) => StreamStep::Broken(Outcome::Failed),
            },
            Ok(Next::End(trailers)) => match status(&trailers) {
                // Only an answer whose last event has come is whole.
                Some(Ok(())) if self.last => StreamStep::End,
                _ => StreamStep::Broken(Outcome::Failed),
            },
            Err(end) => StreamStep::Broken(outcome(end, true)),
        })
    }
}
