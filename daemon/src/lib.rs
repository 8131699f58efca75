//! The conductor's daemon: configuration, fronts, the way to the servers, and discovery. Fronts only
//! translate; what becomes of a request is settled in `frosttrail-core`.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod config;
pub mod discovery;
pub mod ending;
pub mod front;
pub mod listener_handover;
pub mod open_work_files;
pub mod ops;
pub mod reload;
pub mod snapshot_file;
pub mod state_dir;
mod tcp;
pub mod transient;
pub mod upstream;
