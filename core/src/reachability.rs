//! Which servers are likely to take a small call now: what has been heard of each, and where it stands.
//! Decides without I/O in what order a release asks them.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use frosttrail::{Entry, Health, Id, ListForm, Micros, Outcome};

/// The listed servers.
#[derive(Debug, Default)]
pub(crate) struct Reachability {
    servers: BTreeMap<Id, Known>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Known {
    zone: usize,
    /// When it last said something, and when it last did not; 0 for never.
    heard: Micros,
    silent: Micros,
}

impl Reachability {
    /// News of the list. What was heard of a server that stays listed is kept.
    pub(crate) fn members(&mut self, form: ListForm, entries: &[Entry]) {
        let before = match form {
            ListForm::Full | ListForm::WarmCopy => std::mem::take(&mut self.servers),
            _ => BTreeMap::new(),
        };
        for entry in entries {
            if entry.health == Health::Gone {
                self.servers.remove(&entry.server);
                continue;
            }
            let known = self.servers.entry(entry.server.clone());
            known.or_insert_with(|| before.get(&entry.server).copied().unwrap_or_default()).zone = entry.zone;
        }
    }

    pub(crate) fn count(&self) -> usize {
        self.servers.len()
    }

    /// What an attempt or a call told of its server.
    pub(crate) fn told(&mut self, server: &Id, outcome: Outcome, now: Micros) {
        let Some(known) = self.servers.get_mut(server) else { return };
        match outcome {
            Outcome::NoConnection | Outcome::NoAnswer | Outcome::ConnectionLost => known.silent = now,
            // Ended by this side.
            Outcome::CalledOff | Outcome::NotSent | Outcome::StaleConnection => {}
            _ => known.heard = now,
        }
    }

    /// All servers in the order in which a call that any of them can take should be tried: those last heard
    /// before those last found silent, latest first, `sent_to` first among equals, and the zones in turn, as
    /// a zone is lost whole. Upstream in `sent_to` that are listed no more come last.
    pub(crate) fn order(&self, sent_to: &[Id]) -> Vec<Id> {
        let mut all: Vec<(&Id, &Known)> = self.servers.iter().collect();
        let known = |id: &Id| sent_to.iter().position(|s| s == id).unwrap_or(usize::MAX);
        all.sort_by_cached_key(|(id, k)| (k.silent > k.heard, Reverse(k.heard), known(id)));
        // Each server's place among those of its zone, the zones in the order of their best.
        let mut places: BTreeMap<(bool, usize), usize> = BTreeMap::new();
        let place = |k: Known| {
            let silent = k.silent > k.heard;
            let place = places.entry((silent, k.zone)).or_default();
            *place += 1;
            (silent, *place)
        };
        let places: Vec<(bool, usize)> = all.iter().map(|(_, k)| **k).map(place).collect();
        let mut order: Vec<usize> = (0..all.len()).collect();
        order.sort_by_key(|&i| places[i]);
        let listed = order.into_iter().map(|i| all[i].0.clone());
        listed.chain(sent_to.iter().filter(|id| !self.servers.contains_key(*id)).cloned()).collect()
    }
}

#[cfg(test)]
#[path = "../tests/unit/reachability.rs"]
mod tests;
