//! Random steps over a holder, two takers and connections that fail in every way: always whole or freed
//! within a second, never two owners, never an unproven byte visible, memory within its bound.

mod support;

use frosttrail_transfer::{receiver, sender};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use support::*;

#[derive(Clone, Copy, Debug)]
enum Step {
    Put(u8, u16),
    Fetch(usize, u8, bool),
    Drop(usize, u8),
    Frames(u8),
    Advance(u8),
    Flip(u8),
    Cut,
    Dark(bool),
    ReleaseAtHolder(u8),
    ReleaseUnclaimed(u8),
    ReleaseAtTaker(usize, u8),
    DropStates,
    Restart,
    Drain(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let (name, taker) = (u8::arbitrary(g) % 3, usize::arbitrary(g) % 2);
        match u8::arbitrary(g) % 32 {
            0..=4 => Step::Put(name, u16::arbitrary(g)),
            5..=10 => Step::Fetch(taker, name, bool::arbitrary(g)),
            11 => Step::Drop(taker, name),
            12..=17 => Step::Frames(u8::arbitrary(g) % 16),
            18..=21 => Step::Advance(u8::arbitrary(g) % 40),
            22..=23 => Step::Flip(u8::arbitrary(g) % 6),
            24..=25 => Step::Cut,
            26..=27 => Step::Dark(bool::arbitrary(g)),
            28 => Step::ReleaseAtHolder(name),
            29 => Step::ReleaseAtTaker(taker, name),
            30 if bool::arbitrary(g) => Step::ReleaseUnclaimed(name),
            30 => Step::DropStates,
            _ if u8::arbitrary(g) % 4 == 0 => Step::Drain(u8::arbitrary(g) % 100),
            _ => Step::Restart,
        }
    }
}

/// Room for about two of the larger states.
const MEMORY: u64 = 100_000;

fn small() -> (sender::Limits, receiver::Limits) {
    let sender = sender::Limits { max_in_flight_bytes: 6 * u64::from(CHUNK), ..Default::default() };
    let receiver =
        receiver::Limits { max_memory_bytes: MEMORY, window_bytes: 4 * CHUNK, ..Default::default() };
    (sender, receiver)
}

fn run(steps: Vec<Step>) {
    let (sender, receiver) = small();
    let mut world = World::new(2, sender, receiver);
    for step in steps {
        match step {
            Step::Put(name, length) => {
                let _ = world.put(name, usize::from(length) + 1);
            }
            Step::Fetch(taker, name, due) => {
                let due = due.then_some(world.now + 300_000);
                // One attempt is out at any moment: the one before has ended, though not all have heard.
                world.drop_fetches(1 - taker, name);
                let _ = world.fetch(taker, name, due);
            }
            Step::Drop(taker, name) => world.drop_fetches(taker, name),
            Step::Frames(count) => world.frames(usize::from(count)),
            Step::Advance(slices) => world.advance(u64::from(slices) * SLICE),
            Step::Flip(chunks) => world.flips = u32::from(chunks),
            Step::Cut => world.cut_all(),
            Step::Dark(dark) => world.dark = dark,
            Step::ReleaseAtHolder(name) => world.holder.release(&id(name)),
            Step::ReleaseUnclaimed(name) => world.holder.release_unclaimed(&id(name), None),
            Step::ReleaseAtTaker(taker, name) => world.takers[taker].machine.release(&id(name)),
            Step::DropStates => world.drop_states(),
            Step::Restart => world.restart_holder(),
            Step::Drain(slices) => {
                world.holder.drain(world.now, world.now + u64::from(slices) * SLICE);
            }
        }
        world.settle();
        for taker in &world.takers {
            assert!(taker.machine.moves().2 <= MEMORY, "over its memory");
        }
        let in_flight = world.holder.moves().1;
        assert!(in_flight <= 8 * u64::from(CHUNK), "{in_flight} bytes in flight");
    }
    // Whatever has happened: with the requests gone, dark or not, nothing is left after a second.
    let dark = world.dark;
    for taker in 0..2 {
        for name in 0..3 {
            world.drop_fetches(taker, name);
        }
    }
    world.drop_states();
    world.advance(RULE);
    assert_eq!(world.holder.held(), (0, 0), "left at the holder, dark: {dark}");
    for taker in &world.takers {
        assert_eq!(taker.machine.moves(), (0, 0, 0), "left at a taker, dark: {dark}");
    }
    // And it all still works.
    world.dark = false;
    world.flips = 0;
    if !world.holder.draining() {
        world.put(9, 30_000).unwrap();
        let token = world.fetch(0, 9, None).unwrap();
        world.advance(RULE);
        assert!(world.takers[0].ends[&token].is_ok(), "{:?}", world.takers[0].ends[&token]);
    }
}

#[test]
fn always_whole_or_freed_and_never_two_owners() {
    QuickCheck::new().rng(Gen::from_size_and_seed(80, 7)).tests(1_500).quickcheck(run as fn(Vec<Step>));
}

#[test]
fn a_fetch_over_a_good_link_brings_the_state_and_frees_the_holder() {
    let (sender, receiver) = small();
    let mut world = World::new(2, sender, receiver);
    world.put(1, 50_000).unwrap();
    let token = world.fetch(0, 1, None).unwrap();
    world.advance(SLICE);
    assert!(world.takers[0].ends[&token].is_ok());
    assert_eq!(world.holder.held(), (0, 0));
    assert!(world.sent.values().all(|n| *n == 1), "each chunk once");
}
