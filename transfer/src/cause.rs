//! Why a move ends without the state arriving, in one list for both ends and the wire.

/// Why a move ended, or a state was freed. The numbers are the wire's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
#[repr(u8)]
pub enum Cause {
    /// No such state here: never read, freed, or read by an earlier process.
    #[error("no such state here")]
    NotFound = 1,
    /// Another taker has come for it since.
    #[error("a later taker has come for it")]
    Superseded = 2,
    /// It has been handed over to another taker.
    #[error("it belongs to another taker")]
    OwnedElsewhere = 3,
    /// Released by whoever conducts the request.
    #[error("released")]
    Released = 4,
    /// The server that held it has drained.
    #[error("its box has drained")]
    Drained = 5,
    /// Chunks stayed unproven as often as is allowed.
    #[error("chunks could not be proven")]
    Corrupt = 6,
    /// Larger than the taker can ever hold, or in larger chunks than it takes.
    #[error("too large for the taker")]
    TooLarge = 7,
    /// Out of time: nobody came for it, or it took longer than the limit.
    #[error("out of time")]
    Expired = 8,
    /// The other end was not heard of for too long.
    #[error("the other end was not heard of")]
    PeerLost = 9,
    /// The taker no longer wants it.
    #[error("no longer wanted")]
    Unwanted = 10,
    /// No room for another state or move.
    #[error("no room")]
    NoCapacity = 11,
    /// A state of that name is already here.
    #[error("a state of that name is already here")]
    Duplicate = 12,
}

impl Cause {
    /// From the wire's number.
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
