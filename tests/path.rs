//! Tests the usual path of a request and each failure found so far, in one small test each.

mod support;
use frosttrail::*;
use std::collections::BTreeMap;
use support::*;

/// One of three routers: its share of a prefill server is four prefills or 4,000 tokens.
fn settings_of_three_routers() -> Settings {
    Settings { conductors: 3, ..Settings::example() }
}

const PREFILL_AND_DECODE: [(&str, usize); 2] = [("r", 0), ("w", 1)];
const PREFILL_AND_TWO_DECODE: [(&str, usize); 3] = [("r", 0), ("w1", 1), ("w2", 1)];

#[test]
fn a_request_is_prefilled_then_decoded_then_forgotten() {
    let mut harness = RouterHarness::new(settings_of_three_routers(), &PREFILL_AND_DECODE);
    assert_eq!(sends(&harness.submit(query("a", 900))), [("a".into(), "r".into())]);
    let out = harness.end_attempt("a", 0, "r", Outcome::PrefillDone);
    assert_eq!(sends(&out), [("a".into(), "w".into())]);
    harness.start_answer("a", 1);
    let out = harness.end_attempt("a", 1, "w", Outcome::Served);
    assert!(out.iter().all(|a| matches!(a, Action::Log(_))));
    assert!(harness.end_attempt("a", 1, "w", Outcome::Served).is_empty(), "a second outcome is ignored");
}

#[test]
fn queued_requests_leave_shortest_first() {
    let mut harness = RouterHarness::new(settings_of_three_routers(), &PREFILL_AND_TWO_DECODE);
    for i in 0..4 {
        assert_eq!(sends(&harness.submit(query(&format!("first-{i}"), 900))).len(), 1);
    }
    assert!(sends(&harness.submit(query("long", 4_000))).is_empty(), "the prefill server is at its limit");
    assert!(sends(&harness.submit(query("short", 300))).is_empty());
    let out = harness.end_attempt("first-0", 0, "r", Outcome::PrefillDone);
    assert_eq!(sends(&out)[1], ("short".into(), "r".into()));
}

#[test]
fn a_starved_long_prompt_leaves_ahead_of_short_ones() {
    let mut harness = RouterHarness::new(settings_of_three_routers(), &PREFILL_AND_TWO_DECODE);
    for i in 0..4 {
        harness.submit(query(&format!("first-{i}"), 500));
    }
    harness.submit(query("long", 2_000));
    harness.advance(800 * MS);
    harness.submit(query("short", 300));
    let out = harness.end_attempt("first-0", 0, "r", Outcome::PrefillDone);
    assert_eq!(sends(&out)[1].0, "long");
}

#[test]
fn after_a_stall_starved_long_prompts_do_not_block_the_short_ones() {
    let mut harness = RouterHarness::new(settings_of_three_routers(), &PREFILL_AND_TWO_DECODE);
    for i in 0..4 {
        harness.submit(query(&format!("first-{i}"), 500));
    }
    for i in 0..3 {
        harness.submit(query(&format!("long-{i}"), 2_000));
    }
    harness.advance(800 * MS);
    for i in 0..3 {
        harness.submit(query(&format!("short-{i}"), 300));
    }
    let mut left = Vec::new();
    for i in 0..4 {
        left.extend(sends(&harness.end_attempt(&format!("first-{i}"), 0, "r", Outcome::PrefillDone)));
    }
    let prefilled: Vec<_> = left.iter().filter(|(_, server)| server == "r").map(|(id, _)| &id[..4]).collect();
    assert_eq!(prefilled, ["long", "shor", "shor", "shor"], "one starved request is promoted at a time");
}

