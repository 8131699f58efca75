//! Who goes next on a shared link, against random arrivals: bounds hold, nobody is left out, bytes are
//! shared, and those with a time come first while it lasts.

use std::collections::HashMap;

use frosttrail_transfer::link::LinkScheduler;
use quickcheck::{Arbitrary, Gen, QuickCheck};

const PEERS: u64 = 4;
const MOST: u64 = 1_000;

#[derive(Clone, Copy, Debug)]
enum Step {
    Add(u64, u64, Option<u16>),
    Ready(u64, u16),
    Credit(u64, u16),
    Remove(u64),
    Bounce(u64),
    Next(u16),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let (flow, peer, number) = (u64::arbitrary(g) % 12, u64::arbitrary(g) % PEERS, u16::arbitrary(g));
        match u8::arbitrary(g) % 12 {
            0..=1 => Step::Add(flow, peer, Option::arbitrary(g)),
            2..=4 => Step::Ready(flow, number % 300),
            5..=6 => Step::Credit(peer, number % 400),
            7 => Step::Remove(flow),
            8 => Step::Bounce(peer),
            _ => Step::Next(number),
        }
    }
}

/// The plain version: what each flow has ready and what each peer has in flight.
#[derive(Default)]
struct Plain {
    flows: HashMap<u64, (u64, u64)>,
    credit: HashMap<u64, u64>,
    in_flight: HashMap<u64, u64>,
}

fn run(steps: Vec<Step>) {
    let (mut link, mut plain) = (LinkScheduler::new(MOST), Plain::default());
    for peer in 0..PEERS {
        link.add_peer(peer, 500);
        plain.credit.insert(peer, 500);
    }
    for step in steps {
        match step {
            Step::Add(flow, peer, due) => {
                link.remove_flow(flow);
                link.add_flow(flow, peer, due.map(u64::from));
                plain.flows.insert(flow, (peer, 0));
            }
            Step::Ready(flow, bytes) => {
                link.set_next_chunk(flow, u32::from(bytes));
                if let Some((_, ready)) = plain.flows.get_mut(&flow) {
                    *ready = u64::from(bytes);
                }
            }
            Step::Credit(peer, bytes) => {
                link.add_credit(peer, u64::from(bytes));
                let flying = plain.in_flight.entry(peer).or_default();
                *flying = flying.saturating_sub(u64::from(bytes));
                *plain.credit.entry(peer).or_default() += u64::from(bytes);
            }
            Step::Remove(flow) => {
                link.remove_flow(flow);
                plain.flows.remove(&flow);
            }
            Step::Bounce(peer) => {
                link.remove_peer(peer);
                link.add_peer(peer, 500);
                plain.flows.retain(|_, (p, _)| *p != peer);
                plain.in_flight.remove(&peer);
                plain.credit.insert(peer, 500);
            }
            Step::Next(now) => {
                let all: u64 = plain.in_flight.values().sum();
                let picked = link.pick_next(u64::from(now));
                if let Some(flow) = picked {
                    let (peer, ready) = plain.flows[&flow];
                    assert!(ready > 0, "it has nothing to send");
                    let (credit, flying) =
                        (plain.credit.get_mut(&peer).unwrap(), plain.in_flight.entry(peer).or_default());
                    assert!(*credit >= ready, "more than the peer lets come");
                    assert!(*flying == 0 || all + ready <= MOST, "more in flight than is allowed");
                    *credit -= ready;
                    *flying += ready;
                    plain.flows.insert(flow, (peer, 0));
                } else {
                    let may = |(peer, ready): &(u64, u64)| {
                        let flying = plain.in_flight.get(peer).copied().unwrap_or_default();
                        *ready > 0 && plain.credit[peer] >= *ready && flying == 0
                    };
                    assert!(!plain.flows.values().any(may), "a peer with nothing in flight was left out");
                }
            }
        }
        assert_eq!(link.in_flight_bytes(), plain.in_flight.values().sum::<u64>());
    }
}

