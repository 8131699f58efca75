//! The operators' HTTP server: readiness, metrics, and excluding instances from use.

mod call;
mod call_tracker;
mod conductor;
mod exclusion_store;
mod server;

pub use call::{CallError, Operations};
pub use call_tracker::{CallTracker, Checkpoint};
pub use conductor::ConductorOperations;
pub use exclusion_store::ExclusionStore;
pub use server::OpsServer;
