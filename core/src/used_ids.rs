//! Remembers the ids of requests that may have taken effect, so that none of them runs a second time. Free of
//! I/O and clocks; bounded in number and time.

use std::collections::hash_map::Entry;
use std::collections::{HashMap, VecDeque};
use std::hash::{BuildHasher, RandomState};
use std::time::Duration;

use frosttrail::Id;
use tokio::time::Instant;

/// How long an id is remembered after its request has ended: well beyond the time in which a client, or a
/// proxy before it, sends a request again.
pub const USED_ID_TTL: Duration = Duration::from_secs(600);
/// The most ids that are remembered. Beyond it the oldest are forgotten.
pub const MAX_USED_IDS: usize = 32_768;

/// Ids of requests that have ended and may have taken effect. Keeps a keyed hash of each id, as clients
/// choose the ids.
#[derive(Debug, Default)]
pub(crate) struct UsedIds {
    hasher: RandomState,
    /// When each id was recorded last.
    recorded_at: HashMap<u64, Instant>,
    /// All records, the oldest first. One whose id was recorded again later is out of date.
    records: VecDeque<(Instant, u64)>,
}

impl UsedIds {
    /// Records that the request with this id may have taken effect.
    pub(crate) fn record(&mut self, id: &Id, now: Instant) {
        let key = self.hasher.hash_one(id);
        self.recorded_at.insert(key, now);
        self.records.push_back((now, key));
        self.forget_expired(now);
        while self.records.len() > MAX_USED_IDS {
            self.forget_oldest();
        }
    }

    /// Whether the request with this id may have taken effect.
    pub(crate) fn contains(&mut self, id: &Id, now: Instant) -> bool {
        self.forget_expired(now);
        self.recorded_at.contains_key(&self.hasher.hash_one(id))
    }

    fn forget_expired(&mut self, now: Instant) {
        while self.records.front().is_some_and(|(at, _)| now.duration_since(*at) >= USED_ID_TTL) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((at, key)) = self.records.pop_front() else { return };
        if let Entry::Occupied(entry) = self.recorded_at.entry(key) {
            if *entry.get() == at {
                entry.remove();
            }
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/used_ids.rs"]
mod tests;
