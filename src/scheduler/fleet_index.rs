//! What the decisions have to know of all servers together: kept up to date, or computed at most once for
//! each event, so that an event costs no multiple of servers and held requests.

use std::cell::{Cell, OnceCell};
use std::collections::{BTreeMap, BTreeSet};

use super::*;
use crate::rate::decay;

/// Share of its part of the writers for its part of the readers that a cell keeps of what it reads.
const CELL_SHARE: f64 = 1.5;

/// Share of a role that may be out of use before its breakers are passed over (panic threshold).
const PANIC_SHARE: f64 = 0.5;

/// Which servers of a role may be used in general, as long as one event is worked on.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pool {
    /// Some zones are cut off.
    some_cut: bool,
    /// All zones are: then none is passed over.
    all_cut: bool,
    /// So many are out of use that circuit breakers are passed over.
    panic: bool,
}

/// The listed servers by role, and sums over them.
#[derive(Default)]
pub(super) struct FleetIndex {
    listed: [Vec<usize>; 3],
    /// Servers whose circuit breaker has opened, or with an attempt out that has not been heard of.
    suspects: BTreeSet<usize>,
    /// Servers with prefills out.
    reading: BTreeSet<usize>,
    /// Grows with each change of the list.
    version: u64,
    cell_shares: OnceCell<BTreeMap<u64, f64>>,
    pools: [OnceCell<Pool>; 3],
    warm_rates: [OnceCell<f64>; 3],
    looks: Cell<u64>,
}

impl FleetIndex {
    /// Time has passed: what depends on it is computed anew.
    pub(super) fn begin_event(&mut self) {
        self.health_changed();
        self.rates_changed();
    }

    /// Some server's health has changed.
    pub(super) fn health_changed(&mut self) {
        self.pools = Default::default();
    }

    /// Some server's rate has changed.
    pub(super) fn rates_changed(&mut self) {
        self.warm_rates = Default::default();
    }

    /// Tells one state of the list from the next.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// Counts one look at a server.
    pub(super) fn look(&self) {
        self.looks.set(self.looks.get() + 1);
    }

    /// How many looks at servers there have been.
    pub(super) fn looks(&self) -> u64 {
        self.looks.get()
    }
}

impl Router {
    /// How many looks at single servers the decisions have taken since the start: what an event costs.
    pub fn scan_count(&self) -> u64 {
        self.fleet.looks()
    }

    /// Follows a change of the list.
    pub(super) fn index_servers(&mut self) {
        let mut listed: [Vec<usize>; 3] = Default::default();
        for (w, server) in self.servers.iter().enumerate().filter(|(_, server)| server.up) {
            listed[server.role as usize].push(w);
        }
        let version = self.fleet.version + 1;
        let suspect = |w: &usize| self.servers[*w].is_suspect();
        let suspects = (0..self.servers.len()).filter(suspect).collect();
        let reading = (0..self.servers.len()).filter(|&w| self.servers[w].reads > 0).collect();
        let looks = self.fleet.looks.clone();
        self.fleet = FleetIndex { listed, suspects, reading, version, looks, ..FleetIndex::default() };
    }

    /// Follows a change of one server's circuit breaker or of its attempts.
    pub(super) fn index_server(&mut self, w: usize) {
        let server = &self.servers[w];
        match server.is_suspect() {
            true => self.fleet.suspects.insert(w),
            false => self.fleet.suspects.remove(&w),
        };
        match server.reads > 0 {
            true => self.fleet.reading.insert(w),
            false => self.fleet.reading.remove(&w),
        };
        self.fleet.health_changed();
    }

    /// The listed servers of a role.
    pub(super) fn listed(&self, role: Stage) -> &[usize] {
        &self.fleet.listed[role as usize]
    }

    /// The suspects among the listed servers of a role.
    pub(super) fn suspects(&self, role: Stage) -> impl Iterator<Item = usize> + '_ {
        let of_role = move |w: &usize| self.servers[*w].up && self.servers[*w].role == role;
        self.fleet.suspects.iter().copied().filter(of_role)
    }

    /// Prefills that are out at servers which are not silent or failing: those may never end.
    pub(super) fn prefills_out(&self) -> u32 {
        let reads = |&w: &usize| if self.healthy(w) { self.servers[w].reads } else { 0 };
        self.fleet.reading.iter().map(reads).sum()
    }

    pub(super) fn pool(&self, role: Stage) -> Pool {
        *self.fleet.pools[role as usize].get_or_init(|| {
            let listed = self.listed(role);
            let some_cut = self.zones.keys().any(|zone| self.cut_off(zone));
            let cut = |w: &usize| some_cut && self.cut_off(&self.servers[*w].zone);
            let all_cut = some_cut && listed.iter().all(cut);
            let (up, unhealthy) = if some_cut {
                let reached = || listed.iter().filter(|w| all_cut || !cut(w));
                (reached().count(), reached().filter(|w| !self.healthy(**w)).count())
            } else {
                (listed.len(), self.suspects(role).filter(|&w| !self.healthy(w)).count())
            };
            let panic = ((up - unhealthy) as f64) < up as f64 * (1.0 - PANIC_SHARE);
            Pool { some_cut, all_cut, panic }
        })
    }

    /// Whether a listed server is one of the pool of its role.
    pub(super) fn is_in(&self, pool: Pool, w: usize) -> bool {
        let cut = pool.some_cut && !pool.all_cut && self.cut_off(&self.servers[w].zone);
        !cut && (pool.panic || self.healthy(w))
    }

    /// What a warm server of a role takes from here on average, a second.
    pub(super) fn warm_rate(&self, role: Stage) -> f64 {
        *self.fleet.warm_rates[role as usize].get_or_init(|| {
            let warm = |v: &&Server| v.started + self.settings.slow_start_duration < self.now;
            let warm = self.listed(role).iter().map(|&v| &self.servers[v]).filter(warm);
            let rates = warm.map(|v| decay(v.rate, self.now - v.rate_at));
            let (sum, count) = rates.fold((0.0, 0.0_f64), |(s, n), rate| (s + rate, n + 1.0));
            sum / count.max(1.0)
        })
    }

    /// Share of what it reads that each cell's own decode servers can take. Many routers have no stream at
    /// most of these, so that a cell with many prefill servers would pile all that they read on its few.
    pub(super) fn cell_shares(&self) -> &BTreeMap<u64, f64> {
        self.fleet.cell_shares.get_or_init(|| {
            let mut cells: BTreeMap<u64, [f64; 3]> = BTreeMap::new();
            for v in self.fleet.listed.iter().flatten().map(|&v| &self.servers[v]) {
                cells.entry(v.cell).or_default()[v.role as usize] += 1.0;
            }
            let all = cells.values().fold((0.0, 0.0), |sum, c| (sum.0 + c[0], sum.1 + c[1]));
            let share = |c: [f64; 3]| CELL_SHARE * c[1] * all.0 / (c[0] * all.1).max(0.1);
            cells.into_iter().map(|(cell, c)| (cell, share(c))).collect()
        })
    }
}

impl Server {
    /// Its health has to be looked at: all others are well.
    fn is_suspect(&self) -> bool {
        self.fails >= TRIP || self.pending.is_some()
    }
}
