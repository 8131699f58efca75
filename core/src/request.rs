//! One request: a future that owns its single final answer.

use std::future::Future;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use frosttrail::{Id, Load, Micros, Outcome, Query, Report, Verdict};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout, Instant};

use crate::conductor::Conductor;
use crate::figures::Account;
use crate::owner::{Message, Order, Ticket};
use crate::permit::SendPermit;
use crate::traits::{Events, Reply, Step, Upstream};

/// A stream that says nothing for this long has lost its server: a machine that vanished ends no
/// connection. Below the 5 s after which a waiting client counts as left waiting.
const SILENCE: Duration = Duration::from_millis(4_500);
/// What came while the client took nothing lies in the server's socket, and has this long to come through
/// once the client takes events again. With the silence it stays below those 5 s.
const CATCH_UP: Duration = Duration::from_millis(250);

/// A client's request as a front hands it over.
#[derive(Debug)]
pub struct Request<C> {
    /// What the decisions know of it.
    pub query: Query,
    /// What goes to the servers.
    pub call: C,
}

/// The final answer of a request.
#[derive(Debug)]
pub enum Answer<E: Events> {
    /// Served: the events of one server's stream.
    Served(AnswerStream<E>),
    /// Refused: trying again is harmless.
    Refused {
        /// How long the client should stay away; zero for no advice.
        retry_after: Duration,
        /// How the last attempt had ended, if there was one.
        last: Option<Outcome>,
    },
    /// Failed: it may have run.
    Failed {
        /// The last outcome, if there was one.
        last: Option<Outcome>,
    },
}

/// Why a request was not taken at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// Its id is that of a request that has not ended.
    #[error("a request with this id has not ended yet")]
    IdInUse,
}

/// A stream ended before the whole of the answer had come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the answer broke off")]
pub struct Broken;

/// A request's place at the owner. Whatever way the request ends, dropping the seat is the last word on
/// it: an attempt that is still out is called off and what is held is let go.
#[derive(Debug)]
struct Seat {
    id: Id,
    ticket: Ticket,
    verdicts: mpsc::UnboundedReceiver<Order>,
    tell: mpsc::UnboundedSender<Message>,
    account: Account,
}

impl Seat {
    fn report(&self, report: Report) {
        // The owner runs for as long as there is a sender, and this is one.
        let _ = self.tell.send(Message::Report(self.id.clone(), self.ticket, report));
    }

    fn ended(&self, outcome: Outcome, kept_tokens: u64, load: Option<Load>) {
        self.report(Report::Ended { outcome, kept_tokens, load });
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.report(Report::Left);
    }
}

/// An attempt as it has been decided.
struct Prepared {
    /// Resolves once the release before it has ended.
    after: Option<oneshot::Receiver<()>>,
    permit: SendPermit,
    stop_at: Micros,
}

/// What an attempt leaves to be done.
enum Next<E> {
    Stream(E),
    /// The outcome has been reported; more verdicts follow.
    Again(Outcome),
    /// The decisions have ended it while it was out.
    Order(Order),
}

impl<B: Upstream> Conductor<B> {
    /// Takes a request to its final answer. Dropping the future gives the request up.
    pub async fn call(&self, request: Request<B::Call>) -> Result<Answer<B::Events>, CallError> {
        let Request { query, call } = request;
        let (to_seat, verdicts) = mpsc::unbounded_channel();
        let ticket = self.ticket();
        let account = self.figures.open(&query.class.name);
        let mut seat = Seat { id: query.id.clone(), ticket, verdicts, tell: self.tell.clone(), account };
        // Cannot fail: the owner runs for as long as there is a handle.
        let _ = self.tell.send(Message::Pick(query, ticket, to_seat));
        let mut next = seat.verdicts.recv().await;
        if next.is_none() {
            seat.account.not_taken();
            return Err(CallError::IdInUse);
        }
        let mut last = None;
        while let Some(Order { verdict, after, permit }) = next {
            next = match verdict {
                Verdict::Send { server, stop_at, .. } => {
                    let prepared = Prepared { after, permit, stop_at };
                    match self.attempt(&mut seat, &server, prepared, &call).await {
                        Next::Stream(events) => return Ok(Answer::Served(AnswerStream::new(seat, events))),
                        Next::Order(order) => Some(order),
                        Next::Again(outcome) => {
                            last = Some(outcome);
                            seat.verdicts.recv().await
                        }
                    }
                }
                Verdict::Refuse { retry_after } => {
                    seat.account.deferred();
                    return Ok(Answer::Refused { retry_after: Duration::from_micros(retry_after), last });
                }
                Verdict::Fail => return Ok(Answer::Failed { last }),
                // Nothing is out, nothing runs; the owner sees to releases itself.
                Verdict::Cancel | Verdict::Move | Verdict::Release => seat.verdicts.recv().await,
            };
        }
        Ok(Answer::Failed { last })
    }

