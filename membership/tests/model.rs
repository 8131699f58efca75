//! Simulates instances that join, leave, are killed and restart, with drifting clocks and over a network that
//! loses, delays and reorders messages and is partitioned. At every moment the shares of all add up to at
//! most 1, and after the faults end each instance gets its share.

mod support;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use support::*;

/// Number of hosts, each of which runs at most one instance at a time.
const HOSTS: usize = 8;

#[derive(Clone, Copy, Debug)]
enum Step {
    Join(usize),
    Leave(usize),
    Kill(usize),
    Advance(u16),
    SetLoss(u32),
    SetDelay(u16),
    Partition(u8),
    HealPartition,
    SetRequestRate(usize, u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let host = usize::arbitrary(g) % HOSTS;
        match u8::arbitrary(g) % 24 {
            0..=6 => Step::Join(host),
            7 => Step::Leave(host),
            8..=9 => Step::Kill(host),
            10..=17 => Step::Advance(u16::arbitrary(g) % 4_000),
            18 => Step::SetLoss(u32::arbitrary(g) % 60),
            19 => Step::SetDelay(u16::arbitrary(g) % 2_000),
            20..=21 => Step::Partition(u8::arbitrary(g)),
            22 => Step::HealPartition,
            _ => Step::SetRequestRate(host, u8::arbitrary(g)),
        }
    }
}

fn check_history(seed: u64, steps: Vec<Step>) {
    let mut simulation = Simulation::new(seed, HOSTS);
    for step in steps {
        match step {
            Step::Join(host) => simulation.join(host),
            Step::Leave(host) => simulation.leave(host),
            Step::Kill(host) => simulation.kill(host),
            Step::Advance(ms) => simulation.advance(u64::from(ms) * 1_000),
            Step::SetLoss(percent) => simulation.loss_percent = percent,
            Step::SetDelay(ms) => simulation.max_delay = u64::from(ms) * 1_000,
            Step::Partition(sides) => {
                simulation.partition_side = (0..HOSTS).map(|host| (sides >> host) & 1 == 1).collect()
            }
            Step::HealPartition => simulation.partition_side = vec![false; HOSTS],
            Step::SetRequestRate(host, per_second) => {
                if let Some(node) = simulation.nodes.get_mut(&host) {
                    node.instance.set_request_rate(f64::from(per_second));
                }
            }
        }
        simulation.check_total_share();
    }
    // The faults end, and a majority of acceptors runs: each instance must get its share.
    (simulation.loss_percent, simulation.max_delay, simulation.partition_side) =
        (0, 5_000, vec![false; HOSTS]);
    simulation.join(0);
    simulation.join(1);
    simulation.advance(15_000_000);
    assert_eq!(simulation.leader_count(), 1);
    let total_share = simulation.total_share();
    assert!(total_share > 0.82, "only {total_share} of the quota is used");
    for node in simulation.nodes.values() {
        let share = node.instance.quota_share(node.local_time(simulation.now));
        let min_share = 0.4 * 0.9 / simulation.nodes.len() as f64;
        assert!(share > min_share, "start {} on host {} has {share}", node.start_count, node.host);
    }
}

#[test]
fn shares_never_exceed_the_quota_and_converge_after_faults_end() {
    let mut histories = QuickCheck::new().rng(Gen::from_size_and_seed(60, 21)).tests(400);
    histories.quickcheck(check_history as fn(u64, Vec<Step>));
}

#[test]
fn a_restarted_acceptor_does_not_help_elect_a_second_leader() {
    for seed in 0..20 {
        let mut simulation = Simulation::new(seed, HOSTS);
        for host in [0, 1, 2, 5] {
            simulation.join(host);
        }
        simulation.advance(8_000_000);
        let leader = (0..ACCEPTORS).find(|host| {
            simulation.nodes[host].instance.is_leader(simulation.nodes[host].local_time(simulation.now))
        });
        let leader = leader.unwrap();
        // The leader and one other instance are on one side of the partition, and the other acceptors, one of
        // them restarted, on the other.
        simulation.kill((leader + 1) % ACCEPTORS);
        simulation.join((leader + 1) % ACCEPTORS);
        simulation.partition_side[leader] = true;
        simulation.partition_side[5] = true;
        simulation.advance(12_000_000);
        assert_eq!(simulation.leader_count(), 1);
    }
}

