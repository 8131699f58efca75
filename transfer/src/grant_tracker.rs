//! The grants that were sent on one connection and that their receiver has not confirmed.

use std::collections::{BTreeMap, VecDeque};

use crate::wire::{Hello, RequestId};
use crate::TransferToken;

/// Unconfirmed grants of one connection.
#[derive(Debug)]
pub(crate) struct GrantTracker {
    /// Whether the receiver sends a receipt for each grant.
    has_receipts: bool,
    unconfirmed: BTreeMap<TransferToken, RequestId>,
    /// The grants that were each followed by a status request, in order, if there are no receipts.
    awaiting_status: VecDeque<TransferToken>,
}

impl GrantTracker {
    /// A tracker for a connection whose other end sent this hello frame.
    pub(crate) fn new(hello: &Hello) -> Self {
        GrantTracker {
            has_receipts: hello.has_grant_receipts(),
            unconfirmed: BTreeMap::new(),
            awaiting_status: VecDeque::new(),
        }
    }

    /// Records a grant that is sent. Returns whether a status request has to follow it: a receiver that sends
    /// no receipts handles frames in order, so its reply shows that the grant has arrived.
    pub(crate) fn record(&mut self, token: TransferToken, id: RequestId) -> bool {
        self.unconfirmed.insert(token, id);
        if !self.has_receipts {
            self.awaiting_status.push_back(token);
        }
        !self.has_receipts
    }

    /// The grant that the next status confirms.
    pub(crate) fn take_confirmed_by_status(&mut self) -> Option<TransferToken> {
        self.awaiting_status.pop_front()
    }

    /// Stops waiting for the confirmation of a grant.
    pub(crate) fn remove(&mut self, token: TransferToken) -> Option<RequestId> {
        self.unconfirmed.remove(&token)
    }

    /// Whether the receiver is to confirm a grant.
    pub(crate) fn awaits_confirmation(&self) -> bool {
        !self.unconfirmed.is_empty()
    }
}
