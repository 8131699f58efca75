//! The wire: frames and their bytes. `docs/transfer.md` describes it byte by byte.

mod codec;
mod frame;

pub(crate) use codec::chunk_header;
pub use codec::{Codec, WireError, HEADER_BYTES};
pub use frame::{
    Frame, Hello, Offer, RequestId, RequestIdError, Want, MAX_RANGES, MAX_REQUEST_ID_BYTES, MAX_STATUS_BYTES,
    VERSION,
};
