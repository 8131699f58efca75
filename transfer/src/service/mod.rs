//! The service: the machines on sockets. A [`Node`] is both sides at once; a server embeds one, or runs one
//! beside itself.

mod connection;
mod dial;
mod ear;
mod hub;
mod node;
mod status;

use std::time::Duration;

use crate::{receiver, sender, Times};

pub use node::{Arrived, FetchError, Node, PutError, Reading, Whole};
pub use status::{ask, Status, StatusError};

/// How a node is set up.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// How long things may last.
    pub times: Times,
    /// Bounds of what is held here.
    pub holder: sender::Bounds,
    /// Bounds of what is fetched.
    pub taker: receiver::Bounds,
    /// Bytes of a chunk of states that are read here.
    pub chunk: u32,
    /// Connections at once, in each direction.
    pub connections: usize,
    /// For a connection to come up, and for each side's greeting.
    pub greet: Duration,
    /// After which a connection without moves is closed.
    pub idle: Duration,
    /// What becomes of states that others announce.
    pub inbox: Inbox,
}

/// What becomes of states that others announce.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Inbox {
    /// They are refused.
    Closed,
    /// They come out of [`Node::arrived`].
    Hand,
    /// They are held for whoever fetches them, like those that were read here.
    Hold,
}

/// Settings that do not fit together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// The chunk size.
    #[error("a chunk is a power of two from 4 KiB to 1 MiB")]
    Chunk,
    /// A window that holds no two chunks.
    #[error("the window must hold two chunks")]
    Window,
    /// Nothing could ever be sent.
    #[error("as much must be allowed in flight as one chunk has")]
    InFlight,
    /// A link that stalls could not be told from one that is gone before the state is freed.
    #[error("silence must be at least three beats, and less than hold")]
    Silence,
    /// A state that is held longer than allowed in all.
    #[error("hold must be at most the limit")]
    Hold,
    /// No connection.
    #[error("at least one connection must be allowed")]
    Connections,
}

impl Config {
    /// Whether the settings fit together.
    pub fn check(&self) -> Result<(), ConfigError> {
        let (chunk, times) = (self.chunk, &self.times);
        let checks = [
            (crate::proof::Shape::new(1, chunk).is_ok(), ConfigError::Chunk),
            (self.taker.window / 2 >= chunk, ConfigError::Window),
            (self.holder.in_flight >= u64::from(chunk), ConfigError::InFlight),
            (times.silence >= 3 * times.beat && times.silence < times.hold, ConfigError::Silence),
            (times.hold <= times.limit, ConfigError::Hold),
            (self.connections > 0, ConfigError::Connections),
        ];
        checks.into_iter().find(|(fits, _)| !fits).map_or(Ok(()), |(_, error)| Err(error))
    }
}

impl Default for Config {
    fn default() -> Self {
        Config {
            times: Times::default(),
            holder: sender::Bounds::default(),
            taker: receiver::Bounds::default(),
            chunk: 256 << 10,
            connections: 256,
            greet: Duration::from_millis(500),
            idle: Duration::from_secs(30),
            inbox: Inbox::Closed,
        }
    }
}
