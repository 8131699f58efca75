//! The protocol state of one instance: its own quota share, its acceptor and proposer if it is one of the
//! acceptors, and the record of grants while it is the leader.

use std::net::SocketAddr;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::election::{Acceptor, AcceptorReply, Proposer, ProposerRequest};
use crate::leader::{Leader, OutgoingMessages};
use crate::lease_holder::LeaseHolder;
use crate::message::{Ballot, Message};
use crate::{Incarnation, LeaseConfig, Micros};

/// What an instance that is an acceptor has in addition.
#[derive(Debug)]
struct ElectionState {
    acceptor: Acceptor,
    proposer: Proposer,
    leader: Option<Leader>,
    next_round_at: Micros,
}

/// The state of an instance in the protocol that leases quota shares.
#[derive(Debug)]
pub struct Instance {
    lease_config: LeaseConfig,
    address: SocketAddr,
    acceptors: Vec<SocketAddr>,
    election: Option<ElectionState>,
    lease_holder: LeaseHolder,
    /// The instance that sent the last grant, or that a redirect named.
    leader_address: Option<SocketAddr>,
    next_request_at: Micros,
    request_rate: f64,
    has_left: bool,
    rng: SmallRng,
}

impl Instance {
    /// Creates an instance at an address. It takes part in elections if it is one of the acceptors.
    pub fn new(
        now: Micros,
        incarnation: Incarnation,
        address: SocketAddr,
        acceptors: Vec<SocketAddr>,
        lease_config: LeaseConfig,
    ) -> Self {
        let mut rng = SmallRng::seed_from_u64(incarnation);
        let is_acceptor = acceptors.contains(&address);
        let election = is_acceptor.then(|| ElectionState {
            acceptor: Acceptor::new(now, lease_config),
            proposer: Proposer::new(incarnation, acceptors.len(), lease_config),
            leader: None,
            // Acceptors that start now do not reply earlier. The random delay keeps them from starting
            // rounds at the same time.
            next_round_at: now
                + lease_config.lengthen_by_drift(lease_config.duration)
                + rng.random_range(0..lease_config.retry_interval),
        });
        Instance {
            lease_config,
            address,
            acceptors,
            election,
            lease_holder: LeaseHolder::new(incarnation, lease_config),
            leader_address: None,
            next_request_at: now,
            request_rate: 0.0,
            has_left: false,
            rng,
        }
    }

    /// Returns the share of the quota that the instance may use now.
    pub fn quota_share(&self, now: Micros) -> f64 {
        self.lease_holder.quota_share(now)
    }

    /// Whether the instance is the leader now.
    pub fn is_leader(&self, now: Micros) -> bool {
        self.election.as_ref().is_some_and(|election| election.proposer.leader_until(now).is_some())
    }

    /// Sets the traffic that arrives at the instance, in requests per second.
    pub fn set_request_rate(&mut self, request_rate: f64) {
        self.request_rate = request_rate;
    }

    /// Gives up the instance's share for good. A leader lets its own lease expire.
    pub fn leave(&mut self, now: Micros, outgoing: &mut OutgoingMessages) {
        self.has_left = true;
        let leave_message = self.lease_holder.leave();
        match self.leader_address {
            Some(leader) => self.send(now, leader, leave_message, outgoing),
            None => self.send_to_acceptors(now, &leave_message, outgoing),
        }
    }

    /// Performs the actions that are due. Returns when it must be called again.
    pub fn tick(&mut self, now: Micros, outgoing: &mut OutgoingMessages) -> Micros {
        let mut next = Micros::MAX;
        if !self.has_left {
            if now >= self.next_request_at {
                self.request_share(now, outgoing);
            }
            next = next.min(self.next_request_at);
            next = next.min(self.lease_holder.lease_expires_at(now).unwrap_or(Micros::MAX));
        }
        if self.election.is_some() {
            next = next.min(self.tick_election(now, outgoing));
        }
        next.max(now + 1)
    }

