//! Runs client requests by the decisions of [`frosttrail`], independent of any wire protocol: requests,
//! their attempts and the outcomes.
//!
//! [`start`] takes the settings, an [`Upstream`] that reaches the servers and a [`MembershipSource`] that
//! lists them. It returns a [`Conductor`]: a handle that is cheap to clone and that any front can call. It
//! is also a [`tower_service::Service`], for use as a client-side plug-in of an RPC library.
//!
//! Ownership: one task, the dispatcher, owns the decisions ([`frosttrail::Facade`]). Each request is one
//! future that owns its single final answer, its attempt and its registration with the dispatcher. A front
//! drops that future when its client has gone; this cancels the attempt and notifies the dispatcher.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod answer_stream;
mod cache_clock;
mod clock;
mod command;
mod command_queue;
mod conductor;
mod dispatcher;
mod exclusion;
mod id_claim;
mod metrics;
mod permit;
mod reachability;
mod registration;
mod release;
mod request;
mod traits;
mod used_ids;

pub use answer_stream::{AnswerStream, StreamBroken};
pub use clock::Clock;
pub use conductor::{Conductor, ConductorParts, InheritedState};
pub use dispatcher::start;
pub use exclusion::{ExclusionError, Exclusions};
pub use id_claim::SharedIdClaims;
pub use metrics::Metrics;
pub use permit::{SendPermit, WithheldReason};
pub use request::{Answer, CallError, Request};
pub use traits::{AttemptReply, EventStream, MembershipSource, MembershipUpdate, StreamStep, Upstream};
pub use used_ids::{MAX_USED_IDS, USED_ID_TTL};
