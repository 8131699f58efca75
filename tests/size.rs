//! Many routers beside one another: what a part of less than one request must still keep.

mod support;
use frosttrail::*;
use support::side::Side;
use support::*;

const ROUTERS: u32 = 100;

fn large() -> Settings {
    Settings { conductors: ROUTERS, ..Settings::example() }
}

fn named(kind: usize, letter: char, n: usize) -> Vec<(String, usize)> {
    (0..n).map(|i| (format!("{letter}{i}"), kind)).collect()
}

fn fleet(readers: usize, writers: usize) -> Vec<ServerEntry> {
    let names = [named(0, 'r', readers), named(1, 'w', writers)].concat();
    names.iter().map(|(name, kind)| entry(name, *kind)).collect()
}

#[test]
fn all_routers_together_keep_a_cold_server_within_its_budget() {
    for back in ["r0", "w0"] {
        let settings = large();
        let mut side = Side::new(&settings, &fleet(10, 10));
        side.run(15 * SEC);
        let from = side.now;
        let kind = usize::from(back.starts_with('w'));
        side.tell(&[ServerEntry { started: from, ..entry(back, kind) }]);
        side.run(8 * SEC);
        // A warm peer takes 20 a second here, and can do at least that.
        let budget = 20.0 * settings.slow_start_initial_share * settings.overload_multiple;
        let most = side.busiest_second(back, from);
        assert!(most > 0, "{back}: a cold server must be filled");
        assert!(most as f64 <= budget, "{back}: {most} sends in a second, budget {budget}");
    }
}

/// Each router sees two requests a second and most have never sent to this server: what one alone may send
/// must add up to the share that all together may.
#[test]
fn routers_that_see_little_or_have_just_started_fill_a_cold_server_all_the_same() {
    for (back, before) in [("r0", 15), ("w0", 15), ("r0", 0), ("w0", 0)] {
        let settings = large();
        let mut side = Side::new(&settings, &fleet(10, 10));
        side.run(before * SEC);
        let from = side.now;
        let kind = usize::from(back.starts_with('w'));
        side.tell(&[ServerEntry { started: from, ..entry(back, kind) }]);
        side.run(8 * SEC);
        let to = |server: &str| side.sent.iter().filter(|s| &*s.1 == server && s.0 >= from).count();
        let peers: usize = (1..10).map(|i| to(&format!("{}{i}", &back[..1]))).sum();
        let (cold, warm) = (to(back), peers / 9);
        // Half of what it may be sent, were a warm one at its limit; most of that is to arrive.
        let due = warm as f64 * settings.slow_start_initial_share * settings.overload_multiple / 2.0;
        assert!(cold as f64 >= 0.8 * due, "{back} after {before} s: {cold} sends, a warm peer has {warm}");
    }
}

#[test]
fn a_new_server_that_looks_empty_to_all_draws_no_herd() {
    let mut side = Side::new(&large(), &fleet(10, 10));
    side.run(15 * SEC);
    let from = side.now;
    side.tell(&[ServerEntry { started: from, ..entry("r99", 0) }]);
    side.run(200 * MS);
    assert!(side.busiest_second("r99", from) <= 3);
}

fn router(settings: Settings, entries: Vec<ServerEntry>) -> Bench {
    let mut b = Bench::new(settings, &[]);
    b.list(ListUpdateKind::Changes, entries);
    b
}

#[test]
fn turns_of_one_session_meet_at_one_reader_though_their_routers_differ() {
    let read_at = |seed: u64, session: &str| {
        let mut b = Bench::seeded(large(), seed);
        b.list(ListUpdateKind::StaleCopy, fleet(12, 4));
        let q = Query { prefix: Some("p".into()), session: session.into(), ..query("a", 900) };
        sends(&b.ask(q))[0].1.clone()
    };
    let mut homes = std::collections::BTreeSet::new();
    for i in 0..40 {
        let session = format!("s{i}");
        let home = read_at(1, &session);
        assert!((2..9).all(|seed| read_at(seed, &session) == home));
        homes.insert(home);
    }
    assert!((2..=4).contains(&homes.len()), "one prefix has a few homes: {homes:?}");
}

#[test]
fn the_parts_of_all_readers_bound_what_one_router_has_waiting_there() {
    let mut b = router(large(), fleet(20, 20));
    let mut reads = 0;
    for i in 0..20 {
        reads += sends(&b.ask(query(&format!("q{i}"), 900))).len();
    }
    // A part is 0.12 reads; of twenty readers 2.4, not twenty.
    assert_eq!(reads, 2);
}

