//! Random steps over a simulated sender, two receivers and failing connections. KV caches must arrive
//! complete or be freed within a second and never have two owners, unverified bytes must never be visible,
//! and memory must stay within its limit.

mod support;

use frosttrail_transfer::{receiver, sender};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use support::*;

#[derive(Clone, Copy, Debug)]
enum Step {
    Store(u8, u16),
    Fetch(usize, u8, bool),
    CancelFetches(usize, u8),
    DeliverFrames(u8),
    Advance(u8),
    CorruptChunks(u8),
    CloseConnections,
    SetOffline(bool),
    ReleaseAtSender(u8),
    ReleaseUnclaimed(u8),
    ReleaseAtReceiver(usize, u8),
    DropReceived,
    RestartSender,
    Drain(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let (name, receiver) = (u8::arbitrary(g) % 3, usize::arbitrary(g) % 2);
        match u8::arbitrary(g) % 32 {
            0..=4 => Step::Store(name, u16::arbitrary(g)),
            5..=10 => Step::Fetch(receiver, name, bool::arbitrary(g)),
            11 => Step::CancelFetches(receiver, name),
            12..=17 => Step::DeliverFrames(u8::arbitrary(g) % 16),
            18..=21 => Step::Advance(u8::arbitrary(g) % 40),
            22..=23 => Step::CorruptChunks(u8::arbitrary(g) % 6),
            24..=25 => Step::CloseConnections,
            26..=27 => Step::SetOffline(bool::arbitrary(g)),
            28 => Step::ReleaseAtSender(name),
            29 => Step::ReleaseAtReceiver(receiver, name),
            30 if bool::arbitrary(g) => Step::ReleaseUnclaimed(name),
            30 => Step::DropReceived,
            _ if u8::arbitrary(g) % 4 == 0 => Step::Drain(u8::arbitrary(g) % 100),
            _ => Step::RestartSender,
        }
    }
}

/// Enough for about two of the larger KV caches.
const MAX_MEMORY_BYTES: u64 = 100_000;

fn small_limits() -> (sender::Limits, receiver::Limits) {
    let sender = sender::Limits { max_in_flight_bytes: 6 * u64::from(CHUNK_BYTES), ..Default::default() };
    let receiver = receiver::Limits {
        max_memory_bytes: MAX_MEMORY_BYTES,
        window_bytes: 4 * CHUNK_BYTES,
        ..Default::default()
    };
    (sender, receiver)
}

fn run(steps: Vec<Step>) {
    let (sender, receiver) = small_limits();
    let mut sim = Simulation::new(2, sender, receiver);
    for step in steps {
        match step {
            Step::Store(name, length) => {
                let _ = sim.store(name, usize::from(length) + 1);
            }
            Step::Fetch(receiver, name, has_deadline) => {
                let deadline = has_deadline.then_some(sim.now + 300_000);
                // A request has one attempt at a time: the earlier one has ended, but the sender may not know
                // yet.
                sim.cancel_fetches(1 - receiver, name);
                let _ = sim.fetch(receiver, name, deadline);
            }
            Step::CancelFetches(receiver, name) => sim.cancel_fetches(receiver, name),
            Step::DeliverFrames(count) => sim.deliver_frames(usize::from(count)),
            Step::Advance(steps) => sim.advance(u64::from(steps) * TIME_STEP),
            Step::CorruptChunks(chunks) => sim.chunks_to_corrupt = u32::from(chunks),
            Step::CloseConnections => sim.close_connections(),
            Step::SetOffline(is_offline) => sim.is_offline = is_offline,
            Step::ReleaseAtSender(name) => sim.sender.release(&id(name)),
            Step::ReleaseUnclaimed(name) => sim.sender.release_unclaimed(&id(name), None),
            Step::ReleaseAtReceiver(receiver, name) => sim.receivers[receiver].machine.release(&id(name)),
            Step::DropReceived => sim.drop_received(),
            Step::RestartSender => sim.restart_sender(),
            Step::Drain(steps) => {
                sim.sender.drain(sim.now, sim.now + u64::from(steps) * TIME_STEP);
            }
        }
        sim.run_actions();
        for receiver in &sim.receivers {
            assert!(receiver.machine.usage().2 <= MAX_MEMORY_BYTES, "receiver exceeds its memory limit");
        }
        let in_flight = sim.sender.transfers().1;
        assert!(in_flight <= 8 * u64::from(CHUNK_BYTES), "{in_flight} bytes in flight");
    }
    // Once all requests have ended, nothing may be left after a second, offline or not.
    let is_offline = sim.is_offline;
    for receiver in 0..2 {
        for name in 0..3 {
            sim.cancel_fetches(receiver, name);
        }
    }
    sim.drop_received();
    sim.advance(MAX_TIME_TO_FREE);
    assert_eq!(sim.sender.held(), (0, 0), "left at the sender, offline: {is_offline}");
    for receiver in &sim.receivers {
        assert_eq!(receiver.machine.usage(), (0, 0, 0), "left at a receiver, offline: {is_offline}");
    }
    // A new fetch still works.
    sim.is_offline = false;
    sim.chunks_to_corrupt = 0;
    if !sim.sender.is_draining() {
        sim.store(9, 30_000).unwrap();
        let token = sim.fetch(0, 9, None).unwrap();
        sim.advance(MAX_TIME_TO_FREE);
        assert!(sim.receivers[0].results[&token].is_ok(), "{:?}", sim.receivers[0].results[&token]);
    }
}

#[test]
fn caches_arrive_complete_or_are_freed_and_never_have_two_owners() {
    QuickCheck::new().rng(Gen::from_size_and_seed(80, 7)).tests(1_500).quickcheck(run as fn(Vec<Step>));
}

#[test]
fn a_fetch_over_a_good_link_delivers_the_cache_and_frees_the_sender() {
    let (sender, receiver) = small_limits();
    let mut sim = Simulation::new(2, sender, receiver);
    sim.store(1, 50_000).unwrap();
    let token = sim.fetch(0, 1, None).unwrap();
    sim.advance(TIME_STEP);
    assert!(sim.receivers[0].results[&token].is_ok());
    assert_eq!(sim.sender.held(), (0, 0));
    assert!(sim.times_sent.values().all(|n| *n == 1), "a chunk was sent more than once");
}