#[test]
fn every_router_sends_a_prefix_to_the_same_prefill_server() {
    let fleet = [("r1", 0), ("r2", 0), ("r3", 0), ("w", 1)];
    let home = |fleet: &[(&str, usize)], session: &str| {
        let mut harness = RouterHarness::new(settings_of_three_routers(), fleet);
        let q = Query { prefix: Some("p".into()), session: session.into(), ..query("a", 900) };
        sends(&harness.submit(q))[0].1.clone()
    };
    let backwards: Vec<_> = fleet.iter().rev().copied().collect();
    assert_eq!(home(&fleet, "s1"), home(&backwards, "s2"));
}

#[test]
fn a_prefix_overflows_to_the_next_server_when_its_home_has_too_many_tokens() {
    let mut harness = RouterHarness::new(settings_of_three_routers(), &[("r1", 0), ("r2", 0), ("w", 1)]);
    let request = |id: &str| Query { prefix: Some("p".into()), ..query(id, 4_000) };
    let first = sends(&harness.submit(request("a")))[0].1.clone();
    let second = sends(&harness.submit(request("b")))[0].1.clone();
    assert_ne!(first, second);
}

/// The decode servers chosen for this many requests in turn. Each is prefilled by `r` in rack 0, and its
/// stream stays open.
fn chosen_decode_servers(fleet: &[(&str, usize, u64)], requests: usize) -> Vec<String> {
    let mut harness = RouterHarness::new(Settings { conductors: 2, ..Settings::example() }, &[("r", 0)]);
    let list_entry =
        |(name, kind, rack): &(&str, usize, u64)| ServerEntry { rack: *rack, ..entry(name, *kind) };
    harness.update_servers(ListUpdateKind::Changes, fleet.iter().map(list_entry).collect());
    let decode_server_of = |i: usize| {
        let id = format!("{i}");
        // A mixed server does not prefill a long prompt.
        harness.submit(query(&id, 4_000));
        let decode_server = sends(&harness.end_attempt(&id, 0, "r", Outcome::PrefillDone)).remove(0).1;
        harness.start_answer(&id, 1);
        decode_server
    };
    (0..requests).map(decode_server_of).collect()
}

#[test]
fn decode_stays_in_the_prefill_rack_until_a_third_of_the_routers_share_streams_there() {
    // One of two routers: its share of a decode server is forty streams.
    let chosen = chosen_decode_servers(&[("near", 1, 0), ("far", 1, 1)], 20);
    assert!(chosen[..14].iter().all(|server| server == "near"), "{chosen:?}");
    assert!(chosen[14..].iter().all(|server| server == "far"), "{chosen:?}");
}

#[test]
fn decode_servers_of_one_rack_take_streams_in_turn() {
    let chosen = chosen_decode_servers(&[("near", 1, 0), ("near-too", 1, 0), ("far", 1, 1)], 20);
    for pair in chosen.chunks(2) {
        assert!(pair[0] != pair[1] && !pair.contains(&"far".to_string()), "{chosen:?}");
    }
}

#[test]
fn a_mixed_server_in_the_rack_decodes_before_the_kv_cache_leaves_the_rack() {
    let chosen = chosen_decode_servers(&[("mixed", 2, 0), ("far", 1, 1)], 8);
    assert!(
        chosen[..5].iter().all(|server| server == "mixed")
            && chosen[5..].iter().all(|server| server == "far"),
        "{chosen:?}"
    );
    assert!(chosen_decode_servers(&[("mixed", 2, 0), ("near", 1, 0)], 8)
        .iter()
        .all(|server| server == "near"));
}

#[test]
fn prefills_in_flight_count_against_decode_memory() {
    let settings = Settings { memory_tokens: vec![0, 15_000, 0], ..settings_of_three_routers() };
    let mut harness = RouterHarness::new(settings, &PREFILL_AND_DECODE);
    let sent: Vec<_> = (0..4).map(|i| sends(&harness.submit(query(&format!("{i}"), 1_500))).len()).collect();
    assert_eq!(sent, [1, 1, 0, 0]);
}