/// Readers are asked before a read, as routers of a large fleet may.
fn asking() -> Settings {
    Settings { may_probe: true, ..large() }
}

fn asked(actions: &[Action]) -> Vec<String> {
    let server = |a: &Action| match a {
        Action::Probe { server } => Some(server.to_string()),
        _ => None,
    };
    actions.iter().filter_map(server).collect()
}

fn says(b: &mut Bench, server: &str, outcome: Outcome, outstanding: f64) -> Vec<Action> {
    let load = Some(LoadReport { outstanding: Some(outstanding), ..LoadReport::default() });
    b.step(Event::ProbeEnded { server: server.into(), outcome, load })
}

#[test]
fn a_reader_that_others_have_filled_is_passed_over_before_anything_goes_there() {
    let mut b = router(asking(), fleet(20, 20));
    let first = b.ask(query("q", 900));
    let home = asked(&first)[0].clone();
    assert!(sends(&first).is_empty(), "it is asked first");
    let second = says(&mut b, &home, Outcome::Served, 9.0);
    let next = asked(&second)[0].clone();
    assert!(sends(&second).is_empty() && next != home);
    let third = says(&mut b, &next, Outcome::Served, 1.0);
    assert_eq!(sends(&third), [("q".to_string(), next)]);
}

#[test]
fn the_least_full_of_those_asked_is_taken_and_none_that_is_past_its_bound() {
    let mut b = router(asking(), fleet(20, 20));
    let mut home = asked(&b.ask(query("q", 900)))[0].clone();
    let mut last = Vec::new();
    let mut homes = Vec::new();
    for holds in [9.0, 6.0, 8.0] {
        homes.push(home.clone());
        last = says(&mut b, &home, Outcome::Served, holds);
        home = asked(&last).first().cloned().unwrap_or_default();
    }
    assert_eq!(sends(&last), [("q".to_string(), homes[1].clone())]);
    // All are past what all routers together want there: it is held, and asks again in time.
    let mut b = router(asking(), fleet(3, 3));
    let mut home = asked(&b.ask(query("q", 900)));
    while let Some(at) = home.first().cloned() {
        let then = says(&mut b, &at, Outcome::Served, 40.0);
        assert!(sends(&then).is_empty());
        home = asked(&then);
    }
    let later = b.wait(400 * MS);
    assert!(sends(&later).is_empty() && !asked(&later).is_empty());
}

#[test]
fn a_reader_that_does_not_answer_costs_a_probe_and_no_attempt() {
    let mut b = router(asking(), fleet(20, 20));
    let home = asked(&b.ask(query("q", 900)))[0].clone();
    let then = says(&mut b, &home, Outcome::NoConnection, 0.0);
    let next = asked(&then);
    assert_eq!(next.len(), 1, "the next one, once");
    assert!(next[0] != home && sends(&then).is_empty());
    // Where most are gone, each is asked once for a while, not again and again.
    let mut b = router(asking(), fleet(3, 3));
    let (mut home, mut n) = (asked(&b.ask(query("q", 900))), 0);
    while let Some(at) = home.first().cloned() {
        n += 1;
        assert!(n <= 3, "asked without an end");
        home = asked(&says(&mut b, &at, Outcome::NoConnection, 0.0));
    }
}

/// Unless they can ask, routers with a hundredth of the traffic each pile all of one prefix on its homes.
#[test]
fn routers_that_ask_spread_one_prefix_over_as_many_readers_as_it_takes() {
    let most = |settings: &Settings| {
        let mut side = Side::new(settings, &fleet(20, 20));
        side.prefix = Some("p".into());
        side.run(5 * SEC);
        side.most
    };
    let (blind, open) = (most(&large()), most(&asking()));
    assert!(open <= 6 && blind > open, "out at one reader: {open} when asked, else {blind}");
}

#[test]
fn a_server_that_was_slow_for_this_router_rests_while_others_take_its_work() {
    let mut b = router(large(), fleet(30, 30));
    let of = |id: &str| Query { session: "s".into(), ..query(id, 900) };
    let home = sends(&b.ask(of("a")))[0].1.clone();
    b.now += 600 * MS;
    let slow = Event::AttemptEnded {
        id: "a".into(),
        attempt: 0,
        server: home.as_str().into(),
        outcome: Outcome::PrefillDone,
        elapsed: 600 * MS,
        cached_tokens: 0,
        finished: false,
        load: None,
    };
    b.step(slow);
    b.begin("a", 1);
    b.now += 100 * MS;
    assert_ne!(sends(&b.ask(of("b")))[0].1, home);
}

