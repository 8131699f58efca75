//! Tests many routers that share one fleet, where a router's share of a server is less than one request.

mod support;
use frosttrail::*;
use support::side::RouterGroup;
use support::*;

const ROUTER_COUNT: u32 = 100;

fn settings_of_100_routers() -> Settings {
    Settings { conductors: ROUTER_COUNT, ..Settings::example() }
}

fn numbered_names(kind: usize, letter: char, n: usize) -> Vec<(String, usize)> {
    (0..n).map(|i| (format!("{letter}{i}"), kind)).collect()
}

fn server_list(prefill_count: usize, decode_count: usize) -> Vec<ServerEntry> {
    let names = [numbered_names(0, 'r', prefill_count), numbered_names(1, 'w', decode_count)].concat();
    names.iter().map(|(name, kind)| entry(name, *kind)).collect()
}

#[test]
fn all_routers_together_keep_a_server_in_slow_start_within_its_budget() {
    for restarted in ["r0", "w0"] {
        let settings = settings_of_100_routers();
        let mut group = RouterGroup::new(&settings, &server_list(10, 10));
        group.run_for(15 * SEC);
        let from = group.now;
        let kind = usize::from(restarted.starts_with('w'));
        group.update_servers(&[ServerEntry { started: from, ..entry(restarted, kind) }]);
        group.run_for(8 * SEC);
        // A warm peer takes 20 requests a second here, and its capacity is at least that.
        let budget = 20.0 * settings.slow_start_initial_share * settings.overload_multiple;
        let max_sends = group.max_sends_in_a_second(restarted, from);
        assert!(max_sends > 0, "{restarted}: a server in slow start must get requests");
        assert!(max_sends as f64 <= budget, "{restarted}: {max_sends} sends in a second, budget {budget}");
    }
}

/// Each router sees two requests a second, and most have never sent to this server. Their own budgets must
/// add up to the budget of all routers together.
#[test]
fn routers_with_little_traffic_or_no_history_still_fill_a_server_in_slow_start() {
    for (restarted, before) in [("r0", 15), ("w0", 15), ("r0", 0), ("w0", 0)] {
        let settings = settings_of_100_routers();
        let mut group = RouterGroup::new(&settings, &server_list(10, 10));
        group.run_for(before * SEC);
        let from = group.now;
        let kind = usize::from(restarted.starts_with('w'));
        group.update_servers(&[ServerEntry { started: from, ..entry(restarted, kind) }]);
        group.run_for(8 * SEC);
        let sends_to =
            |server: &str| group.send_log.iter().filter(|s| &*s.1 == server && s.0 >= from).count();
        let peers: usize = (1..10).map(|i| sends_to(&format!("{}{i}", &restarted[..1]))).sum();
        let (sends_in_slow_start, sends_warm) = (sends_to(restarted), peers / 9);
        // Half of the budget, with the warm peers' rate as their capacity; most of that must arrive.
        let expected_sends =
            sends_warm as f64 * settings.slow_start_initial_share * settings.overload_multiple / 2.0;
        assert!(
            sends_in_slow_start as f64 >= 0.8 * expected_sends,
            "{restarted} after {before} s: {sends_in_slow_start} sends, a warm peer has {sends_warm}"
        );
    }
}

#[test]
fn a_new_server_that_looks_idle_to_all_routers_is_not_flooded() {
    let mut group = RouterGroup::new(&settings_of_100_routers(), &server_list(10, 10));
    group.run_for(15 * SEC);
    let from = group.now;
    group.update_servers(&[ServerEntry { started: from, ..entry("r99", 0) }]);
    group.run_for(200 * MS);
    assert!(group.max_sends_in_a_second("r99", from) <= 3);
}

fn harness_with_servers(settings: Settings, entries: Vec<ServerEntry>) -> RouterHarness {
    let mut harness = RouterHarness::new(settings, &[]);
    harness.update_servers(ListUpdateKind::Changes, entries);
    harness
}

#[test]
fn all_routers_send_a_session_to_the_same_prefill_server() {
    let prefill_server_for = |seed: u64, session: &str| {
        let mut harness = RouterHarness::with_seed(settings_of_100_routers(), seed);
        harness.update_servers(ListUpdateKind::StaleCopy, server_list(12, 4));
        let q = Query { prefix: Some("p".into()), session: session.into(), ..query("a", 900) };
        sends(&harness.submit(q))[0].1.clone()
    };
    let mut homes = std::collections::BTreeSet::new();
    for i in 0..40 {
        let session = format!("s{i}");
        let home = prefill_server_for(1, &session);
        assert!((2..9).all(|seed| prefill_server_for(seed, &session) == home));
        homes.insert(home);
    }
    assert!((2..=4).contains(&homes.len()), "one prefix has a few homes: {homes:?}");
}

