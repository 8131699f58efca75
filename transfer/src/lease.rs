//! Who owns a state that was read here, and until when. One owner at any moment: this server until the taker
//! has said that the whole is there and proven, that taker from then on. No I/O, no clock.

use crate::cause::Cause;
use crate::{Incarnation, Micros, Timeouts, Token};

/// One taker's move, as the holder knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Taker {
    /// The taker's process.
    pub process: Incarnation,
    /// Its name for the move.
    pub token: Token,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Owner {
    /// Held here, nobody has come.
    Unclaimed { since: Micros },
    /// Held here, a taker is at it; `cut` is when it was last heard of, if its connection has gone.
    Claimed { by: Taker, cut: Option<Micros> },
    /// It belongs to the taker; kept as a note for one that asks whether it does.
    Given { to: Taker, at: Micros },
}

/// The ownership of one state.
#[derive(Clone, Debug)]
pub struct Lease {
    owner: Owner,
    /// When the first taker came: all takers together have the limit from then on.
    first_claim: Option<Micros>,
}

/// A taker's claim was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// It is the taker now; another one was before.
    New {
        /// Who was the taker until now.
        superseded: Option<Taker>,
    },
    /// It was the taker already.
    Again,
    /// It is the owner already.
    Owner,
}

impl Lease {
    /// The state is there.
    pub fn new(now: Micros) -> Self {
        Lease { owner: Owner::Unclaimed { since: now }, first_claim: None }
    }

    /// A taker comes, for the first time or back after a cut. The last to come for the first time wins: a
    /// request has one attempt out, so the one before has ended, heard of or not.
    pub fn claim(&mut self, now: Micros, taker: Taker, back: bool) -> Result<Claim, Cause> {
        let claim = match self.owner {
            Owner::Given { to, .. } if to == taker => return Ok(Claim::Owner),
            Owner::Given { .. } => return Err(Cause::Taken),
            Owner::Claimed { by, .. } if by == taker => Claim::Again,
            Owner::Claimed { .. } | Owner::Unclaimed { .. } if back => return Err(Cause::Superseded),
            Owner::Claimed { by, .. } => Claim::New { superseded: Some(by) },
            Owner::Unclaimed { .. } => Claim::New { superseded: None },
        };
        self.first_claim.get_or_insert(now);
        self.owner = Owner::Claimed { by: taker, cut: None };
        Ok(claim)
    }

    /// The taker's connection has gone; it was last heard of at `heard`.
    pub fn cut(&mut self, taker: Taker, heard: Micros) {
        if let Owner::Claimed { by, cut } = &mut self.owner {
            if *by == taker {
                *cut = Some(heard);
            }
        }
    }

    /// The taker gives up; the state waits for another.
    pub fn let_go(&mut self, now: Micros, taker: Taker) {
        if matches!(self.owner, Owner::Claimed { by, .. } if by == taker) {
            self.owner = Owner::Unclaimed { since: now };
        }
    }

    /// The taker has the whole, proven: from here on it is the owner.
    pub fn give(&mut self, now: Micros, taker: Taker) -> Result<(), Cause> {
        match self.owner {
            Owner::Claimed { by, .. } if by == taker => {
                self.owner = Owner::Given { to: taker, at: now };
                Ok(())
            }
            Owner::Given { to, .. } if to == taker => Ok(()),
            Owner::Given { .. } => Err(Cause::Taken),
            Owner::Claimed { .. } | Owner::Unclaimed { .. } => Err(Cause::Superseded),
        }
    }

    /// Whether the state is this server's.
    pub fn holds(&self) -> bool {
        !matches!(self.owner, Owner::Given { .. })
    }

    /// Whether a taker is at it, or may come back to it after a cut.
    pub fn is_claimed(&self) -> bool {
        matches!(self.owner, Owner::Claimed { .. })
    }

    /// When it ends by itself, if nothing more is heard.
    pub fn ends(&self, timeouts: &Timeouts) -> Micros {
        let limit = self.first_claim.map_or(Micros::MAX, |at| at + timeouts.transfer_timeout);
        match self.owner {
            Owner::Unclaimed { since } => limit.min(since + timeouts.hold_ttl),
            Owner::Claimed { cut: Some(heard), .. } => limit.min(heard + timeouts.hold_ttl),
            Owner::Claimed { cut: None, .. } => limit,
            Owner::Given { at, .. } => at + timeouts.hold_ttl,
        }
    }
}
