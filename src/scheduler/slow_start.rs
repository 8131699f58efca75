//! What goes to a server that has started a short while ago.

use super::*;
use crate::hash::mix;

/// Share of the budget in slow start that is used, the rest is for chance.
const BUDGET_SHARE: f64 = 0.5;
/// A router that has measured nothing yet takes its part of so many sends a second.
const MIN_SENDS_PER_S: f64 = 1.0;

impl Router {
    /// Whether it started a short while ago.
    pub(super) fn is_in_slow_start(&self, server_index: usize) -> bool {
        let server = &self.servers[server_index];
        server.started_at != 0 && self.now < server.started_at + self.settings.slow_start_duration
    }

    /// Time between sends to a server that started a short while ago; `None` for a warm one.
    pub(super) fn slow_start_interval(&self, server_index: usize) -> Option<Micros> {
        if !self.is_in_slow_start(server_index) {
            return None;
        }
        let least = MIN_SENDS_PER_S / self.equivalent_conductors;
        if self.has_fractional_shares() {
            return Some((1e6 / least) as Micros);
        }
        // What warm peers of the role take from here bounds from below what it can do when warm.
        let warm = self.mean_warm_rate(self.servers[server_index].role);
        let per_s =
            warm * self.settings.slow_start_initial_share * self.settings.overload_multiple * BUDGET_SHARE;
        Some((1e6 / per_s.max(least)) as Micros)
    }

    /// Where parts are below one request, a router's time between sends to a cold server is longer than it
    /// stays cold. There, of what it would get if it were warm, a share goes at once: of what has just come,
    /// as all that is held would come together, and no overflow, which has no bound.
    pub(super) fn may_bypass_slow_start(&self, request: &Request, server_index: usize) -> bool {
        let share = self.settings.slow_start_initial_share * self.settings.overload_multiple * BUDGET_SHARE;
        let server = &self.servers[server_index];
        let drawn = || share_of(hash(&request.query.session, server.hash)) < share;
        let wait = if self.uses_load_probes() { PROBE_RESULT_TTL } else { 0 };
        if !self.has_fractional_shares() || self.now > request.ready_since + wait || !drawn() {
            return false;
        }
        self.preferred_server(request, server.role) == Some(server_index)
    }

    /// A server that turns up is empty to every router at once: each waits for a moment of its own
    /// within its time between sends, so that the first sends do not fall together.
    pub(super) fn begin_slow_start(&mut self, server_index: usize) {
        let gap = self.slow_start_interval(server_index).unwrap_or(0) as f64;
        let share = share_of(mix(self.servers[server_index].hash ^ self.seed));
        self.servers[server_index].next_slow_start_send_at = self.now + (gap * share) as Micros;
    }
}
