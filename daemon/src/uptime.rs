//! The machine's uptime, for times in files that outlive a process: the wall clock may be stepped.

use std::fs;
use std::io;
use std::time::Duration;

use rustix::time::{clock_gettime, ClockId};

/// The kernel's random id of the current boot.
const BOOT_ID: &str = "/proc/sys/kernel/random/boot_id";

/// The monotonic clock, which all processes of the machine share and which is never stepped.
pub(crate) fn uptime() -> Duration {
    let now = clock_gettime(ClockId::Monotonic);
    Duration::new(now.tv_sec.unsigned_abs(), now.tv_nsec.unsigned_abs() as u32)
}

/// Identifies the current boot: uptimes of different boots are not comparable.
pub(crate) fn boot_id() -> io::Result<String> {
    Ok(fs::read_to_string(BOOT_ID)?.trim().to_string())
}
