//! When servers have started, by the process's own clock. Lists say it by the fleet's wall clock, and the
//! wall clock of this machine may be off by seconds or by an hour.

use std::collections::{HashMap, HashSet};

use frosttrail::{Id, Micros, ServerEntry};

/// A start is listed within so long: news of one, in a watch that was heard of a moment before, is no older.
const LISTED_WITHIN: Micros = 5_000_000;
/// Starts of servers that lists no longer name are remembered, up to so many in all.
const REMEMBERED_MAX: usize = 16_384;

/// The starts that lists have told of.
#[derive(Debug, Default)]
pub(super) struct Starts {
    /// Each server's start as it was told, in Unix milliseconds, and by this process's clock.
    known: HashMap<Id, (u64, Micros)>,
    /// When the list was last heard; `None` before the first one of an agent.
    heard: Option<Micros>,
}

impl Starts {
    /// When a server started, as told now. A start that was told before stays where it was, so that no list
    /// looks like a restart. `converted` is the time told, by the wall clock that this machine had.
    pub(super) fn started(&mut self, server: &Id, boot_ms: u64, converted: Micros, now: Micros) -> Micros {
        if boot_ms == 0 {
            return 0;
        }
        if let Some((_, started)) = self.known.get(server).filter(|(told, _)| *told == boot_ms) {
            return *started;
        }
        // It was not there when the list was heard before.
        let earliest = self.heard.map_or(0, |heard| heard.saturating_sub(LISTED_WITHIN));
        let started = converted.max(earliest).min(now);
        if self.known.len() < REMEMBERED_MAX {
            self.known.insert(server.clone(), (boot_ms, started));
        }
        started
    }

    /// A list has been taken over, or a watch lives.
    pub(super) fn heard(&mut self, now: Micros) {
        self.heard = Some(now);
    }

    /// Another source of lists: what was heard before says nothing of when its starts were listed.
    pub(super) fn moved(&mut self) {
        self.heard = None;
    }

    /// Forgets servers that a whole list does not name, once there are many.
    pub(super) fn forget_but(&mut self, listed: &[ServerEntry]) {
        if self.known.len() > REMEMBERED_MAX / 2 {
            let listed: HashSet<&Id> = listed.iter().map(|entry| &entry.server).collect();
            self.known.retain(|server, _| listed.contains(server));
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/starts.rs"]
mod tests;
