//! Encodes and decodes frames. A length is trusted only after the header's checksum matches, and is checked
//! against the limit of the frame's kind before memory is reserved for it.

use std::sync::Arc;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use tokio_util::codec::{Decoder, Encoder};

use super::frame::{
    Frame, Hello, Offer, RequestId, Want, MAX_RANGES, MAX_REQUEST_ID_BYTES, MAX_STATUS_BYTES, VERSION,
};
use crate::cause::Cause;
use crate::proof::{ChunkLayout, LayoutError, Proof, MAX_CHUNKS, MAX_CHUNK_BYTES};

/// Size of a header in bytes: length 4, kind 1, zero padding 3, token 8, index 4, checksum 4.
pub const HEADER_BYTES: usize = 24;
const CHECKSUMMED_HEADER_BYTES: usize = HEADER_BYTES - 4;
/// The first bytes of a hello frame's body.
const MAGIC: &[u8; 8] = b"FTXFER\r\n";
/// Maximum number of bytes to reserve in a buffer for a frame that has not arrived completely.
const MAX_RESERVE_BYTES: usize = MAX_CHUNK_BYTES as usize + HEADER_BYTES;

/// Why bytes could not be decoded. The connection is unusable afterwards.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The connection failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// The header's checksum does not match, so its length cannot be trusted.
    #[error("header checksum mismatch")]
    HeaderChecksum,
    /// The body's checksum does not match.
    #[error("body checksum mismatch in a frame of kind {0}")]
    BodyChecksum(u8),
    /// The frame kind is unknown.
    #[error("unknown frame kind {0}")]
    UnknownKind(u8),
    /// The body is too long for the frame's kind.
    #[error("a frame of kind {kind} has {length} bytes; at most {max_bytes} are allowed")]
    TooLong {
        /// The frame kind.
        kind: u8,
        /// Length of the body.
        length: u32,
        /// Maximum length for the kind.
        max_bytes: usize,
    },
    /// The body does not match the frame's kind.
    #[error("malformed body in a frame of kind {0}")]
    Malformed(u8),
    /// An offer's length or chunk size is out of bounds.
    #[error("invalid offer: {0}")]
    Layout(#[from] LayoutError),
    /// An offer's root hash does not match its other parts.
    #[error("invalid offer: the root hash does not match")]
    HashMismatch,
    /// The peer does not speak this protocol.
    #[error("not the transfer protocol")]
    NotThisProtocol,
    /// The peer speaks another version of the protocol.
    #[error("the peer speaks version {0} of the protocol, this node version {VERSION}")]
    UnsupportedVersion(u16),
    /// The first frame is not a hello frame, or a later one is.
    #[error("a hello frame is missing or repeated")]
    UnexpectedHello,
    /// The connection ended within a frame.
    #[error("the connection ended within a frame")]
    Truncated,
}

/// Frame kinds in the wire format.
mod kind {
    pub const HELLO: u8 = 1;
    pub const WANT: u8 = 2;
    pub const OFFER: u8 = 3;
    pub const ASK: u8 = 4;
    pub const CHUNK: u8 = 5;
    pub const CREDIT: u8 = 6;
    pub const COMPLETE: u8 = 7;
    pub const GRANT: u8 = 8;
    pub const ABORT: u8 = 9;
    pub const DRAIN: u8 = 10;
    pub const RELEASE: u8 = 11;
    pub const ANNOUNCE: u8 = 12;
    pub const REFUSE: u8 = 13;
    pub const BEAT: u8 = 14;
    pub const STATUS_ASK: u8 = 15;
    pub const STATUS: u8 = 16;
    pub const GIVE_UP: u8 = 17;
    pub const GRANT_RECEIPT: u8 = 18;
}

const OFFER_FIXED_BYTES: usize = 8 + 4 + 8 + 4 + 32;

