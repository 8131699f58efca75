//! The process's one clock: microseconds that never go back, for the decisions and for every timer.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use frosttrail::Micros;
use tokio::time::Instant;

/// The clock's reading when the program starts, so that servers that started earlier have a time on it too.
const MICROS_AT_START: Micros = 3_600_000_000;

/// Monotonic time since one hour before the start. Its offset to the wall clock is read only once: if it
/// were read for each list, the start times of servers would shift and each list would look like a restart.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    wall_at_start: Micros,
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn new() -> Self {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), wall_at_start: wall.as_micros() as Micros }
    }

    /// The current time on this clock.
    pub fn now(&self) -> Micros {
        MICROS_AT_START + self.start.elapsed().as_micros() as Micros
    }

    /// The instant that a timer needs for the time `at`.
    pub fn to_instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.saturating_sub(MICROS_AT_START))
    }

    /// Converts Unix milliseconds to this clock; 0, which means long ago, for any time before its zero.
    pub fn from_unix_ms(&self, ms: u64) -> Micros {
        (ms.saturating_mul(1_000) + MICROS_AT_START).saturating_sub(self.wall_at_start)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}
