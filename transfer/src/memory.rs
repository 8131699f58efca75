//! A taker's memory. A move gets room for its whole state before its first chunk is asked for: were moves
//! let in by parts, a full memory could hold nothing but parts, and none of them would end. No I/O.

use std::collections::BTreeMap;

use crate::{Micros, Token};

/// What became of a wish for room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Room {
    /// It is there, and set aside.
    Now,
    /// It comes once others have ended.
    Later,
    /// There will never be so much.
    Never,
}

/// Memory for states, in bytes.
#[derive(Debug)]
pub struct Memory {
    most: u64,
    used: u64,
    waiting: BTreeMap<(Micros, Token), u64>,
}

impl Memory {
    /// So much in all.
    pub fn new(most: u64) -> Self {
        Memory { most, used: 0, waiting: BTreeMap::new() }
    }

    /// Wants room by `due`. Those due first get it first, then those that came first; a smaller one does
    /// not pass a larger one, which might wait for ever.
    pub fn want(&mut self, token: Token, bytes: u64, due: Micros) -> Room {
        if bytes > self.most {
            return Room::Never;
        }
        let first = self.waiting.first_key_value().is_none_or(|(k, _)| (due, token) < *k);
        if first && self.used + bytes <= self.most {
            self.used += bytes;
            return Room::Now;
        }
        self.waiting.insert((due, token), bytes);
        Room::Later
    }

    /// No longer waits.
    pub fn leave(&mut self, token: Token, due: Micros) {
        self.waiting.remove(&(due, token));
    }

    /// So much is free again.
    pub fn give_back(&mut self, bytes: u64) {
        self.used -= bytes;
    }

    /// The next one that waited and has its room now.
    pub fn admit(&mut self) -> Option<Token> {
        let first = self.waiting.first_entry().filter(|e| self.used + e.get() <= self.most)?;
        let (_, token) = *first.key();
        self.used += first.remove();
        Some(token)
    }

    /// Bytes set aside.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// How many wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
}