/// Maximum body length of a frame kind, without its checksum.
fn max_body_bytes(kind: u8) -> Option<usize> {
    Some(match kind {
        kind::HELLO => 8 + 2 + 4 + 8 + 4,
        kind::WANT => 4 + 8 + MAX_REQUEST_ID_BYTES,
        kind::OFFER => OFFER_FIXED_BYTES + 32 * MAX_CHUNKS as usize,
        kind::ASK => 8 * MAX_RANGES,
        kind::CHUNK => MAX_CHUNK_BYTES as usize,
        kind::RELEASE | kind::ANNOUNCE => MAX_REQUEST_ID_BYTES,
        kind::REFUSE => 1 + MAX_REQUEST_ID_BYTES,
        kind::ABORT | kind::GIVE_UP => 1,
        kind::CREDIT | kind::DRAIN => 4,
        kind::COMPLETE | kind::GRANT | kind::GRANT_RECEIPT | kind::BEAT | kind::STATUS_ASK => 0,
        kind::STATUS => MAX_STATUS_BYTES,
        _ => return None,
    })
}

#[derive(Clone, Copy)]
struct Header {
    length: usize,
    kind: u8,
    token: u64,
    index: u32,
}

/// Encodes and decodes frames. The first frame each way must be a hello frame, and no later one may be.
#[derive(Debug, Default)]
pub struct Codec {
    has_hello: bool,
}

impl Codec {
    fn header(&self, mut bytes: &[u8]) -> Result<Header, WireError> {
        let checksum = crc32c::crc32c(&bytes[..CHECKSUMMED_HEADER_BYTES]);
        let length = bytes.get_u32();
        let kind = bytes.get_u8();
        bytes.advance(3);
        let (token, index, claimed) = (bytes.get_u64(), bytes.get_u32(), bytes.get_u32());
        if claimed != checksum {
            // A mismatch in the first frame means that the peer speaks another protocol.
            return Err(if self.has_hello { WireError::HeaderChecksum } else { WireError::NotThisProtocol });
        }
        let max_bytes = max_body_bytes(kind).ok_or(WireError::UnknownKind(kind))?;
        if length as usize > max_bytes {
            return Err(WireError::TooLong { kind, length, max_bytes });
        }
        if (kind == kind::HELLO) == self.has_hello {
            return Err(WireError::UnexpectedHello);
        }
        Ok(Header { length: length as usize, kind, token, index })
    }
}

/// Length of the checksum behind a body. Chunks have none, as their hashes verify them.
fn checksum_bytes(kind: u8) -> usize {
    if kind == kind::CHUNK {
        0
    } else {
        4
    }
}

impl Decoder for Codec {
    type Item = Frame;
    type Error = WireError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Frame>, WireError> {
        let Some(bytes) = src.get(..HEADER_BYTES) else { return Ok(None) };
        let header = self.header(bytes)?;
        let frame_bytes = HEADER_BYTES + header.length + checksum_bytes(header.kind);
        if src.len() < frame_bytes {
            src.reserve((frame_bytes - src.len()).min(MAX_RESERVE_BYTES));
            return Ok(None);
        }
        let mut body = src.split_to(frame_bytes).freeze();
        if header.kind == kind::CHUNK && src.capacity() < frame_bytes {
            // Another chunk of this size is likely to follow: with room for all of it, it is read in place
            // and not copied.
            src.reserve(frame_bytes - src.len());
        }
        body.advance(HEADER_BYTES);
        if header.kind != kind::CHUNK {
            let claimed = body.split_off(header.length).get_u32();
            if crc32c::crc32c(&body) != claimed {
                return Err(WireError::BodyChecksum(header.kind));
            }
        }
        let frame = decode_body(header, body)?;
        self.has_hello = true;
        Ok(Some(frame))
    }

    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<Frame>, WireError> {
        match self.decode(src)? {
            None if !src.is_empty() => Err(WireError::Truncated),
            frame => Ok(frame),
        }
    }
}

