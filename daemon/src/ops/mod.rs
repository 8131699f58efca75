//! The operators' address: readiness, figures, and instances taken out of use by hand.

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
