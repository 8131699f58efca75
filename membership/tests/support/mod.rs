//! Instances over a network in memory that loses, delays, reorders and falls apart, with clocks that run
//! apart. At every moment the parts of all are checked to add up to at most 1.
#![allow(dead_code)]

use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

use frosttrail_membership::instance::Instance;
use frosttrail_membership::message::Message;
use frosttrail_membership::{LeaseConfig, Micros};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The first so many places vote.
pub const VOTERS: usize = 3;

pub struct Node {
    pub instance: Instance,
    pub place: usize,
    /// Its clock against the true one.
    rate: f64,
    offset: Micros,
    wake: Micros,
    /// So many have run at its place before.
    pub life: u32,
}

impl Node {
    pub fn local(&self, now: Micros) -> Micros {
        self.offset + (now as f64 * self.rate) as Micros
    }
}

/// In flight: when it arrives, its place in the order, from, to, what.
struct Letter(Micros, u64, usize, usize, Message);

impl PartialEq for Letter {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for Letter {}

impl PartialOrd for Letter {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Letter {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.0, other.1).cmp(&(self.0, self.1))
    }
}

pub struct World {
    pub now: Micros,
    pub lease_config: LeaseConfig,
    pub nodes: BTreeMap<usize, Node>,
    letters: BinaryHeap<Letter>,
    serial: u64,
    rng: SmallRng,
    /// Lost, in percent.
    pub loss: u32,
    pub delay: Micros,
    /// Which side of a cut each place is on.
    pub side: Vec<bool>,
    lives: Vec<u32>,
    most: f64,
}

pub fn at(place: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (place / 250) as u8, (place % 250) as u8 + 1], 7946))
}

impl World {
    pub fn new(seed: u64, places: usize) -> Self {
        World {
            now: 1_000_000,
            lease_config: LeaseConfig { max_instances: places as u32, ..LeaseConfig::default() },
            nodes: BTreeMap::new(),
            letters: BinaryHeap::new(),
            serial: 0,
            rng: SmallRng::seed_from_u64(seed),
            loss: 0,
            delay: 5_000,
            side: vec![false; places],
            lives: vec![0; places],
            most: 0.0,
        }
    }

    pub fn join(&mut self, place: usize) {
        if self.nodes.contains_key(&place) {
            return;
        }
        self.lives[place] += 1;
        let rate = 1.0 + self.rng.random_range(-0.004..0.004);
        let offset = self.rng.random_range(0..1_000_000_000);
        let process = place as u64 * 1_000 + u64::from(self.lives[place]);
        let local = offset + (self.now as f64 * rate) as Micros;
        let voters = (0..VOTERS).map(at).collect();
        let mut instance = Instance::new(local, process, at(place), voters, self.lease_config);
        instance.traffic(10.0 * (1.0 + place as f64));
        let node = Node { instance, place, rate, offset, wake: self.now, life: self.lives[place] };
        self.nodes.insert(place, node);
    }

    pub fn kill(&mut self, place: usize) {
        self.nodes.remove(&place);
    }

    pub fn leave(&mut self, place: usize) {
        let Some(mut node) = self.nodes.remove(&place) else { return };
        let mut out = Vec::new();
        let local = node.local(self.now);
        node.instance.leave(local, &mut out);
        assert_eq!(node.instance.quota_share(local), 0.0);
        self.post(place, out);
    }

    fn post(&mut self, from: usize, out: Vec<(SocketAddr, Message)>) {
        for (to, message) in out {
            let Some(to) = (0..self.side.len()).find(|p| at(*p) == to) else { continue };
            if self.rng.random_range(0..100) < self.loss {
                continue;
            }
            let arrives = self.now + 100 + self.rng.random_range(0..=self.delay);
            self.serial += 1;
            self.letters.push(Letter(arrives, self.serial, from, to, message));
        }
    }

    pub fn parts(&self) -> f64 {
        self.nodes.values().map(|n| n.instance.quota_share(n.local(self.now))).sum()
    }

    pub fn check(&mut self) {
        let parts = self.parts();
        self.most = self.most.max(parts);
        assert!(parts <= 1.0 + 1e-9, "all parts together are {parts} at {}", self.now);
    }

    pub fn run(&mut self, time: Micros) {
        let end = self.now + time;
        loop {
            let wake = self.nodes.values().map(|n| n.wake).min().unwrap_or(Micros::MAX);
            let letter = self.letters.peek().map_or(Micros::MAX, |l| l.0);
            let next = wake.min(letter);
            // Just before something happens is when leases that were thought ended would show.
            self.now = next.min(end).max(self.now);
            self.check();
            if next > end {
                return;
            }
            if letter <= wake {
                let Some(Letter(_, _, from, to, message)) = self.letters.pop() else { return };
                if self.side[from] != self.side[to] {
                    continue;
                }
                let Some(node) = self.nodes.get_mut(&to) else { continue };
                let mut out = Vec::new();
                let local = node.local(self.now);
                node.instance.receive(local, at(from), message, &mut out);
                node.wake = self.now;
                self.post(to, out);
            } else {
                let Some(node) = self.nodes.values_mut().min_by_key(|n| (n.wake, n.place)) else { return };
                let (place, mut out) = (node.place, Vec::new());
                let local = node.local(self.now);
                let next = node.instance.tick(local, &mut out);
                let ahead = ((next - local) as f64 / node.rate) as Micros + 1;
                node.wake = self.now + ahead.min(1_000_000);
                self.post(place, out);
            }
            self.check();
        }
    }

    pub fn keepers(&self) -> usize {
        self.nodes.values().filter(|n| n.instance.is_leader(n.local(self.now))).count()
    }
}
