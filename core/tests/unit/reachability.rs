//! Unit tests of the order in which a release calls servers.

use super::*;
use quickcheck::{Gen, QuickCheck};

fn entry(name: &str, zone: usize) -> ServerEntry {
    let health = Health::Up;
    ServerEntry { server: name.into(), rack: 0, kind: 0, zone, started: 0, health }
}

fn fleet() -> Reachability {
    let mut reachability = Reachability::default();
    let entries: Vec<ServerEntry> = ["a1", "a2", "a3"]
        .map(|n| entry(n, 0))
        .into_iter()
        .chain(["b1", "b2"].map(|n| entry(n, 1)))
        .collect();
    reachability.apply_update(ListUpdateKind::Full, &entries);
    reachability
}

fn order(reachability: &Reachability, sent_to: &[&str]) -> Vec<String> {
    let sent_to: Vec<Id> = sent_to.iter().map(|s| Id::from(*s)).collect();
    reachability.call_order(&sent_to).iter().map(Id::to_string).collect()
}

#[test]
fn servers_that_answered_last_come_first_and_silent_ones_last() {
    let mut reachability = fleet();
    for (id, outcome, at) in [
        ("a1", Outcome::PrefillDone, 10),
        ("a2", Outcome::Rejected, 20),
        ("a2", Outcome::NoConnection, 30),
        ("b1", Outcome::Served, 5),
        ("b2", Outcome::NoAnswer, 6),
    ] {
        reachability.record_outcome(&id.into(), outcome, at);
    }
    assert_eq!(order(&reachability, &["a2", "a1", "x"]), ["a1", "b1", "a3", "a2", "b2", "x"]);
}

#[test]
fn zones_take_turns_and_earlier_servers_come_first_among_equals() {
    assert_eq!(order(&fleet(), &["a3"]), ["a3", "b1", "a1", "b2", "a2"]);
}

#[test]
fn a_list_update_keeps_the_contacts_of_servers_that_stay() {
    let mut reachability = fleet();
    reachability.record_outcome(&"a3".into(), Outcome::PrefillDone, 10);
    reachability.record_outcome(&"b2".into(), Outcome::NoConnection, 10);
    reachability.apply_update(ListUpdateKind::Full, &[entry("a1", 0), entry("a3", 0), entry("b2", 0)]);
    assert_eq!(order(&reachability, &[]), ["a3", "a1", "b2"]);
    reachability
        .apply_update(ListUpdateKind::Changes, &[ServerEntry { health: Health::Gone, ..entry("a3", 0) }]);
    assert_eq!((order(&reachability, &[]), reachability.listed_count()), (vec!["a1".into(), "b2".into()], 2));
}

/// Whatever was reported, each server comes once, and none that answered comes after a silent one. If
/// servers of both zones answered, the first two come from different zones.
#[test]
fn a_call_order_names_every_server_once() {
    fn holds(reports: Vec<(u8, bool)>) -> bool {
        let mut reachability = fleet();
        let names = ["a1", "a2", "a3", "b1", "b2"];
        for (at, (which, has_answered)) in reports.iter().enumerate() {
            let outcome = if *has_answered { Outcome::Served } else { Outcome::NoConnection };
            reachability.record_outcome(&names[usize::from(*which) % 5].into(), outcome, 1 + at as Micros);
        }
        let order = reachability.call_order(&[]);
        let silent: Vec<bool> = order
            .iter()
            .map(|id| reachability.servers[id])
            .map(|k| k.last_unanswered_at > k.last_answered_at)
            .collect();
        let good = silent.iter().filter(|s| !**s).count();
        let zones = |n: usize| order[..n].iter().map(|id| reachability.servers[id].zone).collect::<Vec<_>>();
        let both = [0, 1].iter().all(|z| zones(good).contains(z));
        let mut sorted = order.clone();
        sorted.sort();
        sorted.iter().map(Id::to_string).eq(names)
            && silent.is_sorted()
            && (!both || zones(2)[0] != zones(2)[1])
    }
    let gen = Gen::from_size_and_seed(24, 0x0b0e);
    QuickCheck::new().rng(gen).tests(400).quickcheck(holds as fn(Vec<(u8, bool)>) -> bool);
}

/// With thousands of servers too, a call gets servers of all zones to try, and no more than it needs.
#[test]
fn a_large_list_yields_a_few_servers_of_each_zone_and_the_earlier_ones() {
    let mut reachability = Reachability::default();
    let entries: Vec<ServerEntry> = (0..3_000).map(|n| entry(&format!("s{n:04}"), n % 3)).collect();
    reachability.apply_update(ListUpdateKind::Full, &entries);
    reachability.record_outcome(&"s2999".into(), Outcome::Served, 10);
    reachability.record_outcome(&"s0001".into(), Outcome::NoAnswer, 20);
    let order = order(&reachability, &["s2000", "s0001"]);
    assert_eq!(order[0], "s2999");
    assert!(order.contains(&"s2000".to_string()) && order.last() == Some(&"s0001".to_string()));
    let zones: Vec<usize> = order.iter().map(|id| reachability.servers[&Id::from(&**id)].zone).collect();
    assert!([0, 1, 2].iter().all(|zone| zones[..3].contains(zone)), "zones take turns: {zones:?}");
    assert!(order.len() <= 3 * MAX_CANDIDATES_PER_ZONE + 3, "{}", order.len());
}
