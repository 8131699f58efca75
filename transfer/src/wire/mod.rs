//! The wire: frames and their bytes. `docs/transfer.md` describes it byte by byte.

mod codec;
mod frame;

pub(crate) use codec::chunk_header;
pub use codec::{Codec, WireError, HEADER};
pub use frame::{Frame, Hello, Id, IdError, Offer, Want, MAX_ID, MAX_RANGES, MAX_STATUS, VERSION};
