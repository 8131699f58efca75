//! What the decisions have to know of all servers together: kept up to date, or computed at most once for
//! each event, so that an event costs no multiple of servers and held requests.

use std::cell::{Cell, OnceCell};
use std::collections::{BTreeMap, BTreeSet};

use super::*;
use crate::rate::decay;

/// Share of its part of the writers for its part of the readers that a cell keeps of what it reads.
const RACK_RETENTION_FACTOR: f64 = 1.5;

/// Share of a role that may be out of use before its breakers are passed over (panic threshold).
const PANIC_SHARE: f64 = 0.5;

/// Which servers of a role may be used in general, as long as one event is worked on.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pool {
    /// Some zones are cut off.
    some_zones_cut_off: bool,
    /// All zones are: then none is passed over.
    all_zones_cut_off: bool,
    /// So many are out of use that circuit breakers are passed over.
    ignores_breakers: bool,
}

/// The listed servers by role, and sums over them.
#[derive(Default)]
pub(super) struct FleetIndex {
    listed: [Vec<usize>; 3],
    /// Servers whose circuit breaker has opened, or with an attempt out that has not been heard of.
    suspects: BTreeSet<usize>,
    /// Servers with prefills out.
    servers_with_prefills: BTreeSet<usize>,
    /// Grows with each change of the list.
    version: u64,
    rack_shares: OnceCell<BTreeMap<u64, f64>>,
    pools: [OnceCell<Pool>; 3],
    mean_warm_rates: [OnceCell<f64>; 3],
    scan_count: Cell<u64>,
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
        self.mean_warm_rates = Default::default();
    }

    /// Tells one state of the list from the next.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// Counts one look at a server.
    pub(super) fn count_scan(&self) {
        self.scan_count.set(self.scan_count.get() + 1);
    }

    /// How many looks at servers there have been.
    pub(super) fn scan_count(&self) -> u64 {
        self.scan_count.get()
    }
}

impl Router {
    /// How many looks at single servers the decisions have taken since the start: what an event costs.
    pub fn scan_count(&self) -> u64 {
        self.fleet.scan_count()
    }

    /// Follows a change of the list.
    pub(super) fn rebuild_fleet_index(&mut self) {
        let mut listed: [Vec<usize>; 3] = Default::default();
        for (server_index, server) in self.servers.iter().enumerate().filter(|(_, server)| server.is_up) {
            listed[server.role as usize].push(server_index);
        }
        let version = self.fleet.version + 1;
        let suspect = |server_index: &usize| self.servers[*server_index].is_suspect();
        let suspects = (0..self.servers.len()).filter(suspect).collect();
        let servers_with_prefills =
            (0..self.servers.len()).filter(|&server_index| self.servers[server_index].prefills > 0).collect();
        let scan_count = self.fleet.scan_count.clone();
        self.fleet = FleetIndex {
            listed,
            suspects,
            servers_with_prefills,
            version,
            scan_count,
            ..FleetIndex::default()
        };
    }

    /// Follows a change of one server's circuit breaker or of its attempts.
    pub(super) fn reindex_server(&mut self, server_index: usize) {
        let server = &self.servers[server_index];
        match server.is_suspect() {
            true => self.fleet.suspects.insert(server_index),
            false => self.fleet.suspects.remove(&server_index),
        };
        match server.prefills > 0 {
            true => self.fleet.servers_with_prefills.insert(server_index),
            false => self.fleet.servers_with_prefills.remove(&server_index),
        };
        self.fleet.health_changed();
    }

    /// The listed servers of a role.
    pub(super) fn listed(&self, role: Stage) -> &[usize] {
        &self.fleet.listed[role as usize]
    }

