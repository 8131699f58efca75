//! A randomized fault soak: runs real conductor processes on loopback among stub servers, discovery agents
//! and clients, injects overlapping faults, and checks rules on what servers and clients see. All times are
//! taken from this process's clock.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod agent;
mod bad_clients;
pub mod client;
pub mod conductor;
mod fault_injection;
pub mod oracle;
pub mod plan;
pub mod run;
pub mod server;
pub mod shim;
pub mod testbed;
