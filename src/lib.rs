//! The decisions of a router for language-model servers that work in two stages: readers
//! (prefill) read prompts, writers (decode) stream answers, mixed servers do both.
//!
//! The crate does no input or output. Feed a [`Router`] events, carry out the actions it gives
//! back, in order. It keeps no clock: time is what the caller says.
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
//! router.handle(1_000, Event::Members { form: ListUpdateKind::Full, entries }, &mut actions);
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
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { .. })));
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
