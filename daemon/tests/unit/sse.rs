//! Tests of private items of `daemon/src/upstream/sse.rs`.

use super::*;
use quickcheck::{Gen, QuickCheck};

const EVENTS: [&str; 4] = ["data: {}\n\n", ": X-Pressure: {}\n\n", "event: a\r\ndata\r\n\r\n", "id:1\n\n"];

/// Splits events that arrive in pieces of any size, followed by invalid input or an incomplete event.
/// Checks that all events come out complete and unchanged, and nothing of the invalid input.
fn splits_any_pieces(event_indices: Vec<u8>, cuts: Vec<u8>, noise: bool) -> bool {
    let events: Vec<&str> =
        event_indices.iter().map(|index| EVENTS[usize::from(*index) % EVENTS.len()]).collect();
    let mut text = events.concat().into_bytes();
    text.extend_from_slice(if noise { b"\x8f datum" } else { b"data: last" });
    let (mut splitter, mut received, mut failed, mut cuts) =
        (EventSplitter::default(), Vec::new(), false, cuts.iter());
    while !text.is_empty() && !failed {
        let size = cuts.next().map_or(text.len(), |c| usize::from(*c).clamp(1, text.len()));
        let unsent = text.split_off(size);
        splitter.push(&text).unwrap();
        text = unsent;
        loop {
            match splitter.next_event() {
                Ok(Some(event)) => received.push(event),
                Ok(None) => break,
                Err(InvalidEvent) => {
                    failed = true;
                    break;
                }
            }
        }
    }
    let remainder = splitter.remainder();
    received == events && failed == noise && (noise || remainder.as_deref() == Some(b"data: last"))
}

#[test]
fn events_are_split_whole_and_invalid_input_is_rejected() {
    let gen = Gen::from_size_and_seed(24, 0xe7e7);
    QuickCheck::new().rng(gen).tests(400).quickcheck(splits_any_pieces as fn(Vec<u8>, Vec<u8>, bool) -> bool);
}

#[test]
fn event_and_response_sizes_are_limited() {
    let mut splitter = EventSplitter::default();
    let exceeds_event_limit = |_| splitter.push(&[b':'; 4096]).and_then(|()| splitter.next_event()).is_err();
    assert!((0..18).any(exceeds_event_limit), "one event");
    let mut splitter = EventSplitter::default();
    let mut exceeds_response_limit = |_| {
        splitter.push(&b":\n\n".repeat(400)).is_err() || {
            while let Ok(Some(_)) = splitter.next_event() {}
            false
        }
    };
    assert!((0..3_600).any(&mut exceeds_response_limit), "one response");
}
