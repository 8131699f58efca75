//! Instances that join, leave, are killed and restarted, over a network that loses, delays and reorders, and
//! that falls apart; their clocks run apart too. At every moment the parts of all add up to at most 1, and
//! once it is quiet each has what it should.

mod support;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use support::*;

/// Places at which an instance may run.
const PLACES: usize = 8;

#[derive(Clone, Copy, Debug)]
enum Step {
    Join(usize),
    Leave(usize),
    Kill(usize),
    Run(u16),
    Loss(u32),
    Delay(u16),
    Cut(u8),
    Whole,
    Traffic(usize, u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let place = usize::arbitrary(g) % PLACES;
        match u8::arbitrary(g) % 24 {
            0..=6 => Step::Join(place),
            7 => Step::Leave(place),
            8..=9 => Step::Kill(place),
            10..=17 => Step::Run(u16::arbitrary(g) % 4_000),
            18 => Step::Loss(u32::arbitrary(g) % 60),
            19 => Step::Delay(u16::arbitrary(g) % 2_000),
            20..=21 => Step::Cut(u8::arbitrary(g)),
            22 => Step::Whole,
            _ => Step::Traffic(place, u8::arbitrary(g)),
        }
    }
}

fn run(seed: u64, steps: Vec<Step>) {
    let mut world = World::new(seed, PLACES);
    for step in steps {
        match step {
            Step::Join(place) => world.join(place),
            Step::Leave(place) => world.leave(place),
            Step::Kill(place) => world.kill(place),
            Step::Run(ms) => world.run(u64::from(ms) * 1_000),
            Step::Loss(percent) => world.loss = percent,
            Step::Delay(ms) => world.delay = u64::from(ms) * 1_000,
            Step::Cut(sides) => world.side = (0..PLACES).map(|p| (sides >> p) & 1 == 1).collect(),
            Step::Whole => world.side = vec![false; PLACES],
            Step::Traffic(place, per_second) => {
                if let Some(node) = world.nodes.get_mut(&place) {
                    node.instance.traffic(f64::from(per_second));
                }
            }
        }
        world.check();
    }
    // Quiet, and a majority of voters is there: each gets what it should.
    (world.loss, world.delay, world.side) = (0, 5_000, vec![false; PLACES]);
    world.join(0);
    world.join(1);
    world.run(15_000_000);
    assert_eq!(world.keepers(), 1);
    let parts = world.parts();
    assert!(parts > 0.82, "only {parts} of it is used");
    for node in world.nodes.values() {
        let part = node.instance.quota_share(node.local(world.now));
        let least = 0.4 * 0.9 / world.nodes.len() as f64;
        assert!(part > least, "{} of life {} has {part}", node.place, node.life);
    }
}

#[test]
fn parts_never_add_up_to_more_than_one_and_settle_once_it_is_quiet() {
    let mut histories = QuickCheck::new().rng(Gen::from_size_and_seed(60, 21)).tests(400);
    histories.quickcheck(run as fn(u64, Vec<Step>));
}

#[test]
fn a_voter_that_has_restarted_does_not_help_a_second_keeper_into_place() {
    for seed in 0..20 {
        let mut world = World::new(seed, PLACES);
        for place in [0, 1, 2, 5] {
            world.join(place);
        }
        world.run(8_000_000);
        let keeper = (0..VOTERS).find(|p| world.nodes[p].instance.is_leader(world.nodes[p].local(world.now)));
        let keeper = keeper.unwrap();
        // The keeper and one instance on one side; the other voters, one of them new, on the other.
        world.kill((keeper + 1) % VOTERS);
        world.join((keeper + 1) % VOTERS);
        world.side[keeper] = true;
        world.side[5] = true;
        world.run(12_000_000);
        assert_eq!(world.keepers(), 1);
    }
}

fn settled(places: &[usize]) -> World {
    let mut world = World::new(3, PLACES);
    for place in places {
        world.join(*place);
    }
    world.run(8_000_000);
    assert_eq!(world.keepers(), 1);
    assert!(world.parts() > 0.9, "{}", world.parts());
    world
}

fn part(world: &World, place: usize) -> f64 {
    let node = &world.nodes[&place];
    node.instance.quota_share(node.local(world.now))
}

#[test]
fn a_join_is_felt_by_the_others_before_it_has_more_than_its_floor() {
    let mut world = settled(&[0, 1, 2]);
    let floor = world.lease_config.floor_share();
    world.join(5);
    assert_eq!(part(&world, 5), floor);
    let others = [0, 1, 2].map(|p| part(&world, p));
    while part(&world, 5) <= floor {
        world.run(1_000);
    }
    let less = [0, 1, 2].map(|p| part(&world, p));
    assert!(less.iter().zip(others).any(|(l, o)| *l < o));
    world.run(1_000_000);
    assert!(part(&world, 5) > 0.2, "{}", part(&world, 5));
}

#[test]
fn neither_side_of_a_partition_takes_the_whole() {
    let mut world = settled(&[0, 1, 2, 3, 4, 5]);
    // Place 2, a voter, and two without a vote are cut off.
    world.side = vec![false, false, true, false, true, true, false, false];
    world.run(10_000_000);
    let floor = world.lease_config.floor_share();
    for place in [2, 4, 5] {
        assert_eq!(part(&world, place), floor, "on the side with fewer voters");
    }
    assert!([0, 1, 3].iter().map(|p| part(&world, *p)).sum::<f64>() > 0.85);
    world.side = vec![false; PLACES];
    world.run(3_000_000);
    assert!(part(&world, 4) > 0.1 && world.keepers() == 1);
}

#[test]
fn what_leaves_gives_back_at_once_and_what_is_killed_after_a_lease() {
    let mut world = settled(&[0, 1, 2, 3, 6, 7]);
    let before = part(&world, 6);
    world.leave(7);
    world.run(1_000_000);
    let after = part(&world, 6);
    assert!(after > before * 1.2, "{before} {after}");
    world.kill(3);
    world.run(2_000_000);
    world.run(2_500_000);
    assert!(part(&world, 6) > after * 1.15 && world.parts() > 0.85, "{} {}", part(&world, 6), world.parts());
}

#[test]
fn a_keeper_that_is_killed_is_followed_by_another_and_never_by_two() {
    let mut world = settled(&[0, 1, 2, 3]);
    let keeper = (0..VOTERS).find(|p| world.nodes[p].instance.is_leader(world.nodes[p].local(world.now)));
    world.kill(keeper.unwrap());
    let mut most = 0;
    for _ in 0..800 {
        world.run(10_000);
        most = most.max(world.keepers());
    }
    assert_eq!((most, world.keepers()), (1, 1));
    assert!(world.parts() > 0.85);
    // All voters at once: nobody grants anything that might still be out.
    for place in 0..VOTERS {
        world.kill(place);
    }
    for place in 0..VOTERS {
        world.join(place);
    }
    world.run(9_000_000);
    assert!(world.parts() > 0.85, "{}", world.parts());
}
