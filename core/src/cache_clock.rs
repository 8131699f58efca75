//! A request's own clock of the KV cache that servers hold for it, without I/O: when it has to be let go,
//! whether or not the decisions have said so.

use std::time::Duration;

use frosttrail::Outcome;
use tokio::time::Instant;

/// Since when something may be held that no attempt takes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CacheClock {
    waiting_since: Option<Instant>,
    /// A release went out beside the attempt that is out. It took nothing if that one had arrived and waits.
    released_during_attempt: bool,
}

impl CacheClock {
    /// A prompt has been read: its KV cache waits.
    pub(crate) fn record_prefill(&mut self, now: Instant) {
        *self = CacheClock { waiting_since: Some(now), released_during_attempt: false };
    }

    /// An answer has begun: its server has taken what was held.
    pub(crate) fn record_fetch(&mut self) {
        *self = CacheClock::default();
    }

    /// An attempt has ended without either. Only an answer proves that it had arrived and had taken what was
    /// held until then; else the time goes on. A prefill that broke off may have left something.
    pub(crate) fn record_attempt_end(&mut self, outcome: Outcome, is_prefill: bool, now: Instant) {
        let was_released = std::mem::take(&mut self.released_during_attempt);
        if was_released || (outcome == Outcome::Rejected && self.waiting_since.is_some()) {
            self.waiting_since = Some(now);
        }
        if is_prefill && !outcome.never_ran() {
            self.waiting_since.get_or_insert(now);
        }
    }

    /// It has been let go, beside an attempt that is out or not.
    pub(crate) fn record_release(&mut self, during_attempt: bool) {
        *self = CacheClock { waiting_since: None, released_during_attempt: during_attempt };
    }

    /// When it has to be let go.
    pub(crate) fn release_due_at(&self, timeout: Duration) -> Option<Instant> {
        self.waiting_since.map(|since| since + timeout)
    }
}
