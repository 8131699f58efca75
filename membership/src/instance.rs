//! One instance: its own part, its vote if it has one, and the keeper's book while it is the keeper.

use std::net::SocketAddr;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::ballot::{Candidate, Say, Vote, Voter};
use crate::holder::Holder;
use crate::keeper::{Keeper, Out};
use crate::message::{Ballot, Message};
use crate::{Incarnation, LeaseConfig, Micros};

#[derive(Debug)]
struct Seat {
    voter: Voter,
    candidate: Candidate,
    keeper: Option<Keeper>,
    next_try: Micros,
}

/// All that an instance knows of parts.
#[derive(Debug)]
pub struct Instance {
    lease_config: LeaseConfig,
    at: SocketAddr,
    voters: Vec<SocketAddr>,
    seat: Option<Seat>,
    holder: Holder,
    /// Who granted last.
    keeper: Option<SocketAddr>,
    next_ask: Micros,
    traffic: f64,
    left: bool,
    rng: SmallRng,
}

impl Instance {
    /// An instance at an address. It votes if the voters name it.
    pub fn new(
        now: Micros,
        process: Incarnation,
        at: SocketAddr,
        voters: Vec<SocketAddr>,
        lease_config: LeaseConfig,
    ) -> Self {
        let mut rng = SmallRng::seed_from_u64(process);
        let votes = voters.contains(&at);
        let seat = votes.then(|| Seat {
            voter: Voter::new(now, lease_config),
            candidate: Candidate::new(process, voters.len(), lease_config),
            keeper: None,
            // Before that no voter answers; not all at once.
            next_try: now
                + lease_config.lengthen_by_drift(lease_config.duration)
                + rng.random_range(0..lease_config.retry_interval),
        });
        Instance {
            lease_config,
            at,
            voters,
            seat,
            holder: Holder::new(process, lease_config),
            keeper: None,
            next_ask: now,
            traffic: 0.0,
            left: false,
            rng,
        }
    }

    /// What it may take of the whole.
    pub fn quota_share(&self, now: Micros) -> f64 {
        self.holder.quota_share(now)
    }

    /// Whether it is the keeper.
    pub fn is_leader(&self, now: Micros) -> bool {
        self.seat.as_ref().is_some_and(|s| s.candidate.keeper_until(now).is_some())
    }

    /// The traffic that comes to it, in requests a second.
    pub fn traffic(&mut self, per_second: f64) {
        self.traffic = per_second;
    }

    /// It takes nothing from now on; as a keeper it lets its lease end.
    pub fn leave(&mut self, now: Micros, out: &mut Out) {
        self.left = true;
        let bye = self.holder.leave();
        match self.keeper {
            Some(keeper) => self.say(now, keeper, bye, out),
            None => self.say_to_voters(now, &bye, out),
        }
    }

    /// Does what is due. Returns when to call again.
    pub fn tick(&mut self, now: Micros, out: &mut Out) -> Micros {
        let mut next = Micros::MAX;
        if !self.left {
            if now >= self.next_ask {
                self.ask(now, out);
            }
            next = next.min(self.next_ask);
            next = next.min(self.holder.ends(now).unwrap_or(Micros::MAX));
        }
        if self.seat.is_some() {
            next = next.min(self.tick_seat(now, out));
        }
        next.max(now + 1)
    }

    fn tick_seat(&mut self, now: Micros, out: &mut Out) -> Micros {
        let Some(seat) = &mut self.seat else { return Micros::MAX };
        if seat.candidate.keeper_until(now).is_none() {
            seat.keeper = None;
        }
        let mut said = Out::new();
        if let Some(keeper) = &mut seat.keeper {
            keeper.tick(now, &mut said);
        }
        let mut say = None;
        let keeps = seat.candidate.keeper_until(now).is_some();
        // Whoever has a lease from another knows that there is a keeper.
        if now >= seat.next_try && !self.left && (keeps || self.holder.ends(now).is_none()) {
            // A keeper renews in time; the others try now and then, each at its own moment.
            let spread = self.rng.random_range(0..self.lease_config.renewal_interval);
            seat.next_try = now
                + if keeps {
                    self.lease_config.renewal_interval
                } else {
                    self.lease_config.retry_interval * 2 + spread
                };
            say = Some(seat.candidate.try_now());
        }
        let next = if seat.next_try > now { seat.next_try } else { now + self.lease_config.retry_interval };
        let next =
            if seat.keeper.is_some() { next.min(now + self.lease_config.retry_interval) } else { next };
        self.say_all(now, said, out);
        if let Some(say) = say {
            self.tell_voters(now, say, out);
        }
        next
    }

    fn tell_voters(&mut self, now: Micros, say: Say, out: &mut Out) {
        let message = match say {
            Say::Prepare(ballot) => Message::Prepare(ballot),
            Say::Propose(ballot, lease) => Message::Propose(ballot, lease),
        };
        self.say_to_voters(now, &message, out);
    }

    fn ask(&mut self, now: Micros, out: &mut Out) {
        // Where nobody has granted lately, any voter may be the keeper.
        let has = self.holder.ends(now).is_some();
        self.next_ask =
            now + if has { self.lease_config.renewal_interval } else { self.lease_config.retry_interval };
        let message = self.holder.ask(now, self.traffic);
        match self.keeper.filter(|_| has) {
            Some(keeper) => self.say(now, keeper, message, out),
            None => self.say_to_voters(now, &message, out),
        }
    }

