//! The link scheduler under random arrivals: limits hold, no peer starves, flows share by bytes, and flows
//! with a deadline come first until it passes.

use std::collections::HashMap;

use frosttrail_transfer::link_scheduler::LinkScheduler;
use quickcheck::{Arbitrary, Gen, QuickCheck};

const PEERS: u64 = 4;
const MAX_IN_FLIGHT_BYTES: u64 = 1_000;

#[derive(Clone, Copy, Debug)]
enum Step {
    AddFlow(u64, u64, Option<u16>),
    SetNextChunk(u64, u16),
    AddCredit(u64, u16),
    RemoveFlow(u64),
    ReconnectPeer(u64),
    PickNext(u16),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let (flow, peer, number) = (u64::arbitrary(g) % 12, u64::arbitrary(g) % PEERS, u16::arbitrary(g));
        match u8::arbitrary(g) % 12 {
            0..=1 => Step::AddFlow(flow, peer, Option::arbitrary(g)),
            2..=4 => Step::SetNextChunk(flow, number % 300),
            5..=6 => Step::AddCredit(peer, number % 400),
            7 => Step::RemoveFlow(flow),
            8 => Step::ReconnectPeer(peer),
            _ => Step::PickNext(number),
        }
    }
}

/// Reference model: each flow's peer and next chunk, and each peer's credit and bytes in flight.
#[derive(Default)]
struct ReferenceModel {
    flows: HashMap<u64, (u64, u64)>,
    credit: HashMap<u64, u64>,
    in_flight: HashMap<u64, u64>,
}

fn run(steps: Vec<Step>) {
    let (mut link, mut model) = (LinkScheduler::new(MAX_IN_FLIGHT_BYTES), ReferenceModel::default());
    for peer in 0..PEERS {
        link.add_peer(peer, 500);
        model.credit.insert(peer, 500);
    }
    for step in steps {
        match step {
            Step::AddFlow(flow, peer, deadline) => {
                link.remove_flow(flow);
                link.add_flow(flow, peer, deadline.map(u64::from));
                model.flows.insert(flow, (peer, 0));
            }
            Step::SetNextChunk(flow, bytes) => {
                link.set_next_chunk(flow, u32::from(bytes));
                if let Some((_, ready)) = model.flows.get_mut(&flow) {
                    *ready = u64::from(bytes);
                }
            }
            Step::AddCredit(peer, bytes) => {
                link.add_credit(peer, u64::from(bytes));
                let in_flight = model.in_flight.entry(peer).or_default();
                *in_flight = in_flight.saturating_sub(u64::from(bytes));
                *model.credit.entry(peer).or_default() += u64::from(bytes);
            }
            Step::RemoveFlow(flow) => {
                link.remove_flow(flow);
                model.flows.remove(&flow);
            }
            Step::ReconnectPeer(peer) => {
                link.remove_peer(peer);
                link.add_peer(peer, 500);
                model.flows.retain(|_, (p, _)| *p != peer);
                model.in_flight.remove(&peer);
                model.credit.insert(peer, 500);
            }
            Step::PickNext(now) => {
                let total_in_flight: u64 = model.in_flight.values().sum();
                let picked = link.pick_next(u64::from(now));
                if let Some(flow) = picked {
                    let (peer, ready) = model.flows[&flow];
                    assert!(ready > 0, "picked a flow without a chunk");
                    let (credit, in_flight) =
                        (model.credit.get_mut(&peer).unwrap(), model.in_flight.entry(peer).or_default());
                    assert!(*credit >= ready, "chunk exceeds the credit of its peer");
                    assert!(
                        *in_flight == 0 || total_in_flight + ready <= MAX_IN_FLIGHT_BYTES,
                        "too many bytes in flight"
                    );
                    *credit -= ready;
                    *in_flight += ready;
                    model.flows.insert(flow, (peer, 0));
                } else {
                    let may_send = |(peer, ready): &(u64, u64)| {
                        let in_flight = model.in_flight.get(peer).copied().unwrap_or_default();
                        *ready > 0 && model.credit[peer] >= *ready && in_flight == 0
                    };
                    assert!(!model.flows.values().any(may_send), "a peer with nothing in flight starves");
                }
            }
        }
        assert_eq!(link.in_flight_bytes(), model.in_flight.values().sum::<u64>());
    }
}