fn settled_simulation(hosts: &[usize]) -> Simulation {
    let mut simulation = Simulation::new(3, HOSTS);
    for host in hosts {
        simulation.join(*host);
    }
    simulation.advance(8_000_000);
    assert_eq!(simulation.leader_count(), 1);
    assert!(simulation.total_share() > 0.9, "{}", simulation.total_share());
    simulation
}

fn quota_share(simulation: &Simulation, host: usize) -> f64 {
    let node = &simulation.nodes[&host];
    node.instance.quota_share(node.local_time(simulation.now))
}

#[test]
fn a_joining_instance_exceeds_its_floor_only_after_another_share_decreases() {
    let mut simulation = settled_simulation(&[0, 1, 2]);
    let floor_share = simulation.lease_config.floor_share();
    simulation.join(5);
    assert_eq!(quota_share(&simulation, 5), floor_share);
    let shares_before = [0, 1, 2].map(|host| quota_share(&simulation, host));
    while quota_share(&simulation, 5) <= floor_share {
        simulation.advance(1_000);
    }
    let shares_after = [0, 1, 2].map(|host| quota_share(&simulation, host));
    assert!(shares_after.iter().zip(shares_before).any(|(after, before)| *after < before));
    simulation.advance(1_000_000);
    assert!(quota_share(&simulation, 5) > 0.2, "{}", quota_share(&simulation, 5));
}

#[test]
fn neither_side_of_a_partition_takes_the_whole_quota() {
    let mut simulation = settled_simulation(&[0, 1, 2, 3, 4, 5]);
    // Host 2, an acceptor, and hosts 4 and 5, which are none, are cut off.
    simulation.partition_side = vec![false, false, true, false, true, true, false, false];
    simulation.advance(10_000_000);
    let floor_share = simulation.lease_config.floor_share();
    for host in [2, 4, 5] {
        assert_eq!(
            quota_share(&simulation, host),
            floor_share,
            "host {host}, on the side with fewer acceptors"
        );
    }
    assert!([0, 1, 3].iter().map(|host| quota_share(&simulation, *host)).sum::<f64>() > 0.85);
    simulation.partition_side = vec![false; HOSTS];
    simulation.advance(3_000_000);
    assert!(quota_share(&simulation, 4) > 0.1 && simulation.leader_count() == 1);
}

#[test]
fn a_leaving_instance_frees_its_share_at_once_and_a_killed_one_after_its_lease() {
    let mut simulation = settled_simulation(&[0, 1, 2, 3, 6, 7]);
    let before = quota_share(&simulation, 6);
    simulation.leave(7);
    simulation.advance(1_000_000);
    let after = quota_share(&simulation, 6);
    assert!(after > before * 1.2, "{before} {after}");
    simulation.kill(3);
    simulation.advance(2_000_000);
    simulation.advance(2_500_000);
    assert!(
        quota_share(&simulation, 6) > after * 1.15 && simulation.total_share() > 0.85,
        "{} {}",
        quota_share(&simulation, 6),
        simulation.total_share()
    );
}

#[test]
fn a_killed_leader_is_replaced_by_exactly_one_leader() {
    let mut simulation = settled_simulation(&[0, 1, 2, 3]);
    let leader = (0..ACCEPTORS).find(|host| {
        simulation.nodes[host].instance.is_leader(simulation.nodes[host].local_time(simulation.now))
    });
    simulation.kill(leader.unwrap());
    let mut max_leaders = 0;
    for _ in 0..800 {
        simulation.advance(10_000);
        max_leaders = max_leaders.max(simulation.leader_count());
    }
    assert_eq!((max_leaders, simulation.leader_count()), (1, 1));
    assert!(simulation.total_share() > 0.85);
    // All acceptors restart at once: no share is granted that a lease from before may still cover.
    for host in 0..ACCEPTORS {
        simulation.kill(host);
    }
    for host in 0..ACCEPTORS {
        simulation.join(host);
    }
    simulation.advance(9_000_000);
    assert!(simulation.total_share() > 0.85, "{}", simulation.total_share());
}
