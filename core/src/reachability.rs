//! Which servers are likely to take a small call now: what has been heard of each, and where it stands.
//! Decides without I/O in what order a release asks them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use frosttrail::{Health, Id, ListUpdateKind, Micros, Outcome, ServerEntry};

/// So many servers of each zone are named for a call, of those that answered last and of those that did not.
const NAMED_OF_ZONE: usize = 16;

/// Servers by when they were heard.
type LastHeardFirst = BTreeSet<(Reverse<Micros>, Id)>;

/// The listed servers.
#[derive(Debug, Default)]
pub(crate) struct Reachability {
    servers: BTreeMap<Id, Known>,
    /// The same, by zone and whether they were silent last, those heard last first.
    by_zone: BTreeMap<(bool, usize), LastHeardFirst>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Known {
    zone: usize,
    /// When it last said something, and when it last did not; 0 for never.
    heard: Micros,
    silent: Micros,
}

impl Known {
    fn is_silent(&self) -> bool {
        self.silent > self.heard
    }
}

impl Reachability {
    /// News of the list. What was heard of a server that stays listed is kept.
    pub(crate) fn members(&mut self, form: ListUpdateKind, entries: &[ServerEntry]) {
        let before = match form {
            ListUpdateKind::Full | ListUpdateKind::StaleCopy => std::mem::take(self).servers,
            _ => BTreeMap::new(),
        };
        for entry in entries {
            let known = self.remove(&entry.server).or_else(|| before.get(&entry.server).copied());
            if entry.health != Health::Gone {
                self.insert(&entry.server, Known { zone: entry.zone, ..known.unwrap_or_default() });
            }
        }
    }

    fn remove(&mut self, server: &Id) -> Option<Known> {
        let known = self.servers.remove(server)?;
        if let Some(of_zone) = self.by_zone.get_mut(&(known.is_silent(), known.zone)) {
            of_zone.remove(&(Reverse(known.heard), server.clone()));
        }
        Some(known)
    }

    fn insert(&mut self, server: &Id, known: Known) {
        let of_zone = self.by_zone.entry((known.is_silent(), known.zone)).or_default();
        of_zone.insert((Reverse(known.heard), server.clone()));
        self.servers.insert(server.clone(), known);
    }

    pub(crate) fn count(&self) -> usize {
        self.servers.len()
    }

    /// What an attempt or a call told of its server.
    pub(crate) fn told(&mut self, server: &Id, outcome: Outcome, now: Micros) {
        if matches!(outcome, Outcome::Cancelled | Outcome::NotSent | Outcome::StaleConnection) {
            // Ended by this side.
            return;
        }
        let Some(mut known) = self.remove(server) else { return };
        match outcome {
            Outcome::NoConnection | Outcome::NoAnswer | Outcome::ConnectionLost => known.silent = now,
            _ => known.heard = now,
        }
        self.insert(server, known);
    }

    /// Some servers in the order in which a call that any of them can take should be tried: those last heard
    /// before those last found silent, latest first, `sent_to` first among equals, and the zones in turn, as
    /// a zone is lost whole. How many there are does not grow with the list. Servers in `sent_to` that are
    /// listed no more come last.
    pub(crate) fn order(&self, sent_to: &[Id]) -> Vec<Id> {
        let of_zones = self.by_zone.values().flat_map(|of_zone| of_zone.iter().take(NAMED_OF_ZONE));
        let named: BTreeSet<&Id> = of_zones.map(|(_, id)| id).chain(sent_to).collect();
        let mut all: Vec<(&Id, &Known)> =
            named.into_iter().filter_map(|id| Some((id, self.servers.get(id)?))).collect();
        let known = |id: &Id| sent_to.iter().position(|s| s == id).unwrap_or(usize::MAX);
        all.sort_by_cached_key(|(id, k)| (k.is_silent(), Reverse(k.heard), known(id)));
        // Each server's place among those of its zone, the zones in the order of their best.
        let mut places: BTreeMap<(bool, usize), usize> = BTreeMap::new();
        let place = |k: Known| {
            let silent = k.is_silent();
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
