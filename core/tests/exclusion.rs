//! Instances that operators have excluded stay so, whatever the list says of them meanwhile.

use frosttrail::{Health, Id, ListUpdateKind, ServerEntry};
use frosttrail_core::{ExclusionError, Exclusions};

const SLOW_START_US: u64 = 13_000_000;

fn entry(name: &str, health: Health, started: u64) -> ServerEntry {
    ServerEntry { server: name.into(), rack: 0, kind: 0, zone: 0, started, health }
}

fn two_listed_instances() -> Exclusions {
    let mut exclusions = Exclusions::new([], SLOW_START_US);
    exclusions.apply_update(1, ListUpdateKind::Full, &[entry("a", Health::Up, 0), entry("b", Health::Up, 0)]);
    exclusions
}

#[test]
fn an_exclusion_survives_lists_absence_return_and_restart() {
    let (mut exclusions, a) = (two_listed_instances(), Id::from("a"));
    exclusions.exclude(&a).unwrap();
    let first_health = |entries: Vec<ServerEntry>| entries[0].health;
    assert_eq!(
        first_health(exclusions.apply_update(2, ListUpdateKind::Changes, &[entry("a", Health::Up, 0)])),
        Health::Draining
    );
    assert_eq!(
        first_health(exclusions.apply_update(3, ListUpdateKind::Changes, &[entry("a", Health::Gone, 0)])),
        Health::Gone
    );
    // Still known while it is absent, and still excluded when it is back.
    exclusions.exclude(&a).unwrap();
    assert_eq!(
        first_health(exclusions.apply_update(4, ListUpdateKind::Full, &[entry("a", Health::Up, 9)])),
        Health::Draining
    );
    assert!(exclusions.is_excluded(&a));
}

#[test]
fn one_inclusion_undoes_two_exclusions_and_alone_changes_nothing() {
    let (mut exclusions, a) = (two_listed_instances(), Id::from("a"));
    exclusions.include(5, &a).unwrap();
    assert_eq!(exclusions.effective_entry(&a).unwrap().started, 0);
    exclusions.exclude(&a).unwrap();
    exclusions.exclude(&a).unwrap();
    exclusions.include(6, &a).unwrap();
    assert_eq!(exclusions.effective_entry(&a).unwrap().health, Health::Up);
    assert!(!exclusions.is_excluded(&a));
}

#[test]
fn an_unknown_id_is_rejected() {
    let (mut exclusions, c) = (two_listed_instances(), Id::from("c"));
    assert_eq!(exclusions.exclude(&c), Err(ExclusionError::Unknown));
    assert_eq!(exclusions.include(1, &c), Err(ExclusionError::Unknown));
    exclusions.apply_update(2, ListUpdateKind::Full, &[entry("b", Health::Up, 0)]);
    assert_eq!(exclusions.exclude(&"a".into()), Err(ExclusionError::Unknown));
}

#[test]
fn an_included_instance_counts_as_started_then() {
    let (mut exclusions, a) = (two_listed_instances(), Id::from("a"));
    exclusions.exclude(&a).unwrap();
    exclusions.include(100, &a).unwrap();
    assert_eq!(exclusions.effective_entry(&a).unwrap().started, 100);
    // A later start from the list counts, and a list that lags does not end the slow start.
    let later = exclusions.apply_update(101, ListUpdateKind::Changes, &[entry("a", Health::Up, 150)]);
    assert_eq!(later[0].started, 150);
    let lagging = exclusions.apply_update(102, ListUpdateKind::Full, &[entry("a", Health::Up, 0)]);
    assert_eq!(lagging[0].started, 100);
    let warm =
        exclusions.apply_update(100 + SLOW_START_US, ListUpdateKind::Full, &[entry("a", Health::Up, 0)]);
    assert_eq!(warm[0].started, 0);
}

#[test]
fn earlier_exclusions_hold_from_the_first_list_on() {
    let mut exclusions = Exclusions::new(["a".into()], SLOW_START_US);
    let first = exclusions.apply_update(1, ListUpdateKind::StaleCopy, &[entry("a", Health::Up, 0)]);
    assert_eq!(first[0].health, Health::Draining);
}
