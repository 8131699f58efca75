//! When clients' input arrived, as far as the process can know: what it reads after a stall may have lain in
//! the kernel since the stall began.

use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, Weak};
use std::time::Duration;

use tokio::time::{sleep, Instant};

/// How often the process checks that it runs.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// A tick that is late by more than this shows a stall.
const STALL_THRESHOLD: Duration = Duration::from_millis(50);
/// How long after a stall input is read that arrived during it: all connections that the kernel has queued
/// are accepted and read first.
const CATCH_UP_TIME: Duration = Duration::from_millis(100);

/// A time for which the process did not run.
#[derive(Clone, Copy, Debug)]
struct Stall {
    began_at: Instant,
    ended_at: Instant,
}

/// Finds stalls from ticks that come late.
#[derive(Debug)]
struct StallDetector {
    last_tick: Instant,
    last_stall: Option<Stall>,
}

impl StallDetector {
    fn new(now: Instant) -> Self {
        StallDetector { last_tick: now, last_stall: None }
    }

    fn is_tick_late(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_tick) > TICK_INTERVAL + STALL_THRESHOLD
    }

    fn tick(&mut self, now: Instant) {
        if self.is_tick_late(now) {
            self.last_stall = Some(Stall { began_at: self.last_tick, ended_at: now });
        }
        self.last_tick = now;
    }

    /// The earliest time at which input that is read now can have arrived.
    fn earliest_arrival(&self, now: Instant) -> Instant {
        if self.is_tick_late(now) {
            return self.last_tick;
        }
        match self.last_stall {
            Some(stall) if now.saturating_duration_since(stall.ended_at) <= CATCH_UP_TIME => stall.began_at,
            _ => now,
        }
    }
}

/// Tells when input arrived. Clones share one detector of stalls, which runs from the first use on.
#[derive(Clone, Debug, Default)]
pub(super) struct ArrivalClock(Arc<OnceLock<Mutex<StallDetector>>>);

impl ArrivalClock {
    /// The earliest time at which input that is read now can have arrived.
    pub(super) fn earliest_arrival(&self) -> Instant {
        let now = Instant::now();
        lock(self.detector()).earliest_arrival(now)
    }

    /// Starts to watch for stalls, if that has not begun yet.
    pub(super) fn start(&self) {
        self.detector();
    }

    fn detector(&self) -> &Mutex<StallDetector> {
        self.0.get_or_init(|| {
            tokio::spawn(tick(Arc::downgrade(&self.0)));
            Mutex::new(StallDetector::new(Instant::now()))
        })
    }
}

/// Ticks until the last clock has been dropped.
async fn tick(detector: Weak<OnceLock<Mutex<StallDetector>>>) {
    loop {
        sleep(TICK_INTERVAL).await;
        let Some(detector) = detector.upgrade() else { return };
        if let Some(detector) = detector.get() {
            lock(detector).tick(Instant::now());
        }
    }
}

fn lock(detector: &Mutex<StallDetector>) -> MutexGuard<'_, StallDetector> {
    detector.lock().unwrap_or_else(PoisonError::into_inner)
}

#[cfg(test)]
#[path = "../../tests/unit/arrival.rs"]
mod tests;
