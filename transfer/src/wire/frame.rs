//! The frames of the protocol.

use std::ops::Range;
use std::sync::Arc;

use bytes::Bytes;

use crate::cause::Cause;
use crate::proof::Proof;
use crate::{Incarnation, TransferToken};

/// Protocol version of this implementation.
pub const VERSION: u16 = 1;
/// Feature bit of a side that sends [`Frame::GrantReceipt`] for each grant, and takes it.
pub const FEATURE_GRANT_RECEIPTS: u32 = 1;
/// Maximum length of a request id, in bytes.
pub const MAX_REQUEST_ID_BYTES: usize = 128;
/// Maximum number of ranges in one frame: enough for every other chunk of the largest KV cache.
pub const MAX_RANGES: usize = 1 << 15;
/// Maximum length of a status text, in bytes.
pub const MAX_STATUS_BYTES: usize = 1 << 20;

/// The id of a request, which also identifies its KV cache.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(Arc<str>);

/// A text is not a valid request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a request id must be 1 to {MAX_REQUEST_ID_BYTES} bytes of visible ASCII")]
pub struct RequestIdError;

impl RequestId {
    /// Validates the text.
    pub fn new(text: &str) -> Result<Self, RequestIdError> {
        let fits =
            (1..=MAX_REQUEST_ID_BYTES).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic());
        fits.then(|| RequestId(text.into())).ok_or(RequestIdError)
    }

    /// The id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl std::fmt::Display for RequestId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

/// The first frame that each side sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hello {
    /// Protocol version of the side.
    pub version: u16,
    /// Optional features that it supports, one bit each: [`FEATURE_GRANT_RECEIPTS`].
    pub features: u32,
    /// Identifies its process.
    pub incarnation: Incarnation,
    /// Bytes of chunks that may be in flight to it before it has granted credit.
    pub window_bytes: u32,
}

impl Hello {
    /// Whether the side sends and takes receipts for grants.
    pub fn has_grant_receipts(&self) -> bool {
        self.features & FEATURE_GRANT_RECEIPTS != 0
    }
}

/// A receiver's request for a KV cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Want {
    /// The receiver's token for the transfer.
    pub token: TransferToken,
    /// The request that it belongs to.
    pub id: RequestId,
    /// Deadline in milliseconds from now; 0 for none.
    pub deadline_ms: u32,
    /// The sender's process, to resume a transfer that has begun before; 0 for a new one.
    pub resume_incarnation: Incarnation,
}

/// The sender's offer of a KV cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// The receiver's token for the transfer.
    pub token: TransferToken,
    /// The sender's process.
    pub incarnation: Incarnation,
    /// Time limit for the transfer from now on, in milliseconds.
    pub limit_ms: u32,
    /// Length, chunk size and hashes of the KV cache.
    pub proof: Arc<Proof>,
}

/// A frame of the protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// The first frame each way.
    Hello(Hello),
    /// Receiver to sender: requests a KV cache.
    Want(Want),
    /// Sender to receiver: offers the KV cache.
    Offer(Offer),
    /// Receiver to sender: requests these chunks; memory is reserved for them.
    Ask(TransferToken, Vec<Range<u32>>),
    /// Sender to receiver: one chunk, not yet verified.
    Chunk(TransferToken, u32, Bytes),
    /// Receiver to sender: this many more bytes of chunks may be sent.
    Credit(u32),
    /// Receiver to sender: the KV cache is complete and verified.
    Complete(TransferToken),
    /// Sender to receiver: the receiver is the owner; the sender's copy is freed.
    Grant(TransferToken),
    /// Receiver to sender: the grant has arrived. Sent only to a side with [`FEATURE_GRANT_RECEIPTS`].
    GrantReceipt(TransferToken),
    /// Sender to receiver: ends the transfer.
    Abort(TransferToken, Cause),
    /// Receiver to sender: ends the transfer. Distinct from `Abort`, as each side of a connection chooses the
    /// tokens of its own fetches and the two sets may overlap.
    GiveUp(TransferToken, Cause),
    /// Sender to receiver: KV caches that are not transferred within this many milliseconds are freed.
    Drain(u32),
    /// Either way: frees what is held for the request.
    Release(RequestId),
    /// Pushes a KV cache: the sender holds one for the peer to fetch.
    Announce(RequestId),
    /// Refuses a pushed KV cache.
    Refuse(RequestId, Cause),
    /// Heartbeat.
    Beat,
    /// Requests the node's status.
    StatusAsk,
    /// The node's status, as JSON.
    Status(Bytes),
}
