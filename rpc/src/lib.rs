//! The conductor inside a gRPC client's own process: the same choices and promises as the daemon's, over
//! HTTP/2. `docs/design/rpc.md` says how it is made.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod client;
pub mod members;
pub mod outcome;
pub mod upstream;

/// The service's definition, compiled.
#[allow(missing_docs, clippy::all)]
pub mod proto {
    tonic::include_proto!("frosttrail.r#box.v1");
}
