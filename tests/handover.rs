//! Tests what a router's successor takes over: its snapshot and its open work.

mod support;

use frosttrail::*;
use support::*;

const FLEET: [(&str, usize); 3] = [("r", 0), ("w1", 1), ("w2", 1)];

fn decode_server_in_slow_start(now: Micros) -> ServerEntry {
    ServerEntry { started: now - SEC, ..entry("cold", 1) }
}

/// Serves this many requests, one after another, in a second.
fn serve(harness: &mut RouterHarness, requests: usize) {
    for n in 0..requests {
        let id = format!("served-{n}");
        harness.submit(query(&id, 900));
        harness.end_attempt(&id, 0, "r", Outcome::PrefillDone);
        harness.start_answer(&id, 1);
        let decode_server = if n % 2 == 0 { "w1" } else { "w2" };
        harness.end_attempt(&id, 1, decode_server, Outcome::Served);
        harness.advance(SEC / requests as Micros);
    }
}

/// How many of 40 requests within 2 s go to a decode server in slow start.
fn sends_to_slow_start_server(harness: &mut RouterHarness) -> usize {
    let mut count = 0;
    for n in 0..40 {
        let id = format!("cold-{n}");
        harness.submit(query(&id, 900));
        let sent = sends(&harness.end_attempt(&id, 0, "r", Outcome::PrefillDone));
        let decode_server = sent.first().map(|send| send.1.clone()).unwrap_or_default();
        count += usize::from(decode_server == "cold");
        harness.start_answer(&id, 1);
        harness.advance(50 * MS);
    }
    count
}

/// A successor that restores the router's snapshot at the same moment. Its clock is ahead by `clock_offset`.
fn successor_of(harness: &RouterHarness, clock_offset: Micros) -> RouterHarness {
    let text = serde_json::to_string(&harness.router.snapshot(harness.now)).unwrap();
    let mut snapshot: Snapshot = serde_json::from_str(&text).unwrap();
    let mut successor = RouterHarness::with_seed(Settings::example(), 8);
    successor.now = harness.now + clock_offset;
    successor
        .update_servers(ListUpdateKind::Full, FLEET.iter().map(|(name, kind)| entry(name, *kind)).collect());
    let now = successor.now;
    successor.router.restore(now, 0, &mut snapshot);
    assert!(snapshot.is_empty());
    successor
}

#[test]
fn a_server_in_slow_start_gets_its_budget_from_the_successor_too() {
    let mut harness = RouterHarness::new(Settings::example(), &FLEET);
    serve(&mut harness, 40);
    let mut successor = successor_of(&harness, 500 * SEC);
    let mut fresh = RouterHarness::new(Settings::example(), &FLEET);
    for harness in [&mut harness, &mut successor, &mut fresh] {
        let entry = decode_server_in_slow_start(harness.now);
        harness.update_servers(ListUpdateKind::Changes, vec![entry]);
    }
    let [before, after, without] = [&mut harness, &mut successor, &mut fresh].map(sends_to_slow_start_server);
    assert!(after + 1 >= before && before + 1 >= after && after > without, "{before}, {after}, {without}");
}

#[test]
fn the_successor_also_avoids_a_server_that_failed() {
    let mut harness = RouterHarness::new(Settings::example(), &FLEET);
    harness.submit(query("a", 900));
    harness.end_attempt("a", 0, "r", Outcome::PrefillDone);
    harness.end_attempt("a", 1, "w1", Outcome::ConnectionLost);
    assert_eq!(successor_of(&harness, 100 * SEC).router.usable_servers(), harness.router.usable_servers());
}

#[test]
fn nothing_is_restored_for_a_server_that_has_restarted_since() {
    let mut harness = RouterHarness::new(Settings::example(), &FLEET);
    harness.submit(query("a", 900));
    harness.end_attempt("a", 0, "r", Outcome::PrefillDone);
    harness.end_attempt("a", 1, "w1", Outcome::ConnectionLost);
    let mut snapshot = harness.router.snapshot(harness.now);
    let mut successor = RouterHarness::with_seed(Settings::example(), 8);
    let restarted =
        FLEET.iter().map(|(name, kind)| ServerEntry { started: successor.now - SEC, ..entry(name, *kind) });
    successor.update_servers(ListUpdateKind::Full, restarted.collect());
    let now = successor.now;
    successor.router.restore(now, 0, &mut snapshot);
    assert_eq!(successor.router.usable_servers(), 3);
}

#[test]
fn snapshot_entries_of_unlisted_servers_wait_until_the_servers_are_listed() {
    let mut harness = RouterHarness::new(Settings::example(), &FLEET);
    serve(&mut harness, 4);
    let mut snapshot = harness.router.snapshot(harness.now);
    let mut successor = RouterHarness::with_seed(Settings::example(), 8);
    successor.update_servers(ListUpdateKind::Full, vec![entry("r", 0)]);
    let now = successor.now;
    successor.router.restore(now, 0, &mut snapshot);
    assert!(!snapshot.is_empty());
    successor
        .update_servers(ListUpdateKind::Full, FLEET.iter().map(|(name, kind)| entry(name, *kind)).collect());
    successor.router.restore(now, 0, &mut snapshot);
    assert!(snapshot.is_empty());
}

/// How many of 30 requests the router sends to its one prefill server before it queues the rest.
fn prefills_before_queueing(harness: &mut RouterHarness, name: &str) -> usize {
    (0..30).map(|n| sends(&harness.submit(query(&format!("{name}-{n}"), 100))).len()).sum()
}

#[test]
fn two_processes_together_have_no_more_open_requests_than_one() {
    let mut alone = RouterHarness::new(Settings::example(), &FLEET);
    let limit = prefills_before_queueing(&mut alone, "alone");
    let (mut old, mut new) =
        (RouterHarness::new(Settings::example(), &FLEET), RouterHarness::new(Settings::example(), &FLEET));
    for n in 0..limit - 2 {
        old.submit(query(&format!("old-{n}"), 100));
    }
    new.router.set_foreign_work(old.router.open_work());
    assert_eq!(prefills_before_queueing(&mut new, "new"), 2);
    // `open_work` excludes foreign work, and foreign work no longer counts once its process has ended.
    old.router.set_foreign_work(new.router.open_work());
    assert_eq!(prefills_before_queueing(&mut old, "more"), 0);
    new.router.set_foreign_work(OpenWork::default());
    new.advance(20 * MS);
    assert_eq!(new.router.open_work(), alone.router.open_work());
}

#[test]
fn repeated_reports_of_foreign_work_count_once_and_end_with_their_server() {
    let (mut old, mut new) =
        (RouterHarness::new(Settings::example(), &FLEET), RouterHarness::new(Settings::example(), &FLEET));
    old.submit(query("old", 100));
    for _ in 0..3 {
        new.router.set_foreign_work(old.router.open_work());
    }
    assert_eq!(new.router.open_work(), OpenWork::default());
    new.update_servers(ListUpdateKind::Full, Vec::new());
    new.advance(3 * SEC);
    new.router.set_foreign_work(OpenWork::default());
    new.update_servers(ListUpdateKind::Full, FLEET.iter().map(|(name, kind)| entry(name, *kind)).collect());
    assert!(prefills_before_queueing(&mut new, "back") > 0);
}
