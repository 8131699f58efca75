//! A conductor within a gRPC client's own process, with the same decisions and guarantees as the daemon, over
//! HTTP/2. `docs/design/rpc.md` describes its design.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod client;
pub mod members;
pub mod outcome;
pub mod upstream;

/// The compiled service definition.
#[allow(missing_docs, clippy::all)]
pub mod proto {
    tonic::include_proto!("frosttrail.r#box.v1");
}
