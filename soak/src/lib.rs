//! A randomized fault soak: real conductor processes on loopback, stand-in servers, discovery agents and
//! clients around them, troubles that overlap, and the rules as the oracle. All clocks are this process's
//! own.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod agent;
pub mod client;
pub mod conductor;
pub mod oracle;
pub mod plan;
pub mod run;
pub mod server;
pub mod shim;
mod strike;
pub mod world;