#[test]
fn few_requests_wait_at_one_decode_server_for_their_first_token() {
    let mut harness = RouterHarness::new(settings_of_three_routers(), &PREFILL_AND_DECODE);
    for i in 0..4 {
        harness.submit(query(&format!("{i}"), 900));
    }
    for i in 0..4 {
        harness.end_attempt(&format!("{i}"), 0, "r", Outcome::PrefillDone);
    }
    assert!(
        sends(&harness.submit(query("next", 900))).is_empty(),
        "four requests wait for their first token"
    );
    assert_eq!(sends(&harness.start_answer("0", 1)).len(), 1);
}

#[test]
fn long_prompts_avoid_mixed_servers_while_there_are_prefill_servers() {
    let mut harness = RouterHarness::new(settings_of_three_routers(), &[("m", 2), ("r", 0), ("w", 1)]);
    for i in 0..4 {
        harness.submit(query(&format!("{i}"), 900));
    }
    assert!(sends(&harness.submit(query("long", 9_000))).is_empty());
    assert_eq!(sends(&harness.submit(query("short", 900)))[0].1, "m");
    let mut alone = RouterHarness::new(settings_of_three_routers(), &[("m", 2)]);
    assert_eq!(sends(&alone.submit(query("long", 9_000)))[0].1, "m");
}

#[test]
fn a_missing_kv_cache_is_released_and_the_prompt_prefilled_again() {
    let mut harness = RouterHarness::new(settings_of_three_routers(), &PREFILL_AND_DECODE);
    harness.submit(query("a", 900));
    harness.end_attempt("a", 0, "r", Outcome::PrefillDone);
    let out = harness.end_attempt("a", 1, "w", Outcome::CacheMissing);
    assert!(
        releases_cache(&out, "a"),
        "the prefill server may only be unreachable and still hold the KV cache"
    );
    assert_eq!(sends(&out), [("a".into(), "r".into())]);
}

#[test]
fn a_failed_decode_leads_to_a_new_prefill_while_two_attempts_are_left() {
    let mut harness = RouterHarness::new(Settings::example(), &[("r", 0), ("w1", 1), ("w2", 1)]);
    harness.submit(query("a", 900));
    harness.end_attempt("a", 0, "r", Outcome::PrefillDone);
    let out = harness.end_attempt("a", 1, "w1", Outcome::Failed);
    assert_eq!(sends(&out), [("a".to_string(), "r".to_string())]);
    assert!(releases_cache(&out, "a"));
    assert_eq!(sends(&harness.end_attempt("a", 2, "r", Outcome::PrefillDone)).len(), 1);
}

#[test]
fn a_prefill_that_ends_in_a_broken_connection_releases_its_kv_cache() {
    let mut harness = RouterHarness::new(settings_of_three_routers(), &PREFILL_AND_DECODE);
    harness.submit(query("a", 900));
    assert!(releases_cache(&harness.end_attempt("a", 0, "r", Outcome::ConnectionLost), "a"));
}

#[test]
fn a_long_prompt_with_one_attempt_left_is_refused_and_not_sent_to_a_mixed_server() {
    let settings = with_max_attempts(2, settings_of_three_routers());
    let mut harness = RouterHarness::new(settings, &[("r", 0), ("w", 1), ("m", 2)]);
    harness.submit(query("a", 9_000));
    let out = harness.end_attempt("a", 0, "r", Outcome::ConnectionLost);
    assert!(sends(&out).is_empty(), "two stages need two attempts, and long prompts avoid mixed servers");
    let out = harness.advance(6 * SEC);
    assert!(is_refused(&out, "a"));
}

#[test]
fn stale_connections_do_not_count_against_a_server() {
    let mut harness = RouterHarness::new(Settings::example(), &[("r1", 0), ("r2", 0), ("r3", 0), ("w", 1)]);
    let home = sends(&harness.submit(query("a", 900)));
    for attempt in 0..2 {
        let out = harness.end_attempt("a", attempt, &home[0].1, Outcome::StaleConnection);
        assert_eq!(sends(&out), home, "the prefill server is as healthy as before");
    }
}

