//! Waits before discovery is asked again, in simulated time: fleets that lost it together, and how long a
//! change can stay unheard.

use std::time::Duration;

use frosttrail_daemon::discovery::backoff::{Backoff, CALL, HUNG, REOPEN, SILENCE, TOLD, WAIT_MOST};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Few instances wait no longer than this.
const FEW_MOST: Duration = Duration::from_millis(800);
/// Many begin with at most this.
const MANY_FIRST: Duration = Duration::from_secs(2);
/// Safely below the time at which a change counts as told.
const SAFELY: Duration = Duration::from_millis(400);

/// Discovery that takes so many calls a second and refuses the rest, and instances that lost it at once.
/// The time until all have it again, in ms.
fn all_back(instances: u32, per_s: u32) -> u64 {
    let mut waits: Vec<_> = (0..instances).map(|i| Backoff::new(instances, u64::from(i))).collect();
    let mut due: Vec<Option<u64>> = waits.iter_mut().map(|b| Some(b.failed().as_millis() as u64)).collect();
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
    assert!(waits[0] <= Duration::from_millis(60) && waits.iter().all(|w| *w <= FEW_MOST), "{waits:?}");
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
    assert!(waits.iter().all(|w| *w <= MANY_FIRST));
}

/// One instance whose calls fail until discovery can be reached at `back`: each hangs until it is given up,
/// or is refused at once. A call that was begun before then goes on to hang. The time from `back` on until a
/// call has brought what discovery had, given that each takes as long as it may.
fn unheard(backoff: &mut Backoff, draws: &mut SmallRng, back: Duration) -> Duration {
    let mut now = Duration::ZERO;
    while now < back {
        now += if draws.random::<bool>() { CALL + backoff.hung() } else { backoff.failed() };
    }
    now + CALL - back
}

/// One instance whose calls hang from the fall of silence on; a call that is out as the agent comes back is
/// answered then, as is the next. The time from `back` on until that.
fn answered(backoff: &mut Backoff, back: Duration) -> Duration {
    let mut now = SILENCE + backoff.silent();
    while now < back {
        if now + CALL > back {
            return Duration::ZERO;
        }
        now += CALL + backoff.hung();
    }
    now - back
}

/// What a silent agent learns as it comes back may count as told at once: shorter than any drain's grace.
#[test]
fn an_agent_that_was_silent_is_heard_as_it_comes_back_at_any_fleet_size() {
    for instances in [1, 3, 30, 300, 10_000, u32::MAX] {
        for seed in 0..2_000 {
            let back = Duration::from_millis(3_400 + 11 * seed);
            let late = answered(&mut Backoff::new(instances, seed), back);
            assert!(late <= Duration::from_millis(500), "{instances} instances, {back:?}: {late:?}");
        }
    }
}

#[test]
fn a_change_is_heard_in_time_after_any_failures_at_any_fleet_size() {
    for instances in [1, 2, 3, 5, 12, 30, 100, 300, 1_000, 10_000, 1_000_000, u32::MAX] {
        let mut longest = Duration::ZERO;
        for seed in 0..300 {
            let (mut backoff, mut draws) = (Backoff::new(instances, seed), SmallRng::seed_from_u64(seed));
            let back = Duration::from_millis(draws.random_range(0..20_000));
            longest = longest.max(unheard(&mut backoff, &mut draws, back));
        }
        assert!(longest + SAFELY < TOLD, "{instances} instances: {longest:?}");
    }
}

#[test]
fn a_silent_watch_is_replaced_in_time_at_any_fleet_size() {
    for instances in [1, 3, 300, u32::MAX] {
        for seed in 0..100 {
            let mut backoff = Backoff::new(instances, seed);
            // Also where it falls silent again and again, or calls failed before.
            for _ in 0..6 {
                assert!(SILENCE + backoff.silent() + CALL + SAFELY < TOLD);
                backoff.failed();
            }
        }
    }
    let paths = [CALL + HUNG + CALL, WAIT_MOST + CALL, SILENCE + REOPEN + CALL];
    assert!(paths.iter().all(|path| *path + SAFELY < TOLD), "{paths:?}");
}

/// What a fleet that may not wait longer asks, while all calls are refused at once: the bound on waits must
/// not make it ask as fast as it can.
#[test]
fn a_fleet_at_the_bound_asks_less_than_once_in_two_seconds_each() {
    let (mut calls, instances, time) = (0, 300, Duration::from_secs(60));
    for seed in 0..instances {
        let (mut backoff, mut now) = (Backoff::new(instances, u64::from(seed)), Duration::ZERO);
        while now < time {
            now += backoff.failed();
            calls += 1;
        }
    }
    let each_s = f64::from(calls) / f64::from(instances) / time.as_secs_f64();
    assert!(each_s < 0.5, "{each_s} calls a second each");
}