#[test]
fn bounds_hold_and_nobody_is_left_out() {
    QuickCheck::new().rng(Gen::from_size_and_seed(120, 3)).tests(3_000).quickcheck(run as fn(Vec<Step>));
}

/// Takes one chunk after another; each arrives at once. Bytes by flow.
fn share(link: &mut LinkScheduler, sizes: &HashMap<u64, u32>, chunks: usize, now: u64) -> HashMap<u64, u64> {
    let mut got: HashMap<u64, u64> = HashMap::new();
    for _ in 0..chunks {
        let flow = link.pick_next(now).unwrap();
        *got.entry(flow).or_default() += u64::from(sizes[&flow]);
        link.add_credit(flow % PEERS, u64::from(sizes[&flow]));
        link.set_next_chunk(flow, sizes[&flow]);
    }
    got
}

fn with(sizes: &HashMap<u64, u32>, due: impl Fn(u64) -> Option<u64>) -> LinkScheduler {
    let mut link = LinkScheduler::new(1 << 30);
    for peer in 0..PEERS {
        link.add_peer(peer, 1 << 20);
    }
    for (flow, size) in sizes {
        link.add_flow(*flow, *flow % PEERS, due(*flow));
        link.set_next_chunk(*flow, *size);
    }
    link
}

#[test]
fn moves_share_by_bytes_whatever_the_size_of_their_chunks() {
    let sizes: HashMap<u64, u32> = (0..64).map(|f| (f, 1_000 * (1 + f as u32 % 7))).collect();
    let got = share(&mut with(&sizes, |_| None), &sizes, 10_000, 0);
    let shares: Vec<f64> = sizes.keys().map(|f| got[f] as f64).collect();
    let jain = shares.iter().sum::<f64>().powi(2)
        / (shares.len() as f64 * shares.iter().map(|s| s * s).sum::<f64>());
    assert!(jain > 0.999, "{jain}");
}

#[test]
fn who_comes_late_gets_a_share_and_no_arrears() {
    let sizes: HashMap<u64, u32> = (0..3).map(|f| (f, 1_000)).collect();
    let mut link = with(&sizes, |_| None);
    link.remove_flow(2);
    share(&mut link, &sizes, 5_000, 0);
    link.add_flow(2, 2, None);
    link.set_next_chunk(2, 1_000);
    let got = share(&mut link, &sizes, 300, 0);
    assert!((99_000..=102_000).contains(&got[&2]), "{got:?}");
}

#[test]
fn those_with_a_time_come_first_until_it_has_passed_and_never_take_all() {
    let sizes: HashMap<u64, u32> = (0..4).map(|f| (f, 1_000)).collect();
    let due = |flow: u64| [None, None, Some(500), Some(200)][flow as usize];
    let mut link = with(&sizes, due);
    let got = share(&mut link, &sizes, 800, 100);
    assert_eq!(got[&3], 700_000, "the earliest has seven of eight");
    assert!(!got.contains_key(&2) && got[&0] + got[&1] == 100_000);
    // Its time has passed: the next has what it had, and it shares with the rest.
    let got = share(&mut link, &sizes, 800, 300);
    assert_eq!(got[&2], 700_000);
    assert!(got[&0] >= 30_000 && got[&1] >= 30_000);
}

#[test]
fn peers_that_take_nothing_hold_up_no_other() {
    let mut link = LinkScheduler::new(64_000);
    for peer in 0..40 {
        link.add_peer(peer, 1 << 30);
        link.add_flow(peer, peer, None);
        link.set_next_chunk(peer, 1_000);
    }
    // All but the last take nothing; they fill what they may.
    let mut last = 0;
    for _ in 0..10_000 {
        match link.pick_next(0) {
            Some(39) => {
                last += 1;
                link.add_credit(39, 1_000);
                link.set_next_chunk(39, 1_000);
            }
            Some(flow) => link.set_next_chunk(flow, 1_000),
            None => break,
        }
    }
    assert!(last > 9_000, "{last} chunks");
    assert!(link.in_flight_bytes() <= 64_000 + 40_000);
}
