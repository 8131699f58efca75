//! What instances say to each other about parts.

use serde::{Deserialize, Serialize};

use crate::{Incarnation, Micros};

/// The order of tries to become keeper: no two tries have the same, and a later one of an instance that has
/// heard of the others is higher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Counts.
    pub round: u64,
    /// Whose try.
    pub incarnation: Incarnation,
}

/// What an instance has applied last: grants are numbered within a keeper's term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GrantId {
    /// The keeper's.
    pub term: Ballot,
    /// Its number.
    pub number: u64,
}

/// One message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// To a voter: will you hear this ballot out?
    Prepare(Ballot),
    /// From a voter: yes; and whether anybody else has a lease that has not ended.
    Prepared {
        /// Of the question.
        ballot: Ballot,
        /// Nobody else has.
        is_lease_free: bool,
    },
    /// To a voter: I am the keeper for this long.
    Propose(Ballot, Micros),
    /// From a voter: so it is.
    Accepted(Ballot),
    /// From a voter: a higher ballot has been heard.
    Rejected {
        /// Of the question.
        ballot: Ballot,
        /// The higher one.
        highest_ballot: Ballot,
    },
    /// To a keeper, or to a voter that may be it: my part, please.
    RequestShare {
        /// Who asks.
        incarnation: Incarnation,
        /// Counts.
        request_number: u64,
        /// The traffic that comes to it, in requests a second.
        request_rate: f64,
        /// The last grant that it has applied: none before it is in force any more.
        last_applied: GrantId,
    },
    /// From a keeper: your part.
    Grant {
        /// To whom: an address may have changed hands.
        incarnation: Incarnation,
        /// Which question it answers: the lease counts from when that was asked.
        request_number: u64,
        /// Its place among all grants to the process.
        grant_id: GrantId,
        /// The part.
        quota_share: f64,
        /// For how long from the question on.
        duration: Micros,
    },
    /// From a voter that is no keeper: that one may be.
    Redirect(Option<std::net::SocketAddr>),
    /// To a keeper: I take nothing from now on.
    Leave(Incarnation),
}
