//! The messages that instances exchange to elect a leader and to lease quota shares. They are encoded by
//! position, so the order of variants and fields is part of the protocol.

use serde::{Deserialize, Serialize};

use crate::{Incarnation, Micros};

/// Number of an attempt to become leader. No two attempts share one, and an instance that learns of a higher
/// ballot uses a still higher one in its next attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Counter that orders the attempts.
    pub round: u64,
    /// The proposer, which breaks ties between equal rounds.
    pub incarnation: Incarnation,
}

/// Identifies a grant, and orders the grants of all leaders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GrantId {
    /// The leader's term, which is the ballot that elected it, or a higher one.
    pub term: Ballot,
    /// Number of the grant within the term.
    pub number: u64,
}

/// A message between instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// To an acceptor: asks it to promise to reject lower ballots.
    Prepare(Ballot),
    /// From an acceptor: the promise, and whether another instance may still hold the lease.
    Prepared {
        /// Ballot of the `Prepare` that this answers.
        ballot: Ballot,
        /// True if no other instance holds an unexpired lease.
        is_lease_free: bool,
    },
    /// To an acceptor: proposes the sender as leader for this duration.
    Propose(Ballot, Micros),
    /// From an acceptor: the proposal with this ballot is accepted.
    Accepted(Ballot),
    /// From an acceptor: it has promised a higher ballot.
    Rejected {
        /// Ballot of the message that this answers.
        ballot: Ballot,
        /// Highest ballot that the acceptor has promised.
        highest_ballot: Ballot,
    },
    /// To the leader, or to an acceptor that may be the leader: requests or renews a lease on a quota share.
    RequestShare {
        /// The instance that asks.
        incarnation: Incarnation,
        /// Counter of the instance's requests.
        request_number: u64,
        /// Traffic that arrives at the instance, in requests per second.
        request_rate: f64,
        /// The grant that the instance applied last. No earlier grant is in force any more.
        last_applied: GrantId,
    },
    /// From the leader: a lease on a quota share.
    Grant {
        /// The instance that it is for. Its address may since belong to another process.
        incarnation: Incarnation,
        /// The request that this answers. The lease runs from the time at which that was sent.
        request_number: u64,
        /// Position in the order of all grants to the instance.
        grant_id: GrantId,
        /// The granted share of the quota.
        quota_share: f64,
        /// Duration of the lease.
        duration: Micros,
    },
    /// From an acceptor that is not the leader: the address of the instance that may be, if it knows one.
    Redirect(Option<std::net::SocketAddr>),
    /// To the leader: the instance uses no quota from now on.
    Leave(Incarnation),
}
