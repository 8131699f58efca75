//! What a router shows of itself. Nothing here decides.

use super::{Router, TRIP};

impl Router {
    /// How many entries are kept under ids that others give: of workers, requests and sessions.
    pub fn entries(&self) -> usize {
        self.workers.len() + self.index.len() + self.requests.len() + self.held.len() + self.kept.len()
    }

    /// Listed workers that are avoided by choice: their circuit breaker is open.
    pub fn ejected(&self) -> usize {
        self.workers.iter().filter(|worker| worker.up && worker.fails >= TRIP).count()
    }
}
