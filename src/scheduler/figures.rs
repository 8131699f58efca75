//! What a router shows of itself. Nothing here decides.

use super::Router;

impl Router {
    /// How many entries are kept under ids that others give: of servers, requests and sessions.
    pub fn entry_count(&self) -> usize {
        self.servers.len()
            + self.server_indices.len()
            + self.requests.len()
            + self.queued.len()
            + self.cached_sessions.len()
    }

    /// Servers that requests may go to now: listed, not draining, and not left alone after failures.
    pub fn usable_servers(&self) -> usize {
        (0..self.servers.len())
            .filter(|&server_index| self.servers[server_index].is_up && self.is_healthy(server_index))
            .count()
    }
}
