//! A keeper's book: who has which part until when. It never has more than all of it out, whatever has been
//! lost on the way: a grant counts until it has ended, or its holder has applied a later one.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::message::{Ballot, Mark, Message};
use crate::{Incarnation, LeaseConfig, Micros};

/// A part is changed where it is off by more than this share of itself.
const SLACK: f64 = 0.05;
/// Of a part, what is the same for all; the rest goes by traffic. One that has none yet has some when it
/// comes.
const EVEN: f64 = 0.5;
/// The least traffic that counts, in requests a second.
const LEAST_TRAFFIC: f64 = 0.1;

#[derive(Clone, Copy, Debug)]
struct Grant {
    number: u64,
    part: f64,
    ends: Micros,
}

#[derive(Debug)]
struct Member {
    at: SocketAddr,
    traffic: f64,
    ask: u64,
    /// When that was heard, and until when a grant in answer to it may last.
    asked: Micros,
    /// Those that may still be in force, the latest last.
    grants: Vec<Grant>,
    said: Micros,
}

impl Member {
    fn latest(&self) -> f64 {
        self.grants.last().map_or(0.0, |g| g.part)
    }

    /// The most that it may be using.
    fn out(&self) -> f64 {
        self.grants.iter().map(|g| g.part).fold(0.0, f64::max)
    }
}

/// The keeper's side.
#[derive(Debug)]
pub struct Keeper {
    lease_config: LeaseConfig,
    term: Ballot,
    /// Its own lease.
    until: Micros,
    members: BTreeMap<Incarnation, Member>,
    number: u64,
}

/// What is to be said to whom.
pub type Out = Vec<(SocketAddr, Message)>;

impl Keeper {
    /// With nothing out: whatever another keeper has given has ended with its lease.
    pub fn new(term: Ballot, until: Micros, lease_config: LeaseConfig) -> Self {
        Keeper { lease_config, term, until, members: BTreeMap::new(), number: 0 }
    }

    /// Its own lease has been renewed.
    pub fn extend(&mut self, until: Micros) {
        self.until = self.until.max(until);
    }

    /// An instance asks for its part.
    #[allow(clippy::too_many_arguments)]
    pub fn ask(
        &mut self,
        now: Micros,
        from: SocketAddr,
        process: Incarnation,
        ask: u64,
        traffic: f64,
        applied: Mark,
        out: &mut Out,
    ) {
        self.expire(now);
        let traffic = if traffic.is_finite() { traffic.max(LEAST_TRAFFIC) } else { LEAST_TRAFFIC };
        let fresh = || Member { at: from, traffic, ask: 0, asked: 0, grants: Vec::new(), said: 0 };
        let member = self.members.entry(process).or_insert_with(fresh);
        if ask < member.ask {
            return;
        }
        (member.at, member.traffic) = (from, traffic);
        if ask > member.ask {
            (member.ask, member.asked) = (ask, now);
        }
        if applied.term > self.term {
            // Voters that have restarted know nothing of earlier terms; their members do.
            self.term.round = applied.term.round + 1;
        }
        if applied.term == self.term {
            member.grants.retain(|g| g.number >= applied.number);
        }
        self.grant(now, process, out);
        self.balance(now, out);
    }

    /// An instance takes nothing from now on.
    pub fn bye(&mut self, now: Micros, process: Incarnation, out: &mut Out) {
        self.members.remove(&process);
        self.balance(now, out);
    }

    /// Time passes: what has ended goes to the others, what was not confirmed is said again.
    pub fn tick(&mut self, now: Micros, out: &mut Out) {
        self.expire(now);
        self.balance(now, out);
    }

    fn expire(&mut self, now: Micros) {
        let gone = self.lease_config.lengthen_by_drift(self.lease_config.duration);
        self.members.retain(|_, m| {
            m.grants.retain(|g| now < g.ends);
            !m.grants.is_empty() || now < m.asked + gone
        });
    }

    fn target(&self, member: &Member, traffic: f64) -> f64 {
        let even = EVEN / self.members.len().max(1) as f64;
        self.lease_config.leasable_share() * (even + (1.0 - EVEN) * member.traffic / traffic)
    }

    fn traffic(&self) -> f64 {
        self.members.values().map(|m| m.traffic).sum()
    }

    /// Says what each is to have where that differs from what it was told, first of all what is to shrink.
    fn balance(&mut self, now: Micros, out: &mut Out) {
        let traffic = self.traffic();
        let (mut less, mut more) = (Vec::new(), Vec::new());
        for (process, member) in &self.members {
            let (target, latest) = (self.target(member, traffic), member.latest());
            let unconfirmed =
                member.grants.len() > 1 && now >= member.said + self.lease_config.retry_interval;
            if latest > target * (1.0 + SLACK) || (unconfirmed && latest <= target) {
                less.push(*process);
            } else if latest < target * (1.0 - SLACK) {
                more.push(*process);
            }
        }
        for process in less.into_iter().chain(more) {
            self.grant(now, process, out);
        }
    }

    /// Grants a part in answer to the last question, as large as is right and as there is room for.
    fn grant(&mut self, now: Micros, process: Incarnation, out: &mut Out) {
        let (traffic, all) = (self.traffic(), self.members.values().map(Member::out).sum::<f64>());
        let Some(member) = self.members.get(&process) else { return };
        let room = self.lease_config.leasable_share() - (all - member.out());
        let part = self.target(member, traffic).min(room).max(0.0);
        // Within its own lease, and counted from a question that was asked before it was heard.
        let lasts = self.lease_config.duration.min(self.until.saturating_sub(member.asked));
        let ends = member.asked + self.lease_config.lengthen_by_drift(lasts);
        let told =
            member.grants.last().is_some_and(|g| g.ends == ends && (g.part - part).abs() < part * SLACK);
        if told && now < member.said + self.lease_config.retry_interval || ends <= now {
            return;
        }
        self.number += 1;
        let (term, number) = (self.term, self.number);
        let Some(member) = self.members.get_mut(&process) else { return };
        member.grants.push(Grant { number, part, ends });
        member.said = now;
        let mark = Mark { term, number };
        out.push((member.at, Message::Grant { process, ask: member.ask, mark, part, lasts }));
    }
}
