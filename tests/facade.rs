//! The facade in blocking style: verdicts in order, attempts numbered, timers kept.

mod support;

use std::sync::Arc;

use frosttrail::*;
use support::{entry, query, MS, SEC};

const NOW: Micros = 100 * SEC;

fn of_effect(effect: Effect, query: Query) -> Query {
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

/// The verdicts' kinds; a send by its server.
fn kinds(verdicts: &Decisions) -> Vec<String> {
    let kind = |(_, verdict): &(Id, Decision)| match verdict {
        Decision::Send { server, .. } => server.to_string(),
        other => format!("{other:?}").split(' ').next().unwrap_or_default().to_string(),
    };
    verdicts.requests.iter().map(kind).collect()
}

#[test]
fn a_request_goes_its_way_by_reports() {
    let (mut facade, id) = (facade(), Id::from("a"));
    assert_eq!(kinds(&facade.submit(NOW, of_effect(Effect::Unsafe, query("a", 1_000))).unwrap()), ["reader"]);
    assert!(facade.submit(NOW, of_effect(Effect::Unsafe, query("a", 1_000))).is_none(), "the id is in use");
    assert_eq!(kinds(&facade.report(NOW + 30 * MS, &id, ended(Outcome::PrefillDone))), ["writer"]);
    assert!(kinds(&facade.report(NOW + 50 * MS, &id, Report::Started)).is_empty());
    assert!(kinds(&facade.report(NOW + 90 * MS, &id, ended(Outcome::Served))).is_empty());
    assert!(kinds(&facade.report(NOW + 90 * MS, &id, Report::Closed)).is_empty(), "nothing is left to do");
    assert!(
        facade.submit(NOW + 91 * MS, of_effect(Effect::Unsafe, query("a", 1_000))).is_some(),
        "the id is free again"
    );
}

#[test]
fn leaving_calls_off_what_is_out_and_lets_go() {
    let (mut facade, id) = (facade(), Id::from("a"));
    facade.submit(NOW, of_effect(Effect::Unsafe, query("a", 1_000)));
    facade.report(NOW + 30 * MS, &id, ended(Outcome::PrefillDone));
    assert_eq!(kinds(&facade.report(NOW + 40 * MS, &id, Report::Closed)), ["Cancel", "Release"]);
}

#[test]
fn reports_on_what_is_not_out_change_nothing() {
    let (mut facade, id) = (facade(), Id::from("a"));
    assert_eq!(facade.report(NOW, &id, Report::Started), Decisions::default());
    assert_eq!(facade.report(NOW, &id, ended(Outcome::Served)), Decisions::default());
    assert_eq!(facade.report(NOW, &id, Report::Closed), Decisions::default());
}

#[test]
fn closing_fails_what_may_have_run_and_refuses_the_rest() {
    let mut facade = facade();
    for id in ["reads", "writes", "streams"] {
        facade.submit(NOW, of_effect(Effect::Unsafe, query(id, 1_000)));
        if id != "reads" {
            facade.report(NOW + 10 * MS, &id.into(), ended(Outcome::PrefillDone));
        }
    }
    facade.report(NOW + 20 * MS, &"streams".into(), Report::Started);
    let verdicts = facade.close(NOW + 30 * MS);
    let of = |id: &str| {
        let own = verdicts.requests.iter().filter(|(of, _)| &**of == id).cloned().collect();
        kinds(&Decisions { requests: own, ..Decisions::default() })
    };
    assert_eq!((of("reads"), of("writes")), (strings(&["Refuse", "Cancel"]), strings(&["Fail", "Cancel"])));
    assert!(of("streams").is_empty());
}

fn strings(words: &[&str]) -> Vec<String> {
    words.iter().map(|w| w.to_string()).collect()
}

#[test]
fn ticks_come_due_and_time_alone_ends_what_waits() {
    let mut facade = Facade::new(Settings::example(), 7);
    facade.submit(NOW, query("a", 1_000));
    let (mut at, mut last) = (NOW, Vec::new());
    while last.is_empty() && at < NOW + 10 * SEC {
        let due = facade.next_timer_at().expect("a timer runs for as long as the facade is used");
        assert!(due > at, "each tick sets the next one later");
        at = due;
        last = kinds(&facade.fire_timers(at));
    }
    assert_eq!(last, ["Refuse"], "no server is known");
    assert!(at <= NOW + 5 * SEC, "before its client gives up");
}

#[test]
fn a_long_day_of_new_ids_keeps_no_more_than_a_short_one() {
    let mut facade = Facade::new(Settings::example(), 7);
    let mut most = [0, 0];
    for n in 0..400_u64 {
        let now = NOW + n * SEC;
        // All servers are replaced; every client, session and request is new, and some never end well.
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
        let half = usize::from(n >= 200);
        most[half] = facade.entry_count().max(most[half]);
    }
    assert!(most[1] <= most[0] && most[0] < 200, "{most:?}");
}
