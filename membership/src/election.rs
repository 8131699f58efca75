//! Leader election by lease among a fixed set of acceptors, with at most one leader at a time. This is
//! PaxosLease (Trencseni, Gazso and Reinhardt, 2010): acceptors keep nothing on disk, and one that has
//! restarted does not reply until every lease that it may have accepted before has expired.

use std::collections::BTreeSet;

use crate::message::Ballot;
use crate::{Incarnation, LeaseConfig, Micros};

/// The state of an acceptor.
#[derive(Debug)]
pub struct Acceptor {
    lease_config: LeaseConfig,
    /// No message is answered before this time.
    reply_from: Micros,
    highest_ballot: Ballot,
    /// The holder of the lease that was accepted last, and when that expires.
    accepted_lease: Option<(Incarnation, Micros)>,
}

/// An acceptor's reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptorReply {
    /// The ballot is promised; `true` if no other instance holds an unexpired lease.
    Prepared(bool),
    /// The proposed lease is accepted.
    Accepted,
    /// This higher ballot has been promised.
    Rejected(Ballot),
}

impl Acceptor {
    /// Creates an acceptor that starts now, and that replies once leases from before have expired.
    pub fn new(now: Micros, lease_config: LeaseConfig) -> Self {
        let reply_from =
            now + lease_config.lengthen_by_drift(lease_config.lengthen_by_drift(lease_config.duration));
        Acceptor { lease_config, reply_from, highest_ballot: Ballot::default(), accepted_lease: None }
    }

    /// Handles a `Prepare`. Returns `None` while the acceptor must not reply.
    pub fn handle_prepare(&mut self, now: Micros, ballot: Ballot) -> Option<AcceptorReply> {
        self.reply(now, ballot, |acceptor| {
            let held_by_other = acceptor
                .accepted_lease
                .is_some_and(|(holder, until)| holder != ballot.incarnation && now < until);
            AcceptorReply::Prepared(!held_by_other)
        })
    }

    /// Handles a `Propose` for a lease of this duration. Returns `None` while the acceptor must not reply.
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
    /// The acceptors that have accepted, and when the lease expires if a majority does.
    Proposing(BTreeSet<usize>, Micros),
}

/// The attempts of an instance to become leader or to renew its lease.
#[derive(Debug)]
pub struct Proposer {
    lease_config: LeaseConfig,
    incarnation: Incarnation,
    majority: usize,
    ballot: Ballot,
    phase: Phase,
    /// When the lease expires that was won last.
    leader_until: Option<Micros>,
}

/// A message for all acceptors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposerRequest {
    /// Asks for a promise to reject lower ballots.
    Prepare(Ballot),
    /// Proposes the sender as leader for this duration.
    Propose(Ballot, Micros),
}

impl Proposer {
    /// Creates a proposer for this number of acceptors.
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

    /// Starts a new round, to become leader or to renew the lease.
    pub fn start_round(&mut self) -> ProposerRequest {
        self.ballot = Ballot { round: self.ballot.round + 1, incarnation: self.incarnation };
        self.phase = Phase::Preparing(BTreeSet::new());
        ProposerRequest::Prepare(self.ballot)
    }

    /// Handles an acceptor's promise. Returns the proposal once a majority has promised.
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
        // The lease runs from before the proposal is sent, so it expires here before it does at any acceptor.
        let lease_end = now + self.lease_config.shorten_by_drift(self.lease_config.duration);
        self.phase = Phase::Proposing(BTreeSet::new(), lease_end);
        Some(ProposerRequest::Propose(ballot, self.lease_config.duration))
    }

    /// Handles an acceptor's acceptance. Returns true once a majority has accepted, which makes the instance
    /// leader or extends its lease.
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

    /// Handles a rejection: the next round uses a ballot above the acceptor's.
    pub fn handle_rejected(&mut self, ballot: Ballot, highest_ballot: Ballot) {
        if ballot == self.ballot {
            self.ballot.round = self.ballot.round.max(highest_ballot.round);
            self.phase = Phase::Idle;
        }
    }

    /// Returns when the lease expires, if the instance is the leader now.
    pub fn leader_until(&self, now: Micros) -> Option<Micros> {
        self.leader_until.filter(|until| now < *until)
    }
}