    /// One attempt, until it ends, by its time at the latest, or the decisions end it. What was held for the
    /// request before is let go first: a late release would take what this attempt leaves.
    async fn attempt(
        &self,
        seat: &mut Seat,
        server: &Id,
        Prepared { after, permit, stop_at }: Prepared,
        call: &B::Call,
    ) -> Next<B::Events> {
        let reply = {
            let id = seat.id.clone();
            let attempt = async {
                if let Some(released) = after {
                    // An error is an end too: the task that has it has gone.
                    let _ = timeout(self.release_wait(), released).await;
                }
                if permit.check().is_err() {
                    return Reply::Ended(Outcome::NotSent, None);
                }
                let wait = Duration::from_micros(stop_at.saturating_sub(self.clock.now()));
                self.upstream.attempt(server, &id, call, wait, &permit).await
            };
            // What has been decided stands, also where a reply lies ready beside it: the decisions have let
            // go of the request, and what would begin to stream now might be cut by the conductor's end.
            tokio::select! {
                biased;
                order = seat.verdicts.recv() => Err(order),
                reply = attempt => Ok(reply),
            }
        };
        let ended_here = match &reply {
            Ok(Reply::Ended(outcome, _)) => {
                matches!(outcome, Outcome::NoAnswer | Outcome::Failed | Outcome::CalledOff)
            }
            Ok(_) => false,
            Err(_) => true,
        };
        if ended_here {
            // Neither another attempt nor an answer may overtake its end.
            let takes = self.upstream.end_takes(server);
            if !takes.is_zero() {
                sleep(takes).await;
            }
        }
        let reply = match reply {
            Ok(reply) => reply,
            Err(None | Some(Order { verdict: Verdict::Cancel, .. })) => {
                Reply::Ended(Outcome::CalledOff, None)
            }
            Err(Some(order)) => return Next::Order(order),
        };
        match reply {
            Reply::Stream(events) => {
                seat.report(Report::Started);
                Next::Stream(events)
            }
            Reply::Read { kept_tokens, load } => {
                seat.ended(Outcome::ReadDone, kept_tokens, load);
                Next::Again(Outcome::ReadDone)
            }
            Reply::Ended(outcome, load) => {
                seat.ended(outcome, 0, load);
                Next::Again(outcome)
            }
        }
    }
}

/// The events of an answer that has begun, unchanged and as they come. It ends well only where the
/// server's stream did; a break is an error, so that a front never completes it.
#[derive(Debug)]
pub struct AnswerStream<E: Events> {
    seat: Option<Seat>,
    events: E,
    silence: Pin<Box<tokio::time::Sleep>>,
    /// The client waits for the next event; it took the last one a while ago, or just now.
    awaited: bool,
}

/// Whether the stream has been given to another. A final answer that crossed the first event comes too late:
/// that event is the final answer. All there is gets read, so that the next order wakes the stream.
fn moved(verdicts: &mut mpsc::UnboundedReceiver<Order>, cx: &mut Context<'_>) -> bool {
    while let Poll::Ready(order) = verdicts.poll_recv(cx) {
        if order.is_none_or(|order| order.verdict == Verdict::Move) {
            return true;
        }
    }
    false
}

impl<E: Events> AnswerStream<E> {
    fn new(seat: Seat, events: E) -> Self {
        let silence = Box::pin(tokio::time::sleep(SILENCE));
        AnswerStream { seat: Some(seat), events, silence, awaited: false }
    }

    /// The next events; `None` at the end.
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Broken>>> {
        let Some(seat) = &mut self.seat else { return Poll::Ready(None) };
        let moved = moved(&mut seat.verdicts, cx);
        let step = match self.events.poll_step(cx) {
            // Another goes on from here: nothing more may come of this one, whatever lies ready.
            _ if moved => Step::Broken(Outcome::CalledOff),
            Poll::Ready(step) => step,
            Poll::Pending => {
                if !std::mem::replace(&mut self.awaited, true) {
                    // What was silent for a while may have been the client.
                    let soonest = Instant::now() + CATCH_UP;
                    if self.silence.deadline() < soonest {
                        self.silence.as_mut().reset(soonest);
                    }
                }
                // One stream that stalls may be that answer's own fault; a server that has vanished shows in
                // others.
                ready!(self.silence.as_mut().poll(cx));
                Step::Broken(Outcome::NoAnswer)
            }
        };
        self.awaited = false;
        Poll::Ready(match step {
            Step::Data(bytes) => {
                self.silence.as_mut().reset(Instant::now() + SILENCE);
                Some(Ok(bytes))
            }
            Step::End => {
                seat.account.answered();
                seat.ended(Outcome::Served, 0, None);
                self.seat = None;
                None
            }
            Step::Broken(outcome) => {
                seat.ended(outcome, 0, None);
                self.seat = None;
                Some(Err(Broken))
            }
        })
    }

    /// True once the end, good or bad, has been given.
    pub fn is_over(&self) -> bool {
        self.seat.is_none()
    }
}

impl<B: Upstream> tower_service::Service<Request<B::Call>> for Conductor<B> {
    type Response = Answer<B::Events>;
    type Error = CallError;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, CallError>> + Send>>;

    /// Always ready: what to hold and for how long is the decisions' part.
    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), CallError>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<B::Call>) -> Self::Future {
        let conductor = self.clone();
        Box::pin(async move { Conductor::call(&conductor, request).await })
    }
}

#[cfg(test)]
#[path = "../tests/unit/request.rs"]
mod tests;
