//! Index over all servers, maintained incrementally or computed at most once per event. The cost of an event
//! thus does not grow with the product of servers and queued requests.

use std::cell::{Cell, OnceCell};
use std::collections::{BTreeMap, BTreeSet};

use super::*;
use crate::rate::decay;

/// Share of its own prefills that a rack keeps, for each unit of the ratio between its share of the decode
/// servers and its share of the prefill servers.
const RACK_RETENTION_FACTOR: f64 = 1.5;

/// Share of a role's servers that may be unhealthy before its circuit breakers are ignored (panic threshold).
const PANIC_SHARE: f64 = 0.5;

/// Rules for which servers of a role may be used; valid within one event.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pool {
    /// At least one zone is cut off.
    some_zones_cut_off: bool,
    /// All servers are in zones that are cut off, so no zone is skipped.
    all_zones_cut_off: bool,
    /// So many servers are unhealthy that circuit breakers are ignored.
    ignores_breakers: bool,
}

/// The listed servers by role, with sums over them.
#[derive(Default)]
pub(super) struct FleetIndex {
    listed: [Vec<usize>; 3],
    /// Servers with an open circuit breaker or an unacknowledged attempt.
    suspects: BTreeSet<usize>,
    /// Servers with prefills in flight.
    servers_with_prefills: BTreeSet<usize>,
    /// Incremented with each change of the list.
    version: u64,
    rack_shares: OnceCell<BTreeMap<u64, f64>>,
    pools: [OnceCell<Pool>; 3],
    mean_warm_rates: [OnceCell<f64>; 3],
    scan_count: Cell<u64>,
}

impl FleetIndex {
    /// Discards the values that depend on the time.
    pub(super) fn begin_event(&mut self) {
        self.invalidate_health();
        self.invalidate_rates();
    }

    /// Discards the values that depend on the health of a server.
    pub(super) fn invalidate_health(&mut self) {
        self.pools = Default::default();
    }

    /// Discards the values that depend on the completion rate of a server.
    pub(super) fn invalidate_rates(&mut self) {
        self.mean_warm_rates = Default::default();
    }

    /// Version of the list of servers.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// Counts one scan of a server.
    pub(super) fn count_scan(&self) {
        self.scan_count.set(self.scan_count.get() + 1);
    }

    /// Number of servers scanned since the start.
    pub(super) fn scan_count(&self) -> u64 {
        self.scan_count.get()
    }
}

impl Router {
    /// Number of servers that the decisions have scanned since the start, as a measure of an event's cost.
    pub fn scan_count(&self) -> u64 {
        self.fleet.scan_count()
    }

    /// Rebuilds the index after a change of the list.
    pub(super) fn rebuild_fleet_index(&mut self) {
        let mut listed: [Vec<usize>; 3] = Default::default();
        for (server_index, server) in self.servers.iter().enumerate().filter(|(_, server)| server.is_up) {
            listed[server.role as usize].push(server_index);
        }
        let version = self.fleet.version + 1;
        let is_suspect = |server_index: &usize| self.servers[*server_index].is_suspect();
        let suspects = (0..self.servers.len()).filter(is_suspect).collect();
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

    /// Updates the index after a change of one server's circuit breaker or attempts.
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
        self.fleet.invalidate_health();
    }

    /// The listed servers of a role.
    pub(super) fn listed(&self, role: Stage) -> &[usize] {
        &self.fleet.listed[role as usize]
    }

