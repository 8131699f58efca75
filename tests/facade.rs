//! The facade in blocking style: verdicts in order, attempts numbered, timers kept.

mod support;

use std::sync::Arc;

use frosttrail::*;
use support::{entry, query, MS, SEC};

const NOW: Micros = 100 * SEC;

fn of_effect(effect: Effect, query: Query) -> Query {
    let class = Arc::new(Class { effect, ..Class::example() });
    Query { class, ..query }
}

fn facade() -> Facade {
    let mut facade = Facade::new(Settings::example(), 7);
    facade.members(NOW, ListForm::Full, vec![entry("reader", 0), entry("writer", 1)]);
    facade
}

fn ended(outcome: Outcome) -> Report {
    Report::Ended { outcome, kept_tokens: 0, load: None }
}

/// The verdicts' kinds; a send by its server.
fn kinds(verdicts: &Verdicts) -> Vec<String> {
    let kind = |(_, verdict): &(Id, Verdict)| match verdict {
        Verdict::Send { server, .. } => server.to_string(),
        other => format!("{other:?}").split(' ').next().unwrap_or_default().to_string(),
    };
    verdicts.requests.iter().map(kind).collect()
}

#[test]
fn a_request_goes_its_way_by_reports() {
    let (mut facade, id) = (facade(), Id::from("a"));
    assert_eq!(kinds(&facade.pick(NOW, of_effect(Effect::Unsafe, query("a", 1_000))).unwrap()), ["reader"]);
    assert!(facade.pick(NOW, of_effect(Effect::Unsafe, query("a", 1_000))).is_none(), "the id is in use");
    assert_eq!(kinds(&facade.report(NOW + 30 * MS, &id, ended(Outcome::ReadDone))), ["writer"]);
    assert!(kinds(&facade.report(NOW + 50 * MS, &id, Report::Started)).is_empty());
    assert!(kinds(&facade.report(NOW + 90 * MS, &id, ended(Outcome::Served))).is_empty());
    assert!(kinds(&facade.report(NOW + 90 * MS, &id, Report::Left)).is_empty(), "nothing is left to do");
    assert!(
        facade.pick(NOW + 91 * MS, of_effect(Effect::Unsafe, query("a", 1_000))).is_some(),
        "the id is free again"
    );
}

#[test]
fn leaving_calls_off_what_is_out_and_lets_go() {
    let (mut facade, id) = (facade(), Id::from("a"));
    facade.pick(NOW, of_effect(Effect::Unsafe, query("a", 1_000)));
    facade.report(NOW + 30 * MS, &id, ended(Outcome::ReadDone));
    assert_eq!(kinds(&facade.report(NOW + 40 * MS, &id, Report::Left)), ["Cancel", "Release"]);
}

#[test]
fn reports_on_what_is_not_out_change_nothing() {
    let (mut facade, id) = (facade(), Id::from("a"));
    assert_eq!(facade.report(NOW, &id, Report::Started), Verdicts::default());
    assert_eq!(facade.report(NOW, &id, ended(Outcome::Served)), Verdicts::default());
    assert_eq!(facade.report(NOW, &id, Report::Left), Verdicts::default());
}

#[test]
fn closing_fails_what_may_have_run_and_refuses_the_rest() {
    let mut facade = facade();
    for id in ["reads", "writes", "streams"] {
        facade.pick(NOW, of_effect(Effect::Unsafe, query(id, 1_000)));
        if id != "reads" {
            facade.report(NOW + 10 * MS, &id.into(), ended(Outcome::ReadDone));
        }
    }
    facade.report(NOW + 20 * MS, &"streams".into(), Report::Started);
    let verdicts = facade.close(NOW + 30 * MS);
    let of = |id: &str| {
        let own = verdicts.requests.iter().filter(|(of, _)| &**of == id).cloned().collect();
        kinds(&Verdicts { requests: own, ..Verdicts::default() })
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
    facade.pick(NOW, query("a", 1_000));
    let (mut at, mut last) = (NOW, Vec::new());
    while last.is_empty() && at < NOW + 10 * SEC {
        let due = facade.wake_at().expect("a timer runs for as long as the facade is used");
        assert!(due > at, "each tick sets the next one later");
        at = due;
        last = kinds(&facade.tick(at));
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
        facade.members(now, ListForm::Full, entries);
        let id = Id::from(format!("request {n}").as_str());
        facade.pick(now, query(&id, 1_000)).unwrap();
        facade.report(now + 30 * MS, &id, ended(Outcome::ReadDone));
        let outcome = if n % 3 == 0 { Outcome::ConnectionLost } else { Outcome::Served };
        facade.report(now + 90 * MS, &id, ended(outcome));
        facade.report(now + 95 * MS, &id, Report::Left);
        for ms in (100..1_000).step_by(10) {
            facade.tick(now + ms * MS);
        }
        let half = usize::from(n >= 200);
        most[half] = facade.entries().max(most[half]);
    }
    assert!(most[1] <= most[0] && most[0] < 200, "{most:?}");
}