#[test]
fn a_server_that_turned_a_request_away_rests_and_comes_back() {
    let mut b = Bench::new(Settings::example(), &[("m1", 2), ("m2", 2)]);
    let first = sends(&b.ask(query("a", 900)))[0].1.clone();
    b.end("a", 0, &first, Outcome::Rejected);
    let taken = |b: &mut Bench, round: &str| {
        let ids = (0..3).map(|i| format!("{round}{i}"));
        ids.filter(|id| sends(&b.ask(query(id, 900))).iter().any(|s| s.1 == first)).count()
    };
    assert_eq!(taken(&mut b, "at once "), 0, "it rests");
    b.wait(500 * MS);
    assert!(taken(&mut b, "later ") > 0, "and is asked again");
}

#[test]
fn a_reader_heavy_rack_does_not_pile_its_reads_on_its_one_writer() {
    let mut entries = fleet(4, 6);
    for e in &mut entries {
        e.rack = if e.kind == 0 || &*e.server == "w0" { 1 } else { 2 };
    }
    let mut side = Side::new(&large(), &entries);
    side.run(15 * SEC);
    let count = |w: &str| side.sent.iter().filter(|s| &*s.1 == w).count();
    let all: usize = (0..6).map(|i| count(&format!("w{i}"))).sum();
    assert!(count("w0") * 2 < all, "{} of {all} writes in the readers' rack", count("w0"));
}

#[test]
fn a_large_list_that_shrinks_to_none_and_returns_is_no_trouble() {
    for conductors in [1, 1_000] {
        let mut b = router(Settings { conductors, ..Settings::example() }, fleet(50, 50));
        b.list(ListUpdateKind::Full, Vec::new());
        assert!(sends(&b.ask(query("a", 900))).is_empty());
        // A clock that jumps by far more than the client's patience: the answer is still the first thing.
        let out = b.list(ListUpdateKind::Full, fleet(50, 50));
        assert_eq!(sends(&out).len(), 1);
        b.now += 60 * SEC;
        let out = b.end("a", 0, &sends(&out)[0].1, Outcome::NoAnswer);
        assert!(declined(&out, "a"));
    }
}

#[test]
fn ill_valued_reports_and_tiny_quotas_are_no_trouble() {
    let settings = Settings {
        tenants: vec![Tenant { name: "t".into(), quota_per_s: 0.001 }],
        over_quota_worth: 0.1,
        conductors: 1_000,
        ..Settings::example()
    };
    let mut b = router(settings, fleet(3, 3));
    let first = sends(&b.ask(Query { tenant: Some(0), ..query("a", 900) }));
    let load = Some(LoadReport {
        memory: Some(f64::NAN),
        waiting_ktokens: Some(-1e300),
        slots: None,
        queued: None,
        outstanding: Some(f64::NAN),
    });
    let out = b.step(Event::AttemptEnded {
        id: "a".into(),
        attempt: 0,
        server: first[0].1.as_str().into(),
        outcome: Outcome::PrefillDone,
        elapsed: u64::MAX / 4,
        cached_tokens: u64::MAX,
        finished: false,
        load,
    });
    assert_eq!(sends(&out).len(), 1, "it goes on to a writer");
}

#[test]
fn what_waits_at_the_writers_holds_the_next_read() {
    let mut b = router(large(), fleet(40, 10));
    let reader = sends(&b.ask(query("a", 900)))[0].1.clone();
    b.end("a", 0, &reader, Outcome::PrefillDone);
    assert!(sends(&b.ask(query("b", 900))).is_empty(), "a part of ten writers is 1.2");
    assert_eq!(sends(&[b.begin("a", 1), b.wait(200 * MS)].concat()).len(), 1);
}

