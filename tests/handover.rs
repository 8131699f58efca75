//! What a router that takes another's place is given of what that one has learned.

mod support;

use frosttrail::*;
use support::*;

const FLEET: [(&str, usize); 3] = [("r", 0), ("w1", 1), ("w2", 1)];

fn cold_writer(now: Micros) -> ServerEntry {
    ServerEntry { started: now - SEC, ..entry("cold", 1) }
}

/// Serves so many requests, one after another, in a second.
fn serve(b: &mut Bench, requests: usize) {
    for n in 0..requests {
        let id = format!("served-{n}");
        b.ask(query(&id, 900));
        b.end(&id, 0, "r", Outcome::PrefillDone);
        b.begin(&id, 1);
        let writer = if n % 2 == 0 { "w1" } else { "w2" };
        b.end(&id, 1, writer, Outcome::Served);
        b.wait(SEC / requests as Micros);
    }
}

/// How many of 40 requests within 2 s a writer in slow start gets.
fn sends_to_cold(b: &mut Bench) -> usize {
    let mut count = 0;
    for n in 0..40 {
        let id = format!("cold-{n}");
        b.ask(query(&id, 900));
        let sent = sends(&b.end(&id, 0, "r", Outcome::PrefillDone));
        let writer = sent.first().map(|send| send.1.clone()).unwrap_or_default();
        count += usize::from(writer == "cold");
        b.begin(&id, 1);
        b.wait(50 * MS);
    }
    count
}

/// A router that takes the place of one that has served, at the same moment by its own, later clock.
fn successor(b: &Bench, ahead: Micros) -> Bench {
    let text = serde_json::to_string(&b.router.snapshot(b.now)).unwrap();
    let mut snapshot: Snapshot = serde_json::from_str(&text).unwrap();
    let mut next = Bench::seeded(Settings::example(), 8);
    next.now = b.now + ahead;
    next.list(ListUpdateKind::Full, FLEET.iter().map(|(name, kind)| entry(name, *kind)).collect());
    let now = next.now;
    next.router.restore(now, 0, &mut snapshot);
    assert!(snapshot.is_empty());
    next
}

#[test]
fn a_server_in_slow_start_gets_its_budget_from_the_successor_too() {
    let mut b = Bench::new(Settings::example(), &FLEET);
    serve(&mut b, 40);
    let mut next = successor(&b, 500 * SEC);
    let mut fresh = Bench::new(Settings::example(), &FLEET);
    for bench in [&mut b, &mut next, &mut fresh] {
        let cold = cold_writer(bench.now);
        bench.list(ListUpdateKind::Changes, vec![cold]);
    }
    let [before, after, without] = [&mut b, &mut next, &mut fresh].map(sends_to_cold);
    assert!(after + 1 >= before && before + 1 >= after && after > without, "{before}, {after}, {without}");
}

#[test]
fn a_server_that_failed_is_left_alone_by_the_successor_too() {
    let mut b = Bench::new(Settings::example(), &FLEET);
    b.ask(query("a", 900));
    b.end("a", 0, "r", Outcome::PrefillDone);
    b.end("a", 1, "w1", Outcome::ConnectionLost);
    assert_eq!(successor(&b, 100 * SEC).router.usable_servers(), b.router.usable_servers());
}

#[test]
fn nothing_is_taken_over_for_a_server_that_has_restarted_since() {
    let mut b = Bench::new(Settings::example(), &FLEET);
    b.ask(query("a", 900));
    b.end("a", 0, "r", Outcome::PrefillDone);
    b.end("a", 1, "w1", Outcome::ConnectionLost);
    let mut snapshot = b.router.snapshot(b.now);
    let mut next = Bench::seeded(Settings::example(), 8);
    let restarted =
        FLEET.iter().map(|(name, kind)| ServerEntry { started: next.now - SEC, ..entry(name, *kind) });
    next.list(ListUpdateKind::Full, restarted.collect());
    let now = next.now;
    next.router.restore(now, 0, &mut snapshot);
    assert_eq!(next.router.usable_servers(), 3);
}

#[test]
fn what_is_not_listed_yet_waits_for_its_list() {
    let mut b = Bench::new(Settings::example(), &FLEET);
    serve(&mut b, 4);
    let mut snapshot = b.router.snapshot(b.now);
    let mut next = Bench::seeded(Settings::example(), 8);
    next.list(ListUpdateKind::Full, vec![entry("r", 0)]);
    let now = next.now;
    next.router.restore(now, 0, &mut snapshot);
    assert!(!snapshot.is_empty());
    next.list(ListUpdateKind::Full, FLEET.iter().map(|(name, kind)| entry(name, *kind)).collect());
    next.router.restore(now, 0, &mut snapshot);
    assert!(snapshot.is_empty());
}

/// Every request that a router sends to its one reader before it holds the rest.
fn reads_at_once(b: &mut Bench, name: &str) -> usize {
    (0..30).map(|n| sends(&b.ask(query(&format!("{name}-{n}"), 100))).len()).sum()
}

#[test]
fn two_processes_together_have_no_more_open_than_one() {
    let mut alone = Bench::new(Settings::example(), &FLEET);
    let cap = reads_at_once(&mut alone, "alone");
    let (mut old, mut new) =
        (Bench::new(Settings::example(), &FLEET), Bench::new(Settings::example(), &FLEET));
    for n in 0..cap - 2 {
        old.ask(query(&format!("old-{n}"), 100));
    }
    new.router.set_foreign_work(old.router.open_work());
    assert_eq!(reads_at_once(&mut new, "new"), 2);
    // What the other has is not told to it as one's own, and is free again once it has gone.
    old.router.set_foreign_work(new.router.open_work());
    assert_eq!(reads_at_once(&mut old, "more"), 0);
    new.router.set_foreign_work(OpenWork::default());
    new.wait(20 * MS);
    assert_eq!(new.router.open_work(), alone.router.open_work());
}

#[test]
fn foreign_work_that_is_told_again_counts_once_and_outlives_no_server() {
    let (mut old, mut new) =
        (Bench::new(Settings::example(), &FLEET), Bench::new(Settings::example(), &FLEET));
    old.ask(query("old", 100));
    for _ in 0..3 {
        new.router.set_foreign_work(old.router.open_work());
    }
    assert_eq!(new.router.open_work(), OpenWork::default());
    new.list(ListUpdateKind::Full, Vec::new());
    new.wait(3 * SEC);
    new.router.set_foreign_work(OpenWork::default());
    new.list(ListUpdateKind::Full, FLEET.iter().map(|(name, kind)| entry(name, *kind)).collect());
    assert!(reads_at_once(&mut new, "back") > 0);
}
