//! Up to which age idle connections are used again, learned from those that turned out to be dead. It has no
//! clock of its own.
//!
//! Servers, and whatever lies before them, may forget connections earlier than the settings say, and without
//! a word. Where one had been idle for a while, others are likely to be as dead, at whichever server. One
//! that breaks soon after its last answer tells of its server only.

use std::collections::HashMap;
use std::time::Duration;

use frosttrail::Id;
use tokio::time::Instant;

/// A learned age doubles in this time, until it is that of the settings again.
const AGE_DOUBLING_INTERVAL: Duration = Duration::from_secs(10);
/// More doublings than this change nothing: the least age has become longer than any in settings.
const MAX_DOUBLINGS: u32 = 24;
/// What was learned of a server never falls below this, so that it grows again.
const MIN_IDLE_AGE: Duration = Duration::from_millis(5);
/// A connection that had been idle for less was not forgotten for its age by anything that serves them all.
const MIN_SHARED_IDLE_AGE: Duration = Duration::from_secs(1);

/// An age that was learned, and when.
#[derive(Clone, Copy, Debug)]
struct LearnedAge {
    age: Duration,
    learned_at: Instant,
}

impl LearnedAge {
    fn current(self, now: Instant) -> Duration {
        let doublings =
            now.saturating_duration_since(self.learned_at).as_secs() / AGE_DOUBLING_INTERVAL.as_secs();
        let doublings = u32::try_from(doublings).unwrap_or(u32::MAX).min(MAX_DOUBLINGS);
        self.age.saturating_mul(1 << doublings)
    }
}

/// The ages learned, for all servers together and for single ones.
#[derive(Debug, Default)]
pub(super) struct IdleAgeLimits {
    shared: Option<LearnedAge>,
    servers: HashMap<Id, LearnedAge>,
}

impl IdleAgeLimits {
    /// The age below which an idle connection to this server is used; `most` is what the settings allow.
    pub(super) fn limit(&self, server: &Id, max_age: Duration, now: Instant) -> Duration {
        let learned = [self.shared.as_ref(), self.servers.get(server)].into_iter().flatten();
        learned.map(|learned| learned.current(now)).fold(max_age, Duration::min)
    }

    /// A connection to this server was dead after it had been idle for so long.
    pub(super) fn record_stale(&mut self, server: &Id, idle: Duration, max_age: Duration, now: Instant) {
        let age = self.limit(server, max_age, now).min(idle / 2);
        if idle >= MIN_SHARED_IDLE_AGE {
            self.shared = Some(LearnedAge { age, learned_at: now });
            return;
        }
        self.servers.retain(|_, learned| learned.current(now) < max_age);
        self.servers.insert(server.clone(), LearnedAge { age: age.max(MIN_IDLE_AGE), learned_at: now });
    }
}

#[cfg(test)]
#[path = "../../tests/unit/idle_age.rs"]
mod tests;
