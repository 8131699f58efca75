//! An answer that has begun: its events as they come, and how it ends.

use std::future::Future;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use frosttrail::{Decision, Outcome};
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::command::Order;
use crate::entry::Entry;
use crate::traits::{EventStream, StreamStep};

/// A stream that says nothing for this long has lost its server: a machine that vanished ends no
/// connection. Below the 5 s after which a waiting client counts as left waiting.
const SILENCE: Duration = Duration::from_millis(4_500);
/// What came while the client took nothing lies in the server's socket, and has this long to come through
/// once the client takes events again. With the silence it stays below those 5 s.
const CATCH_UP: Duration = Duration::from_millis(250);

/// A stream ended before the whole of the answer had come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the answer broke off")]
pub struct StreamBroken;

/// The events of an answer that has begun, unchanged and as they come. It ends well only where the
/// server's stream did; a break is an error, so that a front never completes it.
#[derive(Debug)]
pub struct AnswerStream<E: EventStream> {
    entry: Option<Box<Entry>>,
    events: E,
    silence: Pin<Box<tokio::time::Sleep>>,
    /// The client waits for the next event; it took the last one a while ago, or just now.
    awaited: bool,
}

/// Whether the stream has been given to another. A final answer that crossed the first event comes too late:
/// that event is the final answer. All there is gets read, so that the next order wakes the stream.
fn moved(orders: &mut mpsc::UnboundedReceiver<Order>, cx: &mut Context<'_>) -> bool {
    while let Poll::Ready(order) = orders.poll_recv(cx) {
        if order.is_none_or(|order| order.verdict == Decision::Move) {
            return true;
        }
    }
    false
}

impl<E: EventStream> AnswerStream<E> {
    pub(crate) fn new(entry: Entry, events: E) -> Self {
        let silence = Box::pin(tokio::time::sleep(SILENCE));
        AnswerStream { entry: Some(Box::new(entry)), events, silence, awaited: false }
    }

    /// The next events; `None` at the end.
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, StreamBroken>>> {
        let Some(entry) = &mut self.entry else { return Poll::Ready(None) };
        let moved = moved(&mut entry.orders, cx);
        let step = match self.events.poll_step(cx) {
            // Another goes on from here: nothing more may come of this one, whatever lies ready.
            _ if moved => StreamStep::Broken(Outcome::Cancelled),
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
                StreamStep::Broken(Outcome::NoAnswer)
            }
        };
        self.awaited = false;
        Poll::Ready(match step {
            StreamStep::Event(bytes) => {
                self.silence.as_mut().reset(Instant::now() + SILENCE);
                Some(Ok(bytes))
            }
            StreamStep::End => {
                entry.account.answered();
                entry.ended(Outcome::Served, 0, None);
                self.entry = None;
                None
            }
            StreamStep::Broken(outcome) => {
                entry.ended(outcome, 0, None);
                self.entry = None;
                Some(Err(StreamBroken))
            }
        })
    }

    /// True once the end, good or bad, has been given.
    pub fn is_finished(&self) -> bool {
        self.entry.is_none()
    }
}

#[cfg(test)]
#[path = "../tests/unit/answer_stream.rs"]
mod tests;