fn decode_body(header: Header, mut body: Bytes) -> Result<Frame, WireError> {
    let Header { kind, token, index, .. } = header;
    let malformed = WireError::Malformed(kind);
    let min_bytes = match kind {
        kind::HELLO => 26,
        kind::WANT => 12,
        kind::OFFER => OFFER_FIXED_BYTES,
        kind::CREDIT | kind::DRAIN => 4,
        kind::ABORT | kind::GIVE_UP | kind::REFUSE => 1,
        _ => 0,
    };
    if body.len() < min_bytes {
        return Err(malformed);
    }
    let frame = match kind {
        kind::HELLO => Frame::Hello(decode_hello(&mut body)?),
        kind::WANT => {
            let (deadline_ms, resume_incarnation) = (body.get_u32(), body.get_u64());
            Frame::Want(Want {
                token,
                id: decode_request_id(kind, &mut body)?,
                deadline_ms,
                resume_incarnation,
            })
        }
        kind::OFFER => Frame::Offer(decode_offer(token, &mut body)?),
        kind::ASK => {
            if body.len() % 8 != 0 {
                return Err(malformed);
            }
            let mut ranges = Vec::with_capacity(body.len() / 8);
            while body.has_remaining() {
                ranges.push(body.get_u32()..body.get_u32());
            }
            Frame::Ask(token, ranges)
        }
        kind::CHUNK => Frame::Chunk(token, index, std::mem::take(&mut body)),
        kind::CREDIT => Frame::Credit(body.get_u32()),
        kind::COMPLETE => Frame::Complete(token),
        kind::GRANT => Frame::Grant(token),
        kind::GRANT_RECEIPT => Frame::GrantReceipt(token),
        kind::ABORT => Frame::Abort(token, decode_cause(kind, &mut body)?),
        kind::GIVE_UP => Frame::GiveUp(token, decode_cause(kind, &mut body)?),
        kind::DRAIN => Frame::Drain(body.get_u32()),
        kind::RELEASE => Frame::Release(decode_request_id(kind, &mut body)?),
        kind::ANNOUNCE => Frame::Announce(decode_request_id(kind, &mut body)?),
        kind::REFUSE => {
            let cause = decode_cause(kind, &mut body)?;
            Frame::Refuse(decode_request_id(kind, &mut body)?, cause)
        }
        kind::BEAT => Frame::Beat,
        kind::STATUS_ASK => Frame::StatusAsk,
        kind::STATUS => Frame::Status(std::mem::take(&mut body)),
        _ => return Err(WireError::UnknownKind(kind)),
    };
    if body.has_remaining() {
        return Err(malformed);
    }
    Ok(frame)
}

fn decode_hello(body: &mut Bytes) -> Result<Hello, WireError> {
    if body.split_to(MAGIC.len())[..] != MAGIC[..] {
        return Err(WireError::NotThisProtocol);
    }
    let hello = Hello {
        version: body.get_u16(),
        features: body.get_u32(),
        incarnation: body.get_u64(),
        window_bytes: body.get_u32(),
    };
    match hello.version {
        VERSION => Ok(hello),
        other => Err(WireError::UnsupportedVersion(other)),
    }
}

fn decode_offer(token: u64, body: &mut Bytes) -> Result<Offer, WireError> {
    let (incarnation, limit_ms) = (body.get_u64(), body.get_u32());
    let layout = ChunkLayout::new(body.get_u64(), body.get_u32())?;
    let mut root = [0; 32];
    body.copy_to_slice(&mut root);
    let proof = Proof::from_parts(layout, root, std::mem::take(body)).ok_or(WireError::HashMismatch)?;
    Ok(Offer { token, incarnation, limit_ms, proof: Arc::new(proof) })
}

fn decode_request_id(kind: u8, body: &mut Bytes) -> Result<RequestId, WireError> {
    let text = std::mem::take(body);
    let text = std::str::from_utf8(&text).map_err(|_| WireError::Malformed(kind))?;
    RequestId::new(text).map_err(|_| WireError::Malformed(kind))
}

fn decode_cause(kind: u8, body: &mut Bytes) -> Result<Cause, WireError> {
    Cause::from_wire(body.get_u8()).ok_or(WireError::Malformed(kind))
}

