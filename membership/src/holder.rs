//! An instance's own part: its floor, and what a keeper has leased to it.

use std::collections::VecDeque;

use crate::message::{Mark, Message};
use crate::{Incarnation, LeaseConfig, Micros};

/// Questions that may still be answered.
const OPEN: usize = 16;

#[derive(Clone, Copy, Debug)]
struct Lease {
    part: f64,
    until: Micros,
}

/// The holder's side.
#[derive(Debug)]
pub struct Holder {
    lease_config: LeaseConfig,
    process: Incarnation,
    asks: VecDeque<(u64, Micros)>,
    ask: u64,
    applied: Mark,
    lease: Option<Lease>,
    /// A grant has made it smaller, and no question has gone out since.
    shrunk: bool,
    left: bool,
}

impl Holder {
    /// With its floor.
    pub fn new(process: Incarnation, lease_config: LeaseConfig) -> Self {
        Holder {
            lease_config,
            process,
            asks: VecDeque::new(),
            ask: 0,
            applied: Mark::default(),
            lease: None,
            shrunk: false,
            left: false,
        }
    }

    /// The question to ask now.
    pub fn ask(&mut self, now: Micros, traffic: f64) -> Message {
        self.ask += 1;
        self.asks.push_back((self.ask, now));
        if self.asks.len() > OPEN {
            self.asks.pop_front();
        }
        self.shrunk = false;
        Message::Ask { process: self.process, ask: self.ask, traffic, applied: self.applied }
    }

    /// A part is granted. True if it was applied.
    pub fn grant(&mut self, now: Micros, ask: u64, mark: Mark, part: f64, lasts: Micros) -> bool {
        let asked = self.asks.iter().find(|(number, _)| *number == ask).map(|(_, at)| *at);
        let Some(asked) = asked.filter(|_| mark > self.applied && !self.left) else { return false };
        let until = asked + self.lease_config.shorten_by_drift(lasts);
        self.applied = mark;
        let part = if part.is_finite() { part.clamp(0.0, self.lease_config.leasable_share()) } else { 0.0 };
        self.shrunk |= self.lease.is_some_and(|l| part < l.part);
        self.lease = (now < until).then_some(Lease { part, until });
        true
    }

    /// It takes nothing from now on.
    pub fn leave(&mut self) -> Message {
        self.left = true;
        self.lease = None;
        Message::Bye(self.process)
    }

    /// Whether the keeper should hear at once what has been applied, as what it shrank by is another's then.
    pub fn shrunk(&self) -> bool {
        self.shrunk
    }

    /// Its process.
    pub fn process(&self) -> Incarnation {
        self.process
    }

    /// What it may take of the whole.
    pub fn quota_share(&self, now: Micros) -> f64 {
        if self.left {
            return 0.0;
        }
        self.lease_config.floor_share() + self.lease.filter(|l| now < l.until).map_or(0.0, |l| l.part)
    }

    /// When its part ends if it is not renewed.
    pub fn ends(&self, now: Micros) -> Option<Micros> {
        self.lease.map(|l| l.until).filter(|until| now < *until)
    }
}
