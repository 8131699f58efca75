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
const DOUBLES: Duration = Duration::from_secs(10);
/// More doublings than this change nothing: the least age has become longer than any in settings.
const DOUBLINGS_MAX: u32 = 24;
/// What was learned of a server never falls below this, so that it grows again.
const LEAST: Duration = Duration::from_millis(5);
/// A connection that had been idle for less was not forgotten for its age by anything that serves them all.
const SHARED_LEAST: Duration = Duration::from_secs(1);

/// An age that was learned, and when.
#[derive(Clone, Copy, Debug)]
struct Learned {
    age: Duration,
    at: Instant,
}

impl Learned {
    fn now(self, now: Instant) -> Duration {
        let doublings = now.saturating_duration_since(self.at).as_secs() / DOUBLES.as_secs();
        let doublings = u32::try_from(doublings).unwrap_or(u32::MAX).min(DOUBLINGS_MAX);
        self.age.saturating_mul(1 << doublings)
    }
}

/// The ages learned, for all servers together and for single ones.
#[derive(Debug, Default)]
pub(super) struct IdleAges {
    shared: Option<Learned>,
    servers: HashMap<Id, Learned>,
}

impl IdleAges {
    /// The age below which an idle connection to this server is used; `most` is what the settings allow.
    pub(super) fn limit(&self, server: &Id, most: Duration, now: Instant) -> Duration {
        let learned = [self.shared.as_ref(), self.servers.get(server)].into_iter().flatten();
        learned.map(|learned| learned.now(now)).fold(most, Duration::min)
    }

    /// A connection to this server was dead after it had been idle for so long.
    pub(super) fn was_dead(&mut self, server: &Id, idle: Duration, most: Duration, now: Instant) {
        let age = self.limit(server, most, now).min(idle / 2);
        if idle >= SHARED_LEAST {
            self.shared = Some(Learned { age, at: now });
            return;
        }
        self.servers.retain(|_, learned| learned.now(now) < most);
        self.servers.insert(server.clone(), Learned { age: age.max(LEAST), at: now });
    }
}

#[cfg(test)]
#[path = "../../tests/unit/idle_age.rs"]
mod tests;
