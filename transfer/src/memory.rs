//! A taker's memory. A move gets room for its whole state before its first chunk is asked for: were moves
//! let in by parts, a full memory could hold nothing but parts, and none of them would end. No I/O.

use std::collections::BTreeMap;

use crate::{Micros, TransferToken};

/// What became of a wish for room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reservation {
    /// It is there, and set aside.
    Granted,
    /// It comes once others have ended.
    Queued,
    /// There will never be so much.
    Impossible,
}

/// Memory for states, in bytes.
#[derive(Debug)]
pub struct MemoryBudget {
    max_bytes: u64,
    reserved_bytes: u64,
    queue: BTreeMap<(Micros, TransferToken), u64>,
}

impl MemoryBudget {
    /// So much in all.
    pub fn new(max_bytes: u64) -> Self {
        MemoryBudget { max_bytes, reserved_bytes: 0, queue: BTreeMap::new() }
    }

    /// Wants room by `deadline`. Those due first get it first, then those that came first; a smaller one does
    /// not pass a larger one, which might wait for ever.
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

    /// No longer waits.
    pub fn cancel(&mut self, token: TransferToken, deadline: Micros) {
        self.queue.remove(&(deadline, token));
    }

    /// So much is free again.
    pub fn release(&mut self, bytes: u64) {
        self.reserved_bytes -= bytes;
    }

    /// The next one that waited and has its room now.
    pub fn admit_next(&mut self) -> Option<TransferToken> {
        let first =
            self.queue.first_entry().filter(|entry| self.reserved_bytes + entry.get() <= self.max_bytes)?;
        let (_, token) = *first.key();
        self.reserved_bytes += first.remove();
        Some(token)
    }

    /// Bytes set aside.
    pub fn reserved_bytes(&self) -> u64 {
        self.reserved_bytes
    }

    /// How many wait.
    pub fn queued_count(&self) -> usize {
        self.queue.len()
    }
}
