//! What the core asks of the wires at either end.

use std::future::Future;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use frosttrail::{Id, ListUpdateKind, LoadReport, Outcome, ServerEntry};

use crate::permit::SendPermit;

/// What came of an attempt, up to the first event of a stream.
#[derive(Debug)]
pub enum AttemptReply<E> {
    /// The prompt is read; so many of its tokens were found kept.
    PrefillDone {
        /// Prompt tokens that the reader still had.
        cached_tokens: u64,
        /// Its load report, if one came along.
        load: Option<LoadReport>,
    },
    /// The answer has begun: its first event is there.
    Stream(E),
    /// It ended without either.
    Ended(Outcome, Option<LoadReport>),
}

/// What comes next in an answer that has begun.
#[derive(Debug, PartialEq)]
pub enum StreamStep {
    /// One event as it came, whole.
    Event(Bytes),
    /// The whole of the answer has come.
    End,
    /// It broke off, and this is how.
    Broken(Outcome),
}

/// An answer that has begun. Dropping it ends the attempt.
pub trait EventStream: Send + Unpin + 'static {
    /// The next step; not called again after [`StreamStep::End`] or [`StreamStep::Broken`].
    fn poll_step(&mut self, cx: &mut Context<'_>) -> Poll<StreamStep>;
}

/// The way to the servers. Dropping a future that it returned ends what that future did: the attempt's
/// connection is closed.
pub trait Upstream: Send + Sync + 'static {
    /// What travels to a server: the request as the front's wire has it.
    type Call: Send + Sync + 'static;
    /// Answers.
    type Events: EventStream;

    /// One attempt, never repeated: it resolves with the read's end, the first event or the outcome, and
    /// after `wait` at the latest. Only the way to a server knows whether a request that was given up by then
    /// had been written, and so whether it may run, so this clock is kept there.
    ///
    /// `permit` is to be asked directly before the first byte is written, after all waits; an attempt that it
    /// withholds ends with [`Outcome::NotSent`].
    fn attempt(
        &self,
        server: &Id,
        request: &Id,
        call: &Self::Call,
        wait: Duration,
        permit: &SendPermit,
    ) -> impl Future<Output = AttemptReply<Self::Events>> + Send;

    /// How long the end of an attempt may be on its way to a server. Until it has arrived, the server
    /// counts the attempt as out. As far as is known: zero where the way says nothing.
    fn cancellation_delay(&self, _server: &Id) -> Duration {
        Duration::ZERO
    }

    /// Asks one server to let go of all that is held for the request; true once it has said so.
    fn release(&self, server: &Id, request: &Id) -> impl Future<Output = bool> + Send;

    /// Probes one server.
    fn probe(&self, server: &Id) -> impl Future<Output = (Outcome, Option<LoadReport>)> + Send;
}

/// News of the list of members.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipUpdate {
    /// What kind of news.
    pub kind: ListUpdateKind,
    /// The lines.
    pub entries: Vec<ServerEntry>,
}

/// Where the list of members comes from.
pub trait MembershipSource: Send + 'static {
    /// The next news; pends for as long as there are none. `None`: the source has closed.
    fn next(&mut self) -> impl Future<Output = Option<MembershipUpdate>> + Send;
}