#[test]
fn starved_requests_of_many_routers_do_not_all_leave_ahead() {
    // At 120 routers a tenth of the rate of promotions is each router's part.
    let settings = Settings { conductors: 120, ..Settings::example() };
    let mut b = router(settings, fleet(0, 30));
    for i in 0..3 {
        b.ask(query(&format!("long-{i}"), 2_000));
    }
    b.wait(770 * MS);
    for i in 0..6 {
        b.ask(query(&format!("short-{i}"), 300));
    }
    let left = sends(&b.list(ListUpdateKind::Changes, fleet(30, 0)));
    let kinds: Vec<_> = left.iter().map(|s| &s.0[..4]).collect();
    assert_eq!(kinds, ["long", "shor", "shor"], "the readers' parts together are three");
    b.wait(100 * MS);
    let next = sends(&b.end(&left[0].0, 0, &left[0].1, Outcome::PrefillDone));
    assert!(next[1].0.starts_with("short"), "{next:?}");
}

#[test]
fn a_role_that_keeps_all_waiting_is_asked_less_often_though_that_has_become_usual() {
    // Nine readers for a hundred routers: a part of 0.36 waiting requests, kept in time.
    let mut b = router(large(), fleet(9, 9));
    let mut sent = 0;
    let (end, mut i) = (b.now + 10 * SEC, 0);
    let mut out = Vec::new();
    let mut due: Vec<(Micros, String, String)> = Vec::new();
    while b.now < end {
        i += 1;
        out.extend(b.ask(query(&format!("q{i}"), 900)));
        for (id, w) in sends(&std::mem::take(&mut out)) {
            if w.starts_with('r') {
                sent += 1;
                due.push((b.now + 800 * MS, id, w));
            } else {
                b.begin(&id, 1);
                b.end(&id, 1, &w, Outcome::Served);
            }
        }
        out.extend(b.wait(50 * MS));
        let over: Vec<_> = due.iter().filter(|d| d.0 <= b.now).cloned().collect();
        due.retain(|d| d.0 > b.now);
        for (_, id, server) in over {
            let (id, server): (Id, Id) = (id.as_str().into(), server.as_str().into());
            let (outcome, elapsed, cached_tokens, load) = (Outcome::PrefillDone, 800 * MS, 0, None);
            let (attempt, finished) = (0, false);
            out.extend(b.step(Event::AttemptEnded {
                id,
                attempt,
                server,
                outcome,
                elapsed,
                cached_tokens,
                finished,
                load,
            }));
        }
    }
    // 10 s x 0.36 / 0.8 s = 4.5; with one always out it would be 12.
    assert!((3..=7).contains(&sent), "{sent} reads left");
}

#[test]
fn a_rack_with_many_readers_sends_part_of_its_reads_to_other_racks_writers() {
    // Rack 1 has three readers and one writer, rack 2 one reader and five writers.
    let mut entries = fleet(4, 6);
    for e in &mut entries {
        e.rack = if matches!(&*e.server, "r0" | "r1" | "r2" | "w0") { 1 } else { 2 };
    }
    let mut shares = [0, 0];
    for i in 0..200u64 {
        let mut b = Bench::seeded(large(), i);
        b.list(ListUpdateKind::StaleCopy, entries.clone());
        let id = format!("q{i}");
        let reader = sends(&b.ask(query(&id, 900)))[0].1.clone();
        let writer = sends(&b.end(&id, 0, &reader, Outcome::PrefillDone))[0].1.clone();
        if reader != "r3" {
            shares[usize::from(writer == "w0")] += 1;
        } else {
            assert_ne!(writer, "w0", "a rack with writers enough keeps what it reads");
        }
    }
    // Its share of the writers for its share of the reads is 0.22, half more is let.
    assert!(shares[1] * 3 < shares[0] * 2 && shares[1] * 6 > shares[0], "{shares:?} leave and stay");
}

#[test]
fn one_hung_server_does_not_rest_its_whole_role() {
    let mut b = router(large(), fleet(9, 9));
    let hung = sends(&b.ask(query("a", 900)))[0].1.clone();
    b.now += 3 * SEC;
    b.step(Event::AttemptEnded {
        id: "a".into(),
        attempt: 0,
        server: hung.as_str().into(),
        outcome: Outcome::NoAnswer,
        elapsed: 3 * SEC,
        cached_tokens: 0,
        finished: false,
        load: None,
    });
    // By its own 3 s the role would rest for 5.3 s; by twice the usual, 3 s counted in, for 2.7 s.
    b.wait(2_700 * MS);
    assert_eq!(sends(&[b.ask(query("b", 900)), b.wait(200 * MS)].concat()).len(), 1);
}