#[test]
fn the_shares_of_all_prefill_servers_bound_the_prefills_of_one_router() {
    let mut harness = harness_with_servers(settings_of_100_routers(), server_list(20, 20));
    let mut prefills = 0;
    for i in 0..20 {
        prefills += sends(&harness.submit(query(&format!("q{i}"), 900))).len();
    }
    // The share of one server is 0.12 prefills; of twenty servers it is 2.4, not twenty.
    assert_eq!(prefills, 2);
}

/// Settings that allow probes: prefill servers are probed before a prefill.
fn probing_settings() -> Settings {
    Settings { may_probe: true, ..settings_of_100_routers() }
}

fn probed_servers(actions: &[Action]) -> Vec<String> {
    let server = |a: &Action| match a {
        Action::Probe { server } => Some(server.to_string()),
        _ => None,
    };
    actions.iter().filter_map(server).collect()
}

fn end_probe(harness: &mut RouterHarness, server: &str, outcome: Outcome, outstanding: f64) -> Vec<Action> {
    let load = Some(LoadReport { outstanding: Some(outstanding), ..LoadReport::default() });
    harness.handle(Event::ProbeEnded { server: server.into(), outcome, load })
}

#[test]
fn a_prefill_server_that_others_have_filled_is_skipped_after_a_probe() {
    let mut harness = harness_with_servers(probing_settings(), server_list(20, 20));
    let first = harness.submit(query("q", 900));
    let home = probed_servers(&first)[0].clone();
    assert!(sends(&first).is_empty(), "the server is probed first");
    let second = end_probe(&mut harness, &home, Outcome::Served, 9.0);
    let next = probed_servers(&second)[0].clone();
    assert!(sends(&second).is_empty() && next != home);
    let third = end_probe(&mut harness, &next, Outcome::Served, 1.0);
    assert_eq!(sends(&third), [("q".to_string(), next)]);
}

#[test]
fn the_least_loaded_probed_server_is_chosen_and_none_beyond_its_limit() {
    let mut harness = harness_with_servers(probing_settings(), server_list(20, 20));
    let mut home = probed_servers(&harness.submit(query("q", 900)))[0].clone();
    let mut last = Vec::new();
    let mut homes = Vec::new();
    for outstanding in [9.0, 6.0, 8.0] {
        homes.push(home.clone());
        last = end_probe(&mut harness, &home, Outcome::Served, outstanding);
        home = probed_servers(&last).first().cloned().unwrap_or_default();
    }
    assert_eq!(sends(&last), [("q".to_string(), homes[1].clone())]);
    // All servers exceed the limit of all routers together: the request is queued, and probes are repeated.
    let mut harness = harness_with_servers(probing_settings(), server_list(3, 3));
    let mut home = probed_servers(&harness.submit(query("q", 900)));
    while let Some(server) = home.first().cloned() {
        let actions = end_probe(&mut harness, &server, Outcome::Served, 40.0);
        assert!(sends(&actions).is_empty());
        home = probed_servers(&actions);
    }
    let later = harness.advance(400 * MS);
    assert!(sends(&later).is_empty() && !probed_servers(&later).is_empty());
}

#[test]
fn an_unreachable_prefill_server_costs_a_probe_and_no_attempt() {
    let mut harness = harness_with_servers(probing_settings(), server_list(20, 20));
    let home = probed_servers(&harness.submit(query("q", 900)))[0].clone();
    let actions = end_probe(&mut harness, &home, Outcome::NoConnection, 0.0);
    let next = probed_servers(&actions);
    assert_eq!(next.len(), 1, "the next server is probed once");
    assert!(next[0] != home && sends(&actions).is_empty());
    // Where most servers are unreachable, each is probed once for a while and not repeatedly.
    let mut harness = harness_with_servers(probing_settings(), server_list(3, 3));
    let (mut home, mut n) = (probed_servers(&harness.submit(query("q", 900))), 0);
    while let Some(server) = home.first().cloned() {
        n += 1;
        assert!(n <= 3, "probes must not go on without end");
        home = probed_servers(&end_probe(&mut harness, &server, Outcome::NoConnection, 0.0));
    }
}

/// Without probes, routers with a hundredth of the traffic each send all requests of one prefix to its few
/// home servers.
#[test]
fn probing_routers_spread_one_prefix_over_enough_prefill_servers() {
    let max_active = |settings: &Settings| {
        let mut group = RouterGroup::new(settings, &server_list(20, 20));
        group.prefix = Some("p".into());
        group.run_for(5 * SEC);
        group.max_active
    };
    let (without_probes, with_probes) =
        (max_active(&settings_of_100_routers()), max_active(&probing_settings()));
    assert!(
        with_probes <= 6 && without_probes > with_probes,
        "active at one prefill server: {with_probes} with probes, {without_probes} without"
    );
}

