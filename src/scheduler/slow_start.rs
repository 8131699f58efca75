//! Slow start: limits what is sent to a server that has started recently.

use super::*;
use crate::hash::mix;

/// Share of the slow-start budget that is used; the rest is a margin for random variation.
const BUDGET_SHARE: f64 = 0.5;
/// Sends per second of all conductors together while no completion rate has been measured yet.
const MIN_SENDS_PER_S: f64 = 1.0;

impl Router {
    /// Whether the server started less than `Settings::slow_start_duration` ago.
    pub(super) fn is_in_slow_start(&self, server_index: usize) -> bool {
        let server = &self.servers[server_index];
        server.started_at != 0 && self.now < server.started_at + self.settings.slow_start_duration
    }

    /// Interval between sends to a server in slow start; `None` for a warm server.
    pub(super) fn slow_start_interval(&self, server_index: usize) -> Option<Micros> {
        if !self.is_in_slow_start(server_index) {
            return None;
        }
        let min_per_s = MIN_SENDS_PER_S / self.equivalent_conductors();
        if self.has_fractional_shares() {
            return Some((1e6 / min_per_s) as Micros);
        }
        // The rate at warm servers of the role is a lower bound of what the server can do when warm.
        let warm_rate = self.mean_warm_rate(self.servers[server_index].role);
        let per_s = warm_rate
            * self.settings.slow_start_initial_share
            * self.settings.overload_multiple
            * BUDGET_SHARE;
        Some((1e6 / per_s.max(min_per_s)) as Micros)
    }

    /// Whether a request may go to a server in slow start regardless of the interval between sends. Where
    /// shares are fractional, that interval is longer than slow start itself. There, a share of the requests
    /// that would go to the server if it were warm is sent at once. This covers only requests that have just
    /// come, as all queued ones would be sent together, and no overflow from other servers, which has no
    /// bound.
    pub(super) fn may_bypass_slow_start(&self, request: &Request, server_index: usize) -> bool {
        let share = self.settings.slow_start_initial_share * self.settings.overload_multiple * BUDGET_SHARE;
        let server = &self.servers[server_index];
        let is_selected = || share_of(hash(&request.query.session, server.hash)) < share;
        let probe_wait = if self.uses_load_probes() { PROBE_RESULT_TTL } else { 0 };
        if !self.has_fractional_shares() || self.now > request.ready_since + probe_wait || !is_selected() {
            return false;
        }
        self.preferred_server(request, server.role) == Some(server_index)
    }

    /// Sets the first send to a server that has appeared or restarted. All conductors see it empty at once,
    /// so each waits for a random part of its interval, which keeps the first sends apart.
    pub(super) fn begin_slow_start(&mut self, server_index: usize) {
        let interval = self.slow_start_interval(server_index).unwrap_or(0) as f64;
        let share = share_of(mix(self.servers[server_index].hash ^ self.seed));
        self.servers[server_index].next_slow_start_send_at = self.now + (interval * share) as Micros;
    }
}
