//! Transfers KV caches from the prefill server that computed them to the decode server that needs them.
//!
//! A KV cache travels in chunks. Each chunk is verified on arrival, a transfer resumes after a lost
//! connection, and exactly one side owns the cache at any moment. `docs/transfer.md` describes the protocol
//! and the service, `docs/design/transfer.md` explains the design.
//!
//! [`sender`], [`receiver`], [`lease`], [`link_scheduler`] and [`memory_budget`] are state machines without
//! I/O and without a clock; [`wire`] encodes and decodes frames; [`service`] runs the state machines on
//! sockets.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod cause;
mod grant_tracker;
pub mod lease;
pub mod link_scheduler;
pub mod memory_budget;
pub mod proof;
pub mod receiver;
pub mod sender;
pub mod service;
pub mod wire;

/// Microseconds on a monotonic clock that starts with the process.
pub type Micros = u64;

/// Identifies a process; a new value is chosen at each start, so a restarted process has another one.
pub type Incarnation = u64;

/// Identifies a connection within this process; never reused.
pub type ConnectionId = u64;

/// Identifies a transfer within the receiver's process, which chooses it; never reused.
pub type TransferToken = u64;

/// Time limits of transfers, in microseconds. Both ends of a connection should use the same values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// How long a KV cache is held while no receiver has claimed it, or since its receiver was last active.
    /// Below one second by a margin for timers and frames in flight, so that memory is free within a second.
    pub hold_ttl: Micros,
    /// Limit for a whole transfer, from the receiver's first claim on.
    pub transfer_timeout: Micros,
    /// Interval between heartbeats on a connection that carries transfers.
    pub heartbeat_interval: Micros,
    /// A connection that carries transfers counts as lost once nothing has arrived on it for this long.
    pub silence_timeout: Micros,
}

impl Default for Timeouts {
    fn default() -> Self {
        Timeouts {
            hold_ttl: 900_000,
            transfer_timeout: 30_000_000,
            heartbeat_interval: 100_000,
            silence_timeout: 400_000,
        }
    }
}