#[test]
fn an_unreachable_server_is_avoided_then_tried_once() {
    let mut harness = RouterHarness::new(settings_of_three_routers(), &[("r1", 0), ("r2", 0), ("w", 1)]);
    let first = sends(&harness.submit(query("a", 900)))[0].1.clone();
    let out = harness.end_attempt("a", 0, &first, Outcome::NoConnection);
    assert!(out.iter().any(|a| matches!(a, Action::Log(words) if words.starts_with("open"))));
    let other = sends(&out)[0].1.clone();
    assert_ne!(first, other);
    for i in 0..20 {
        let id = format!("q{i}");
        if let Some((_, server)) = sends(&harness.submit(query(&id, 100))).first() {
            assert_eq!(*server, other);
            harness.end_attempt(&id, 0, server, Outcome::PrefillDone);
            harness.start_answer(&id, 1);
        }
    }
    harness.advance(SEC);
    let retries =
        (0..20).filter(|i| sends(&harness.submit(query(&format!("t{i}"), 100))).iter().any(|s| s.1 == first));
    assert_eq!(retries.count(), 1, "half-open: one trial at a time");
}

#[test]
fn a_server_that_is_silent_while_a_peer_answers_gets_nothing_new() {
    let mut harness =
        RouterHarness::new(settings_of_three_routers(), &[("r1", 0), ("r2", 0), ("w", 1), ("w2", 1)]);
    let request = |id: &str, p: &str| Query { prefix: Some(p.into()), ..query(id, 100) };
    let silent = sends(&harness.submit(request("a", "p")))[0].1.clone();
    let mut other = None;
    for i in 0..40 {
        let id = format!("x{i}");
        harness.now += 50 * MS;
        let Some((_, server)) = sends(&harness.submit(request(&id, &id))).first().cloned() else { continue };
        if server != silent {
            harness.end_attempt(&id, 0, &server, Outcome::PrefillDone);
            harness.start_answer(&id, 1);
            other = Some(server);
        }
    }
    assert_eq!(Some(sends(&harness.submit(request("z", "p")))[0].1.clone()), other);
}

#[test]
fn breakers_are_ignored_when_most_servers_of_a_role_look_unhealthy() {
    let mut harness = RouterHarness::new(settings_of_three_routers(), &PREFILL_AND_DECODE);
    harness.submit(query("a", 900));
    harness.end_attempt("a", 0, "r", Outcome::NoConnection);
    assert_eq!(sends(&harness.submit(query("b", 900))), [("b".into(), "r".into())]);
}

#[test]
fn requests_beyond_a_quota_are_refused_early_when_queued() {
    let tenants = vec![Tenant { name: "t".into(), quota_per_s: 1.0 }];
    let mut harness =
        RouterHarness::new(Settings { tenants, over_quota_worth: 0.1, ..settings_of_three_routers() }, &[]);
    let request = |id: &str| Query { tenant: Some(0), ..query(id, 900) };
    harness.submit(request("within"));
    harness.submit(request("beyond"));
    let out = harness.advance(600 * MS);
    assert!(is_refused(&out, "beyond") && !is_refused(&out, "within"));
}

#[test]
fn a_resumed_stream_is_served_as_a_new_request() {
    let mut harness =
        RouterHarness::new(Settings { resume: true, ..settings_of_three_routers() }, &PREFILL_AND_DECODE);
    let again = Query { resumes_stream: true, is_client_retry: true, ..query("a2", 1_000) };
    assert_eq!(sends(&harness.submit(again)).len(), 1);
}

#[test]
fn the_server_list_is_polled_where_it_is_not_pushed_and_again_after_a_failure() {
    let mut harness = RouterHarness::new(
        Settings { list_poll_interval: Some(10 * SEC), ..settings_of_three_routers() },
        &PREFILL_AND_DECODE,
    );
    let watch_count = |out: &[Action]| out.iter().filter(|a| matches!(a, Action::Watch)).count();
    assert_eq!(watch_count(&harness.advance(SEC)), 1);
    harness.update_servers(ListUpdateKind::SourceUnavailable, Vec::new());
    assert_eq!(watch_count(&harness.advance(SEC)), 1);
}

