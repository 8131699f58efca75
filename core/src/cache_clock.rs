//! A request's own clock of the KV cache that servers hold for it, without I/O: when it has to be let go,
//! whether or not the decisions have said so.

use std::time::Duration;

use frosttrail::Outcome;
use tokio::time::Instant;

/// Since when something may be held that no attempt takes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CacheClock {
    since: Option<Instant>,
    /// A release went out beside the attempt that is out. It took nothing if that one had arrived and waits.
    released_beside: bool,
}

impl CacheClock {
    /// A prompt has been read: its KV cache waits.
    pub(crate) fn prefilled(&mut self, now: Instant) {
        *self = CacheClock { since: Some(now), released_beside: false };
    }

    /// An answer has begun: its server has taken what was held.
    pub(crate) fn taken(&mut self) {
        *self = CacheClock::default();
    }

    /// An attempt has ended without either. Only an answer proves that it had arrived and had taken what was
    /// held until then; else the time goes on. A prefill that broke off may have left something.
    pub(crate) fn attempt_ended(&mut self, outcome: Outcome, prefill: bool, now: Instant) {
        let again = std::mem::take(&mut self.released_beside);
        if again || (outcome == Outcome::Rejected && self.since.is_some()) {
            self.since = Some(now);
        }
        if prefill && !outcome.never_ran() {
            self.since.get_or_insert(now);
        }
    }

    /// It has been let go, beside an attempt that is out or not.
    pub(crate) fn released(&mut self, beside: bool) {
        *self = CacheClock { since: None, released_beside: beside };
    }

    /// When it has to be let go.
    pub(crate) fn due(&self, within: Duration) -> Option<Instant> {
        self.since.map(|since| since + within)
    }
}
