//! Tests the blocking facade: it returns decisions in order, numbers attempts and keeps timers.

mod support;

use std::sync::Arc;

use frosttrail::*;
use support::{entry, query, MS, SEC};

const NOW: Micros = 100 * SEC;

fn with_effect(effect: Effect, query: Query) -> Query {
    let class = Arc::new(RequestClass { effect, ..RequestClass::example() });
    Query { class, ..query }
}

fn facade() -> Facade {
    let mut facade = Facade::new(Settings::example(), 7);
    facade.update_servers(NOW, ListUpdateKind::Full, vec![entry("reader", 0), entry("writer", 1)]);
    facade
}

fn ended(outcome: Outcome) -> Report {
    Report::Ended { outcome, cached_tokens: 0, load: None }
}

/// The name of each decision; for a send, its server.
fn decision_names(decisions: &Decisions) -> Vec<String> {
    let name = |(_, decision): &(Id, Decision)| match decision {
        Decision::Send { server, .. } => server.to_string(),
        other => format!("{other:?}").split(' ').next().unwrap_or_default().to_string(),
    };
    decisions.requests.iter().map(name).collect()
}

#[test]
fn reports_lead_a_request_through_prefill_and_decode() {
    let (mut facade, id) = (facade(), Id::from("a"));
    assert_eq!(
        decision_names(&facade.submit(NOW, with_effect(Effect::Unsafe, query("a", 1_000))).unwrap()),
        ["reader"]
    );
    assert!(facade.submit(NOW, with_effect(Effect::Unsafe, query("a", 1_000))).is_none(), "the id is in use");
    assert_eq!(decision_names(&facade.report(NOW + 30 * MS, &id, ended(Outcome::PrefillDone))), ["writer"]);
    assert!(decision_names(&facade.report(NOW + 50 * MS, &id, Report::Started)).is_empty());
    assert!(decision_names(&facade.report(NOW + 90 * MS, &id, ended(Outcome::Served))).is_empty());
    assert!(
        decision_names(&facade.report(NOW + 90 * MS, &id, Report::Closed)).is_empty(),
        "no decision follows the end of a request"
    );
    assert!(
        facade.submit(NOW + 91 * MS, with_effect(Effect::Unsafe, query("a", 1_000))).is_some(),
        "the id is free again"
    );
}

#[test]
fn a_client_that_leaves_cancels_its_attempt_and_releases_the_kv_cache() {
    let (mut facade, id) = (facade(), Id::from("a"));
    facade.submit(NOW, with_effect(Effect::Unsafe, query("a", 1_000)));
    facade.report(NOW + 30 * MS, &id, ended(Outcome::PrefillDone));
    assert_eq!(decision_names(&facade.report(NOW + 40 * MS, &id, Report::Closed)), ["Cancel", "Release"]);
}

#[test]
fn reports_on_unknown_requests_change_nothing() {
    let (mut facade, id) = (facade(), Id::from("a"));
    assert_eq!(facade.report(NOW, &id, Report::Started), Decisions::default());
    assert_eq!(facade.report(NOW, &id, ended(Outcome::Served)), Decisions::default());
    assert_eq!(facade.report(NOW, &id, Report::Closed), Decisions::default());
}

#[test]
fn closing_fails_requests_that_may_have_run_and_refuses_the_rest() {
    let mut facade = facade();
    for id in ["reads", "writes", "streams"] {
        facade.submit(NOW, with_effect(Effect::Unsafe, query(id, 1_000)));
        if id != "reads" {
            facade.report(NOW + 10 * MS, &id.into(), ended(Outcome::PrefillDone));
        }
    }
    facade.report(NOW + 20 * MS, &"streams".into(), Report::Started);
    let decisions = facade.close(NOW + 30 * MS);
    let names_of = |id: &str| {
        let requests = decisions.requests.iter().filter(|(request, _)| &**request == id).cloned().collect();
        decision_names(&Decisions { requests, ..Decisions::default() })
    };
    assert_eq!(
        (names_of("reads"), names_of("writes")),
        (to_strings(&["Refuse", "Cancel"]), to_strings(&["Fail", "Cancel"]))
    );
    assert!(names_of("streams").is_empty());
}

fn to_strings(words: &[&str]) -> Vec<String> {
    words.iter().map(|w| w.to_string()).collect()
}

#[test]
fn timers_alone_end_a_request_that_waits() {
    let mut facade = Facade::new(Settings::example(), 7);
    facade.submit(NOW, query("a", 1_000));
    let (mut now, mut names) = (NOW, Vec::new());
    while names.is_empty() && now < NOW + 10 * SEC {
        let due = facade.next_timer_at().expect("a timer runs for as long as the facade is used");
        assert!(due > now, "each timer sets the next one for a later time");
        now = due;
        names = decision_names(&facade.fire_timers(now));
    }
    assert_eq!(names, ["Refuse"], "no server is known");
    assert!(now <= NOW + 5 * SEC, "the refusal comes before the client's budget ends");
}

#[test]
fn entries_do_not_accumulate_over_a_long_run_of_new_ids() {
    let mut facade = Facade::new(Settings::example(), 7);
    let mut max_entries = [0, 0];
    for n in 0..400_u64 {
        let now = NOW + n * SEC;
        // All servers are replaced; every session and request is new, and a third of the requests fails.
        let names = [format!("reader {n}"), format!("writer {n}")];
        let entries = vec![entry(&names[0], 0), entry(&names[1], 1)];
        facade.update_servers(now, ListUpdateKind::Full, entries);
        let id = Id::from(format!("request {n}").as_str());
        facade.submit(now, query(&id, 1_000)).unwrap();
        facade.report(now + 30 * MS, &id, ended(Outcome::PrefillDone));
        let outcome = if n % 3 == 0 { Outcome::ConnectionLost } else { Outcome::Served };
        facade.report(now + 90 * MS, &id, ended(outcome));
        facade.report(now + 95 * MS, &id, Report::Closed);
        for ms in (100..1_000).step_by(10) {
            facade.fire_timers(now + ms * MS);
        }
        let half_index = usize::from(n >= 200);
        max_entries[half_index] = facade.entry_count().max(max_entries[half_index]);
    }
    assert!(max_entries[1] <= max_entries[0] && max_entries[0] < 200, "{max_entries:?}");
}
