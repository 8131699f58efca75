//! The codec: encoded frames decode to themselves, and corrupted bytes are detected.

use std::ops::Range;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use frosttrail_transfer::cause::Cause;
use frosttrail_transfer::proof::{ChunkLayout, Proof, MAX_CHUNK_BYTES};
use frosttrail_transfer::wire::{
    Codec, Frame, Hello, Offer, RequestId, Want, WireError, HEADER_BYTES, VERSION,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use tokio_util::codec::{Decoder, Encoder};

#[derive(Clone, Debug)]
struct AnyFrame(Frame);

impl Arbitrary for AnyFrame {
    fn arbitrary(g: &mut Gen) -> Self {
        let (token, number) = (u64::arbitrary(g), u32::arbitrary(g));
        let text: String = (0..1 + number % 128).map(|i| char::from(b'!' + (i % 90) as u8)).collect();
        let id = RequestId::new(&text).unwrap();
        let cause = Cause::from_wire(1 + (number % 11) as u8).unwrap();
        let data: Bytes = Vec::<u8>::arbitrary(g).into();
        AnyFrame(match u8::arbitrary(g) % 17 {
            0 => Frame::Want(Want { token, id, deadline_ms: number, resume_incarnation: u64::arbitrary(g) }),
            1 => {
                let cache: Bytes = vec![7; 1 + number as usize % 20_000].into();
                let proof = Arc::new(Proof::compute(&cache, 4_096).unwrap());
                Frame::Offer(Offer { token, incarnation: u64::arbitrary(g), limit_ms: number, proof })
            }
            2 => Frame::Ask(token, Vec::<Range<u32>>::arbitrary(g)),
            3 => Frame::Chunk(token, number, data),
            4 => Frame::Credit(number),
            5 => Frame::Complete(token),
            6 => Frame::Grant(token),
            7 => Frame::Abort(token, cause),
            8 => Frame::Drain(number),
            9 => Frame::Release(id),
            10 => Frame::Announce(id),
            11 => Frame::Refuse(id, cause),
            12 => Frame::Beat,
            13 => Frame::StatusAsk,
            14 => Frame::GiveUp(token, cause),
            15 => Frame::GrantReceipt(token),
            _ => Frame::Status(data),
        })
    }
}

fn hello(version: u16) -> Frame {
    Frame::Hello(Hello { version, features: 5, incarnation: 9, window_bytes: 1 << 20 })
}

fn encode(frames: &[Frame]) -> BytesMut {
    let (mut codec, mut out) = (Codec::default(), BytesMut::new());
    for frame in frames {
        codec.encode(frame, &mut out).unwrap();
    }
    out
}

/// Decodes bytes that arrive in pieces of this size, up to the end or the first error.
fn decode(bytes: &[u8], piece: usize) -> Result<Vec<Frame>, WireError> {
    let (mut codec, mut buffer, mut frames) = (Codec::default(), BytesMut::new(), Vec::new());
    for part in bytes.chunks(piece) {
        buffer.extend_from_slice(part);
        while let Some(frame) = codec.decode(&mut buffer)? {
            frames.push(frame);
        }
    }
    while let Some(frame) = codec.decode_eof(&mut buffer)? {
        frames.push(frame);
    }
    Ok(frames)
}

fn seeded(tests: u64) -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(60, 11)).tests(tests)
}

#[test]
fn frames_decode_from_pieces_of_any_size() {
    fn run(frames: Vec<AnyFrame>, piece: u8) -> bool {
        let all: Vec<Frame> =
            std::iter::once(hello(VERSION)).chain(frames.into_iter().map(|f| f.0)).collect();
        decode(&encode(&all), usize::from(piece) + 1).unwrap() == all
    }
    seeded(500).quickcheck(run as fn(Vec<AnyFrame>, u8) -> bool);
}

#[test]
fn a_flipped_bit_is_an_error_or_confined_to_chunk_data() {
    fn run(frame: AnyFrame, at: usize) -> bool {
        let hello_bytes = encode(&[hello(VERSION)]).len();
        let mut all = encode(&[hello(VERSION), frame.0.clone(), Frame::Beat]);
        let at = hello_bytes * 8 + at % ((all.len() - hello_bytes) * 8);
        all[at / 8] ^= 1 << (at % 8);
        match decode(&all, 999) {
            Err(_) => true,
            Ok(frames) => match (&frame.0, &frames[1]) {
                (Frame::Chunk(sent_token, sent_index, data), Frame::Chunk(token, index, corrupted)) => {
                    // Framing is intact, so only this chunk needs to be requested again.
                    (sent_token, sent_index, data.len()) == (token, index, corrupted.len())
                        && data != corrupted
                }
                _ => false,
            },
        }
    }
    seeded(3_000).quickcheck(run as fn(AnyFrame, usize) -> bool);
}

