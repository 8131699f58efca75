//! When servers have started, by the process's own clock. Lists say it by the fleet's wall clock, and the
//! wall clock of this machine may be off by seconds or by an hour.

use std::collections::{HashMap, HashSet};

use frosttrail::{Id, Micros, ServerEntry};

/// A start is listed within so long: news of one, in a watch that was heard of a moment before, is no older.
const MAX_LISTING_DELAY: Micros = 5_000_000;
/// Starts of servers that lists no longer name are remembered, up to so many in all.
const MAX_REMEMBERED_STARTS: usize = 16_384;

/// The starts that lists have told of.
#[derive(Debug, Default)]
pub(super) struct StartTimes {
    /// Each server's start as it was told, in Unix milliseconds, and by this process's clock.
    known: HashMap<Id, (u64, Micros)>,
    /// When the list was last heard; `None` before the first one of an agent.
    last_contact: Option<Micros>,
}

impl StartTimes {
    /// When a server started, as told now. A start that was told before stays where it was, so that no list
    /// looks like a restart. `converted` is the time told, by the wall clock that this machine had.
    pub(super) fn start_time(&mut self, server: &Id, boot_ms: u64, converted: Micros, now: Micros) -> Micros {
        if boot_ms == 0 {
            return 0;
        }
        if let Some((_, started)) =
            self.known.get(server).filter(|(known_boot_ms, _)| *known_boot_ms == boot_ms)
        {
            return *started;
        }
        // It was not there when the list was heard before.
        let earliest = self.last_contact.map_or(0, |contact| contact.saturating_sub(MAX_LISTING_DELAY));
        let started = converted.max(earliest).min(now);
        if self.known.len() < MAX_REMEMBERED_STARTS {
            self.known.insert(server.clone(), (boot_ms, started));
        }
        started
    }

    /// A list has been taken over, or a watch lives.
    pub(super) fn record_contact(&mut self, now: Micros) {
        self.last_contact = Some(now);
    }

    /// Another source of lists: what was heard before says nothing of when its starts were listed.
    pub(super) fn reset_contact(&mut self) {
        self.last_contact = None;
    }

    /// Forgets servers that a whole list does not name, once there are many.
    pub(super) fn retain_listed(&mut self, listed: &[ServerEntry]) {
        if self.known.len() > MAX_REMEMBERED_STARTS / 2 {
            let listed: HashSet<&Id> = listed.iter().map(|entry| &entry.server).collect();
            self.known.retain(|server, _| listed.contains(server));
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/starts.rs"]
mod tests;
