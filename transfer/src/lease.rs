//! Ownership of a KV cache that is held here, and when it expires. There is one owner at any moment: this
//! server until the receiver reports that the cache is complete and verified, that receiver from then on. No
//! I/O, no clock.

use crate::cause::Cause;
use crate::{Incarnation, Micros, Timeouts, TransferToken};

/// A receiver's transfer, as the sender identifies it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Claimant {
    /// The receiver's process.
    pub incarnation: Incarnation,
    /// The receiver's token for the transfer.
    pub token: TransferToken,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ownership {
    /// Held here; no receiver has claimed it.
    Unclaimed { since: Micros },
    /// Held here and claimed by a receiver; `disconnected_at` is when it was last active, if its
    /// connection is lost.
    Claimed { by: Claimant, disconnected_at: Option<Micros> },
    /// Owned by the receiver; kept so that a receiver that missed the grant learns of it, until it has
    /// confirmed the grant and beyond.
    HandedOver { to: Claimant, at: Micros, is_confirmed: bool },
}

/// The ownership of one KV cache.
#[derive(Clone, Debug)]
pub struct Lease {
    ownership: Ownership,
    /// When the first receiver claimed it; the transfer time limit counts from then on, for all receivers
    /// together.
    first_claimed_at: Option<Micros>,
}

/// Result of an accepted claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The claimant is new.
    New {
        /// The claimant that it replaces.
        superseded: Option<Claimant>,
    },
    /// The claimant already held the claim.
    Unchanged,
    /// The claimant already owns the KV cache.
    AlreadyOwner,
}

impl Lease {
    /// A lease for a KV cache that was stored at `now`.
    pub fn new(now: Micros) -> Self {
        Lease { ownership: Ownership::Unclaimed { since: now }, first_claimed_at: None }
    }

    /// Claims the KV cache, for the first time or (`is_resumed`) again after a lost connection. The latest
    /// receiver that claims for the first time wins: a request has one attempt at a time, so the earlier
    /// attempt has ended even if this server has not been notified.
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

    /// Records that the claimant's connection is lost; the claimant was last active at `last_activity`.
    pub fn disconnect(&mut self, claimant: Claimant, last_activity: Micros) {
        if let Ownership::Claimed { by, disconnected_at } = &mut self.ownership {
            if *by == claimant {
                *disconnected_at = Some(last_activity);
            }
        }
    }

    /// Withdraws the claim; the KV cache becomes available to other receivers.
    pub fn unclaim(&mut self, now: Micros, claimant: Claimant) {
        if matches!(self.ownership, Ownership::Claimed { by, .. } if by == claimant) {
            self.ownership = Ownership::Unclaimed { since: now };
        }
    }

    /// Makes the claimant the owner; it has the complete, verified KV cache.
    pub fn hand_over(&mut self, now: Micros, claimant: Claimant) -> Result<(), Cause> {
        match self.ownership {
            Ownership::Claimed { by, .. } if by == claimant => {
                self.ownership = Ownership::HandedOver { to: claimant, at: now, is_confirmed: false };
                Ok(())
            }
            Ownership::HandedOver { to, .. } if to == claimant => Ok(()),
            Ownership::HandedOver { .. } => Err(Cause::OwnedElsewhere),
            Ownership::Claimed { .. } | Ownership::Unclaimed { .. } => Err(Cause::Superseded),
        }
    }

    /// Records that the owner has received the grant. Returns whether that is new.
    pub fn confirm(&mut self, claimant: Claimant) -> bool {
        match &mut self.ownership {
            Ownership::HandedOver { to, is_confirmed, .. } if *to == claimant => {
                !std::mem::replace(is_confirmed, true)
            }
            _ => false,
        }
    }

    /// The owner, if it is not known whether the grant has reached it.
    pub fn unconfirmed_owner(&self) -> Option<Claimant> {
        match self.ownership {
            Ownership::HandedOver { to, is_confirmed: false, .. } => Some(to),
            _ => None,
        }
    }

    /// Whether this server is the owner.
    pub fn is_held_here(&self) -> bool {
        !matches!(self.ownership, Ownership::HandedOver { .. })
    }

    /// Whether a receiver is fetching it, or may resume after a lost connection.
    pub fn is_claimed(&self) -> bool {
        matches!(self.ownership, Ownership::Claimed { .. })
    }

    /// When the lease expires unless something else happens first.
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
