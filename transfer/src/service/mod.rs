//! The service: the machines on sockets. A [`Node`] is both sides at once; a box embeds one, or runs one
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
    /// Whether states that others announce are fetched. They come out of [`Node::arrived`].
    pub inbox: bool,
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
            inbox: false,
        }
    }
}
