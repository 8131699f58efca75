//! Test doubles for outside systems, on loopback, for tests, measurements and local trials.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod http;
pub mod ledger;
pub mod link;
pub mod split;
