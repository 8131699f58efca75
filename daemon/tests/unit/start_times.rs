use frosttrail::Health;

use super::*;

const SECOND: Micros = 1_000_000;
const HOUR: Micros = 3_600 * SECOND;
const NOW: Micros = 10 * HOUR;

fn server(name: &str) -> Id {
    name.into()
}

#[test]
fn a_known_start_time_does_not_change() {
    let mut starts = StartTimes::default();
    assert_eq!(starts.start_time(&server("a"), 0, 0, NOW), 0, "a boot time of zero means long ago");
    assert_eq!(starts.start_time(&server("a"), 7, NOW + HOUR, NOW), NOW, "a start is never in the future");
    assert_eq!(starts.start_time(&server("a"), 7, NOW + HOUR, NOW + SECOND), NOW);
    assert_eq!(
        starts.start_time(&server("a"), 8, NOW + HOUR, NOW + SECOND),
        NOW + SECOND,
        "a new boot time is a restart"
    );
}

#[test]
fn a_new_start_is_no_older_than_the_last_contact_allows() {
    let mut starts = StartTimes::default();
    assert_eq!(starts.start_time(&server("a"), 7, NOW - HOUR, NOW), NOW - HOUR, "no contact before");
    starts.record_contact(NOW);
    let later = NOW + 20 * SECOND;
    assert_eq!(starts.start_time(&server("a"), 7, NOW - HOUR, later), NOW - HOUR, "already known");
    assert_eq!(starts.start_time(&server("b"), 9, NOW - HOUR, later), NOW - MAX_LISTING_DELAY);
    assert_eq!(
        starts.start_time(&server("c"), 9, NOW + SECOND, later),
        NOW + SECOND,
        "after an outage the converted time counts"
    );
    starts.reset_contact();
    assert_eq!(starts.start_time(&server("d"), 9, NOW - HOUR, later), NOW - HOUR);
}

#[test]
fn the_number_of_remembered_starts_is_limited() {
    let mut starts = StartTimes::default();
    for n in 0..2 * MAX_REMEMBERED_STARTS {
        starts.start_time(&server(&n.to_string()), 7, NOW, NOW);
    }
    assert_eq!(starts.known.len(), MAX_REMEMBERED_STARTS);
    let (server, health) = (server("3"), Health::Up);
    starts.retain_listed(&[ServerEntry { server, rack: 0, kind: 0, zone: 0, started: 0, health }]);
    assert_eq!(starts.known.len(), 1);
}
