//! Learns up to which age idle connections may be reused, from those that turned out to be stale. It has no
//! clock of its own.
//!
//! Servers, and whatever is in front of them, may drop connections earlier than the settings say, and without
//! closing them. If one had been idle for a while, others are likely to be stale too, at any server. One that
//! breaks soon after its last response is evidence about its own server only.

use std::collections::HashMap;
use std::time::Duration;

use frosttrail::Id;
use tokio::time::Instant;

/// A learned limit doubles in this time, until it reaches that of the settings.
const AGE_DOUBLING_INTERVAL: Duration = Duration::from_secs(10);
/// More doublings have no effect: even the lowest limit then exceeds any in the settings.
const MAX_DOUBLINGS: u32 = 24;
/// The lowest limit learned for a single server. It is above zero so that it can grow by doubling.
const MIN_IDLE_AGE: Duration = Duration::from_millis(5);
/// A connection that was idle for less was not dropped for its age by a device that all servers share.
const MIN_SHARED_IDLE_AGE: Duration = Duration::from_secs(1);

/// A learned limit, and when it was learned.
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

/// The learned limits, for all servers together and for single ones.
#[derive(Debug, Default)]
pub(super) struct IdleAgeLimits {
    shared: Option<LearnedAge>,
    servers: HashMap<Id, LearnedAge>,
}

impl IdleAgeLimits {
    /// Returns the age below which an idle connection to this server is reused. `max_age` is the limit of the
    /// settings.
    pub(super) fn limit(&self, server: &Id, max_age: Duration, now: Instant) -> Duration {
        let learned = [self.shared.as_ref(), self.servers.get(server)].into_iter().flatten();
        learned.map(|learned| learned.current(now)).fold(max_age, Duration::min)
    }

    /// Records that a connection to this server was stale after it had been idle for `idle`.
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
