//! The one clock: microseconds that never go back, for the decisions and for every timer.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use frosttrail::Micros;
use tokio::time::Instant;

/// What the clock shows when the program starts, so that a server that started earlier has a time too.
const MICROS_AT_START: Micros = 3_600_000_000;

/// Monotonic time since an hour before the start. Its relation to the wall clock is read once: were it
/// read again for each list, a server's start would seem to move and each list would look like a restart.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    wall_at_start: Micros,
}

impl Clock {
    /// A clock that starts now.
    pub fn new() -> Self {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), wall_at_start: wall.as_micros() as Micros }
    }

    /// Now.
    pub fn now(&self) -> Micros {
        MICROS_AT_START + self.start.elapsed().as_micros() as Micros
    }

    /// The instant for a timer.
    pub fn to_instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.saturating_sub(MICROS_AT_START))
    }

    /// Unix milliseconds on this clock; 0, which means long ago, for what lies before it.
    pub fn from_unix_ms(&self, ms: u64) -> Micros {
        (ms.saturating_mul(1_000) + MICROS_AT_START).saturating_sub(self.wall_at_start)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}
