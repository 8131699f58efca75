//! Tests of private items of `daemon/src/upstream/response_framing.rs`.

use super::*;

/// Responses that follow each other on one connection, in every form of framing.
const SOUND: &[&str] = &[
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 202 -\r\nContent-Length: 3\r\n\r\nabc",
    "HTTP/1.1 204 No Content\r\n\r\n",
    "HTTP/1.1 200 OK\r\nx-pressure: {\x01}\r\nTransfer-Encoding: Chunked\r\n\r\n",
    "0003;name=\"c0000000\"\r\nabc\r\n",
    "1A \r\nc0000000\r\nc0000000\r\nabcdef\r\n",
    "0\r\nc0000000: c0000000\r\n\r\n",
    "HTTP/1.1 410 Gone\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
];

/// Tracks `text` in pieces of `piece_bytes`; returns where a chunk was rejected.
fn rejected_at(text: &[u8], piece_bytes: usize) -> Option<usize> {
    let mut framing = ResponseFraming(next_head());
    let mut pieces = text.chunks(piece_bytes).enumerate();
    pieces.find_map(|(index, piece)| framing.track(piece).is_err().then_some(index * piece_bytes))
}

#[test]
fn sound_responses_pass_in_pieces_of_any_size_and_the_state_stays_in_step() {
    let sound = SOUND.concat();
    for piece_bytes in 1..=sound.len() {
        assert_eq!(rejected_at(sound.as_bytes(), piece_bytes), None, "pieces of {piece_bytes}");
        // Shows that the end of each response was found: the next size line is read as one.
        let spoilt = format!("{sound}40001\r\n");
        let found = rejected_at(spoilt.as_bytes(), piece_bytes);
        assert!(found.is_some_and(|at| at + piece_bytes > sound.len()), "pieces of {piece_bytes}: {found:?}");
    }
}

#[test]
fn the_largest_body_fits_in_one_chunk() {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    for (size, is_rejected) in [
        ("40000", false),
        ("00000000000000000000040000", false),
        ("40001", true),
        ("ffffffffffffffffffff", true),
    ] {
        let text = format!("{head}{size}\r\n");
        assert_eq!(rejected_at(text.as_bytes(), text.len()).is_some(), is_rejected, "{size}");
    }
}

#[test]
fn a_body_without_framing_and_an_unreadable_head_are_left_to_the_http_library() {
    for head in
        ["HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\n", "\x07\r\n\r\n"]
    {
        let text = format!("{head}40001\r\nHTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n40001\r\n");
        assert_eq!(rejected_at(text.as_bytes(), 7), None, "{head}");
    }
}
