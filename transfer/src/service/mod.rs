//! The service: the machines on sockets. A [`Node`] is both sides at once; a server embeds one, or runs one
//! beside itself.

mod activity;
mod connection;
mod dial;
mod hub;
mod node;
mod status;

use std::time::Duration;

use crate::{receiver, sender, Timeouts};

pub use node::{ActivePrefill, FetchError, Node, PushedCache, ReceivedCache, StoreError};
pub use status::{query_status, Status, StatusError};

/// How a node is set up.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// How long things may last.
    pub timeouts: Timeouts,
    /// Limits of what is held here.
    pub sender: sender::Limits,
    /// Limits of what is fetched.
    pub receiver: receiver::Limits,
    /// Bytes of a chunk of states that are read here.
    pub chunk_bytes: u32,
    /// Connections at once, in each direction.
    pub max_connections: usize,
    /// For a connection to come up, and for each side's greeting.
    pub handshake_timeout: Duration,
    /// After which a connection without moves is closed.
    pub idle_timeout: Duration,
    /// What becomes of states that others announce.
    pub push_policy: PushPolicy,
}

/// What becomes of states that others announce.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PushPolicy {
    /// They are refused.
    Reject,
    /// They come out of [`Node::subscribe_pushed`].
    Deliver,
    /// They are held for whoever fetches them, like those that were read here.
    Store,
}

/// Settings that do not fit together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// The chunk size.
    #[error("a chunk is a power of two from 4 KiB to 1 MiB")]
    ChunkSize,
    /// A window that holds no two chunks.
    #[error("the window must hold two chunks")]
    Window,
    /// Nothing could ever be sent.
    #[error("as much must be allowed in flight as one chunk has")]
    MaxInFlight,
    /// A link that stalls could not be told from one that is gone before the state is freed.
    #[error("silence must be at least three beats, and less than hold")]
    SilenceTimeout,
    /// A state that is held longer than allowed in all.
    #[error("hold must be at most the limit")]
    HoldTtl,
    /// No connection.
    #[error("at least one connection must be allowed")]
    MaxConnections,
}

impl Config {
    /// Whether the settings fit together.
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
