//! The operators' address: readiness, figures, and instances taken out of use by hand.

mod call;
mod conductor;
mod exclusion_store;
mod server;

pub use call::{CallError, Operations};
pub use conductor::ConductorOperations;
pub use exclusion_store::ExclusionStore;
pub use server::OpsServer;
