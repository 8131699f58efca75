//! What a node says of itself, and asking a node for it.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;

use crate::wire::{Codec, Frame, Hello, WireError, VERSION};
use crate::Incarnation;

/// What a node holds and has done since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Its process.
    pub incarnation: Incarnation,
    /// Connections that are up.
    pub connections: usize,
    /// Whether it drains.
    pub draining: bool,
    /// States held.
    pub states: usize,
    /// Bytes of those.
    pub state_bytes: u64,
    /// Moves from here under way.
    pub sending: usize,
    /// Bytes on their way from here.
    pub in_flight: u64,
    /// Moves to here under way.
    pub fetching: usize,
    /// How many of those wait for memory.
    pub waiting: usize,
    /// Bytes set aside for states that come or have come.
    pub memory: u64,
    /// What has happened since the start.
    pub total: Totals,
}

/// Counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    /// States handed over to takers.
    pub given: u64,
    /// States freed here without a taker.
    pub freed: u64,
    /// States that arrived.
    pub arrived: u64,
    /// Moves to here that failed.
    pub failed: u64,
    /// Chunks sent.
    pub chunks_sent: u64,
    /// Bytes of those.
    pub bytes_sent: u64,
    /// Chunks that came and were not what they should be.
    pub chunks_bad: u64,
    /// Connections lost while moves were under way.
    pub cuts: u64,
    /// Connections ended for what came on them.
    pub faults: u64,
}

/// Why there is no status.
#[derive(Debug, thiserror::Error)]
pub enum StatusError {
    /// The connection.
    #[error("{0}")]
    Wire(#[from] WireError),
    /// Nothing came in time.
    #[error("no answer in time")]
    TimedOut,
    /// What came is no status.
    #[error("not a status: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// Asks the node at an address.
pub async fn query_status(address: SocketAddr, within: Duration) -> Result<Status, StatusError> {
    let query = async {
        let stream = TcpStream::connect(address).await.map_err(WireError::Io)?;
        let mut frames = Framed::new(stream, Codec::default());
        let hello = Hello { version: VERSION, features: 0, incarnation: 0, window_bytes: 0 };
        frames.send(&Frame::Hello(hello)).await?;
        frames.send(&Frame::StatusAsk).await?;
        loop {
            match frames.next().await {
                Some(Ok(Frame::Status(text))) => return Ok(serde_json::from_slice(&text)?),
                Some(Ok(_)) => {}
                Some(Err(e)) => return Err(e.into()),
                None => return Err(WireError::Truncated.into()),
            }
        }
    };
    timeout(within, query).await.unwrap_or(Err(StatusError::TimedOut))
}
