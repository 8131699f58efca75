//! Waits between discovery calls, in simulated time: fleets that lost discovery together, and the time
//! until a change arrives.

use std::time::Duration;

use frosttrail_daemon::discovery::backoff::{
    Backoff, CALL_TIMEOUT, MAX_UPDATE_DELAY, MAX_WAIT, MAX_WAIT_AFTER_TIMEOUT, MAX_WATCH_REOPEN_WAIT,
    WATCH_SILENCE_TIMEOUT,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The longest wait of a small fleet.
const SMALL_FLEET_MAX_WAIT: Duration = Duration::from_millis(800);
/// The longest first wait of a large fleet.
const LARGE_FLEET_MAX_INITIAL_WAIT: Duration = Duration::from_secs(2);
/// Delays must stay below [`MAX_UPDATE_DELAY`] by at least this.
const MARGIN: Duration = Duration::from_millis(400);

/// Simulates instances that lost discovery at the same moment and a server that accepts `calls_per_s` and
/// refuses the rest. Returns the time until all have succeeded.
fn ms_until_all_succeed(instances: u32, calls_per_s: u32) -> u64 {
    let mut waits: Vec<_> = (0..instances).map(|i| Backoff::new(instances, u64::from(i))).collect();
    let mut due: Vec<Option<u64>> =
        waits.iter_mut().map(|b| Some(b.wait_after_failure().as_millis() as u64)).collect();
    let (mut now, mut available) = (0, 0.0);
    while due.iter().any(Option::is_some) {
        available = f64::min(available + f64::from(calls_per_s) / 1e3, 1.0);
        for (at, backoff) in due.iter_mut().zip(&mut waits) {
            if at.is_some_and(|at| at <= now) {
                let is_accepted = available >= 1.0;
                available -= if is_accepted { 1.0 } else { 0.0 };
                *at = (!is_accepted).then(|| now + 1 + backoff.wait_after_failure().as_millis() as u64);
            }
        }
        now += 1;
        assert!(now < 600_000, "some instances never succeed");
    }
    now
}

#[test]
fn a_fleet_that_lost_discovery_reconnects_soon_at_a_limited_call_rate() {
    // A queue would serve 100 calls in one second.
    assert!(ms_until_all_succeed(100, 100) < 12_000, "{}", ms_until_all_succeed(100, 100));
    assert!(ms_until_all_succeed(300, 100) < 25_000, "{}", ms_until_all_succeed(300, 100));
}

#[test]
fn a_small_fleet_retries_soon() {
    let mut backoff = Backoff::new(3, 7);
    let waits: Vec<Duration> = (0..20).map(|_| backoff.wait_after_failure()).collect();
    assert!(
        waits[0] <= Duration::from_millis(60) && waits.iter().all(|w| *w <= SMALL_FLEET_MAX_WAIT),
        "{waits:?}"
    );
    backoff.reset();
    assert!(backoff.is_reset() && backoff.wait_after_failure() <= Duration::from_millis(60));
}

#[test]
fn instances_that_fail_together_retry_at_different_times() {
    let first_wait = |seed| Backoff::new(100, seed).wait_after_failure();
    let mut waits: Vec<Duration> = (0..100).map(first_wait).collect();
    waits.sort();
    let shortest_span = waits.windows(10).map(|w| w[9] - w[0]).min();
    assert!(shortest_span > Some(Duration::from_millis(20)), "ten within {shortest_span:?}");
    assert!(waits.iter().all(|w| *w <= LARGE_FLEET_MAX_INITIAL_WAIT));
}

/// Simulates one instance whose calls fail until discovery is reachable at `recovered_at`. Each call hangs
/// until its timeout, or is refused at once; a call that started before `recovered_at` goes on to hang.
/// Returns the time from `recovered_at` until a call has delivered the change, if that call takes as long
/// as it may.
fn delay_after_failures(backoff: &mut Backoff, rng: &mut SmallRng, recovered_at: Duration) -> Duration {
    let mut now = Duration::ZERO;
    while now < recovered_at {
        now += if rng.random::<bool>() {
            CALL_TIMEOUT + backoff.wait_after_timeout()
        } else {
            backoff.wait_after_failure()
        };
    }
    now + CALL_TIMEOUT - recovered_at
}

/// Simulates one instance whose calls hang from the moment the agent falls silent. A call that is pending
/// when the agent recovers is answered then, as is the next one. Returns the time from `recovered_at` until
/// that.
fn delay_after_silence(backoff: &mut Backoff, recovered_at: Duration) -> Duration {
    let mut now = WATCH_SILENCE_TIMEOUT + backoff.wait_after_silence();
    while now < recovered_at {
        if now + CALL_TIMEOUT > recovered_at {
            return Duration::ZERO;
        }
        now += CALL_TIMEOUT + backoff.wait_after_timeout();
    }
    now - recovered_at
}

/// What a silent agent learns when it recovers may count as delivered at once, so the delay must be shorter
/// than any drain grace.
#[test]
fn an_agent_that_was_silent_is_heard_soon_after_it_recovers_at_any_fleet_size() {
    for instances in [1, 3, 30, 300, 10_000, u32::MAX] {
        for seed in 0..2_000 {
            let recovered_at = Duration::from_millis(3_400 + 11 * seed);
            let delay = delay_after_silence(&mut Backoff::new(instances, seed), recovered_at);
            assert!(
                delay <= Duration::from_millis(500),
                "{instances} instances, {recovered_at:?}: {delay:?}"
            );
        }
    }
}

#[test]
fn a_change_arrives_in_time_after_any_failures_at_any_fleet_size() {
    for instances in [1, 2, 3, 5, 12, 30, 100, 300, 1_000, 10_000, 1_000_000, u32::MAX] {
        let mut longest_delay = Duration::ZERO;
        for seed in 0..300 {
            let (mut backoff, mut rng) = (Backoff::new(instances, seed), SmallRng::seed_from_u64(seed));
            let recovered_at = Duration::from_millis(rng.random_range(0..20_000));
            longest_delay = longest_delay.max(delay_after_failures(&mut backoff, &mut rng, recovered_at));
        }
        assert!(longest_delay + MARGIN < MAX_UPDATE_DELAY, "{instances} instances: {longest_delay:?}");
    }
}

#[test]
fn a_silent_watch_is_replaced_in_time_at_any_fleet_size() {
    for instances in [1, 3, 300, u32::MAX] {
        for seed in 0..100 {
            let mut backoff = Backoff::new(instances, seed);
            // Holds also after repeated silence and failed calls.
            for _ in 0..6 {
                assert!(
                    WATCH_SILENCE_TIMEOUT + backoff.wait_after_silence() + CALL_TIMEOUT + MARGIN
                        < MAX_UPDATE_DELAY
                );
                backoff.wait_after_failure();
            }
        }
    }
    let worst_cases = [
        CALL_TIMEOUT + MAX_WAIT_AFTER_TIMEOUT + CALL_TIMEOUT,
        MAX_WAIT + CALL_TIMEOUT,
        WATCH_SILENCE_TIMEOUT + MAX_WATCH_REOPEN_WAIT + CALL_TIMEOUT,
    ];
    assert!(worst_cases.iter().all(|delay| *delay + MARGIN < MAX_UPDATE_DELAY), "{worst_cases:?}");
}

/// All calls are refused at once. The upper bound on waits must not make a fleet call as fast as it can.
#[test]
fn a_fleet_at_the_longest_wait_calls_less_than_once_in_two_seconds_per_instance() {
    let (mut calls, instances, time) = (0, 300, Duration::from_secs(60));
    for seed in 0..instances {
        let (mut backoff, mut now) = (Backoff::new(instances, u64::from(seed)), Duration::ZERO);
        while now < time {
            now += backoff.wait_after_failure();
            calls += 1;
        }
    }
    let calls_per_s = f64::from(calls) / f64::from(instances) / time.as_secs_f64();
    assert!(calls_per_s < 0.5, "{calls_per_s} calls per second and instance");
}
