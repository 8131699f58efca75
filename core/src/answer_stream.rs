//! The stream of an answer that has begun: passes its events on and reports how it ends.

use std::future::Future;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use frosttrail::{Decision, Id, Outcome};
use prometheus::IntCounterVec;
use slog::{info, Logger};
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::command::Instruction;
use crate::metrics::outcome_label;
use crate::registration::Registration;
use crate::traits::{EventStream, StreamStep};

/// A stream without an event for this long has lost its server, as a machine that disappears closes no
/// connection. Comments don't count: a client is owed an event or the end. Less than the 5 s after which a
/// waiting client counts as abandoned.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(4_500);
/// Events that came while the client did not read lie in the server's socket. They get this long to arrive
/// once the client reads again. Together with the silence timeout this stays below those 5 s.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(250);

/// The stream ended before the answer was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the stream ended before the answer was complete")]
pub struct StreamBroken;

/// The events of an answer that has begun, passed on unchanged as they arrive. It ends well only if the
/// server's stream did; a break is an error, so that a front never completes such an answer.
#[derive(Debug)]
pub struct AnswerStream<E: EventStream> {
    registration: Option<Box<Registration>>,
    events: E,
    observer: StreamObserver,
    silence_timer: Pin<Box<tokio::time::Sleep>>,
    /// The client waits for the next event. While false, the client may not have read for some time.
    is_awaited: bool,
}

/// Logs and counts streams that end before their answer is complete.
#[derive(Debug)]
pub(crate) struct StreamObserver {
    server: Id,
    began_at: Instant,
    last_event_at: Instant,
    event_count: u64,
    cuts: IntCounterVec,
    log: Logger,
}

impl StreamObserver {
    /// Observes a stream of this server that begins now. `cuts` counts by the outcome of the attempt.
    pub(crate) fn new(server: Id, cuts: IntCounterVec, log: Logger) -> Self {
        let now = Instant::now();
        StreamObserver { server, began_at: now, last_event_at: now, event_count: 0, cuts, log }
    }

    fn record_event(&mut self) {
        self.event_count += 1;
        self.last_event_at = Instant::now();
    }

    fn record_cut(&self, request: &Id, outcome: Outcome) {
        self.cuts.with_label_values(&[outcome_label(outcome)]).inc();
        info!(self.log, "stream cut"; "id" => %request, "server" => %self.server,
            "why" => outcome_label(outcome), "events" => self.event_count,
            "after" => ?self.began_at.elapsed(), "since last event" => ?self.last_event_at.elapsed());
    }
}

/// Whether the dispatcher has moved the request off this stream. A final answer that crossed the first
/// event comes too late, as that event has made the stream the final answer. Reads every pending
/// instruction, so that the next one wakes the stream.
fn was_moved(instructions: &mut mpsc::UnboundedReceiver<Instruction>, cx: &mut Context<'_>) -> bool {
    while let Poll::Ready(instruction) = instructions.poll_recv(cx) {
        if instruction.is_none_or(|instruction| instruction.decision == Decision::Move) {
            return true;
        }
    }
    false
}

impl<E: EventStream> AnswerStream<E> {
    pub(crate) fn new(registration: Registration, events: E, observer: StreamObserver) -> Self {
        let silence_timer = Box::pin(tokio::time::sleep(SILENCE_TIMEOUT));
        let registration = Some(Box::new(registration));
        AnswerStream { registration, events, observer, silence_timer, is_awaited: false }
    }

    /// The next event; `None` after the end.
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, StreamBroken>>> {
        let Some(registration) = &mut self.registration else { return Poll::Ready(None) };
        let is_moved = was_moved(&mut registration.instructions, cx);
        let step = match self.events.poll_step(cx) {
            // The client resumes the answer elsewhere from here: no further event may pass, even one that
            // is ready.
            _ if is_moved => StreamStep::Broken(Outcome::Cancelled),
            Poll::Ready(step) => step,
            Poll::Pending => {
                if !std::mem::replace(&mut self.is_awaited, true) {
                    // The silence so far may be that of a client that did not read.
                    let earliest = Instant::now() + CATCH_UP_TIMEOUT;
                    if self.silence_timer.deadline() < earliest {
                        self.silence_timer.as_mut().reset(earliest);
                    }
                }
                // Reported for this attempt alone: a single stalled stream may be the fault of its answer,
                // and a server that has disappeared shows in its other attempts as well.
                ready!(self.silence_timer.as_mut().poll(cx));
                StreamStep::Broken(Outcome::NoAnswer)
            }
        };
        // A comment does not end the wait for an event.
        self.is_awaited &= matches!(step, StreamStep::Comment(_));
        Poll::Ready(match step {
            StreamStep::Event(bytes) => {
                self.observer.record_event();
                self.silence_timer.as_mut().reset(Instant::now() + SILENCE_TIMEOUT);
                Some(Ok(bytes))
            }
            StreamStep::Comment(bytes) => Some(Ok(bytes)),
            StreamStep::End => {
                registration.metrics.mark_answered();
                registration.release_claim(false);
                registration.report_ended(Outcome::Served, 0, None);
                self.registration = None;
                None
            }
            StreamStep::Broken(outcome) => {
                self.observer.record_cut(&registration.id, outcome);
                registration.report_ended(outcome, 0, None);
                self.registration = None;
                Some(Err(StreamBroken))
            }
        })
    }

    /// Whether the end of the stream, good or bad, has been returned.
    pub fn is_finished(&self) -> bool {
        self.registration.is_none()
    }
}

#[cfg(test)]
#[path = "../tests/unit/answer_stream.rs"]
mod tests;
