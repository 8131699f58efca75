//! Requests, attempts and outcomes: what a conductor does with the decisions, whatever the wire.
//!
//! [`start`] takes the settings, something that reaches servers ([`Upstream`]) and a list of members
//! ([`MembershipSource`]), and gives a [`Conductor`]: a cheap handle that any front can call, and a
//! [`tower_service::Service`] for use as a client-side plug-in within an RPC library.
//!
//! Who owns what: one task owns the decisions ([`frosttrail::Facade`]); each request is one future
//! that owns its single final answer, its attempt and its entry at the owner. Dropping that future, as
//! a front does when its client has gone, drops the attempt, and the owner is told.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod answer_stream;
mod cache_clock;
mod clock;
mod command;
mod command_queue;
mod conductor;
mod dispatcher;
mod entry;
mod exclusion;
mod metrics;
mod permit;
mod reachability;
mod release;
mod request;
mod traits;

pub use answer_stream::{AnswerStream, StreamBroken};
pub use clock::Clock;
pub use conductor::{Conductor, ConductorParts, InheritedState};
pub use dispatcher::start;
pub use exclusion::{ExclusionError, Exclusions};
pub use metrics::Metrics;
pub use permit::{SendPermit, WithheldReason};
pub use request::{Answer, CallError, Request};
pub use traits::{AttemptReply, EventStream, MembershipSource, MembershipUpdate, StreamStep, Upstream};
