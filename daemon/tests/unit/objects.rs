//! Objects out of pieces.

use std::time::{Duration, Instant};

use super::*;

fn line(n: usize, pretty: bool) -> String {
    let target = |i: usize| {
        serde_json::json!({"uid": format!("s-{i} }}\\\"{{"), "endpoint": "127.0.0.1:1", "az": "a",
            "model": "m", "pod_group": 1, "state": "active", "boot_ms": 0})
    };
    let list = serde_json::json!({"rev": n, "all": true, "targets": (0..n).map(target).collect::<Vec<_>>()});
    let text = if pretty { serde_json::to_string_pretty(&list) } else { serde_json::to_string(&list) };
    text.unwrap() + "\n"
}

fn revs(text: &str, piece: usize) -> Result<Vec<String>, ListError> {
    let (mut objects, mut all) = (Objects::default(), Vec::new());
    for piece in text.as_bytes().chunks(piece) {
        objects.push(piece)?;
        while let Some(listing) = objects.pop()? {
            all.push(format!("{listing:?}").chars().take(16).collect());
        }
    }
    assert!(!objects.is_part());
    Ok(all)
}

#[test]
fn objects_come_out_whole_whatever_the_pieces() {
    let text = format!("\n\n{}\n{}{}\n \n", line(3, true), line(2, false), line(1, true));
    let whole = revs(&text, text.len()).unwrap();
    assert_eq!(whole, ["Listing { rev: 3", "Listing { rev: 2", "Listing { rev: 1"]);
    for piece in 1..60 {
        assert_eq!(revs(&text, piece).unwrap(), whole, "pieces of {piece}");
    }
}

#[test]
fn what_is_no_object_is_an_error_at_the_end_of_its_line() {
    for bad in
        ["nonsense\n", "{\"rev\": x\n", "{\"rev\": 1}\n", "}\n", "{\"rev\":1,\"all\":true,\"targets\":[}\n"]
    {
        assert!(matches!(revs(bad, 3), Err(ListError::Malformed(_))), "{bad}");
    }
}

/// Each piece of it was once a reason to read all that had come anew: half a minute of work for one list.
#[test]
fn a_long_indented_list_in_small_pieces_costs_no_more_than_its_length() {
    let text = line(11_000, true);
    let begin = Instant::now();
    assert_eq!(revs(&text, 500).unwrap().len(), 1);
    assert!(begin.elapsed() < Duration::from_secs(3), "{:?}", begin.elapsed());
    assert!(text.len() * 2 < LIST_MOST);
}
