//! Memory budget of a receiver. A transfer reserves memory for its whole KV cache before it requests its
//! first chunk: with partial reservations the budget could fill up with incomplete caches, none of which
//! could ever complete. No I/O.

use std::collections::BTreeMap;

use crate::{Micros, TransferToken};

/// Outcome of a reservation request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reservation {
    /// The memory is reserved.
    Granted,
    /// The request waits until other reservations are released.
    Queued,
    /// The request exceeds the whole budget.
    Impossible,
}

/// A budget for KV caches, in bytes.
#[derive(Debug)]
pub struct MemoryBudget {
    max_bytes: u64,
    reserved_bytes: u64,
    queue: BTreeMap<(Micros, TransferToken), u64>,
}

impl MemoryBudget {
    /// A budget of `max_bytes`.
    pub fn new(max_bytes: u64) -> Self {
        MemoryBudget { max_bytes, reserved_bytes: 0, queue: BTreeMap::new() }
    }

    /// Reserves memory, or queues the request. The queue is ordered by deadline, then by token, that is by
    /// arrival. A small request does not overtake a large one, which could otherwise wait for ever.
    pub fn reserve(&mut self, token: TransferToken, bytes: u64, deadline: Micros) -> Reservation {
        if bytes > self.max_bytes {
            return Reservation::Impossible;
        }
        let is_first = self.queue.first_key_value().is_none_or(|(key, _)| (deadline, token) < *key);
        if is_first && self.reserved_bytes + bytes <= self.max_bytes {
            self.reserved_bytes += bytes;
            return Reservation::Granted;
        }
        self.queue.insert((deadline, token), bytes);
        Reservation::Queued
    }

    /// Removes a request from the queue.
    pub fn cancel(&mut self, token: TransferToken, deadline: Micros) {
        self.queue.remove(&(deadline, token));
    }

    /// Returns reserved memory.
    pub fn release(&mut self, bytes: u64) {
        self.reserved_bytes -= bytes;
    }

    /// Grants the first queued request if it fits now.
    pub fn admit_next(&mut self) -> Option<TransferToken> {
        let first =
            self.queue.first_entry().filter(|entry| self.reserved_bytes + entry.get() <= self.max_bytes)?;
        let (_, token) = *first.key();
        self.reserved_bytes += first.remove();
        Some(token)
    }

    /// Bytes that are reserved.
    pub fn reserved_bytes(&self) -> u64 {
        self.reserved_bytes
    }

    /// Number of queued requests.
    pub fn queued_count(&self) -> usize {
        self.queue.len()
    }
}
