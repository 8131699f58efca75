//! How long to wait before discovery is asked again. It has no clock: it says spans of time.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// One instance's first wait is drawn up to this, doubling up to the most.
const FIRST: Duration = Duration::from_millis(50);
const MOST: Duration = Duration::from_millis(800);
/// Discovery is one for all: where many instances lose it together, each of them adds so much to the first
/// wait, up to a bound, so that they come back one after another, also if it refuses some of them.
const EACH: Duration = Duration::from_millis(20);
const EACH_MOST: Duration = Duration::from_secs(2);
/// The longest wait, in first ones.
const TIMES_MOST: u32 = 4;

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
        let first = FIRST.max(EACH.saturating_mul(instances).min(EACH_MOST));
        Backoff {
            first,
            most: MOST.max(first * TIMES_MOST),
            wait: first,
            draws: SmallRng::seed_from_u64(seed),
        }
    }

    /// A try has brought something.
    pub fn succeeded(&mut self) {
        self.wait = self.first;
    }

    /// A try has failed: the wait before the next one.
    pub fn failed(&mut self) -> Duration {
        let wait = self.wait;
        self.wait = (wait * 2).min(self.most);
        wait.mul_f64(self.draws.random())
    }

    /// Whether no try has failed since the last success.
    pub fn is_fresh(&self) -> bool {
        self.wait == self.first
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Discovery that takes so many calls a second and refuses the rest, and instances that lost it at once.
    /// The time until all have it again, in ms.
    fn all_back(instances: u32, per_s: u32) -> u64 {
        let mut waits: Vec<_> = (0..instances).map(|i| Backoff::new(instances, u64::from(i))).collect();
        let mut due: Vec<Option<u64>> =
            waits.iter_mut().map(|b| Some(b.failed().as_millis() as u64)).collect();
        let (mut now, mut room) = (0, 0.0);
        while due.iter().any(Option::is_some) {
            room = f64::min(room + f64::from(per_s) / 1e3, 1.0);
            for (at, backoff) in due.iter_mut().zip(&mut waits) {
                if at.is_some_and(|at| at <= now) {
                    let taken = room >= 1.0;
                    room -= if taken { 1.0 } else { 0.0 };
                    *at = (!taken).then(|| now + 1 + backoff.failed().as_millis() as u64);
                }
            }
            now += 1;
            assert!(now < 600_000, "never");
        }
        now
    }

    #[test]
    fn a_fleet_that_lost_discovery_comes_back_through_a_narrow_door() {
        // 100 calls a second would be done in a second by a queue.
        assert!(all_back(100, 100) < 12_000, "{}", all_back(100, 100));
        assert!(all_back(300, 100) < 25_000, "{}", all_back(300, 100));
    }

    #[test]
    fn few_instances_come_back_as_fast_as_ever() {
        let mut backoff = Backoff::new(3, 7);
        let waits: Vec<Duration> = (0..20).map(|_| backoff.failed()).collect();
        assert!(waits[0] <= Duration::from_millis(60) && waits.iter().all(|w| *w <= MOST), "{waits:?}");
        backoff.succeeded();
        assert!(backoff.is_fresh() && backoff.failed() <= Duration::from_millis(60));
    }

    #[test]
    fn instances_that_failed_together_do_not_come_again_together() {
        let first = |seed| Backoff::new(100, seed).failed();
        let mut waits: Vec<Duration> = (0..100).map(first).collect();
        waits.sort();
        let most = waits.windows(10).map(|w| w[9] - w[0]).min();
        assert!(most > Some(Duration::from_millis(20)), "ten within {most:?}");
        assert!(waits.iter().all(|w| *w <= EACH_MOST));
    }
}
