//! Computes how long to wait before discovery is called again and how long a call may take. It has no clock.
//!
//! Two requirements set the waits. Many instances that lost discovery together must not retry in step, so the
//! waits are random and grow with the number of instances. And a change must arrive within
//! [`MAX_UPDATE_DELAY`] once discovery has it and is reachable, whatever failed before, so the waits have an
//! upper bound that holds for any number of instances. The longest time until a change arrives:
//!
//! | what happened before | time until the next call has delivered the change |
//! | --- | --- |
//! | a call hung while discovery recovered | 2 * [`CALL_TIMEOUT`] + [`MAX_WAIT_AFTER_TIMEOUT`] = 4.8 s |
//! | a call was refused just before | [`MAX_WAIT`] + [`CALL_TIMEOUT`] = 5.2 s |
//! | a watch fell silent | [`WATCH_SILENCE_TIMEOUT`] + [`MAX_WATCH_REOPEN_WAIT`] + [`CALL_TIMEOUT`] = 5.5 s |
//!
//! An agent that was silent answers the pending calls when it recovers, and what it knows then may
//! count as delivered at once. So a pending call is the best place to wait, and the next one follows soon.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// A change counts as delivered to every conductor this long after discovery had it and was reachable.
pub const MAX_UPDATE_DELAY: Duration = Duration::from_secs(6);
/// Limits a whole call, from connecting to the end of its list or to the head of a watch.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(2_200);
/// The upper bound on every wait, for any number of instances.
pub const MAX_WAIT: Duration = Duration::from_secs(3);
/// The longest wait after a call that timed out, short because the call itself was already a wait.
pub const MAX_WAIT_AFTER_TIMEOUT: Duration = Duration::from_millis(400);
/// The agent sends an empty line every 2 s. After 3 s one is overdue by half of that interval.
pub const WATCH_SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// The longest wait before a watch that has fallen silent is reopened.
pub const MAX_WATCH_REOPEN_WAIT: Duration = Duration::from_millis(300);

/// Bound on the first random wait of a small fleet. It doubles up to [`SMALL_FLEET_MAX_WAIT`].
const SMALL_FLEET_INITIAL_WAIT: Duration = Duration::from_millis(50);
const SMALL_FLEET_MAX_WAIT: Duration = Duration::from_millis(800);
/// All instances may share one discovery server. Each instance adds this much to the bound on the first wait,
/// up to [`MAX_INITIAL_WAIT`], so that instances that lost discovery together return one after another, even
/// if it refuses some of their calls.
const INITIAL_WAIT_PER_INSTANCE: Duration = Duration::from_millis(20);
const MAX_INITIAL_WAIT: Duration = Duration::from_secs(2);
/// Ratio of the longest wait to the first.
const MAX_WAIT_FACTOR: u32 = 4;

/// Returns the bounds on the first and on the longest wait for this number of instances.
fn wait_bounds(instances: u32) -> (Duration, Duration) {
    let initial_wait = SMALL_FLEET_INITIAL_WAIT
        .max(INITIAL_WAIT_PER_INSTANCE.saturating_mul(instances).min(MAX_INITIAL_WAIT));
    (initial_wait, SMALL_FLEET_MAX_WAIT.max(initial_wait * MAX_WAIT_FACTOR).min(MAX_WAIT))
}

/// Random exponential waits between the calls of one instance, so that instances that failed together do not
/// retry together.
pub struct Backoff {
    initial_wait: Duration,
    max_wait: Duration,
    next_wait: Duration,
    rng: SmallRng,
}

impl Backoff {
    /// Creates the backoff of one instance in a fleet of `instances`.
    pub fn new(instances: u32, seed: u64) -> Self {
        let (initial_wait, max_wait) = wait_bounds(instances);
        Backoff { initial_wait, max_wait, next_wait: initial_wait, rng: SmallRng::seed_from_u64(seed) }
    }

    /// Adapts the bounds to a new fleet size and keeps the current wait within them.
    pub fn set_instances(&mut self, instances: u32) {
        let is_reset = self.is_reset();
        (self.initial_wait, self.max_wait) = wait_bounds(instances);
        self.next_wait =
            if is_reset { self.initial_wait } else { self.next_wait.clamp(self.initial_wait, self.max_wait) };
    }

    /// Starts again from the first wait, after a success or when the next call goes to another address.
    pub fn reset(&mut self) {
        self.next_wait = self.initial_wait;
    }

    /// Returns the wait after a failed call. At [`MAX_WAIT`] it is drawn from the upper half of the range, so
    /// that a fleet that may not wait longer does not call more often instead.
    pub fn wait_after_failure(&mut self) -> Duration {
        let wait = self.next_wait;
        self.next_wait = (wait * 2).min(self.max_wait);
        let fraction = self.rng.random::<f64>();
        wait.mul_f64(if wait == MAX_WAIT { (1.0 + fraction) / 2.0 } else { fraction })
    }

    /// Returns the wait after a call that timed out.
    pub fn wait_after_timeout(&mut self) -> Duration {
        self.short_wait(MAX_WAIT_AFTER_TIMEOUT)
    }

    /// Returns the wait before a silent watch is reopened.
    pub fn wait_after_silence(&mut self) -> Duration {
        self.short_wait(MAX_WATCH_REOPEN_WAIT)
    }

    /// Returns a random wait below the smaller of the current bound and `limit`.
    fn short_wait(&mut self, limit: Duration) -> Duration {
        let wait = self.next_wait.min(limit);
        self.next_wait = (self.next_wait * 2).min(self.max_wait);
        wait.mul_f64(self.rng.random())
    }

    /// Whether no call has failed since the last reset.
    pub fn is_reset(&self) -> bool {
        self.next_wait == self.initial_wait
    }
}
