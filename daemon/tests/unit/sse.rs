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
        (EventSplitter::new(&BufferBudget::unlimited()), Vec::new(), false, cuts.iter());
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
    let mut splitter = EventSplitter::new(&BufferBudget::unlimited());
    let mut exceeds_event_limit = |_| {
        let pushed = splitter.push(&[b':'; 4096]);
        assert!(splitter.next_event().is_ok());
        pushed == Err(PushError::TooLarge)
    };
    assert!(!(0..64).any(&mut exceeds_event_limit), "a body may be one event");
    assert!((0..2).any(&mut exceeds_event_limit), "one event");
    let mut splitter = EventSplitter::new(&BufferBudget::unlimited());
    let mut exceeds_response_limit = |_| {
        splitter.push(&b":\n\n".repeat(400)).is_err() || {
            while let Ok(Some(_)) = splitter.next_event() {}
            false
        }
    };
    assert!((0..3_600).any(&mut exceeds_response_limit), "one response");
}

/// Guards against memory that large events take without a limit: it is charged until their last reference is
/// gone, and where none is left the stream ends.
#[test]
fn large_events_take_their_memory_from_the_budget() {
    let budget = BufferBudget::new(100 << 10);
    let mut splitter = EventSplitter::new(&budget);
    splitter.push(b"data: small\n\n").unwrap();
    drop(splitter.next_event().unwrap().unwrap());
    assert_eq!(budget.used_bytes(), 0);
    let large = format!("data: {}\n\n", "x".repeat(40 << 10));
    let pushed: Result<(), PushError> =
        large.as_bytes().chunks(1_000).try_for_each(|piece| splitter.push(piece));
    assert_eq!(pushed, Ok(()));
    let event = splitter.next_event().unwrap().unwrap();
    assert_eq!(event, large);
    assert!(budget.used_bytes() >= 40 << 10);
    let pushed = large.as_bytes().chunks(1_000).try_for_each(|piece| splitter.push(piece));
    assert!(matches!(pushed, Err(PushError::OutOfMemory(_))), "{pushed:?}");
    drop((event, splitter));
    assert_eq!(budget.used_bytes(), 0, "memory is not returned");
}