    fn tick_election(&mut self, now: Micros, outgoing: &mut OutgoingMessages) -> Micros {
        let Some(election) = &mut self.election else { return Micros::MAX };
        if election.proposer.leader_until(now).is_none() {
            election.leader = None;
        }
        let mut leader_messages = OutgoingMessages::new();
        if let Some(leader) = &mut election.leader {
            leader.tick(now, &mut leader_messages);
        }
        let mut proposer_request = None;
        let is_leader = election.proposer.leader_until(now).is_some();
        // An instance that holds a lease from another instance knows that there is a leader.
        if now >= election.next_round_at
            && !self.has_left
            && (is_leader || self.lease_holder.lease_expires_at(now).is_none())
        {
            // The leader renews its lease in time. Others try again after a random delay, so that their
            // rounds do not collide.
            let spread = self.rng.random_range(0..self.lease_config.renewal_interval);
            election.next_round_at = now
                + if is_leader {
                    self.lease_config.renewal_interval
                } else {
                    self.lease_config.retry_interval * 2 + spread
                };
            proposer_request = Some(election.proposer.start_round());
        }
        let next = if election.next_round_at > now {
            election.next_round_at
        } else {
            now + self.lease_config.retry_interval
        };
        let next =
            if election.leader.is_some() { next.min(now + self.lease_config.retry_interval) } else { next };
        self.send_all(now, leader_messages, outgoing);
        if let Some(proposer_request) = proposer_request {
            self.send_proposer_request(now, proposer_request, outgoing);
        }
        next
    }

    fn send_proposer_request(
        &mut self,
        now: Micros,
        proposer_request: ProposerRequest,
        outgoing: &mut OutgoingMessages,
    ) {
        let message = match proposer_request {
            ProposerRequest::Prepare(ballot) => Message::Prepare(ballot),
            ProposerRequest::Propose(ballot, duration) => Message::Propose(ballot, duration),
        };
        self.send_to_acceptors(now, &message, outgoing);
    }

    fn request_share(&mut self, now: Micros, outgoing: &mut OutgoingMessages) {
        // Without a current grant, any acceptor may be the leader.
        let has_lease = self.lease_holder.lease_expires_at(now).is_some();
        self.next_request_at = now
            + if has_lease { self.lease_config.renewal_interval } else { self.lease_config.retry_interval };
        let message = self.lease_holder.request_share(now, self.request_rate);
        match self.leader_address.filter(|_| has_lease) {
            Some(leader) => self.send(now, leader, message, outgoing),
            None => self.send_to_acceptors(now, &message, outgoing),
        }
    }

    /// Queues a message, or handles it at once if it is for the instance itself.
    fn send(&mut self, now: Micros, to: SocketAddr, message: Message, outgoing: &mut OutgoingMessages) {
        if to == self.address {
            self.handle_message(now, to, message, outgoing);
        } else {
            outgoing.push((to, message));
        }
    }

    fn send_all(&mut self, now: Micros, messages: OutgoingMessages, outgoing: &mut OutgoingMessages) {
        for (to, message) in messages {
            self.send(now, to, message, outgoing);
        }
    }

    fn send_to_acceptors(&mut self, now: Micros, message: &Message, outgoing: &mut OutgoingMessages) {
        for address in self.acceptors.clone() {
            self.send(now, address, message.clone(), outgoing);
        }
    }

