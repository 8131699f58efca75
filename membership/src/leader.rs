//! The leader's record of leases on quota shares. The shares in use never exceed the quota, even if messages
//! are lost: a grant counts as in use until it has expired or its holder has applied a later one.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::message::{Ballot, GrantId, Message};
use crate::{Incarnation, LeaseConfig, Micros};

/// An instance's share is changed if it differs from its target by more than this fraction.
const MIN_RELATIVE_CHANGE: f64 = 0.05;
/// Fraction of the leasable quota that is divided evenly; the rest is divided by traffic. It gives instances
/// without traffic a share to start with.
const EVEN_FRACTION: f64 = 0.5;
/// Lower request rates count as this one.
const MIN_REQUESTS_PER_SECOND: f64 = 0.1;

#[derive(Clone, Copy, Debug)]
struct Grant {
    number: u64,
    quota_share: f64,
    expires_at: Micros,
}

#[derive(Debug)]
struct Member {
    address: SocketAddr,
    request_rate: f64,
    request_number: u64,
    /// When the latest request arrived. Leases that answer it are counted from then.
    requested_at: Micros,
    /// Grants that may still be in force, in the order in which they were sent.
    grants: Vec<Grant>,
    last_sent_at: Micros,
}

impl Member {
    fn latest_share(&self) -> f64 {
        self.grants.last().map_or(0.0, |g| g.quota_share)
    }

    /// Returns the largest share that the instance may be using.
    fn max_share_in_use(&self) -> f64 {
        self.grants.iter().map(|g| g.quota_share).fold(0.0, f64::max)
    }
}

/// The leader's side of the leases on quota shares.
#[derive(Debug)]
pub struct Leader {
    lease_config: LeaseConfig,
    term: Ballot,
    /// When the leader's own lease expires.
    lease_expires_at: Micros,
    members: BTreeMap<Incarnation, Member>,
    last_grant_number: u64,
}

/// Messages to send, and their destinations.
pub type OutgoingMessages = Vec<(SocketAddr, Message)>;

impl Leader {
    /// Creates a leader without grants: those of an earlier leader have expired with its lease.
    pub fn new(term: Ballot, lease_expires_at: Micros, lease_config: LeaseConfig) -> Self {
        Leader { lease_config, term, lease_expires_at, members: BTreeMap::new(), last_grant_number: 0 }
    }

    /// Records a renewal of the leader's own lease.
    pub fn extend_lease(&mut self, lease_expires_at: Micros) {
        self.lease_expires_at = self.lease_expires_at.max(lease_expires_at);
    }

    /// Handles a request for a share, which also confirms the grant that the instance applied last.
    #[allow(clippy::too_many_arguments)]
    pub fn handle_share_request(
        &mut self,
        now: Micros,
        from: SocketAddr,
        incarnation: Incarnation,
        request_number: u64,
        request_rate: f64,
        last_applied: GrantId,
        outgoing: &mut OutgoingMessages,
    ) {
        self.expire_grants(now);
        let request_rate = if request_rate.is_finite() {
            request_rate.max(MIN_REQUESTS_PER_SECOND)
        } else {
            MIN_REQUESTS_PER_SECOND
        };
        let new_member = || Member {
            address: from,
            request_rate,
            request_number: 0,
            requested_at: 0,
            grants: Vec::new(),
            last_sent_at: 0,
        };
        let member = self.members.entry(incarnation).or_insert_with(new_member);
        if request_number < member.request_number {
            return;
        }
        (member.address, member.request_rate) = (from, request_rate);
        if request_number > member.request_number {
            (member.request_number, member.requested_at) = (request_number, now);
        }
        if last_applied.term > self.term {
            // Acceptors forget earlier ballots when they restart, but instances remember the term of their
            // last grant, and ignore grants of lower terms.
            self.term.round = last_applied.term.round + 1;
        }
        if last_applied.term == self.term {
            member.grants.retain(|g| g.number >= last_applied.number);
        }
        self.send_grant(now, incarnation, outgoing);
        self.rebalance(now, outgoing);
    }

