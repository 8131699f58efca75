//! Scheduling decisions for language-model servers that work in two stages: prefill servers compute the KV
//! cache of a prompt, decode servers stream the answer from it, and mixed servers do both.
//!
//! The crate does no input or output. The caller feeds events to a [`Router`] and carries out the returned
//! actions in order. The router has no clock: each event comes with the current time.
//!
//! ```
//! use frosttrail::{Action, Event, Health, ListUpdateKind, Query, Role, Router, ServerEntry, Settings};
//!
//! let settings = Settings {
//!     roles: vec![Role::Prefill, Role::Decode],
//!     memory_tokens: vec![200_000, 150_000],
//!     ..Settings::example()
//! };
//! let mut router = Router::new(settings, 7);
//! let mut actions = Vec::new();
//! let server = |name: &str, kind| ServerEntry {
//!     server: name.into(),
//!     rack: 0,
//!     kind,
//!     zone: 0,
//!     started: 0,
//!     health: Health::Up,
//! };
//! let entries = vec![server("10.0.0.1:9000", 0), server("10.0.0.2:9000", 1)];
//! router.handle(1_000, Event::Members { kind: ListUpdateKind::Full, entries }, &mut actions);
//! let query = Query {
//!     id: "request-1".into(),
//!     session: "session-1".into(),
//!     prefix: None,
//!     prefix_tokens: 0,
//!     prompt_tokens: 1_200,
//!     max_tokens: 200,
//!     class: Default::default(),
//!     tenant: None,
//!     budget: 5_000_000,
//!     is_client_retry: false,
//!     resumes_stream: false,
//! };
//! router.handle(2_000, Event::Query(query), &mut actions);
//! assert!(actions.iter().any(|action| matches!(action, Action::Send { .. })));
//! ```

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod admission;
mod facade;
mod guard;
mod hash;
mod interface;
mod rate;
mod scheduler;
pub mod setup;

pub use facade::{Decision, Decisions, Facade, Report};
pub use guard::{Guard, Violation};
pub use interface::*;
pub use scheduler::handover::{OpenWork, Snapshot};
pub use scheduler::Router;
