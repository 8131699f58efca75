//! The operators' HTTP server: readiness, metrics, and excluding instances from use.

mod call;
mod call_marks;
mod conductor;
mod exclusion_store;
mod server;

pub use call::{CallError, Operations};
pub use call_marks::{CallMarks, Mark};
pub use conductor::ConductorOperations;
pub use exclusion_store::ExclusionStore;
pub use server::OpsServer;
