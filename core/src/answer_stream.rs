//! An answer that has begun: its events as they come, and how it ends.

use std::future::Future;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use frosttrail::{Decision, Outcome};
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::command::Instruction;
use crate::entry::Registration;
use crate::traits::{EventStream, StreamStep};

/// A stream that says nothing for this long has lost its server: a machine that vanished ends no
/// connection. Below the 5 s after which a waiting client counts as left waiting.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(4_500);
/// What came while the client took nothing lies in the server's socket, and has this long to come through
/// once the client takes events again. With the silence it stays below those 5 s.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(250);

/// A stream ended before the whole of the answer had come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the answer broke off")]
pub struct StreamBroken;

/// The events of an answer that has begun, unchanged and as they come. It ends well only where the
/// server's stream did; a break is an error, so that a front never completes it.
#[derive(Debug)]
pub struct AnswerStream<E: EventStream> {
    registration: Option<Box<Registration>>,
    events: E,
    silence_timer: Pin<Box<tokio::time::Sleep>>,
    /// The client waits for the next event; it took the last one a while ago, or just now.
    is_awaited: bool,
}

/// Whether the stream has been given to another. A final answer that crossed the first event comes too late:
/// that event is the final answer. All there is gets read, so that the next instruction wakes the stream.
fn was_moved(instructions: &mut mpsc::UnboundedReceiver<Instruction>, cx: &mut Context<'_>) -> bool {
    while let Poll::Ready(instruction) = instructions.poll_recv(cx) {
        if instruction.is_none_or(|instruction| instruction.decision == Decision::Move) {
            return true;
        }
    }
    false
}

impl<E: EventStream> AnswerStream<E> {
    pub(crate) fn new(registration: Registration, events: E) -> Self {
        let silence_timer = Box::pin(tokio::time::sleep(SILENCE_TIMEOUT));
        AnswerStream { registration: Some(Box::new(registration)), events, silence_timer, is_awaited: false }
    }

    /// The next events; `None` at the end.
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, StreamBroken>>> {
        let Some(registration) = &mut self.registration else { return Poll::Ready(None) };
        let is_moved = was_moved(&mut registration.instructions, cx);
        let step = match self.events.poll_step(cx) {
            // Another goes on from here: nothing more may come of this one, whatever lies ready.
            _ if is_moved => StreamStep::Broken(Outcome::Cancelled),
            Poll::Ready(step) => step,
            Poll::Pending => {
                if !std::mem::replace(&mut self.is_awaited, true) {
                    // What was silent for a while may have been the client.
                    let earliest = Instant::now() + CATCH_UP_TIMEOUT;
                    if self.silence_timer.deadline() < earliest {
                        self.silence_timer.as_mut().reset(earliest);
                    }
                }
                // One stream that stalls may be that answer's own fault; a server that has vanished shows in
                // others.
                ready!(self.silence_timer.as_mut().poll(cx));
                StreamStep::Broken(Outcome::NoAnswer)
            }
        };
        self.is_awaited = false;
        Poll::Ready(match step {
            StreamStep::Event(bytes) => {
                self.silence_timer.as_mut().reset(Instant::now() + SILENCE_TIMEOUT);
                Some(Ok(bytes))
            }
            StreamStep::End => {
                registration.metrics.mark_answered();
                registration.report_ended(Outcome::Served, 0, None);
                self.registration = None;
                None
            }
            StreamStep::Broken(outcome) => {
                registration.report_ended(outcome, 0, None);
                self.registration = None;
                Some(Err(StreamBroken))
            }
        })
    }

    /// True once the end, good or bad, has been given.
    pub fn is_finished(&self) -> bool {
        self.registration.is_none()
    }
}

#[cfg(test)]
#[path = "../tests/unit/answer_stream.rs"]
mod tests;
