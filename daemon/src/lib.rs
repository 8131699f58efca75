//! The conductor's daemon: configuration, fronts for clients, connections to servers, service discovery and
//! operations. The fronts only translate between protocols; `frosttrail-core` decides how each request is
//! served.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod buffer_budget;
pub mod config;
pub mod discovery;
pub mod front;
pub mod listener_handover;
pub mod open_work_files;
pub mod ops;
pub mod reload;
pub mod request_id_locks;
pub mod shutdown;
pub mod snapshot_file;
pub mod state_dir;
mod tcp;
pub mod transient;
pub mod upstream;
mod uptime;
mod used_id_table;
