//! What a router shows of itself. Nothing here decides.

use super::Router;

impl Router {
    /// How many entries are kept under ids that others give: of servers, requests and sessions.
    pub fn entry_count(&self) -> usize {
        self.servers.len() + self.index.len() + self.requests.len() + self.held.len() + self.kept.len()
    }

    /// Servers that requests may go to now: listed, not draining, and not left alone after failures.
    pub fn usable_servers(&self) -> usize {
        (0..self.servers.len()).filter(|&w| self.servers[w].up && self.healthy(w)).count()
    }
}
