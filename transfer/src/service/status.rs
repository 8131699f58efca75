//! The status of a node, and a client that queries it.

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
    /// Identifies the node's process.
    pub incarnation: Incarnation,
    /// Open connections.
    pub connections: usize,
    /// Whether the node is draining.
    pub draining: bool,
    /// KV caches held.
    pub states: usize,
    /// Bytes of the KV caches held.
    pub state_bytes: u64,
    /// Outgoing transfers under way.
    pub sending: usize,
    /// Bytes of outgoing chunks in flight.
    pub in_flight: u64,
    /// Incoming transfers under way.
    pub fetching: usize,
    /// Incoming transfers that wait for memory.
    pub waiting: usize,
    /// Bytes reserved for KV caches that are being received or were delivered.
    pub memory: u64,
    /// Counters since the start.
    pub total: Totals,
}

/// Counters since the start of a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    /// KV caches handed over to receivers.
    pub given: u64,
    /// KV caches freed without being handed over.
    pub freed: u64,
    /// KV caches received.
    pub arrived: u64,
    /// Incoming transfers that failed.
    pub failed: u64,
    /// Chunks sent.
    pub chunks_sent: u64,
    /// Bytes of the chunks sent.
    pub bytes_sent: u64,
    /// Received chunks that failed verification.
    pub chunks_bad: u64,
    /// Connections lost while transfers were under way.
    pub cuts: u64,
    /// Connections closed because the peer was at fault.
    pub faults: u64,
}

/// Why a status query failed.
#[derive(Debug, thiserror::Error)]
pub enum StatusError {
    /// The connection failed.
    #[error("{0}")]
    Wire(#[from] WireError),
    /// No status arrived in time.
    #[error("the node sent no status in time")]
    TimedOut,
    /// The reply is not a valid status.
    #[error("malformed status: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// Queries the status of the node at an address.
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