#[test]
fn a_server_that_was_slow_is_avoided_while_others_take_its_requests() {
    let mut harness = harness_with_servers(settings_of_100_routers(), server_list(30, 30));
    let request = |id: &str| Query { session: "s".into(), ..query(id, 900) };
    let home = sends(&harness.submit(request("a")))[0].1.clone();
    harness.now += 600 * MS;
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
    harness.handle(slow);
    harness.start_answer("a", 1);
    harness.now += 100 * MS;
    assert_ne!(sends(&harness.submit(request("b")))[0].1, home);
}

#[test]
fn a_server_that_rejected_a_request_is_avoided_for_a_while() {
    let mut harness = RouterHarness::new(Settings::example(), &[("m1", 2), ("m2", 2)]);
    let first = sends(&harness.submit(query("a", 900)))[0].1.clone();
    harness.end_attempt("a", 0, &first, Outcome::Rejected);
    let accepted = |harness: &mut RouterHarness, round: &str| {
        let ids = (0..3).map(|i| format!("{round}{i}"));
        ids.filter(|id| sends(&harness.submit(query(id, 900))).iter().any(|s| s.1 == first)).count()
    };
    assert_eq!(accepted(&mut harness, "at once "), 0, "it is avoided");
    harness.advance(500 * MS);
    assert!(accepted(&mut harness, "later ") > 0, "it gets requests again");
}

#[test]
fn a_rack_with_many_prefill_servers_does_not_overload_its_one_decode_server() {
    let mut entries = server_list(4, 6);
    for e in &mut entries {
        e.rack = if e.kind == 0 || &*e.server == "w0" { 1 } else { 2 };
    }
    let mut group = RouterGroup::new(&settings_of_100_routers(), &entries);
    group.run_for(15 * SEC);
    let sends_to = |server: &str| group.send_log.iter().filter(|s| &*s.1 == server).count();
    let all: usize = (0..6).map(|i| sends_to(&format!("w{i}"))).sum();
    assert!(
        sends_to("w0") * 2 < all,
        "{} of {all} decodes in the rack of the prefill servers",
        sends_to("w0")
    );
}

#[test]
fn a_large_server_list_may_become_empty_and_return() {
    for conductors in [1, 1_000] {
        let mut harness =
            harness_with_servers(Settings { conductors, ..Settings::example() }, server_list(50, 50));
        harness.update_servers(ListUpdateKind::Full, Vec::new());
        assert!(sends(&harness.submit(query("a", 900))).is_empty());
        // The clock jumps by far more than the client's budget: the request is still answered first.
        let out = harness.update_servers(ListUpdateKind::Full, server_list(50, 50));
        assert_eq!(sends(&out).len(), 1);
        harness.now += 60 * SEC;
        let out = harness.end_attempt("a", 0, &sends(&out)[0].1, Outcome::NoAnswer);
        assert!(is_refused(&out, "a"));
    }
}

#[test]
fn invalid_load_reports_and_tiny_quotas_are_tolerated() {
    let settings = Settings {
        tenants: vec![Tenant { name: "t".into(), quota_per_s: 0.001 }],
        over_quota_worth: 0.1,
        conductors: 1_000,
        ..Settings::example()
    };
    let mut harness = harness_with_servers(settings, server_list(3, 3));
    let first = sends(&harness.submit(Query { tenant: Some(0), ..query("a", 900) }));
    let load = Some(LoadReport {
        memory: Some(f64::NAN),
        waiting_ktokens: Some(-1e300),
        slots: None,
        queued: None,
        outstanding: Some(f64::NAN),
    });
    let out = harness.handle(Event::AttemptEnded {
        id: "a".into(),
        attempt: 0,
        server: first[0].1.as_str().into(),
        outcome: Outcome::PrefillDone,
        elapsed: u64::MAX / 4,
        cached_tokens: u64::MAX,
        finished: false,
        load,
    });
    assert_eq!(sends(&out).len(), 1, "it goes on to a decode server");
}

#[test]
fn requests_waiting_at_decode_servers_delay_the_next_prefill() {
    let mut harness = harness_with_servers(settings_of_100_routers(), server_list(40, 10));
    let prefill_server = sends(&harness.submit(query("a", 900)))[0].1.clone();
    harness.end_attempt("a", 0, &prefill_server, Outcome::PrefillDone);
    assert!(sends(&harness.submit(query("b", 900))).is_empty(), "the share of ten decode servers is 1.2");
    assert_eq!(sends(&[harness.start_answer("a", 1), harness.advance(200 * MS)].concat()).len(), 1);
}

