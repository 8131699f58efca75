//! What is decided stays what it was: seeded histories, against the digests of the decisions as they were
//! before their cost was bounded (a2b53d7). A digest that changes on purpose is renewed with the change that
//! makes it, which says why: `CHOICES=print cargo test --test choices -- --nocapture` prints them all.

mod support;

use support::history::History;

/// So many are played unless `CHOICES` says `all`.
const USUAL: usize = 150;
/// A line for each seed, from 0 on.
const DIGESTS: &str = include_str!("choices/digests.txt");

#[test]
fn histories_are_decided_as_they_were_before() {
    let asked = std::env::var("CHOICES").unwrap_or_default();
    let print = asked == "print";
    let count = if asked.is_empty() { USUAL } else { usize::MAX };
    let mut differ = Vec::new();
    for (seed, line) in DIGESTS.lines().enumerate().take(count) {
        let digest = format!("{:016x}", History::new(seed as u64).play());
        if print {
            println!("{digest}");
        }
        if digest != line {
            differ.push(seed);
        }
    }
    assert!(!DIGESTS.is_empty());
    assert!(print || differ.is_empty(), "{} histories differ: {differ:?}", differ.len());
}
