//! Frames of the protocol and their encoding. `docs/transfer.md` describes the byte layout.

mod codec;
mod frame;

pub(crate) use codec::chunk_header;
pub use codec::{Codec, WireError, HEADER_BYTES};
pub use frame::{
    Frame, Hello, Offer, RequestId, RequestIdError, Want, FEATURE_GRANT_RECEIPTS, MAX_RANGES,
    MAX_REQUEST_ID_BYTES, MAX_STATUS_BYTES, VERSION,
};