    /// Handles a message. Ignores it if it does not fit the state of the instance.
    pub fn handle_message(
        &mut self,
        now: Micros,
        from: SocketAddr,
        message: Message,
        outgoing: &mut OutgoingMessages,
    ) {
        match message {
            Message::Prepare(ballot) => {
                let reply =
                    self.election.as_mut().and_then(|election| election.acceptor.handle_prepare(now, ballot));
                self.send_reply(now, from, ballot, reply, outgoing);
            }
            Message::Propose(ballot, duration) => {
                let reply = self
                    .election
                    .as_mut()
                    .and_then(|election| election.acceptor.handle_propose(now, ballot, duration));
                self.send_reply(now, from, ballot, reply, outgoing);
            }
            Message::Prepared { ballot, is_lease_free } => {
                let Some(acceptor) = self.acceptor_index(from) else { return };
                if !is_lease_free {
                    self.postpone_round(now);
                }
                let proposer_request = self.election.as_mut().and_then(|election| {
                    election.proposer.handle_prepared(now, acceptor, ballot, is_lease_free)
                });
                if let Some(proposer_request) = proposer_request {
                    self.send_proposer_request(now, proposer_request, outgoing);
                }
            }
            Message::Accepted(ballot) => self.handle_accepted(now, from, ballot),
            Message::Rejected { ballot, highest_ballot } => {
                let is_leader = self.is_leader(now);
                let retry_at = now + self.rng.random_range(0..self.lease_config.retry_interval / 4);
                if let Some(election) = &mut self.election {
                    election.proposer.handle_rejected(ballot, highest_ballot);
                    // A leader still holds its lease, and soon tries to renew it with a higher ballot.
                    election.next_round_at = if is_leader { retry_at } else { election.next_round_at };
                }
            }
            Message::RequestShare { incarnation, request_number, request_rate, last_applied } => {
                let mut leader_messages = OutgoingMessages::new();
                match self.current_leader(now) {
                    Some(leader) => leader.handle_share_request(
                        now,
                        from,
                        incarnation,
                        request_number,
                        request_rate,
                        last_applied,
                        &mut leader_messages,
                    ),
                    None => leader_messages.push((
                        from,
                        Message::Redirect(self.leader_address.filter(|leader| *leader != self.address)),
                    )),
                }
                self.send_all(now, leader_messages, outgoing);
            }
            Message::Grant { incarnation, request_number, grant_id, quota_share, duration } => {
                if incarnation == self.lease_holder.incarnation()
                    && self.lease_holder.apply_grant(now, request_number, grant_id, quota_share, duration)
                {
                    self.leader_address = Some(from);
                    // Reports a decrease at once: only then can the leader lease the difference to others.
                    self.next_request_at =
                        if self.lease_holder.must_report_decrease() { now } else { self.next_request_at };
                }
            }
            Message::Redirect(address) => {
                if self.lease_holder.lease_expires_at(now).is_none() {
                    self.leader_address = address;
                }
            }
            Message::Leave(incarnation) => {
                let mut leader_messages = OutgoingMessages::new();
                if let Some(leader) = self.current_leader(now) {
                    leader.handle_leave(now, incarnation, &mut leader_messages);
                }
                self.send_all(now, leader_messages, outgoing);
            }
        }
    }

    /// Postpones the next round because another instance holds the lease: a round before that lease may have
    /// expired would only disturb the leader.
    fn postpone_round(&mut self, now: Micros) {
        let spread = self.rng.random_range(0..self.lease_config.renewal_interval);
        if let Some(election) =
            self.election.as_mut().filter(|election| election.proposer.leader_until(now).is_none())
        {
            election.next_round_at =
                election.next_round_at.max(now + self.lease_config.duration / 2 + spread);
        }
    }

    fn acceptor_index(&self, address: SocketAddr) -> Option<usize> {
        self.acceptors.iter().position(|acceptor| *acceptor == address)
    }

    fn send_reply(
        &mut self,
        now: Micros,
        to: SocketAddr,
        ballot: Ballot,
        reply: Option<AcceptorReply>,
        outgoing: &mut OutgoingMessages,
    ) {
        let message = match reply {
            None => return,
            Some(AcceptorReply::Prepared(is_lease_free)) => Message::Prepared { ballot, is_lease_free },
            Some(AcceptorReply::Accepted) => Message::Accepted(ballot),
            Some(AcceptorReply::Rejected(highest_ballot)) => Message::Rejected { ballot, highest_ballot },
        };
        self.send(now, to, message, outgoing);
    }

    fn handle_accepted(&mut self, now: Micros, from: SocketAddr, ballot: Ballot) {
        let Some(acceptor) = self.acceptor_index(from) else { return };
        let Some(election) = &mut self.election else { return };
        let was_leader = election.proposer.leader_until(now).is_some();
        if !election.proposer.handle_accepted(acceptor, ballot) {
            return;
        }
        let Some(lease_expires_at) = election.proposer.leader_until(now) else { return };
        match &mut election.leader {
            Some(leader) if was_leader => leader.extend_lease(lease_expires_at),
            // The term of a new leader is the ballot that elected it.
            _ => election.leader = Some(Leader::new(ballot, lease_expires_at, self.lease_config)),
        }
    }

    /// Returns the record of grants while the instance is the leader.
    fn current_leader(&mut self, now: Micros) -> Option<&mut Leader> {
        let election = self.election.as_mut()?;
        election.proposer.leader_until(now)?;
        election.leader.as_mut()
    }
}