#[test]
fn noise_never_panics_and_never_reserves_much_memory() {
    fn run(noise: Vec<u8>, has_hello: bool) -> bool {
        let mut buffer = if has_hello { encode(&[hello(VERSION)]) } else { BytesMut::new() };
        buffer.extend_from_slice(&noise);
        let mut codec = Codec::default();
        while let Ok(Some(_)) = codec.decode(&mut buffer) {}
        buffer.capacity() <= 2 * (MAX_CHUNK_BYTES as usize)
    }
    seeded(2_000).quickcheck(run as fn(Vec<u8>, bool) -> bool);
}

/// A header with this length and kind and a valid checksum.
fn header(length: u32, kind: u8) -> Vec<u8> {
    let mut header = [&length.to_be_bytes()[..], &[kind], &[0; 15]].concat();
    let sum = crc32c::crc32c(&header);
    header.extend(sum.to_be_bytes());
    assert_eq!(header.len(), HEADER_BYTES);
    header
}

#[test]
fn errors_name_the_problem() {
    let error = |bytes: &[u8]| decode(bytes, 64).unwrap_err().to_string();
    let after = |rest: &[u8]| error(&[&encode(&[hello(VERSION)])[..], rest].concat());
    assert_eq!(error(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"), "not the transfer protocol");
    assert_eq!(error(&encode(&[hello(2)])), "the peer speaks version 2 of the protocol, this node version 1");
    assert_eq!(error(&encode(&[Frame::Beat])), "a hello frame is missing or repeated");
    assert_eq!(error(&encode(&[hello(1), hello(1)])), "a hello frame is missing or repeated");
    assert_eq!(error(&encode(&[hello(1)])[..30]), "the connection ended within a frame");
    assert_eq!(after(&header(0, 99)), "unknown frame kind 99");
    assert_eq!(
        after(&header(u32::MAX, 5)),
        "a frame of kind 5 has 4294967295 bytes; at most 1048576 are allowed"
    );
    assert_eq!(after(&header(1, 14)), "a frame of kind 14 has 1 bytes; at most 0 are allowed");
    assert_eq!(after(&header(7, 4)[..20]), "the connection ended within a frame");
    let body = |kind: u8, body: &[u8]| {
        after(&[&header(body.len() as u32, kind), body, &crc32c::crc32c(body).to_be_bytes()[..]].concat())
    };
    assert_eq!(body(4, &[0; 7]), "malformed body in a frame of kind 4");
    assert_eq!(body(2, &[0; 12]), "malformed body in a frame of kind 2", "a want without an id");
    assert_eq!(body(9, &[200]), "malformed body in a frame of kind 9", "an unknown cause");
    assert_eq!(body(11, b"two words"), "malformed body in a frame of kind 11");
    assert_eq!(body(3, &[0; 56]), "invalid offer: a KV cache has at least one byte");
    let mut offer = [0; 56 + 32];
    offer[19] = 9;
    offer[22] = 16;
    assert_eq!(body(3, &offer), "invalid offer: the root hash does not match");
    offer[22] = 17;
    assert!(body(3, &offer).contains("the chunk size must be a power of two"));
}

#[test]
fn a_cache_is_verified_chunk_by_chunk() {
    let cache: Bytes = (0..50_000u32).map(|i| (i % 251) as u8).collect::<Vec<_>>().into();
    let proof = Proof::compute(&cache, 4_096).unwrap();
    let shape = proof.layout();
    assert_eq!(
        (shape.chunk_count(), shape.chunk_length(12), shape.chunk_length(13)),
        (13, 50_000 - 12 * 4_096, 0)
    );
    for (index, chunk) in cache.chunks(4_096).enumerate() {
        let index = index as u32;
        assert!(proof.verifies(index, chunk));
        assert!(!proof.verifies(index + 1, chunk) && !proof.verifies(index, &chunk[1..]));
    }
    // The same hashes are rejected with another length or chunk size.
    let with = |length, chunk| {
        Proof::from_parts(
            ChunkLayout::new(length, chunk).unwrap(),
            *proof.root(),
            proof.chunk_hashes().clone(),
        )
    };
    assert_eq!(with(50_000, 4_096).as_ref(), Some(&proof));
    assert!(with(50_001, 4_096).is_none() && with(100_000, 8_192).is_none());
}