#[test]
fn routers_share_the_promotion_rate_of_starved_requests() {
    // With 120 routers, each router's share is a tenth of the rate of promotions.
    let settings = Settings { conductors: 120, ..Settings::example() };
    let mut harness = harness_with_servers(settings, server_list(0, 30));
    for i in 0..3 {
        harness.submit(query(&format!("long-{i}"), 2_000));
    }
    harness.advance(770 * MS);
    for i in 0..6 {
        harness.submit(query(&format!("short-{i}"), 300));
    }
    let left = sends(&harness.update_servers(ListUpdateKind::Changes, server_list(30, 0)));
    let order: Vec<_> = left.iter().map(|s| &s.0[..4]).collect();
    assert_eq!(order, ["long", "shor", "shor"], "the shares of all prefill servers add up to three");
    harness.advance(100 * MS);
    let next = sends(&harness.end_attempt(&left[0].0, 0, &left[0].1, Outcome::PrefillDone));
    assert!(next[1].0.starts_with("short"), "{next:?}");
}

#[test]
fn a_role_that_is_always_slow_still_gets_no_more_than_the_routers_share() {
    // Nine prefill servers for a hundred routers: the share is 0.36 waiting requests, on average over time.
    let mut harness = harness_with_servers(settings_of_100_routers(), server_list(9, 9));
    let mut sent = 0;
    let (end, mut i) = (harness.now + 10 * SEC, 0);
    let mut out = Vec::new();
    let mut due: Vec<(Micros, String, String)> = Vec::new();
    while harness.now < end {
        i += 1;
        out.extend(harness.submit(query(&format!("q{i}"), 900)));
        for (id, server) in sends(&std::mem::take(&mut out)) {
            if server.starts_with('r') {
                sent += 1;
                due.push((harness.now + 800 * MS, id, server));
            } else {
                harness.start_answer(&id, 1);
                harness.end_attempt(&id, 1, &server, Outcome::Served);
            }
        }
        out.extend(harness.advance(50 * MS));
        let ended: Vec<_> = due.iter().filter(|d| d.0 <= harness.now).cloned().collect();
        due.retain(|d| d.0 > harness.now);
        for (_, id, server) in ended {
            let (id, server): (Id, Id) = (id.as_str().into(), server.as_str().into());
            let (outcome, elapsed, cached_tokens, load) = (Outcome::PrefillDone, 800 * MS, 0, None);
            let (attempt, finished) = (0, false);
            out.extend(harness.handle(Event::AttemptEnded {
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
    // 10 s x 0.36 / 0.8 s = 4.5; with one request always active it would be 12.
    assert!((3..=7).contains(&sent), "{sent} prefills sent");
}

#[test]
fn a_rack_with_few_decode_servers_sends_part_of_its_requests_to_other_racks() {
    // Rack 1 has three prefill servers and one decode server, rack 2 one prefill and five decode servers.
    let mut entries = server_list(4, 6);
    for e in &mut entries {
        e.rack = if matches!(&*e.server, "r0" | "r1" | "r2" | "w0") { 1 } else { 2 };
    }
    let mut shares = [0, 0];
    for i in 0..200u64 {
        let mut harness = RouterHarness::with_seed(settings_of_100_routers(), i);
        harness.update_servers(ListUpdateKind::StaleCopy, entries.clone());
        let id = format!("q{i}");
        let prefill_server = sends(&harness.submit(query(&id, 900)))[0].1.clone();
        let decode_server =
            sends(&harness.end_attempt(&id, 0, &prefill_server, Outcome::PrefillDone))[0].1.clone();
        if prefill_server != "r3" {
            shares[usize::from(decode_server == "w0")] += 1;
        } else {
            assert_ne!(
                decode_server, "w0",
                "a rack with enough decode servers keeps the requests it prefills"
            );
        }
    }
    // The rack's share of decode servers over its share of prefills is 0.22; half more than that may stay.
    assert!(shares[1] * 3 < shares[0] * 2 && shares[1] * 6 > shares[0], "{shares:?} leave and stay");
}

#[test]
fn one_hung_server_does_not_pause_its_whole_role() {
    let mut harness = harness_with_servers(settings_of_100_routers(), server_list(9, 9));
    let hung = sends(&harness.submit(query("a", 900)))[0].1.clone();
    harness.now += 3 * SEC;
    harness.handle(Event::AttemptEnded {
        id: "a".into(),
        attempt: 0,
        server: hung.as_str().into(),
        outcome: Outcome::NoAnswer,
        elapsed: 3 * SEC,
        cached_tokens: 0,
        finished: false,
        load: None,
    });
    // Based on its own 3 s, the role would pause for 5.3 s. Based on twice the usual time, which includes
    // these 3 s, it pauses for 2.7 s.
    harness.advance(2_700 * MS);
    assert_eq!(sends(&[harness.submit(query("b", 900)), harness.advance(200 * MS)].concat()).len(), 1);
}