#[test]
fn a_sessions_next_turn_goes_to_the_server_that_prefilled_its_last() {
    let mut harness = RouterHarness::new(
        settings_of_three_routers(),
        &[("r1", 0), ("r2", 0), ("r3", 0), ("w1", 1), ("w2", 1)],
    );
    let request = |id: &str, n| Query { prefix: Some("p".into()), session: "s".into(), ..query(id, n) };
    let home = sends(&harness.submit(request("a", 900)))[0].1.clone();
    let other = sends(&harness.end_attempt("a", 0, &home, Outcome::ConnectionLost))[0].1.clone();
    assert_ne!(home, other);
    harness.end_attempt("a", 1, &other, Outcome::PrefillDone);
    harness.start_answer("a", 2);
    harness.end_attempt("a", 2, "w1", Outcome::Served);
    harness.advance(SEC);
    assert_eq!(sends(&harness.submit(request("b", 1_500)))[0].1, other);
}

#[test]
fn every_router_sends_the_same_sessions_to_the_mixed_server() {
    let fleet = [("m", 2), ("r", 0), ("w1", 1), ("w2", 1)];
    let first_server = |seed, session: &str| {
        let mut router = Router::new(settings_of_three_routers(), seed);
        let mut out = Vec::new();
        let entries = fleet.iter().map(|(n, k)| entry(n, *k)).collect();
        router.handle(SEC, Event::Members { kind: ListUpdateKind::Full, entries }, &mut out);
        router.handle(SEC, Event::Query(Query { session: session.into(), ..query("a", 900) }), &mut out);
        sends(&out)[0].1.clone()
    };
    let goes_to_mixed = |i: &u32| {
        let session = format!("s{i}");
        assert_eq!(first_server(1, &session), first_server(2, &session));
        first_server(1, &session) == "m"
    };
    let mixed_count = (0..200).filter(goes_to_mixed).count();
    assert!((20..100).contains(&mixed_count), "{mixed_count} of 200 go to the mixed server for both stages");
}

#[test]
fn decode_servers_that_can_prefill_take_short_prompts_when_prefill_servers_are_full() {
    let sends_when_full = |decode_can_prefill| {
        let mut harness = RouterHarness::new(
            Settings { decode_can_prefill, ..settings_of_three_routers() },
            &PREFILL_AND_TWO_DECODE,
        );
        for i in 0..12 {
            harness.submit(query(&format!("{i}"), 3_900));
        }
        assert!(sends(&harness.submit(query("short", 500))).is_empty());
        assert!(
            sends(&harness.advance(200 * MS)).is_empty(),
            "not before a quarter of the first-token target"
        );
        sends(&harness.advance(150 * MS))
    };
    assert!(sends_when_full(true).iter().any(|(id, server)| id == "short" && server.starts_with('w')));
    assert!(sends_when_full(false).is_empty());
}

/// The ids of the refused requests, with their retry-after.
fn refusals(actions: &[Action]) -> Vec<(String, Micros)> {
    let pair = |a: &Action| match a {
        Action::Refuse { id, retry_after } => Some((id.to_string(), *retry_after)),
        _ => None,
    };
    actions.iter().filter_map(pair).collect()
}

