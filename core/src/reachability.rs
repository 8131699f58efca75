//! Which servers are likely to accept a small call now, from their recent replies and their zones. Decides
//! the order in which a release calls them, without I/O.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use frosttrail::{Health, Id, ListUpdateKind, Micros, Outcome, ServerEntry};

/// Candidates for a call from each zone, counted apart for servers that answered last and for silent ones.
const MAX_CANDIDATES_PER_ZONE: usize = 16;

/// Servers ordered by when they last answered, latest first.
type ServersByLastAnswer = BTreeSet<(Reverse<Micros>, Id)>;

/// The listed servers and when each of them last answered.
#[derive(Debug, Default)]
pub(crate) struct Reachability {
    servers: BTreeMap<Id, Contact>,
    /// The same servers by whether they are silent and by zone, those that answered last first.
    by_zone: BTreeMap<(bool, usize), ServersByLastAnswer>,
}

/// A listed server's zone and its latest contacts.
#[derive(Clone, Copy, Debug, Default)]
struct Contact {
    zone: usize,
    /// When it last answered, and when it last failed to; 0 for never.
    last_answered_at: Micros,
    last_unanswered_at: Micros,
}

impl Contact {
    fn is_silent(&self) -> bool {
        self.last_unanswered_at > self.last_answered_at
    }
}

impl Reachability {
    /// Applies an update of the list. Servers that stay listed keep their times.
    pub(crate) fn apply_update(&mut self, kind: ListUpdateKind, entries: &[ServerEntry]) {
        let previous = match kind {
            ListUpdateKind::Full | ListUpdateKind::StaleCopy => std::mem::take(self).servers,
            _ => BTreeMap::new(),
        };
        for entry in entries {
            let contact = self.remove(&entry.server).or_else(|| previous.get(&entry.server).copied());
            if entry.health != Health::Gone {
                self.insert(&entry.server, Contact { zone: entry.zone, ..contact.unwrap_or_default() });
            }
        }
    }

    fn remove(&mut self, server: &Id) -> Option<Contact> {
        let contact = self.servers.remove(server)?;
        if let Some(zone_servers) = self.by_zone.get_mut(&(contact.is_silent(), contact.zone)) {
            zone_servers.remove(&(Reverse(contact.last_answered_at), server.clone()));
        }
        Some(contact)
    }

    fn insert(&mut self, server: &Id, contact: Contact) {
        let zone_servers = self.by_zone.entry((contact.is_silent(), contact.zone)).or_default();
        zone_servers.insert((Reverse(contact.last_answered_at), server.clone()));
        self.servers.insert(server.clone(), contact);
    }

    pub(crate) fn listed_count(&self) -> usize {
        self.servers.len()
    }

    /// Records what an attempt or a call showed about its server.
    pub(crate) fn record_outcome(&mut self, server: &Id, outcome: Outcome, now: Micros) {
        if matches!(outcome, Outcome::Cancelled | Outcome::NotSent | Outcome::StaleConnection) {
            // Ended by this side, so it shows nothing about the server.
            return;
        }
        let Some(mut contact) = self.remove(server) else { return };
        match outcome {
            Outcome::NoConnection | Outcome::NoAnswer | Outcome::ConnectionLost => {
                contact.last_unanswered_at = now
            }
            _ => contact.last_answered_at = now,
        }
        self.insert(server, contact);
    }

    /// Some servers in the order in which to try a call that any server can handle. Servers that answered
    /// last come before silent ones, and the latest first; among equals, those in `sent_to` come first.
    /// Zones take turns, as a zone may be lost as a whole. The number of servers does not grow with the
    /// list. Servers in `sent_to` that are no longer listed come last.
    pub(crate) fn call_order(&self, sent_to: &[Id]) -> Vec<Id> {
        let listed =
            self.by_zone.values().flat_map(|zone_servers| zone_servers.iter().take(MAX_CANDIDATES_PER_ZONE));
        let candidates: BTreeSet<&Id> = listed.map(|(_, id)| id).chain(sent_to).collect();
        let mut all: Vec<(&Id, &Contact)> =
            candidates.into_iter().filter_map(|id| Some((id, self.servers.get(id)?))).collect();
        let sent_to_rank = |id: &Id| sent_to.iter().position(|s| s == id).unwrap_or(usize::MAX);
        all.sort_by_cached_key(|(id, k)| (k.is_silent(), Reverse(k.last_answered_at), sent_to_rank(id)));
        // Each server's rank within its zone; the zones are in the order of their best server.
        let mut ranks: BTreeMap<(bool, usize), usize> = BTreeMap::new();
        let rank = |k: Contact| {
            let is_silent = k.is_silent();
            let rank = ranks.entry((is_silent, k.zone)).or_default();
            *rank += 1;
            (is_silent, *rank)
        };
        let ranks: Vec<(bool, usize)> = all.iter().map(|(_, k)| **k).map(rank).collect();
        let mut order: Vec<usize> = (0..all.len()).collect();
        order.sort_by_key(|&i| ranks[i]);
        let listed = order.into_iter().map(|i| all[i].0.clone());
        listed.chain(sent_to.iter().filter(|id| !self.servers.contains_key(*id)).cloned()).collect()
    }
}

#[cfg(test)]
#[path = "../tests/unit/reachability.rs"]
mod tests;