#[test]
fn limits_hold_and_no_peer_starves() {
    QuickCheck::new().rng(Gen::from_size_and_seed(120, 3)).tests(3_000).quickcheck(run as fn(Vec<Step>));
}

/// Sends chunks that are acknowledged at once; returns the bytes sent by flow.
fn send_chunks(
    link: &mut LinkScheduler,
    sizes: &HashMap<u64, u32>,
    chunks: usize,
    now: u64,
) -> HashMap<u64, u64> {
    let mut sent_bytes: HashMap<u64, u64> = HashMap::new();
    for _ in 0..chunks {
        let flow = link.pick_next(now).unwrap();
        *sent_bytes.entry(flow).or_default() += u64::from(sizes[&flow]);
        link.add_credit(flow % PEERS, u64::from(sizes[&flow]));
        link.set_next_chunk(flow, sizes[&flow]);
    }
    sent_bytes
}

fn scheduler_with(sizes: &HashMap<u64, u32>, deadline: impl Fn(u64) -> Option<u64>) -> LinkScheduler {
    let mut link = LinkScheduler::new(1 << 30);
    for peer in 0..PEERS {
        link.add_peer(peer, 1 << 20);
    }
    for (flow, size) in sizes {
        link.add_flow(*flow, *flow % PEERS, deadline(*flow));
        link.set_next_chunk(*flow, *size);
    }
    link
}

#[test]
fn flows_share_by_bytes_whatever_their_chunk_size() {
    let sizes: HashMap<u64, u32> = (0..64).map(|f| (f, 1_000 * (1 + f as u32 % 7))).collect();
    let sent_bytes = send_chunks(&mut scheduler_with(&sizes, |_| None), &sizes, 10_000, 0);
    let shares: Vec<f64> = sizes.keys().map(|f| sent_bytes[f] as f64).collect();
    let jain = shares.iter().sum::<f64>().powi(2)
        / (shares.len() as f64 * shares.iter().map(|s| s * s).sum::<f64>());
    assert!(jain > 0.999, "{jain}");
}

#[test]
fn a_late_flow_gets_its_share_and_no_accumulated_credit() {
    let sizes: HashMap<u64, u32> = (0..3).map(|f| (f, 1_000)).collect();
    let mut link = scheduler_with(&sizes, |_| None);
    link.remove_flow(2);
    send_chunks(&mut link, &sizes, 5_000, 0);
    link.add_flow(2, 2, None);
    link.set_next_chunk(2, 1_000);
    let sent_bytes = send_chunks(&mut link, &sizes, 300, 0);
    assert!((99_000..=102_000).contains(&sent_bytes[&2]), "{sent_bytes:?}");
}

#[test]
fn flows_with_a_deadline_come_first_until_it_passes_and_never_take_all() {
    let sizes: HashMap<u64, u32> = (0..4).map(|f| (f, 1_000)).collect();
    let deadline = |flow: u64| [None, None, Some(500), Some(200)][flow as usize];
    let mut link = scheduler_with(&sizes, deadline);
    let sent_bytes = send_chunks(&mut link, &sizes, 800, 100);
    assert_eq!(sent_bytes[&3], 700_000, "the earliest deadline gets seven of eight chunks");
    assert!(!sent_bytes.contains_key(&2) && sent_bytes[&0] + sent_bytes[&1] == 100_000);
    // Its deadline has passed: the next deadline takes its place, and it shares with the rest.
    let sent_bytes = send_chunks(&mut link, &sizes, 800, 300);
    assert_eq!(sent_bytes[&2], 700_000);
    assert!(sent_bytes[&0] >= 30_000 && sent_bytes[&1] >= 30_000);
}

#[test]
fn stalled_peers_do_not_block_others() {
    let mut link = LinkScheduler::new(64_000);
    for peer in 0..40 {
        link.add_peer(peer, 1 << 30);
        link.add_flow(peer, peer, None);
        link.set_next_chunk(peer, 1_000);
    }
    // All but the last peer stall; they fill their share of the limit.
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