/// The header of a chunk's frame, for writers that send the chunk itself without copying it.
pub(crate) fn chunk_header(token: u64, index: u32, length: usize) -> Bytes {
    let mut header = BytesMut::with_capacity(HEADER_BYTES);
    put_header(&mut header, length, kind::CHUNK, token, index);
    header.freeze()
}

fn put_header(dst: &mut BytesMut, length: usize, kind: u8, token: u64, index: u32) {
    let start = dst.len();
    dst.put_u32(length as u32);
    dst.put_u8(kind);
    dst.put_slice(&[0; 3]);
    dst.put_u64(token);
    dst.put_u32(index);
    let checksum = crc32c::crc32c(&dst[start..]);
    dst.put_u32(checksum);
}

/// Encodes a frame's body; returns the frame's kind, its token and the body.
fn encode_body(frame: &Frame) -> (u8, u64, BytesMut) {
    let mut body = BytesMut::new();
    let (kind, token) = match frame {
        Frame::Hello(hello) => {
            body.put_slice(MAGIC);
            body.put_u16(hello.version);
            body.put_u32(hello.features);
            body.put_u64(hello.incarnation);
            body.put_u32(hello.window_bytes);
            (kind::HELLO, 0)
        }
        Frame::Want(want) => {
            body.put_u32(want.deadline_ms);
            body.put_u64(want.resume_incarnation);
            body.put_slice(want.id.as_str().as_bytes());
            (kind::WANT, want.token)
        }
        Frame::Offer(offer) => {
            body.put_u64(offer.incarnation);
            body.put_u32(offer.limit_ms);
            body.put_u64(offer.proof.layout().length());
            body.put_u32(offer.proof.layout().chunk_bytes());
            body.put_slice(offer.proof.root());
            body.put_slice(offer.proof.chunk_hashes());
            (kind::OFFER, offer.token)
        }
        Frame::Ask(token, ranges) => {
            for range in ranges {
                body.put_u32(range.start);
                body.put_u32(range.end);
            }
            (kind::ASK, *token)
        }
        Frame::Chunk(token, _, data) => {
            body.put_slice(data);
            (kind::CHUNK, *token)
        }
        Frame::Credit(bytes) => {
            body.put_u32(*bytes);
            (kind::CREDIT, 0)
        }
        Frame::Complete(token) => (kind::COMPLETE, *token),
        Frame::Grant(token) => (kind::GRANT, *token),
        Frame::GrantReceipt(token) => (kind::GRANT_RECEIPT, *token),
        Frame::Abort(token, cause) => {
            body.put_u8(*cause as u8);
            (kind::ABORT, *token)
        }
        Frame::GiveUp(token, cause) => {
            body.put_u8(*cause as u8);
            (kind::GIVE_UP, *token)
        }
        Frame::Drain(left_ms) => {
            body.put_u32(*left_ms);
            (kind::DRAIN, 0)
        }
        Frame::Release(id) => {
            body.put_slice(id.as_str().as_bytes());
            (kind::RELEASE, 0)
        }
        Frame::Announce(id) => {
            body.put_slice(id.as_str().as_bytes());
            (kind::ANNOUNCE, 0)
        }
        Frame::Refuse(id, cause) => {
            body.put_u8(*cause as u8);
            body.put_slice(id.as_str().as_bytes());
            (kind::REFUSE, 0)
        }
        Frame::Beat => (kind::BEAT, 0),
        Frame::StatusAsk => (kind::STATUS_ASK, 0),
        Frame::Status(text) => {
            body.put_slice(text);
            (kind::STATUS, 0)
        }
    };
    (kind, token, body)
}

impl Encoder<&Frame> for Codec {
    type Error = WireError;

    fn encode(&mut self, frame: &Frame, dst: &mut BytesMut) -> Result<(), WireError> {
        let (kind, token, body) = encode_body(frame);
        let index = if let Frame::Chunk(_, index, _) = frame { *index } else { 0 };
        put_header(dst, body.len(), kind, token, index);
        dst.put_slice(&body);
        if checksum_bytes(kind) > 0 {
            dst.put_u32(crc32c::crc32c(&body));
        }
        Ok(())
    }
}