#[test]
fn a_queued_request_that_cannot_be_in_time_is_refused_with_a_retry_after() {
    let mut harness = RouterHarness::new(
        Settings { max_retry_after: 400 * MS, ..settings_of_three_routers() },
        &PREFILL_AND_DECODE,
    );
    harness.update_servers(ListUpdateKind::Full, Vec::new());
    harness.submit(query("a", 900));
    harness.now += 3 * MS;
    harness.submit(query("b", 900));
    assert!(
        refusals(&harness.advance(780 * MS)).is_empty(),
        "the first-token target of 1.05 s can still be met"
    );
    let refused = refusals(&harness.advance(150 * MS));
    assert_eq!(refused.len(), 2, "refused once the target is out of reach, not at the deadline of 5 s");
    assert!(refused.iter().all(|refusal| (200 * MS..=400 * MS).contains(&refusal.1)), "{refused:?}");
    assert_ne!(refused[0].1, refused[1].1, "the retries must be spread");
}

#[test]
fn a_request_whose_attempts_failed_gets_a_short_retry_after() {
    let mut harness = RouterHarness::new(
        Settings { max_retry_after: 2 * SEC, ..settings_of_three_routers() },
        &PREFILL_AND_TWO_DECODE,
    );
    harness.submit(query("a", 900));
    harness.end_attempt("a", 0, "r", Outcome::PrefillDone);
    harness.end_attempt("a", 1, "w1", Outcome::Failed);
    harness.end_attempt("a", 2, "r", Outcome::PrefillDone);
    let refused = refusals(&harness.end_attempt("a", 3, "w2", Outcome::Failed));
    assert!(refused.len() == 1 && (1..=200 * MS).contains(&refused[0].1), "{refused:?}");
}

#[test]
fn no_retry_after_is_given_where_it_cannot_reach_clients() {
    let mut harness = RouterHarness::new(settings_of_three_routers(), &[]);
    harness.submit(query("a", 900));
    assert_eq!(refusals(&harness.advance(SEC)), [("a".into(), 0)]);
}

#[test]
fn a_request_whose_attempt_ends_too_late_for_another_is_refused() {
    let mut harness = RouterHarness::new(settings_of_three_routers(), &PREFILL_AND_DECODE);
    harness.submit(query("a", 900));
    harness.now += 2 * SEC;
    harness.update_servers(ListUpdateKind::Full, vec![entry("w", 1)]);
    let mut out = harness.end_attempt("a", 0, "r", Outcome::NoAnswer);
    out.extend(harness.advance(20 * MS));
    assert!(is_refused(&out, "a") && releases_cache(&out, "a"));
}

#[test]
fn late_requests_leave_after_those_in_time_and_are_refused_only_when_servers_are_full() {
    let mut harness = RouterHarness::new(settings_of_three_routers(), &PREFILL_AND_TWO_DECODE);
    let client_retry = |id: &str| Query { is_client_retry: true, budget: SEC, ..query(id, 300) };
    assert_eq!(
        sends(&harness.submit(client_retry("room"))).len(),
        1,
        "its client has waited 4 s, but the server has room"
    );
    for i in 0..3 {
        harness.submit(query(&format!("first-{i}"), 500));
    }
    harness.submit(query("fresh", 900));
    harness.submit(client_retry("late"));
    let out = harness.end_attempt("first-0", 0, "r", Outcome::PrefillDone);
    assert_eq!(sends(&out)[1].0, "fresh");
    assert!(is_refused(&harness.advance(20 * MS), "late"));
}

fn two_zones() -> Vec<ServerEntry> {
    let near = (0..4).map(|i| ServerEntry { zone: 0, ..entry(&format!("near{i}"), 0) });
    let far = (0..8).map(|i| ServerEntry { zone: 1, rack: 1, ..entry(&format!("far{i}"), 0) });
    near.chain(far).chain([entry("w", 1), entry("w2", 1)]).collect()
}

