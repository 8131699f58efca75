//! Who owns a state that was read here, and until when. One owner at any moment: this server until the taker
//! has said that the whole is there and proven, that taker from then on. No I/O, no clock.

use crate::cause::Cause;
use crate::{Incarnation, Micros, Timeouts, TransferToken};

/// One taker's move, as the holder knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Claimant {
    /// The taker's process.
    pub incarnation: Incarnation,
    /// Its name for the move.
    pub token: TransferToken,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ownership {
    /// Held here, nobody has come.
    Unclaimed { since: Micros },
    /// Held here, a taker is at it; `cut` is when it was last heard of, if its connection has gone.
    Claimed { by: Claimant, disconnected_at: Option<Micros> },
    /// It belongs to the taker; kept as a note for one that asks whether it does.
    HandedOver { to: Claimant, at: Micros },
}

/// The ownership of one state.
#[derive(Clone, Debug)]
pub struct Lease {
    ownership: Ownership,
    /// When the first taker came: all takers together have the limit from then on.
    first_claimed_at: Option<Micros>,
}

/// A taker's claim was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// It is the taker now; another one was before.
    New {
        /// Who was the taker until now.
        superseded: Option<Claimant>,
    },
    /// It was the taker already.
    Unchanged,
    /// It is the owner already.
    AlreadyOwner,
}

impl Lease {
    /// The state is there.
    pub fn new(now: Micros) -> Self {
        Lease { ownership: Ownership::Unclaimed { since: now }, first_claimed_at: None }
    }

    /// A taker comes, for the first time or back after a cut. The last to come for the first time wins: a
    /// request has one attempt out, so the one before has ended, heard of or not.
    pub fn claim(
        &mut self,
        now: Micros,
        claimant: Claimant,
        is_resumed: bool,
    ) -> Result<ClaimOutcome, Cause> {
        let claim = match self.ownership {
            Ownership::HandedOver { to, .. } if to == claimant => return Ok(ClaimOutcome::AlreadyOwner),
            Ownership::HandedOver { .. } => return Err(Cause::OwnedElsewhere),
            Ownership::Claimed { by, .. } if by == claimant => ClaimOutcome::Unchanged,
            Ownership::Claimed { .. } | Ownership::Unclaimed { .. } if is_resumed => {
                return Err(Cause::Superseded)
            }
            Ownership::Claimed { by, .. } => ClaimOutcome::New { superseded: Some(by) },
            Ownership::Unclaimed { .. } => ClaimOutcome::New { superseded: None },
        };
        self.first_claimed_at.get_or_insert(now);
        self.ownership = Ownership::Claimed { by: claimant, disconnected_at: None };
        Ok(claim)
    }

    /// The taker's connection has gone; it was last heard of at `heard`.
    pub fn disconnect(&mut self, claimant: Claimant, last_activity: Micros) {
        if let Ownership::Claimed { by, disconnected_at } = &mut self.ownership {
            if *by == claimant {
                *disconnected_at = Some(last_activity);
            }
        }
    }

    /// The taker gives up; the state waits for another.
    pub fn unclaim(&mut self, now: Micros, claimant: Claimant) {
        if matches!(self.ownership, Ownership::Claimed { by, .. } if by == claimant) {
            self.ownership = Ownership::Unclaimed { since: now };
        }
    }

    /// The taker has the whole, proven: from here on it is the owner.
    pub fn hand_over(&mut self, now: Micros, claimant: Claimant) -> Result<(), Cause> {
        match self.ownership {
            Ownership::Claimed { by, .. } if by == claimant => {
                self.ownership = Ownership::HandedOver { to: claimant, at: now };
                Ok(())
            }
            Ownership::HandedOver { to, .. } if to == claimant => Ok(()),
            Ownership::HandedOver { .. } => Err(Cause::OwnedElsewhere),
            Ownership::Claimed { .. } | Ownership::Unclaimed { .. } => Err(Cause::Superseded),
        }
    }

    /// Whether the state is this server's.
    pub fn is_held_here(&self) -> bool {
        !matches!(self.ownership, Ownership::HandedOver { .. })
    }

    /// Whether a taker is at it, or may come back to it after a cut.
    pub fn is_claimed(&self) -> bool {
        matches!(self.ownership, Ownership::Claimed { .. })
    }

    /// When it ends by itself, if nothing more is heard.
    pub fn expires_at(&self, timeouts: &Timeouts) -> Micros {
        let transfer_end = self.first_claimed_at.map_or(Micros::MAX, |at| at + timeouts.transfer_timeout);
        match self.ownership {
            Ownership::Unclaimed { since } => transfer_end.min(since + timeouts.hold_ttl),
            Ownership::Claimed { disconnected_at: Some(last_activity), .. } => {
                transfer_end.min(last_activity + timeouts.hold_ttl)
            }
            Ownership::Claimed { disconnected_at: None, .. } => transfer_end,
            Ownership::HandedOver { at, .. } => at + timeouts.hold_ttl,
        }
    }
}
