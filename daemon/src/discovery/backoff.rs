//! Computes how long to wait before discovery is called again and how long a call may take, without a clock of
//! its own.
//!
//! Two requirements set the waits. Many instances that lost discovery together must not retry in step, so the
//! waits are random and grow with the number of instances. And a change must arrive within
//! [`MAX_UPDATE_DELAY`] once discovery has it and is reachable, whatever failed before, so the waits have an
//! upper bound that holds for any number of instances. The longest time until a change arrives:
//!
//! | what happened before | time until the next call has delivered the change |
//! | --- | --- |
//! | a call hung while discovery recovered | 2 × [`CALL_TIMEOUT`] + [`MAX_WAIT_AFTER_TIMEOUT`] = 4.8 s |
//! | a call was refused just before | [`MAX_WAIT`] + [`CALL_TIMEOUT`] = 5.2 s |
//! | a watch fell silent | [`WATCH_SILENCE_TIMEOUT`] + [`MAX_WATCH_REOPEN_WAIT`] + [`CALL_TIMEOUT`] = 5.5 s |
//!
//! An agent that was unresponsive answers the pending calls when it recovers, and what it knows then may count
//! as delivered at once. A call that hangs is therefore the best place to wait, and the next one follows soon.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// What discovery has to tell counts as told this long after it had it and could be reached.
pub const MAX_UPDATE_DELAY: Duration = Duration::from_secs(6);
/// A whole call, from its connection to the end of its list or the head of a watch, is given up after this.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(2_200);
/// No wait is longer, however many instances there are.
pub const MAX_WAIT: Duration = Duration::from_secs(3);
/// The longest wait after a call that hung: it has waited already.
pub const MAX_WAIT_AFTER_TIMEOUT: Duration = Duration::from_millis(400);
/// The agent sends an empty line every 2 s: one has stayed out for half of the time to the next.
pub const WATCH_SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// The longest wait before a watch that has fallen silent is opened anew.
pub const MAX_WATCH_REOPEN_WAIT: Duration = Duration::from_millis(300);

/// One instance's first wait is drawn up to this, doubling up to the most.
const SMALL_FLEET_INITIAL_WAIT: Duration = Duration::from_millis(50);
const SMALL_FLEET_MAX_WAIT: Duration = Duration::from_millis(800);
/// Discovery may be one for all: where many instances lose it together, each of them adds so much to the
/// first wait, up to a bound, so that they come back one after another, also if it refuses some of them.
const INITIAL_WAIT_PER_INSTANCE: Duration = Duration::from_millis(20);
const MAX_INITIAL_WAIT: Duration = Duration::from_secs(2);
/// The longest wait, in first ones.
const MAX_WAIT_FACTOR: u32 = 4;

/// The first wait and the longest, for so many instances.
fn wait_bounds(instances: u32) -> (Duration, Duration) {
    let initial_wait = SMALL_FLEET_INITIAL_WAIT
        .max(INITIAL_WAIT_PER_INSTANCE.saturating_mul(instances).min(MAX_INITIAL_WAIT));
    (initial_wait, SMALL_FLEET_MAX_WAIT.max(initial_wait * MAX_WAIT_FACTOR).min(MAX_WAIT))
}

/// Waits between one instance's tries, drawn anew each time, so that instances that failed together do not
/// come again together.
pub struct Backoff {
    initial_wait: Duration,
    max_wait: Duration,
    next_wait: Duration,
    rng: SmallRng,
}

impl Backoff {
    /// For one of so many instances.
    pub fn new(instances: u32, seed: u64) -> Self {
        let (initial_wait, max_wait) = wait_bounds(instances);
        Backoff { initial_wait, max_wait, next_wait: initial_wait, rng: SmallRng::seed_from_u64(seed) }
    }

    /// For one of so many instances from now on.
    pub fn set_instances(&mut self, instances: u32) {
        let is_reset = self.is_reset();
        (self.initial_wait, self.max_wait) = wait_bounds(instances);
        self.next_wait =
            if is_reset { self.initial_wait } else { self.next_wait.clamp(self.initial_wait, self.max_wait) };
    }

    /// A try has brought something, or the next goes elsewhere.
    pub fn reset(&mut self) {
        self.next_wait = self.initial_wait;
    }

    /// A try has failed: the wait before the next one. Where the bound holds a wait back, it is drawn from
    /// the bound's upper half: a fleet that can't wait longer must not ask more often.
    pub fn wait_after_failure(&mut self) -> Duration {
        let wait = self.next_wait;
        self.next_wait = (wait * 2).min(self.max_wait);
        let fraction = self.rng.random::<f64>();
        wait.mul_f64(if wait == MAX_WAIT { (1.0 + fraction) / 2.0 } else { fraction })
    }

    /// A call has hung until it was given up: the wait before the next one.
    pub fn wait_after_timeout(&mut self) -> Duration {
        self.short_wait(MAX_WAIT_AFTER_TIMEOUT)
    }

    /// A watch has fallen silent: the wait before it is opened anew.
    pub fn wait_after_silence(&mut self) -> Duration {
        self.short_wait(MAX_WATCH_REOPEN_WAIT)
    }

    /// Drawn up to this, where the wait is due to be as long.
    fn short_wait(&mut self, limit: Duration) -> Duration {
        let wait = self.next_wait.min(limit);
        self.next_wait = (self.next_wait * 2).min(self.max_wait);
        wait.mul_f64(self.rng.random())
    }

    /// Whether no try has failed since the last success.
    pub fn is_reset(&self) -> bool {
        self.next_wait == self.initial_wait
    }
}
