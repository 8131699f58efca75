//! Moves read state from the server that read a prompt to the server that writes the answer: in chunks, each
//! proven before it counts, resumed after a cut, and owned by one side at any moment. `docs/transfer.md`
//! describes the wire and the service, `docs/design/transfer.md` says why it is made this way.
//!
//! [`sender`], [`receiver`], [`lease`], [`link`] and [`memory`] decide and know neither sockets nor clocks;
//! [`wire`] is bytes only; [`service`] carries out.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod cause;
pub mod lease;
pub mod link;
pub mod memory;
pub mod proof;
pub mod receiver;
pub mod sender;
pub mod service;
pub mod wire;

/// Microseconds on a monotonic clock whose zero is the process's own.
pub type Micros = u64;

/// Names the process at the other end of a connection: drawn anew at each start.
pub type Incarnation = u64;

/// Names a connection within this process; never used twice.
pub type ConnectionId = u64;

/// Names one taker's move within the taker's process; never used twice.
pub type TransferToken = u64;

/// How long things may last, in microseconds. Both ends of a link should be set alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// A state that nobody takes, or whose taker has not been heard of, is kept this long: under a second
    /// by the time that timers and the last frames may take.
    pub hold_ttl: Micros,
    /// A move has this long in all, from the taker's first word on.
    pub transfer_timeout: Micros,
    /// Between signs of life on a connection that carries moves.
    pub heartbeat_interval: Micros,
    /// A connection that carries moves and on which nothing has come for so long counts as cut.
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
