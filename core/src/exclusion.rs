//! Instances that operators have excluded, kept apart from what discovery reports and without I/O.
//!
//! The decisions see an excluded instance as a draining one, whatever the list says of it. An instance that
//! is included again counts as started at that moment, unless the list names a later start: operators
//! restart an instance while it is excluded, and discovery may report the restart seconds later.

use std::collections::{BTreeMap, BTreeSet};

use frosttrail::{Health, Id, ListUpdateKind, Micros, ServerEntry};

const MAX_EXCLUDED: usize = 4_096;

/// Why an instance can't be excluded or included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ExclusionError {
    /// No instance with this id is listed or excluded.
    #[error("no such instance; take the id from discovery's list")]
    Unknown,
    /// The limit on excluded instances is reached.
    #[error("{MAX_EXCLUDED} instances are excluded; include some that have gone")]
    TooMany,
}

/// The listed instances, and which of them operators have excluded.
#[derive(Debug, Default)]
pub struct Exclusions {
    listed: BTreeMap<Id, ServerEntry>,
    excluded: BTreeSet<Id>,
    /// When an instance was included again, for as long as that counts as its start.
    included_at: BTreeMap<Id, Micros>,
    /// How long an instance is in slow start.
    slow_start_duration: Micros,
}

impl Exclusions {
    /// Starts with an empty list and the instances that were excluded before.
    pub fn new(excluded: impl IntoIterator<Item = Id>, slow_start_duration: Micros) -> Self {
        let excluded = excluded.into_iter().take(MAX_EXCLUDED).collect();
        Exclusions { excluded, slow_start_duration, ..Exclusions::default() }
    }

    /// Instances whose inclusion still counts as their start, and how long ago each was included.
    pub fn inclusion_ages(&self, now: Micros) -> Vec<(Id, Micros)> {
        self.included_at.iter().map(|(id, at)| (id.clone(), now.saturating_sub(*at))).collect()
    }

    /// Takes over the inclusions of another process, with their ages as of `now`.
    pub fn restore_inclusions(&mut self, now: Micros, included: Vec<(Id, Micros)>) {
        let included_at = included.into_iter().map(|(id, age)| (id, now.saturating_sub(age)));
        self.included_at.extend(included_at.take(MAX_EXCLUDED));
    }

    /// Replaces the excluded instances by those of another process, and returns the ones that changed.
    pub fn replace_excluded(&mut self, now: Micros, excluded: BTreeSet<Id>) -> Vec<Id> {
        let changed: Vec<Id> = self.excluded.symmetric_difference(&excluded).cloned().collect();
        for id in &changed {
            match excluded.contains(id) {
                true => self.included_at.remove(id),
                false => self.included_at.insert(id.clone(), now),
            };
        }
        self.excluded = excluded;
        changed
    }

    /// Sets how long an instance is in slow start, from new settings.
    pub fn set_slow_start_duration(&mut self, slow_start_duration: Micros) {
        self.slow_start_duration = slow_start_duration;
    }

    /// Applies an update of the list, and returns its entries as the decisions should see them.
    pub fn apply_update(
        &mut self,
        now: Micros,
        kind: ListUpdateKind,
        entries: &[ServerEntry],
    ) -> Vec<ServerEntry> {
        self.included_at.retain(|_, at| now < *at + self.slow_start_duration);
        if matches!(kind, ListUpdateKind::Full | ListUpdateKind::StaleCopy) {
            self.listed.clear();
        }
        for entry in entries {
            match entry.health {
                Health::Gone => self.listed.remove(&entry.server),
                Health::Up | Health::Draining => self.listed.insert(entry.server.clone(), entry.clone()),
            };
        }
        entries.iter().map(|entry| self.apply_overrides(entry)).collect()
    }

    /// Excludes an instance.
    pub fn exclude(&mut self, id: &Id) -> Result<(), ExclusionError> {
        self.check_known(id)?;
        if !self.excluded.contains(id) && self.excluded.len() >= MAX_EXCLUDED {
            return Err(ExclusionError::TooMany);
        }
        self.excluded.insert(id.clone());
        self.included_at.remove(id);
        Ok(())
    }

    /// Includes an instance again; one that is not excluded stays as it is.
    pub fn include(&mut self, now: Micros, id: &Id) -> Result<(), ExclusionError> {
        self.check_known(id)?;
        if self.excluded.remove(id) {
            self.included_at.insert(id.clone(), now);
        }
        Ok(())
    }

    /// A listed instance as the decisions should see it.
    pub fn effective_entry(&self, id: &Id) -> Option<ServerEntry> {
        self.listed.get(id).map(|entry| self.apply_overrides(entry))
    }

    /// Whether operators have excluded an instance.
    pub fn is_excluded(&self, id: &Id) -> bool {
        self.excluded.contains(id)
    }

    /// Returns an error for an id that is neither listed nor excluded.
    pub fn check_known(&self, id: &Id) -> Result<(), ExclusionError> {
        match self.listed.contains_key(id) || self.excluded.contains(id) {
            true => Ok(()),
            false => Err(ExclusionError::Unknown),
        }
    }

    fn apply_overrides(&self, entry: &ServerEntry) -> ServerEntry {
        let mut entry = entry.clone();
        if entry.health == Health::Up && self.excluded.contains(&entry.server) {
            entry.health = Health::Draining;
        }
        if let Some(included_at) = self.included_at.get(&entry.server) {
            entry.started = entry.started.max(*included_at);
        }
        entry
    }
}
