//! Who is the keeper: at most one at a time, for a lease, among a fixed set of voters. This is PaxosLease
//! (Trencseni, Gazso and Reinhardt, 2010): voters write nothing down; one that has restarted stays silent
//! until whatever it may have promised before has ended.

use std::collections::BTreeSet;

use crate::message::Ballot;
use crate::{Incarnation, LeaseConfig, Micros};

/// A voter's memory.
#[derive(Debug)]
pub struct Voter {
    lease_config: LeaseConfig,
    /// Before this, it has no voice.
    silent_until: Micros,
    heard: Ballot,
    /// Whose lease it has agreed to, and until when.
    agreed: Option<(Incarnation, Micros)>,
}

/// A voter's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Vote {
    /// It hears the ballot out; `true`: nobody else has a lease.
    Prepared(bool),
    /// It has agreed.
    Accepted,
    /// It has heard of this higher ballot.
    Rejected(Ballot),
}

impl Voter {
    /// A voter that has just started.
    pub fn new(now: Micros, lease_config: LeaseConfig) -> Self {
        let silent_until =
            now + lease_config.lengthen_by_drift(lease_config.lengthen_by_drift(lease_config.duration));
        Voter { lease_config, silent_until, heard: Ballot::default(), agreed: None }
    }

    /// Will you hear this ballot out? `None`: no voice yet.
    pub fn prepare(&mut self, now: Micros, ballot: Ballot) -> Option<Vote> {
        self.vote(now, ballot, |voter| {
            let other = voter.agreed.is_some_and(|(who, until)| who != ballot.process && now < until);
            Vote::Prepared(!other)
        })
    }

    /// The ballot's instance is the keeper for this long.
    pub fn propose(&mut self, now: Micros, ballot: Ballot, lease: Micros) -> Option<Vote> {
        self.vote(now, ballot, |voter| {
            let lease = lease.min(voter.lease_config.duration);
            voter.agreed = Some((ballot.process, now + voter.lease_config.lengthen_by_drift(lease)));
            Vote::Accepted
        })
    }

    fn vote(&mut self, now: Micros, ballot: Ballot, yes: impl FnOnce(&mut Self) -> Vote) -> Option<Vote> {
        if now < self.silent_until {
            return None;
        }
        if ballot < self.heard {
            return Some(Vote::Rejected(self.heard));
        }
        self.heard = ballot;
        Some(yes(self))
    }
}

#[derive(Debug)]
enum Stage {
    Idle,
    Preparing(BTreeSet<usize>),
    /// The lease, if a majority agrees, ends then.
    Proposing(BTreeSet<usize>, Micros),
}

/// An instance's tries to be the keeper.
#[derive(Debug)]
pub struct Candidate {
    lease_config: LeaseConfig,
    process: Incarnation,
    majority: usize,
    ballot: Ballot,
    stage: Stage,
    /// It is the keeper until then.
    keeper_until: Option<Micros>,
}

/// What a candidate has to say to all voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Say {
    /// Will you hear this out?
    Prepare(Ballot),
    /// I am the keeper for this long.
    Propose(Ballot, Micros),
}

impl Candidate {
    /// One among so many voters.
    pub fn new(process: Incarnation, voters: usize, lease_config: LeaseConfig) -> Self {
        Candidate {
            lease_config,
            process,
            majority: voters / 2 + 1,
            ballot: Ballot::default(),
            stage: Stage::Idle,
            keeper_until: None,
        }
    }

    /// Tries, or renews.
    pub fn try_now(&mut self) -> Say {
        self.ballot = Ballot { round: self.ballot.round + 1, process: self.process };
        self.stage = Stage::Preparing(BTreeSet::new());
        Say::Prepare(self.ballot)
    }

    /// A voter hears it out.
    pub fn prepared(&mut self, now: Micros, voter: usize, ballot: Ballot, open: bool) -> Option<Say> {
        let Stage::Preparing(voters) = &mut self.stage else { return None };
        if ballot != self.ballot || !open {
            return None;
        }
        voters.insert(voter);
        if voters.len() < self.majority {
            return None;
        }
        // Counted from before the voters hear of it: it ends here before it ends there.
        let end = now + self.lease_config.shorten_by_drift(self.lease_config.duration);
        self.stage = Stage::Proposing(BTreeSet::new(), end);
        Some(Say::Propose(ballot, self.lease_config.duration))
    }

    /// A voter agrees. True if that makes it the keeper, or the keeper for longer.
    pub fn accepted(&mut self, voter: usize, ballot: Ballot) -> bool {
        let Stage::Proposing(voters, end) = &mut self.stage else { return false };
        if ballot != self.ballot {
            return false;
        }
        voters.insert(voter);
        if voters.len() < self.majority {
            return false;
        }
        self.keeper_until = Some(*end);
        self.stage = Stage::Idle;
        true
    }

    /// A voter has heard of a higher ballot: the next try goes over it.
    pub fn rejected(&mut self, ballot: Ballot, heard: Ballot) {
        if ballot == self.ballot {
            self.ballot.round = self.ballot.round.max(heard.round);
            self.stage = Stage::Idle;
        }
    }

    /// Until when it is the keeper, if it is now.
    pub fn keeper_until(&self, now: Micros) -> Option<Micros> {
        self.keeper_until.filter(|until| now < *until)
    }
}