    /// The suspects among the listed servers of a role.
    pub(super) fn suspects(&self, role: Stage) -> impl Iterator<Item = usize> + '_ {
        let of_role = move |server_index: &usize| {
            self.servers[*server_index].is_up && self.servers[*server_index].role == role
        };
        self.fleet.suspects.iter().copied().filter(of_role)
    }

    /// Prefills that are out at servers which are not silent or failing: those may never end.
    pub(super) fn prefills_in_flight(&self) -> u32 {
        let reads = |&server_index: &usize| {
            if self.is_healthy(server_index) {
                self.servers[server_index].prefills
            } else {
                0
            }
        };
        self.fleet.servers_with_prefills.iter().map(reads).sum()
    }

    pub(super) fn pool(&self, role: Stage) -> Pool {
        *self.fleet.pools[role as usize].get_or_init(|| {
            let listed = self.listed(role);
            let some_zones_cut_off = self.zones.keys().any(|zone| self.is_zone_cut_off(zone));
            let cut = |server_index: &usize| {
                some_zones_cut_off && self.is_zone_cut_off(&self.servers[*server_index].zone)
            };
            let all_zones_cut_off = some_zones_cut_off && listed.iter().all(cut);
            let (up, unhealthy) = if some_zones_cut_off {
                let reached = || listed.iter().filter(|server_index| all_zones_cut_off || !cut(server_index));
                (reached().count(), reached().filter(|server_index| !self.is_healthy(**server_index)).count())
            } else {
                (
                    listed.len(),
                    self.suspects(role).filter(|&server_index| !self.is_healthy(server_index)).count(),
                )
            };
            let ignores_breakers = ((up - unhealthy) as f64) < up as f64 * (1.0 - PANIC_SHARE);
            Pool { some_zones_cut_off, all_zones_cut_off, ignores_breakers }
        })
    }

    /// Whether a listed server is one of the pool of its role.
    pub(super) fn is_in_pool(&self, pool: Pool, server_index: usize) -> bool {
        let cut = pool.some_zones_cut_off
            && !pool.all_zones_cut_off
            && self.is_zone_cut_off(&self.servers[server_index].zone);
        !cut && (pool.ignores_breakers || self.is_healthy(server_index))
    }

    /// What a warm server of a role takes from here on average, a second.
    pub(super) fn mean_warm_rate(&self, role: Stage) -> f64 {
        *self.fleet.mean_warm_rates[role as usize].get_or_init(|| {
            let warm = |v: &&Server| v.started_at + self.settings.slow_start_duration < self.now;
            let warm = self.listed(role).iter().map(|&v| &self.servers[v]).filter(warm);
            let rates = warm.map(|v| decay(v.completion_rate, self.now - v.rate_updated_at));
            let (sum, count) = rates.fold((0.0, 0.0_f64), |(s, n), rate| (s + rate, n + 1.0));
            sum / count.max(1.0)
        })
    }

    /// Share of what it reads that each cell's own decode servers can take. Many routers have no stream at
    /// most of these, so that a cell with many prefill servers would pile all that they read on its few.
    pub(super) fn rack_shares(&self) -> &BTreeMap<u64, f64> {
        self.fleet.rack_shares.get_or_init(|| {
            let mut cells: BTreeMap<u64, [f64; 3]> = BTreeMap::new();
            for v in self.fleet.listed.iter().flatten().map(|&v| &self.servers[v]) {
                cells.entry(v.rack).or_default()[v.role as usize] += 1.0;
            }
            let all = cells.values().fold((0.0, 0.0), |sum, c| (sum.0 + c[0], sum.1 + c[1]));
            let share = |c: [f64; 3]| RACK_RETENTION_FACTOR * c[1] * all.0 / (c[0] * all.1).max(0.1);
            cells.into_iter().map(|(cell, c)| (cell, share(c))).collect()
        })
    }
}

impl Server {
    /// Its health has to be looked at: all others are well.
    fn is_suspect(&self) -> bool {
        self.consecutive_failures >= BREAKER_FAILURE_THRESHOLD || self.unanswered_since.is_some()
    }
}
