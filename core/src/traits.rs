//! The interfaces through which the core reaches servers and learns of members.

use std::future::Future;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use frosttrail::{Id, ListUpdateKind, LoadReport, Outcome, ServerEntry};

use crate::permit::SendPermit;

/// The result of an attempt, up to the first event of a stream.
#[derive(Debug)]
pub enum AttemptReply<E> {
    /// The prompt has been prefilled.
    PrefillDone {
        /// Prompt tokens that were in the server's cache.
        cached_tokens: u64,
        /// The server's load report, if it sent one.
        load: Option<LoadReport>,
    },
    /// The answer has begun, and its first event is ready.
    Stream(E),
    /// The attempt ended with this outcome and without either of the above.
    Ended(Outcome, Option<LoadReport>),
}

/// The next step of an answer that has begun.
#[derive(Debug, PartialEq)]
pub enum StreamStep {
    /// One whole event, unchanged.
    Event(Bytes),
    /// Bytes without an event, such as a comment. They are passed on, but the answer has made no progress.
    Comment(Bytes),
    /// The answer is complete.
    End,
    /// The stream broke off with this outcome.
    Broken(Outcome),
}

/// An answer that has begun. Dropping it ends the attempt.
pub trait EventStream: Send + Unpin + 'static {
    /// The next step. Not called again after [`StreamStep::End`] or [`StreamStep::Broken`].
    fn poll_step(&mut self, cx: &mut Context<'_>) -> Poll<StreamStep>;
}

/// The connection to the servers. Dropping a returned future cancels its call: the attempt's connection is
/// closed.
pub trait Upstream: Send + Sync + 'static {
    /// What is sent to a server: the request in the form of the front's protocol.
    type Call: Send + Sync + 'static;
    /// The stream of an answer.
    type Events: EventStream;

    /// Runs one attempt and never repeats it. Resolves with the end of the prefill, the first event or the
    /// outcome, after `timeout` at the latest. That limit is enforced here because only the connection knows
    /// whether a request that is given up had been written by then, and so whether it may run.
    ///
    /// `permit` must be checked right before the first byte is written, after all waits. An attempt that it
    /// withholds ends with [`Outcome::NotSent`].
    fn attempt(
        &self,
        server: &Id,
        request: &Id,
        call: &Self::Call,
        timeout: Duration,
        permit: &SendPermit,
    ) -> impl Future<Output = AttemptReply<Self::Events>> + Send;

    /// How long the end of an attempt may take to reach a server, as far as is known. Until it has arrived,
    /// the server counts the attempt as in flight. Zero if the connection gives no information.
    fn cancellation_delay(&self, _server: &Id) -> Duration {
        Duration::ZERO
    }

    /// Asks one server to free all that is held for the request; true once it has confirmed that.
    fn release(&self, server: &Id, request: &Id) -> impl Future<Output = bool> + Send;

    /// Probes one server.
    fn probe(&self, server: &Id) -> impl Future<Output = (Outcome, Option<LoadReport>)> + Send;
}

/// An update of the list of members.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipUpdate {
    /// What kind of update it is.
    pub kind: ListUpdateKind,
    /// The entries of the list.
    pub entries: Vec<ServerEntry>,
}

/// The source of the list of members.
pub trait MembershipSource: Send + 'static {
    /// Waits for the next update; `None` once the source has closed.
    fn next(&mut self) -> impl Future<Output = Option<MembershipUpdate>> + Send;
}