    /// Handles the departure of an instance: its share is available to the others at once.
    pub fn handle_leave(&mut self, now: Micros, incarnation: Incarnation, outgoing: &mut OutgoingMessages) {
        self.members.remove(&incarnation);
        self.rebalance(now, outgoing);
    }

    /// Reassigns the shares of expired grants, and sends unconfirmed grants again.
    pub fn tick(&mut self, now: Micros, outgoing: &mut OutgoingMessages) {
        self.expire_grants(now);
        self.rebalance(now, outgoing);
    }

    fn expire_grants(&mut self, now: Micros) {
        let member_timeout = self.lease_config.lengthen_by_drift(self.lease_config.duration);
        self.members.retain(|_, m| {
            m.grants.retain(|g| now < g.expires_at);
            !m.grants.is_empty() || now < m.requested_at + member_timeout
        });
    }

    fn target_share(&self, member: &Member, total_request_rate: f64) -> f64 {
        let even_share = EVEN_FRACTION / self.members.len().max(1) as f64;
        self.lease_config.leasable_share()
            * (even_share + (1.0 - EVEN_FRACTION) * member.request_rate / total_request_rate)
    }

    fn total_request_rate(&self) -> f64 {
        self.members.values().map(|m| m.request_rate).sum()
    }

    /// Sends a grant to each instance whose share should change. Decreases go first.
    fn rebalance(&mut self, now: Micros, outgoing: &mut OutgoingMessages) {
        let total_request_rate = self.total_request_rate();
        let (mut to_decrease, mut to_increase) = (Vec::new(), Vec::new());
        for (incarnation, member) in &self.members {
            let (target_share, latest_share) =
                (self.target_share(member, total_request_rate), member.latest_share());
            let unconfirmed =
                member.grants.len() > 1 && now >= member.last_sent_at + self.lease_config.retry_interval;
            if latest_share > target_share * (1.0 + MIN_RELATIVE_CHANGE)
                || (unconfirmed && latest_share <= target_share)
            {
                to_decrease.push(*incarnation);
            } else if latest_share < target_share * (1.0 - MIN_RELATIVE_CHANGE) {
                to_increase.push(*incarnation);
            }
        }
        for incarnation in to_decrease.into_iter().chain(to_increase) {
            self.send_grant(now, incarnation, outgoing);
        }
    }

    /// Grants an instance its target share, or as much of it as is available, as an answer to its latest
    /// request.
    fn send_grant(&mut self, now: Micros, incarnation: Incarnation, outgoing: &mut OutgoingMessages) {
        let (total_request_rate, total_in_use) =
            (self.total_request_rate(), self.members.values().map(Member::max_share_in_use).sum::<f64>());
        let Some(member) = self.members.get(&incarnation) else { return };
        let available = self.lease_config.leasable_share() - (total_in_use - member.max_share_in_use());
        let quota_share = self.target_share(member, total_request_rate).min(available).max(0.0);
        // The lease ends no later than the leader's own. It is counted here from the arrival of the
        // request, and at the holder from when that sent the request, which is earlier.
        let duration =
            self.lease_config.duration.min(self.lease_expires_at.saturating_sub(member.requested_at));
        let expires_at = member.requested_at + self.lease_config.lengthen_by_drift(duration);
        let is_current = member.grants.last().is_some_and(|g| {
            g.expires_at == expires_at
                && (g.quota_share - quota_share).abs() < quota_share * MIN_RELATIVE_CHANGE
        });
        if is_current && now < member.last_sent_at + self.lease_config.retry_interval || expires_at <= now {
            return;
        }
        self.last_grant_number += 1;
        let (term, number) = (self.term, self.last_grant_number);
        let Some(member) = self.members.get_mut(&incarnation) else { return };
        member.grants.push(Grant { number, quota_share, expires_at });
        member.last_sent_at = now;
        let grant_id = GrantId { term, number };
        outgoing.push((
            member.address,
            Message::Grant {
                incarnation,
                request_number: member.request_number,
                grant_id,
                quota_share,
                duration,
            },
        ));
    }
}
