//! Reasons for which a transfer ends without delivering its KV cache, shared by both ends and the wire
//! format.

/// Why a transfer ended, or a KV cache was freed. The numbers are those of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
#[repr(u8)]
pub enum Cause {
    /// No KV cache for the request is held here: it was never stored, was freed, or belonged to an earlier
    /// process.
    #[error("no KV cache is held here for this request")]
    NotFound = 1,
    /// Another receiver has claimed the KV cache since, or a newer prefill has replaced it.
    #[error("superseded by a later receiver or a newer prefill")]
    Superseded = 2,
    /// The KV cache has been handed over to another receiver.
    #[error("the KV cache belongs to another receiver")]
    OwnedElsewhere = 3,
    /// Released by the conductor of the request.
    #[error("released")]
    Released = 4,
    /// The server that held the KV cache has drained.
    #[error("the server that held the KV cache has drained")]
    Drained = 5,
    /// A chunk failed verification as often as is allowed.
    #[error("a chunk failed verification too often")]
    Corrupt = 6,
    /// The KV cache exceeds the receiver's memory, or its chunks exceed the receiver's window.
    #[error("too large for the receiver")]
    TooLarge = 7,
    /// No receiver claimed the KV cache in time, or its transfer exceeded the time limit.
    #[error("the time limit has passed")]
    Expired = 8,
    /// The other end was out of contact for too long.
    #[error("contact with the other end was lost")]
    PeerLost = 9,
    /// The receiver has cancelled its fetch, or accepts no pushed KV caches.
    #[error("the receiver does not want the KV cache")]
    Unwanted = 10,
    /// The limit for KV caches, their bytes, or transfers is reached.
    #[error("no capacity for another KV cache or transfer")]
    NoCapacity = 11,
    /// A KV cache for this request is already held here.
    #[error("a KV cache for this request is already held here")]
    Duplicate = 12,
}

impl Cause {
    /// Converts from the number in the wire format; `None` if it is unknown.
    pub fn from_wire(number: u8) -> Option<Self> {
        use Cause::*;
        let all = [
            NotFound,
            Superseded,
            OwnedElsewhere,
            Released,
            Drained,
            Corrupt,
            TooLarge,
            Expired,
            PeerLost,
            Unwanted,
            NoCapacity,
            Duplicate,
        ];
        all.into_iter().find(|cause| *cause as u8 == number)
    }
}
