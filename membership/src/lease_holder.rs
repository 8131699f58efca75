//! The share of the quota that an instance may use: its floor share, and the share that it has leased from
//! the leader.

use std::collections::VecDeque;

use crate::message::{GrantId, Message};
use crate::{Incarnation, LeaseConfig, Micros};

/// Requests whose grants are still applied. Grants that answer older ones are ignored.
const MAX_PENDING_REQUESTS: usize = 16;

#[derive(Clone, Copy, Debug)]
struct Lease {
    quota_share: f64,
    expires_at: Micros,
}

/// The holder's side of the leases on quota shares.
#[derive(Debug)]
pub struct LeaseHolder {
    lease_config: LeaseConfig,
    incarnation: Incarnation,
    pending_requests: VecDeque<(u64, Micros)>,
    last_request_number: u64,
    last_applied: GrantId,
    lease: Option<Lease>,
    /// Set when a grant decreases the share, and cleared when the next request reports it.
    must_report_decrease: bool,
    has_left: bool,
}

impl LeaseHolder {
    /// Creates a holder that has only its floor share.
    pub fn new(incarnation: Incarnation, lease_config: LeaseConfig) -> Self {
        LeaseHolder {
            lease_config,
            incarnation,
            pending_requests: VecDeque::new(),
            last_request_number: 0,
            last_applied: GrantId::default(),
            lease: None,
            must_report_decrease: false,
            has_left: false,
        }
    }

    /// Returns the next request for a share, which also reports the grant that was applied last.
    pub fn request_share(&mut self, now: Micros, request_rate: f64) -> Message {
        self.last_request_number += 1;
        self.pending_requests.push_back((self.last_request_number, now));
        if self.pending_requests.len() > MAX_PENDING_REQUESTS {
            self.pending_requests.pop_front();
        }
        self.must_report_decrease = false;
        Message::RequestShare {
            incarnation: self.incarnation,
            request_number: self.last_request_number,
            request_rate,
            last_applied: self.last_applied,
        }
    }

    /// Applies a grant unless it is obsolete. Returns true if it was applied.
    pub fn apply_grant(
        &mut self,
        now: Micros,
        request_number: u64,
        grant_id: GrantId,
        quota_share: f64,
        duration: Micros,
    ) -> bool {
        let requested_at =
            self.pending_requests.iter().find(|(number, _)| *number == request_number).map(|(_, at)| *at);
        let Some(requested_at) = requested_at.filter(|_| grant_id > self.last_applied && !self.has_left)
        else {
            return false;
        };
        let expires_at = requested_at + self.lease_config.shorten_by_drift(duration);
        self.last_applied = grant_id;
        let quota_share = if quota_share.is_finite() {
            quota_share.clamp(0.0, self.lease_config.leasable_share())
        } else {
            0.0
        };
        self.must_report_decrease |= self.lease.is_some_and(|l| quota_share < l.quota_share);
        self.lease = (now < expires_at).then_some(Lease { quota_share, expires_at });
        true
    }

    /// Gives up the floor share and the lease. Returns the message that tells the leader.
    pub fn leave(&mut self) -> Message {
        self.has_left = true;
        self.lease = None;
        Message::Leave(self.incarnation)
    }

    /// Whether a decrease should be reported to the leader at once: only then can the leader lease the
    /// difference to others.
    pub fn must_report_decrease(&self) -> bool {
        self.must_report_decrease
    }

    /// Returns the incarnation of the instance.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the share of the quota that the instance may use now.
    pub fn quota_share(&self, now: Micros) -> f64 {
        if self.has_left {
            return 0.0;
        }
        self.lease_config.floor_share()
            + self.lease.filter(|l| now < l.expires_at).map_or(0.0, |l| l.quota_share)
    }

    /// Returns when the lease expires, if the instance holds one now.
    pub fn lease_expires_at(&self, now: Micros) -> Option<Micros> {
        self.lease.map(|l| l.expires_at).filter(|expires_at| now < *expires_at)
    }
}
