//! A request's own timer for the KV cache that servers hold for it, free of I/O. It says when the cache has
//! to be released, whether or not the decisions have asked for that.

use std::time::Duration;

use frosttrail::Outcome;
use tokio::time::Instant;

/// Tracks since when servers may hold KV cache for the request that no attempt fetches.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CacheClock {
    waiting_since: Option<Instant>,
    /// A release was sent while an attempt was in flight. It freed nothing if that attempt had already
    /// arrived and waits at its server.
    released_during_attempt: bool,
}

impl CacheClock {
    /// A prompt has been prefilled; its KV cache waits to be fetched.
    pub(crate) fn record_prefill(&mut self, now: Instant) {
        *self = CacheClock { waiting_since: Some(now), released_during_attempt: false };
    }

    /// An answer has begun, so its server has fetched the KV cache.
    pub(crate) fn record_fetch(&mut self) {
        *self = CacheClock::default();
    }

    /// An attempt has ended without a finished prefill or the start of an answer. Only a reply from the
    /// server proves that the attempt had arrived and held the KV cache until then; without one, the time
    /// keeps running. A prefill that broke off may have left KV cache behind.
    pub(crate) fn record_attempt_end(&mut self, outcome: Outcome, is_prefill: bool, now: Instant) {
        let was_released = std::mem::take(&mut self.released_during_attempt);
        if was_released || (outcome == Outcome::Rejected && self.waiting_since.is_some()) {
            self.waiting_since = Some(now);
        }
        if is_prefill && !outcome.never_ran() {
            self.waiting_since.get_or_insert(now);
        }
    }

    /// A release of the KV cache has been started, during an attempt or with none in flight.
    pub(crate) fn record_release(&mut self, during_attempt: bool) {
        *self = CacheClock { waiting_since: None, released_during_attempt: during_attempt };
    }

    /// When the KV cache has to be released; `None` if none is held.
    pub(crate) fn release_due_at(&self, timeout: Duration) -> Option<Instant> {
        self.waiting_since.map(|since| since + timeout)
    }
}
