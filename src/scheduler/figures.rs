//! Statistics of a router for metrics and tests. They do not affect decisions.

use super::Router;

impl Router {
    /// Number of entries keyed by external ids: servers, requests and sessions.
    pub fn entry_count(&self) -> usize {
        self.servers.len()
            + self.server_indices.len()
            + self.requests.len()
            + self.queued.len()
            + self.cached_sessions.len()
    }

    /// Number of servers that requests may be sent to now: listed, not draining, and healthy.
    pub fn usable_servers(&self) -> usize {
        (0..self.servers.len())
            .filter(|&server_index| self.servers[server_index].is_up && self.is_healthy(server_index))
            .count()
    }
}
