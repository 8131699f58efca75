//! A simulation of instances on hosts whose clocks drift, over a network in memory that loses, delays and
//! reorders messages and can be partitioned. It checks at every event that the shares of all instances add up
//! to at most 1.
#![allow(dead_code)]

use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

use frosttrail_membership::instance::Instance;
use frosttrail_membership::message::Message;
use frosttrail_membership::{LeaseConfig, Micros};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Number of acceptors, which run on the first hosts.
pub const ACCEPTORS: usize = 3;

pub struct Node {
    pub instance: Instance,
    pub host: usize,
    /// Rate of its clock, as a multiple of simulated time.
    clock_rate: f64,
    clock_offset: Micros,
    wake_at: Micros,
    /// How many instances have run on the host, including this one.
    pub start_count: u32,
}

impl Node {
    pub fn local_time(&self, now: Micros) -> Micros {
        self.clock_offset + (now as f64 * self.clock_rate) as Micros
    }
}

/// A message on its way: arrival time, sequence number, sender, receiver and content.
struct InFlightMessage(Micros, u64, usize, usize, Message);

impl PartialEq for InFlightMessage {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for InFlightMessage {}

impl PartialOrd for InFlightMessage {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for InFlightMessage {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.0, other.1).cmp(&(self.0, self.1))
    }
}

pub struct Simulation {
    pub now: Micros,
    pub lease_config: LeaseConfig,
    pub nodes: BTreeMap<usize, Node>,
    in_flight: BinaryHeap<InFlightMessage>,
    last_sequence: u64,
    rng: SmallRng,
    /// Share of messages that are lost, in percent.
    pub loss_percent: u32,
    pub max_delay: Micros,
    /// Side of the partition on which each host is. Messages between the sides are dropped.
    pub partition_side: Vec<bool>,
    start_counts: Vec<u32>,
    max_total_share: f64,
}

pub fn host_address(host: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (host / 250) as u8, (host % 250) as u8 + 1], 7946))
}

impl Simulation {
    pub fn new(seed: u64, hosts: usize) -> Self {
        Simulation {
            now: 1_000_000,
            lease_config: LeaseConfig { max_instances: hosts as u32, ..LeaseConfig::default() },
            nodes: BTreeMap::new(),
            in_flight: BinaryHeap::new(),
            last_sequence: 0,
            rng: SmallRng::seed_from_u64(seed),
            loss_percent: 0,
            max_delay: 5_000,
            partition_side: vec![false; hosts],
            start_counts: vec![0; hosts],
            max_total_share: 0.0,
        }
    }

    pub fn join(&mut self, host: usize) {
        if self.nodes.contains_key(&host) {
            return;
        }
        self.start_counts[host] += 1;
        let clock_rate = 1.0 + self.rng.random_range(-0.004..0.004);
        let clock_offset = self.rng.random_range(0..1_000_000_000);
        let incarnation = host as u64 * 1_000 + u64::from(self.start_counts[host]);
        let local = clock_offset + (self.now as f64 * clock_rate) as Micros;
        let acceptors = (0..ACCEPTORS).map(host_address).collect();
        let mut instance =
            Instance::new(local, incarnation, host_address(host), acceptors, self.lease_config);
        instance.set_request_rate(10.0 * (1.0 + host as f64));
        let node = Node {
            instance,
            host,
            clock_rate,
            clock_offset,
            wake_at: self.now,
            start_count: self.start_counts[host],
        };
        self.nodes.insert(host, node);
    }

    pub fn kill(&mut self, host: usize) {
        self.nodes.remove(&host);
    }

    pub fn leave(&mut self, host: usize) {
        let Some(mut node) = self.nodes.remove(&host) else { return };
        let mut outgoing = Vec::new();
        let local = node.local_time(self.now);
        node.instance.leave(local, &mut outgoing);
        assert_eq!(node.instance.quota_share(local), 0.0);
        self.send_messages(host, outgoing);
    }

    fn send_messages(&mut self, from: usize, outgoing: Vec<(SocketAddr, Message)>) {
        for (to, message) in outgoing {
            let Some(to) = (0..self.partition_side.len()).find(|host| host_address(*host) == to) else {
                continue;
            };
            if self.rng.random_range(0..100) < self.loss_percent {
                continue;
            }
            let arrives_at = self.now + 100 + self.rng.random_range(0..=self.max_delay);
            self.last_sequence += 1;
            self.in_flight.push(InFlightMessage(arrives_at, self.last_sequence, from, to, message));
        }
    }

    pub fn total_share(&self) -> f64 {
        self.nodes.values().map(|n| n.instance.quota_share(n.local_time(self.now))).sum()
    }

    pub fn check_total_share(&mut self) {
        let total_share = self.total_share();
        self.max_total_share = self.max_total_share.max(total_share);
        assert!(total_share <= 1.0 + 1e-9, "the shares add up to {total_share} at {}", self.now);
    }

    pub fn advance(&mut self, duration: Micros) {
        let end = self.now + duration;
        loop {
            let wake_at = self.nodes.values().map(|n| n.wake_at).min().unwrap_or(Micros::MAX);
            let next_arrival = self.in_flight.peek().map_or(Micros::MAX, |message| message.0);
            let next = wake_at.min(next_arrival);
            // Checks just before each event, when a lease would show that another instance wrongly took for
            // expired.
            self.now = next.min(end).max(self.now);
            self.check_total_share();
            if next > end {
                return;
            }
            if next_arrival <= wake_at {
                let Some(InFlightMessage(_, _, from, to, message)) = self.in_flight.pop() else { return };
                if self.partition_side[from] != self.partition_side[to] {
                    continue;
                }
                let Some(node) = self.nodes.get_mut(&to) else { continue };
                let mut outgoing = Vec::new();
                let local = node.local_time(self.now);
                node.instance.handle_message(local, host_address(from), message, &mut outgoing);
                node.wake_at = self.now;
                self.send_messages(to, outgoing);
            } else {
                let Some(node) = self.nodes.values_mut().min_by_key(|n| (n.wake_at, n.host)) else { return };
                let (host, mut outgoing) = (node.host, Vec::new());
                let local = node.local_time(self.now);
                let next = node.instance.tick(local, &mut outgoing);
                let delay = ((next - local) as f64 / node.clock_rate) as Micros + 1;
                node.wake_at = self.now + delay.min(1_000_000);
                self.send_messages(host, outgoing);
            }
            self.check_total_share();
        }
    }

    pub fn leader_count(&self) -> usize {
        self.nodes.values().filter(|n| n.instance.is_leader(n.local_time(self.now))).count()
    }
}
