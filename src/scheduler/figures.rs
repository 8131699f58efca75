//! What a router shows of itself. Nothing here decides.

use super::Router;

impl Router {
    /// How many entries are kept under ids that others give: of workers, requests and sessions.
    pub fn entries(&self) -> usize {
        self.workers.len() + self.index.len() + self.requests.len() + self.held.len() + self.kept.len()
    }

    /// Workers that requests may go to now: listed, not draining, and not left alone after failures.
    pub fn usable(&self) -> usize {
        (0..self.workers.len()).filter(|&w| self.workers[w].up && self.healthy(w)).count()
    }
}
