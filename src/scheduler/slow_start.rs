//! What goes to a server that has started a short while ago.

use super::*;
use crate::hash::mix;

/// Share of the budget in slow start that is used, the rest is for chance.
const COLD_SHARE: f64 = 0.5;
/// A router that has measured nothing yet takes its part of so many sends a second.
const COLD_LEAST: f64 = 1.0;

impl Router {
    /// Whether it started a short while ago.
    pub(super) fn in_slow_start(&self, w: usize) -> bool {
        let server = &self.servers[w];
        server.started != 0 && self.now < server.started + self.settings.slow_start_duration
    }

    /// Time between sends to a server that started a short while ago; `None` for a warm one.
    pub(super) fn cold_gap(&self, w: usize) -> Option<Micros> {
        if !self.in_slow_start(w) {
            return None;
        }
        let least = COLD_LEAST / self.routers;
        if self.many() {
            return Some((1e6 / least) as Micros);
        }
        // What warm peers of the role take from here bounds from below what it can do when warm.
        let warm = self.warm_rate(self.servers[w].role);
        let per_s =
            warm * self.settings.slow_start_initial_share * self.settings.overload_multiple * COLD_SHARE;
        Some((1e6 / per_s.max(least)) as Micros)
    }

    /// Where parts are below one request, a router's time between sends to a cold server is longer than it
    /// stays cold. There, of what it would get if it were warm, a share goes at once: of what has just come,
    /// as all that is held would come together, and no overflow, which has no bound.
    pub(super) fn warms(&self, request: &Request, w: usize) -> bool {
        let share = self.settings.slow_start_initial_share * self.settings.overload_multiple * COLD_SHARE;
        let server = &self.servers[w];
        let drawn = || share_of(hash(&request.query.session, server.hash)) < share;
        let wait = if self.asks() { SAID_FOR } else { 0 };
        if !self.many() || self.now > request.since + wait || !drawn() {
            return false;
        }
        self.first_if_warm(request, server.role) == Some(w)
    }

    /// A server that turns up is empty to every router at once: each waits for a moment of its own
    /// within its time between sends, so that the first sends do not fall together.
    pub(super) fn warm_up(&mut self, w: usize) {
        let gap = self.cold_gap(w).unwrap_or(0) as f64;
        let share = share_of(mix(self.servers[w].hash ^ self.seed));
        self.servers[w].cold_next = self.now + (gap * share) as Micros;
    }
}