    /// The suspects among the listed servers of a role.
    pub(super) fn suspects(&self, role: Stage) -> impl Iterator<Item = usize> + '_ {
        let has_role = move |server_index: &usize| {
            self.servers[*server_index].is_up && self.servers[*server_index].role == role
        };
        self.fleet.suspects.iter().copied().filter(has_role)
    }

    /// Prefills in flight at healthy servers; those at unhealthy servers may never end.
    pub(super) fn prefills_in_flight(&self) -> u32 {
        let prefills = |&server_index: &usize| {
            if self.is_healthy(server_index) {
                self.servers[server_index].prefills
            } else {
                0
            }
        };
        self.fleet.servers_with_prefills.iter().map(prefills).sum()
    }

    /// The pool of a role, computed at most once per event.
    pub(super) fn pool(&self, role: Stage) -> Pool {
        *self.fleet.pools[role as usize].get_or_init(|| {
            let listed = self.listed(role);
            let some_zones_cut_off = self.zones.keys().any(|zone| self.is_zone_cut_off(zone));
            let is_cut_off = |server_index: &usize| {
                some_zones_cut_off && self.is_zone_cut_off(&self.servers[*server_index].zone)
            };
            let all_zones_cut_off = some_zones_cut_off && listed.iter().all(is_cut_off);
            let (total, unhealthy) = if some_zones_cut_off {
                let reachable =
                    || listed.iter().filter(|server_index| all_zones_cut_off || !is_cut_off(server_index));
                (
                    reachable().count(),
                    reachable().filter(|server_index| !self.is_healthy(**server_index)).count(),
                )
            } else {
                (
                    listed.len(),
                    self.suspects(role).filter(|&server_index| !self.is_healthy(server_index)).count(),
                )
            };
            let ignores_breakers = ((total - unhealthy) as f64) < total as f64 * (1.0 - PANIC_SHARE);
            Pool { some_zones_cut_off, all_zones_cut_off, ignores_breakers }
        })
    }

    /// Whether a listed server belongs to the pool of its role.
    pub(super) fn is_in_pool(&self, pool: Pool, server_index: usize) -> bool {
        let is_cut_off = pool.some_zones_cut_off
            && !pool.all_zones_cut_off
            && self.is_zone_cut_off(&self.servers[server_index].zone);
        !is_cut_off && (pool.ignores_breakers || self.is_healthy(server_index))
    }

    /// Mean completion rate, per second, that this conductor sees at the warm servers of a role.
    pub(super) fn mean_warm_rate(&self, role: Stage) -> f64 {
        *self.fleet.mean_warm_rates[role as usize].get_or_init(|| {
            let is_warm = |server: &&Server| server.started_at + self.settings.slow_start_duration < self.now;
            let warm_servers =
                self.listed(role).iter().map(|&server_index| &self.servers[server_index]).filter(is_warm);
            let rates =
                warm_servers.map(|server| decay(server.completion_rate, self.now - server.rate_updated_at));
            let (sum, count) = rates.fold((0.0, 0.0_f64), |(sum, count), rate| (sum + rate, count + 1.0));
            sum / count.max(1.0)
        })
    }

    /// For each rack, the share of its prefills that its own decode servers can take. Where there are many
    /// conductors, each has no stream at most decode servers; without this limit, a rack with many prefill
    /// servers would send all their output to its few decode servers.
    pub(super) fn rack_shares(&self) -> &BTreeMap<u64, f64> {
        self.fleet.rack_shares.get_or_init(|| {
            let mut racks: BTreeMap<u64, [f64; 3]> = BTreeMap::new();
            for server in self.fleet.listed.iter().flatten().map(|&server_index| &self.servers[server_index])
            {
                racks.entry(server.rack).or_default()[server.role as usize] += 1.0;
            }
            let total = racks.values().fold((0.0, 0.0), |sum, counts| (sum.0 + counts[0], sum.1 + counts[1]));
            let share = |counts: [f64; 3]| {
                RACK_RETENTION_FACTOR * counts[1] * total.0 / (counts[0] * total.1).max(0.1)
            };
            racks.into_iter().map(|(rack, counts)| (rack, share(counts))).collect()
        })
    }
}

impl Server {
    /// Whether the server may be unhealthy; all others are healthy.
    fn is_suspect(&self) -> bool {
        self.consecutive_failures >= BREAKER_FAILURE_THRESHOLD || self.unanswered_since.is_some()
    }
}
