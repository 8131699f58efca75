//! Who is the keeper: at most one at a time, for a lease, among a fixed set of voters. This is PaxosLease
//! (Trencseni, Gazso and Reinhardt, 2010): voters write nothing down; one that has restarted stays silent
//! until whatever it may have promised before has ended.

use std::collections::BTreeSet;

use crate::message::Ballot;
use crate::{Incarnation, LeaseConfig, Micros};

/// A voter's memory.
#[derive(Debug)]
pub struct Acceptor {
    lease_config: LeaseConfig,
    /// Before this, it has no voice.
    reply_from: Micros,
    highest_ballot: Ballot,
    /// Whose lease it has agreed to, and until when.
    accepted_lease: Option<(Incarnation, Micros)>,
}

/// A voter's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptorReply {
    /// It hears the ballot out; `true`: nobody else has a lease.
    Prepared(bool),
    /// It has agreed.
    Accepted,
    /// It has heard of this higher ballot.
    Rejected(Ballot),
}

impl Acceptor {
    /// A voter that has just started.
    pub fn new(now: Micros, lease_config: LeaseConfig) -> Self {
        let reply_from =
            now + lease_config.lengthen_by_drift(lease_config.lengthen_by_drift(lease_config.duration));
        Acceptor { lease_config, reply_from, highest_ballot: Ballot::default(), accepted_lease: None }
    }

    /// Will you hear this ballot out? `None`: no voice yet.
    pub fn handle_prepare(&mut self, now: Micros, ballot: Ballot) -> Option<AcceptorReply> {
        self.reply(now, ballot, |acceptor| {
            let held_by_other = acceptor
                .accepted_lease
                .is_some_and(|(holder, until)| holder != ballot.incarnation && now < until);
            AcceptorReply::Prepared(!held_by_other)
        })
    }

    /// The ballot's instance is the keeper for this long.
    pub fn handle_propose(
        &mut self,
        now: Micros,
        ballot: Ballot,
        lease_duration: Micros,
    ) -> Option<AcceptorReply> {
        self.reply(now, ballot, |acceptor| {
            let lease_duration = lease_duration.min(acceptor.lease_config.duration);
            acceptor.accepted_lease =
                Some((ballot.incarnation, now + acceptor.lease_config.lengthen_by_drift(lease_duration)));
            AcceptorReply::Accepted
        })
    }

    fn reply(
        &mut self,
        now: Micros,
        ballot: Ballot,
        current_ballot_reply: impl FnOnce(&mut Self) -> AcceptorReply,
    ) -> Option<AcceptorReply> {
        if now < self.reply_from {
            return None;
        }
        if ballot < self.highest_ballot {
            return Some(AcceptorReply::Rejected(self.highest_ballot));
        }
        self.highest_ballot = ballot;
        Some(current_ballot_reply(self))
    }
}

#[derive(Debug)]
enum Phase {
    Idle,
    Preparing(BTreeSet<usize>),
    /// The lease, if a majority agrees, ends then.
    Proposing(BTreeSet<usize>, Micros),
}

/// An instance's tries to be the keeper.
#[derive(Debug)]
pub struct Proposer {
    lease_config: LeaseConfig,
    incarnation: Incarnation,
    majority: usize,
    ballot: Ballot,
    phase: Phase,
    /// It is the keeper until then.
    leader_until: Option<Micros>,
}

/// What a candidate has to say to all voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposerRequest {
    /// Will you hear this out?
    Prepare(Ballot),
    /// I am the keeper for this long.
    Propose(Ballot, Micros),
}

impl Proposer {
    /// One among so many voters.
    pub fn new(incarnation: Incarnation, acceptor_count: usize, lease_config: LeaseConfig) -> Self {
        Proposer {
            lease_config,
            incarnation,
            majority: acceptor_count / 2 + 1,
            ballot: Ballot::default(),
            phase: Phase::Idle,
            leader_until: None,
        }
    }

    /// Tries, or renews.
    pub fn start_round(&mut self) -> ProposerRequest {
        self.ballot = Ballot { round: self.ballot.round + 1, incarnation: self.incarnation };
        self.phase = Phase::Preparing(BTreeSet::new());
        ProposerRequest::Prepare(self.ballot)
    }

    /// A voter hears it out.
    pub fn handle_prepared(
        &mut self,
        now: Micros,
        acceptor: usize,
        ballot: Ballot,
        is_lease_free: bool,
    ) -> Option<ProposerRequest> {
        let Phase::Preparing(acceptors) = &mut self.phase else { return None };
        if ballot != self.ballot || !is_lease_free {
            return None;
        }
        acceptors.insert(acceptor);
        if acceptors.len() < self.majority {
            return None;
        }
        // Counted from before the voters hear of it: it ends here before it ends there.
        let lease_end = now + self.lease_config.shorten_by_drift(self.lease_config.duration);
        self.phase = Phase::Proposing(BTreeSet::new(), lease_end);
        Some(ProposerRequest::Propose(ballot, self.lease_config.duration))
    }

    /// A voter agrees. True if that makes it the keeper, or the keeper for longer.
    pub fn handle_accepted(&mut self, acceptor: usize, ballot: Ballot) -> bool {
        let Phase::Proposing(acceptors, lease_end) = &mut self.phase else { return false };
        if ballot != self.ballot {
            return false;
        }
        acceptors.insert(acceptor);
        if acceptors.len() < self.majority {
            return false;
        }
        self.leader_until = Some(*lease_end);
        self.phase = Phase::Idle;
        true
    }

    /// A voter has heard of a higher ballot: the next try goes over it.
    pub fn handle_rejected(&mut self, ballot: Ballot, highest_ballot: Ballot) {
        if ballot == self.ballot {
            self.ballot.round = self.ballot.round.max(highest_ballot.round);
            self.phase = Phase::Idle;
        }
    }

    /// Until when it is the keeper, if it is now.
    pub fn leader_until(&self, now: Micros) -> Option<Micros> {
        self.leader_until.filter(|until| now < *until)
    }
}
