//! Stand-ins for outside systems, on loopback: for tests, measurements and first tries.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod link;
pub mod split;