    /// Says something, to itself at once.
    fn say(&mut self, now: Micros, to: SocketAddr, message: Message, out: &mut Out) {
        if to == self.at {
            self.receive(now, to, message, out);
        } else {
            out.push((to, message));
        }
    }

    fn say_all(&mut self, now: Micros, said: Out, out: &mut Out) {
        for (to, message) in said {
            self.say(now, to, message, out);
        }
    }

    fn say_to_voters(&mut self, now: Micros, message: &Message, out: &mut Out) {
        for at in self.voters.clone() {
            self.say(now, at, message.clone(), out);
        }
    }

    /// Takes a message. What makes no sense here is passed over.
    pub fn receive(&mut self, now: Micros, from: SocketAddr, message: Message, out: &mut Out) {
        match message {
            Message::Prepare(ballot) => {
                let vote = self.seat.as_mut().and_then(|s| s.voter.prepare(now, ballot));
                self.vote(now, from, ballot, vote, out);
            }
            Message::Propose(ballot, lease) => {
                let vote = self.seat.as_mut().and_then(|s| s.voter.propose(now, ballot, lease));
                self.vote(now, from, ballot, vote, out);
            }
            Message::Prepared { ballot, open } => {
                let Some(voter) = self.voter(from) else { return };
                if !open {
                    self.wait_for_keeper(now);
                }
                let say = self.seat.as_mut().and_then(|s| s.candidate.prepared(now, voter, ballot, open));
                if let Some(say) = say {
                    self.tell_voters(now, say, out);
                }
            }
            Message::Accepted(ballot) => self.accepted(now, from, ballot),
            Message::Rejected { ballot, heard } => {
                let keeps = self.is_leader(now);
                let soon = now + self.rng.random_range(0..self.lease_config.retry_interval / 4);
                if let Some(seat) = &mut self.seat {
                    seat.candidate.rejected(ballot, heard);
                    // A keeper's lease runs on; it goes over the other at once.
                    seat.next_try = if keeps { soon } else { seat.next_try };
                }
            }
            Message::Ask { process, ask, traffic, applied } => {
                let mut said = Out::new();
                match self.keeper_now(now) {
                    Some(keeper) => keeper.ask(now, from, process, ask, traffic, applied, &mut said),
                    None => said.push((from, Message::Elsewhere(self.keeper.filter(|k| *k != self.at)))),
                }
                self.say_all(now, said, out);
            }
            Message::Grant { process, ask, mark, part, lasts } => {
                if process == self.holder.process() && self.holder.grant(now, ask, mark, part, lasts) {
                    self.keeper = Some(from);
                    // What has shrunk is somebody else's once the keeper has heard.
                    self.next_ask = if self.holder.shrunk() { now } else { self.next_ask };
                }
            }
            Message::Elsewhere(at) => {
                if self.holder.ends(now).is_none() {
                    self.keeper = at;
                }
            }
            Message::Bye(process) => {
                let mut said = Out::new();
                if let Some(keeper) = self.keeper_now(now) {
                    keeper.bye(now, process, &mut said);
                }
                self.say_all(now, said, out);
            }
        }
    }

    /// Somebody else has the lease: trying again before it may have ended only disturbs.
    fn wait_for_keeper(&mut self, now: Micros) {
        let spread = self.rng.random_range(0..self.lease_config.renewal_interval);
        if let Some(seat) = self.seat.as_mut().filter(|s| s.candidate.keeper_until(now).is_none()) {
            seat.next_try = seat.next_try.max(now + self.lease_config.duration / 2 + spread);
        }
    }

    fn voter(&self, at: SocketAddr) -> Option<usize> {
        self.voters.iter().position(|v| *v == at)
    }

    fn vote(&mut self, now: Micros, to: SocketAddr, ballot: Ballot, vote: Option<Vote>, out: &mut Out) {
        let message = match vote {
            None => return,
            Some(Vote::Prepared(open)) => Message::Prepared { ballot, open },
            Some(Vote::Accepted) => Message::Accepted(ballot),
            Some(Vote::Rejected(heard)) => Message::Rejected { ballot, heard },
        };
        self.say(now, to, message, out);
    }

    fn accepted(&mut self, now: Micros, from: SocketAddr, ballot: Ballot) {
        let Some(voter) = self.voter(from) else { return };
        let Some(seat) = &mut self.seat else { return };
        let kept = seat.candidate.keeper_until(now).is_some();
        if !seat.candidate.accepted(voter, ballot) {
            return;
        }
        let Some(until) = seat.candidate.keeper_until(now) else { return };
        match &mut seat.keeper {
            Some(keeper) if kept => keeper.extend(until),
            // Its term is that of the ballot that made it the keeper.
            _ => seat.keeper = Some(Keeper::new(ballot, until, self.lease_config)),
        }
    }

    /// The book, while it is the keeper.
    fn keeper_now(&mut self, now: Micros) -> Option<&mut Keeper> {
        let seat = self.seat.as_mut()?;
        seat.candidate.keeper_until(now)?;
        seat.keeper.as_mut()
    }
}
