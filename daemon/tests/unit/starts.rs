use frosttrail::Health;

use super::*;

const SECOND: Micros = 1_000_000;
const HOUR: Micros = 3_600 * SECOND;
const NOW: Micros = 10 * HOUR;

fn server(name: &str) -> Id {
    name.into()
}

#[test]
fn a_start_stays_where_it_was_told_first() {
    let mut starts = Starts::default();
    assert_eq!(starts.started(&server("a"), 0, 0, NOW), 0, "long ago");
    assert_eq!(starts.started(&server("a"), 7, NOW + HOUR, NOW), NOW, "never in the future");
    assert_eq!(starts.started(&server("a"), 7, NOW + HOUR, NOW + SECOND), NOW);
    assert_eq!(starts.started(&server("a"), 8, NOW + HOUR, NOW + SECOND), NOW + SECOND, "started anew");
}

#[test]
fn news_of_a_start_is_no_older_than_the_list_before() {
    let mut starts = Starts::default();
    assert_eq!(starts.started(&server("a"), 7, NOW - HOUR, NOW), NOW - HOUR, "nothing was heard before");
    starts.heard(NOW);
    let later = NOW + 20 * SECOND;
    assert_eq!(starts.started(&server("a"), 7, NOW - HOUR, later), NOW - HOUR, "told before");
    assert_eq!(starts.started(&server("b"), 9, NOW - HOUR, later), NOW - LISTED_WITHIN);
    assert_eq!(starts.started(&server("c"), 9, NOW + SECOND, later), NOW + SECOND, "after an outage");
    starts.moved();
    assert_eq!(starts.started(&server("d"), 9, NOW - HOUR, later), NOW - HOUR);
}

#[test]
fn what_is_remembered_has_a_bound() {
    let mut starts = Starts::default();
    for n in 0..2 * REMEMBERED_MAX {
        starts.started(&server(&n.to_string()), 7, NOW, NOW);
    }
    assert_eq!(starts.known.len(), REMEMBERED_MAX);
    let (server, health) = (server("3"), Health::Up);
    starts.forget_but(&[ServerEntry { server, rack: 0, kind: 0, zone: 0, started: 0, health }]);
    assert_eq!(starts.known.len(), 1);
}
