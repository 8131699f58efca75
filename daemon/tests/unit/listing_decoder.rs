//! Decoding of JSON objects that arrive in pieces.

use std::time::{Duration, Instant};

use super::*;

fn listing_text(count: usize, pretty: bool) -> String {
    let target = |i: usize| {
        serde_json::json!({"uid": format!("s-{i} }}\\\"{{"), "endpoint": "127.0.0.1:1", "az": "a",
            "model": "m", "pod_group": 1, "state": "active", "boot_ms": 0})
    };
    let list =
        serde_json::json!({"rev": count, "all": true, "targets": (0..count).map(target).collect::<Vec<_>>()});
    let text = if pretty { serde_json::to_string_pretty(&list) } else { serde_json::to_string(&list) };
    text.unwrap() + "\n"
}

fn decode_revs(text: &str, piece_bytes: usize) -> Result<Vec<String>, DiscoveryError> {
    let (mut decoder, mut revs) = (ListingDecoder::default(), Vec::new());
    for piece in text.as_bytes().chunks(piece_bytes) {
        decoder.push(piece)?;
        while let Some(listing) = decoder.next_listing()? {
            revs.push(format!("{listing:?}").chars().take(16).collect());
        }
    }
    assert!(!decoder.has_partial_object());
    Ok(revs)
}

#[test]
fn objects_are_decoded_whole_from_pieces_of_any_size() {
    let text =
        format!("\n\n{}\n{}{}\n \n", listing_text(3, true), listing_text(2, false), listing_text(1, true));
    let whole = decode_revs(&text, text.len()).unwrap();
    assert_eq!(whole, ["Listing { rev: 3", "Listing { rev: 2", "Listing { rev: 1"]);
    for piece_bytes in 1..60 {
        assert_eq!(decode_revs(&text, piece_bytes).unwrap(), whole, "pieces of {piece_bytes}");
    }
}

#[test]
fn malformed_input_is_rejected_at_the_end_of_its_line() {
    for invalid in
        ["nonsense\n", "{\"rev\": x\n", "{\"rev\": 1}\n", "}\n", "{\"rev\":1,\"all\":true,\"targets\":[}\n"]
    {
        assert!(matches!(decode_revs(invalid, 3), Err(DiscoveryError::Malformed(_))), "{invalid}");
    }
}

/// Guards against parsing all received bytes again for each piece, which took half a minute for one list.
#[test]
fn a_long_indented_list_in_small_pieces_is_decoded_in_linear_time() {
    let text = listing_text(11_000, true);
    let started_at = Instant::now();
    assert_eq!(decode_revs(&text, 500).unwrap().len(), 1);
    assert!(started_at.elapsed() < Duration::from_secs(3), "{:?}", started_at.elapsed());
    assert!(text.len() * 2 < MAX_LIST_BYTES);
}