/// Submits requests for `span` and returns the times of the sends to the far zone, which is unreachable.
fn sends_to_unreachable_zone(harness: &mut RouterHarness, span: Micros) -> Vec<Micros> {
    let (mut times, end, mut i) = (Vec::new(), harness.now + span, 0);
    while harness.now < end {
        i += 1;
        let id = format!("{}-{i}", harness.now);
        let mut out = harness.submit(query(&id, 100));
        out.extend(harness.advance(10 * MS));
        let mut attempt = BTreeMap::new();
        while let Some((id, server)) = sends(&out).pop() {
            let n = attempt.entry(id.clone()).or_insert(0);
            let is_far = server.starts_with("far");
            if is_far {
                times.push(harness.now);
            }
            let outcome = if is_far { Outcome::NoConnection } else { Outcome::PrefillDone };
            out = harness.end_attempt(&id, *n, &server, outcome);
            *n += 1;
            if !is_far {
                harness.start_answer(&id, *n);
                harness.end_attempt(&id, *n, "w", Outcome::Served);
                break;
            }
        }
    }
    times
}

#[test]
fn an_unreachable_zone_is_avoided_as_a_whole_though_it_holds_most_of_a_role() {
    let mut harness = RouterHarness::new(settings_of_three_routers(), &[]);
    harness.update_servers(ListUpdateKind::Changes, two_zones());
    let times = sends_to_unreachable_zone(&mut harness, 10 * SEC);
    // Without a check of whole zones, eight open breakers would be ignored as most of the role and every
    // request could go there. With it, a few attempts find the failure and a few more retry.
    assert!((3..=12).contains(&times.len()), "{} sends to the unreachable zone", times.len());
}

#[test]
fn routers_retry_an_unreachable_zone_at_different_times() {
    let retry_times = |seed| {
        let mut harness = RouterHarness::with_seed(settings_of_three_routers(), seed);
        harness.update_servers(ListUpdateKind::StaleCopy, two_zones());
        sends_to_unreachable_zone(&mut harness, 4 * SEC)
    };
    let all: std::collections::BTreeSet<_> = (1..9).map(retry_times).collect();
    assert!(all.len() > 4, "each router retries at times of its own");
}

#[test]
fn after_a_queued_request_is_refused_late_arrivals_are_refused_at_once() {
    let mut harness = RouterHarness::new(settings_of_three_routers(), &[]);
    harness.submit(query("waited", 900));
    assert!(is_refused(&harness.advance(950 * MS), "waited"));
    harness.update_servers(
        ListUpdateKind::Changes,
        PREFILL_AND_DECODE.iter().map(|(n, k)| entry(n, *k)).collect(),
    );
    let client_retry = |id: &str| Query { is_client_retry: true, budget: SEC, ..query(id, 300) };
    let out = harness.submit(client_retry("late"));
    assert!(is_refused(&out, "late") && sends(&out).is_empty(), "refused at once");
    assert_eq!(sends(&harness.submit(query("fresh", 300))).len(), 1);
    harness.advance(1_100 * MS);
    assert_eq!(sends(&harness.submit(client_retry("after"))).len(), 1, "the queue has cleared");
}

#[test]
fn a_request_with_one_attempt_left_and_no_kv_cache_is_refused_at_once() {
    let retry_after = |fleet: &[(&str, usize)]| {
        let settings = Settings { max_retry_after: 2 * SEC, ..settings_of_three_routers() };
        let mut harness = RouterHarness::new(settings, fleet);
        harness.submit(query("a", 900));
        harness.end_attempt("a", 0, "r1", Outcome::PrefillDone);
        harness.end_attempt("a", 1, "w1", Outcome::ConnectionLost);
        let out = harness.end_attempt("a", 2, "w2", Outcome::CacheMissing);
        out.iter().find_map(|a| match a {
            Action::Refuse { retry_after, .. } => Some(*retry_after),
            _ => None,
        })
    };
    // If queued, it would wait until its target has passed, as prefill and decode need two attempts.
    let advised = retry_after(&[("r1", 0), ("w1", 1), ("w2", 1)]);
    assert!(advised.is_some_and(|delay| delay <= 200 * MS), "{advised:?}");
    assert_eq!(
        retry_after(&[("r1", 0), ("w1", 1), ("w2", 1), ("m", 2)]),
        None,
        "a mixed server can do both stages in one attempt"
    );
}
