//! Runs the state machines on sockets. A [`Node`] is sender and receiver at once; a server embeds one, or
//! runs one in a process beside it.

mod activity;
mod connection;
mod dial;
mod node;
mod session_manager;
mod status;

use std::time::Duration;

use crate::{receiver, sender, Timeouts};

pub use node::{ActivePrefill, FetchError, Node, PushedCache, ReceivedCache, StoreError};
pub use status::{query_status, Status, StatusError};

/// Settings of a node.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Time limits of transfers.
    pub timeouts: Timeouts,
    /// Limits on KV caches that are held here.
    pub sender: sender::Limits,
    /// Limits on KV caches that are fetched.
    pub receiver: receiver::Limits,
    /// Chunk size for KV caches that are computed here.
    pub chunk_bytes: u32,
    /// Maximum number of accepted connections at a time.
    pub max_connections: usize,
    /// Limit for a connection to be established, and again for the hello frame on it.
    pub handshake_timeout: Duration,
    /// A connection without transfers is closed after this long without data.
    pub idle_timeout: Duration,
    /// What to do with KV caches that other nodes push.
    pub push_policy: PushPolicy,
}

/// What to do with KV caches that other nodes push.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PushPolicy {
    /// Refuse them.
    Reject,
    /// Deliver them through [`Node::subscribe_pushed`].
    Deliver,
    /// Hold them until they are fetched, like those that were computed here.
    Store,
}

/// Invalid or contradictory settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// The chunk size is out of bounds.
    #[error("the chunk size must be a power of two from 4 KiB to 1 MiB")]
    ChunkSize,
    /// The window is smaller than two chunks.
    #[error("the window must hold at least two chunks")]
    Window,
    /// The in-flight limit is smaller than a chunk, so that nothing could ever be sent.
    #[error("the in-flight limit must be at least one chunk")]
    MaxInFlight,
    /// The silence timeout would close live connections, or would detect a stalled link only after the KV
    /// cache is freed.
    #[error("the silence timeout must be at least three heartbeat intervals and shorter than the hold time")]
    SilenceTimeout,
    /// The hold time is longer than a whole transfer may take.
    #[error("the hold time must not exceed the time limit of a transfer")]
    HoldTtl,
    /// No connections are allowed.
    #[error("at least one connection must be allowed")]
    MaxConnections,
}

impl Config {
    /// Validates the settings.
    pub fn check(&self) -> Result<(), ConfigError> {
        let (chunk, timeouts) = (self.chunk_bytes, &self.timeouts);
        let checks = [
            (crate::proof::ChunkLayout::new(1, chunk).is_ok(), ConfigError::ChunkSize),
            (self.receiver.window_bytes / 2 >= chunk, ConfigError::Window),
            (self.sender.max_in_flight_bytes >= u64::from(chunk), ConfigError::MaxInFlight),
            (
                timeouts.silence_timeout >= 3 * timeouts.heartbeat_interval
                    && timeouts.silence_timeout < timeouts.hold_ttl,
                ConfigError::SilenceTimeout,
            ),
            (timeouts.hold_ttl <= timeouts.transfer_timeout, ConfigError::HoldTtl),
            (self.max_connections > 0, ConfigError::MaxConnections),
        ];
        checks.into_iter().find(|(fits, _)| !fits).map_or(Ok(()), |(_, error)| Err(error))
    }
}

impl Default for Config {
    fn default() -> Self {
        Config {
            timeouts: Timeouts::default(),
            sender: sender::Limits::default(),
            receiver: receiver::Limits::default(),
            chunk_bytes: 256 << 10,
            max_connections: 256,
            handshake_timeout: Duration::from_millis(500),
            idle_timeout: Duration::from_secs(30),
            push_policy: PushPolicy::Reject,
        }
    }
}
