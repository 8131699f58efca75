//! What is said on the wire.

use std::ops::Range;
use std::sync::Arc;

use bytes::Bytes;

use crate::cause::Cause;
use crate::proof::Proof;
use crate::{Incarnation, TransferToken};

/// The version spoken here.
pub const VERSION: u16 = 1;
/// The longest request id, in bytes.
pub const MAX_REQUEST_ID_BYTES: usize = 128;
/// The most ranges in one frame: every other chunk of the largest state.
pub const MAX_RANGES: usize = 1 << 15;
/// The longest status text, in bytes.
pub const MAX_STATUS_BYTES: usize = 1 << 20;

/// A request's id: the name of its state.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(Arc<str>);

/// A text is no id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an id has 1 to {MAX_REQUEST_ID_BYTES} bytes, all of them visible ASCII")]
pub struct RequestIdError;

impl RequestId {
    /// Checks the bounds.
    pub fn new(text: &str) -> Result<Self, RequestIdError> {
        let fits =
            (1..=MAX_REQUEST_ID_BYTES).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic());
        fits.then(|| RequestId(text.into())).ok_or(RequestIdError)
    }

    /// The text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl std::fmt::Display for RequestId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

/// The first frame of each side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hello {
    /// The version that the side speaks.
    pub version: u16,
    /// Optional parts that it understands, a bit each; none are defined yet.
    pub features: u32,
    /// Its process.
    pub incarnation: Incarnation,
    /// Bytes of chunks that may be on their way to it before it has given credit.
    pub window_bytes: u32,
}

/// A taker comes for a state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Want {
    /// The taker's name for the move.
    pub token: TransferToken,
    /// Whose state.
    pub id: RequestId,
    /// How soon it is needed, in milliseconds from now; 0: at no certain time.
    pub deadline_ms: u32,
    /// The holder's process, where the move has begun before; 0 for a new one.
    pub resume_incarnation: Incarnation,
}

/// The holder has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// The taker's name for the move.
    pub token: TransferToken,
    /// The holder's process.
    pub incarnation: Incarnation,
    /// The longest that the move may take from here, in milliseconds.
    pub limit_ms: u32,
    /// Length, chunk size and hashes.
    pub proof: Arc<Proof>,
}

/// One message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// The greeting.
    Hello(Hello),
    /// Taker to holder: I come for a state.
    Want(Want),
    /// Holder to taker: here it is.
    Offer(Offer),
    /// Taker to holder: send these chunks; there is room for them.
    Ask(TransferToken, Vec<Range<u32>>),
    /// Holder to taker: one chunk, not yet proven.
    Chunk(TransferToken, u32, Bytes),
    /// Taker to holder: so many more bytes of chunks may be sent.
    Credit(u32),
    /// Taker to holder: the whole is here and proven.
    Complete(TransferToken),
    /// Holder to taker: it is yours; the holder's copy has gone.
    Grant(TransferToken),
    /// Holder to taker: the move is over.
    Abort(TransferToken, Cause),
    /// Taker to holder: the move is over. Apart from the other, as either side names its own moves.
    GiveUp(TransferToken, Cause),
    /// Holder to taker: what has not moved within so many milliseconds is freed.
    Drain(u32),
    /// Either way: let go of all that is held for the request.
    Release(RequestId),
    /// A holder has a state for whoever it says this to.
    Announce(RequestId),
    /// To whom has announced: refused.
    Refuse(RequestId, Cause),
    /// A sign of life.
    Beat,
    /// Asks for a status.
    StatusAsk,
    /// A status, as JSON.
    Status(Bytes),
}
