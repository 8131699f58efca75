//! Converts the start times of servers to the process's own clock. Lists give them by the fleet's wall clock,
//! and the wall clock of this machine may be off by seconds or by an hour.

use std::collections::{HashMap, HashSet};

use frosttrail::{Id, Micros, ServerEntry};

/// The time within which discovery lists a start. A start that is new in a live watch is no older than this.
const MAX_LISTING_DELAY: Micros = 5_000_000;
/// Starts are remembered also for servers that are no longer listed, up to this number in all.
const MAX_REMEMBERED_STARTS: usize = 16_384;

/// The start times learned from lists.
#[derive(Debug, Default)]
pub(super) struct StartTimes {
    /// The start of each server: as listed, in Unix milliseconds, and by this process's clock.
    known: HashMap<Id, (u64, Micros)>,
    /// When a list or a sign of life last arrived; `None` before the first list of an agent.
    last_contact: Option<Micros>,
}

impl StartTimes {
    /// Returns when a server started. A start that is already known keeps its time, so that a repeated list
    /// does not look like a restart. `converted` is `boot_ms` converted by this machine's wall clock.
    pub(super) fn start_time(&mut self, server: &Id, boot_ms: u64, converted: Micros, now: Micros) -> Micros {
        if boot_ms == 0 {
            return 0;
        }
        if let Some((_, started)) =
            self.known.get(server).filter(|(known_boot_ms, _)| *known_boot_ms == boot_ms)
        {
            return *started;
        }
        // At the last contact the server was not listed with this start.
        let earliest = self.last_contact.map_or(0, |contact| contact.saturating_sub(MAX_LISTING_DELAY));
        let started = converted.max(earliest).min(now);
        if self.known.len() < MAX_REMEMBERED_STARTS {
            self.known.insert(server.clone(), (boot_ms, started));
        }
        started
    }

    /// Records that a list was applied or that the watch was alive at `now`.
    pub(super) fn record_contact(&mut self, now: Micros) {
        self.last_contact = Some(now);
    }

    /// Forgets the last contact when the agent changes: it says nothing of when the new one lists a start.
    pub(super) fn reset_contact(&mut self) {
        self.last_contact = None;
    }

    /// Forgets servers that a full list does not name, once many are remembered.
    pub(super) fn retain_listed(&mut self, listed: &[ServerEntry]) {
        if self.known.len() > MAX_REMEMBERED_STARTS / 2 {
            let listed: HashSet<&Id> = listed.iter().map(|entry| &entry.server).collect();
            self.known.retain(|server, _| listed.contains(server));
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/start_times.rs"]
mod tests;
