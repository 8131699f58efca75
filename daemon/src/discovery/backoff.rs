//! How long to wait before discovery is asked again, and how long a call to it may take. It has no clock: it
//! says spans of time.
//!
//! Two terms meet here. Many instances that lost discovery together must not come back in step, so waits are
//! drawn and grow with their number. And a change counts as told [`TOLD`] after discovery had it and could be
//! reached, whatever had failed before, so waits have a bound that no number of instances lifts. The longest
//! that a change can stay unheard:
//!
//! | what lies behind | time until the next call has brought it |
//! | --- | --- |
//! | a call that hangs as discovery comes back | [`CALL`] + [`HUNG`] + [`CALL`] = 2.2 + 0.4 + 2.2 = 4.8 s |
//! | a call that was refused just before | [`WAIT_MOST`] + [`CALL`] = 3.0 + 2.2 = 5.2 s |
//! | a watch that fell silent | [`SILENCE`] + [`REOPEN`] + [`CALL`] = 3.0 + 0.3 + 2.2 = 5.5 s |
//!
//! An agent that was silent answers what hangs there as it comes back, and what it then knows may count as
//! told at once. So a call that hangs is the best place to wait, and the next one follows soon.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// What discovery has to tell counts as told this long after it had it and could be reached.
pub const TOLD: Duration = Duration::from_secs(6);
/// A whole call, from its connection to the end of its list or the head of a watch, is given up after this.
pub const CALL: Duration = Duration::from_millis(2_200);
/// No wait is longer, however many instances there are.
pub const WAIT_MOST: Duration = Duration::from_secs(3);
/// The longest wait after a call that hung: it has waited already.
pub const HUNG: Duration = Duration::from_millis(400);
/// The agent sends an empty line every 2 s: one has stayed out for half of the time to the next.
pub const SILENCE: Duration = Duration::from_secs(3);
/// The longest wait before a watch that has fallen silent is opened anew.
pub const REOPEN: Duration = Duration::from_millis(300);

/// One instance's first wait is drawn up to this, doubling up to the most.
const FIRST: Duration = Duration::from_millis(50);
const MOST: Duration = Duration::from_millis(800);
/// Discovery may be one for all: where many instances lose it together, each of them adds so much to the
/// first wait, up to a bound, so that they come back one after another, also if it refuses some of them.
const EACH: Duration = Duration::from_millis(20);
const EACH_MOST: Duration = Duration::from_secs(2);
/// The longest wait, in first ones.
const TIMES_MOST: u32 = 4;

/// The first wait and the longest, for so many instances.
fn bounds(instances: u32) -> (Duration, Duration) {
    let first = FIRST.max(EACH.saturating_mul(instances).min(EACH_MOST));
    (first, MOST.max(first * TIMES_MOST).min(WAIT_MOST))
}

/// Waits between one instance's tries, drawn anew each time, so that instances that failed together do not
/// come again together.
pub struct Backoff {
    first: Duration,
    most: Duration,
    wait: Duration,
    draws: SmallRng,
}

impl Backoff {
    /// For one of so many instances.
    pub fn new(instances: u32, seed: u64) -> Self {
        let (first, most) = bounds(instances);
        Backoff { first, most, wait: first, draws: SmallRng::seed_from_u64(seed) }
    }

    /// For one of so many instances from now on.
    pub fn resize(&mut self, instances: u32) {
        let fresh = self.is_fresh();
        (self.first, self.most) = bounds(instances);
        self.wait = if fresh { self.first } else { self.wait.clamp(self.first, self.most) };
    }

    /// A try has brought something, or the next goes elsewhere.
    pub fn succeeded(&mut self) {
        self.wait = self.first;
    }

    /// A try has failed: the wait before the next one. Where the bound holds a wait back, it is drawn from
    /// the bound's upper half: a fleet that can't wait longer must not ask more often.
    pub fn failed(&mut self) -> Duration {
        let wait = self.wait;
        self.wait = (wait * 2).min(self.most);
        let drawn = self.draws.random::<f64>();
        wait.mul_f64(if wait == WAIT_MOST { (1.0 + drawn) / 2.0 } else { drawn })
    }

    /// A call has hung until it was given up: the wait before the next one.
    pub fn hung(&mut self) -> Duration {
        self.soon(HUNG)
    }

    /// A watch has fallen silent: the wait before it is opened anew.
    pub fn silent(&mut self) -> Duration {
        self.soon(REOPEN)
    }

    /// Drawn up to this, where the wait is due to be as long.
    fn soon(&mut self, most: Duration) -> Duration {
        let wait = self.wait.min(most);
        self.wait = (self.wait * 2).min(self.most);
        wait.mul_f64(self.draws.random())
    }

    /// Whether no try has failed since the last success.
    pub fn is_fresh(&self) -> bool {
        self.wait == self.first
    }
}
