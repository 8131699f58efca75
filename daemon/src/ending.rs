//! How the time between SIGTERM and SIGKILL is divided. The platform kills no sooner than the longest
//! deadline of a class, taken as 3 s where it is longer, and 0.7 s more; so all is done in time by the
//! settings, not by a constant.

use std::time::Duration;

use frosttrail::Settings;

/// A longer deadline counts as this.
const MAX_DEADLINE: Duration = Duration::from_secs(3);
/// SIGKILL comes so long after the longest deadline.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// For what is under way as the program ends, and for a machine that is busy.
const KILL_MARGIN: Duration = Duration::from_millis(300);
/// For the last answers and releases.
const FINAL_ANSWERS_TIME: Duration = Duration::from_millis(500);
/// Clients and the front notice a planned end within this time, in which new ones are still taken. A stream
/// that was taken more than 0.7 s after SIGTERM and still runs at SIGKILL is lost, so it is less than that.
const MAX_NOTICE_PERIOD: Duration = Duration::from_millis(650);
/// New connections keep arriving for so long at least; who finds the listeners closed comes by another way.
const MIN_NOTICE_PERIOD: Duration = Duration::from_millis(400);

/// The times of a planned end, from SIGTERM on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// Until then everything is served as before; then the listeners close, and each connection ends once it
    /// has no request.
    pub close_listeners_after: Duration,
    /// What has not begun to stream gets its final answer.
    pub answer_all_after: Duration,
    /// Streams are cut, and the program ends.
    pub exit_after: Duration,
}

impl ShutdownSchedule {
    /// As the settings' deadlines allow.
    pub fn new(settings: &Settings) -> Self {
        let kill_time = Duration::from_micros(settings.longest_deadline()).min(MAX_DEADLINE) + KILL_DELAY;
        let exit_after = kill_time - KILL_MARGIN;
        let answer_all_after = exit_after.saturating_sub(FINAL_ANSWERS_TIME);
        // With half of the time left, those that were taken last can still be served.
        let close_listeners_after =
            MAX_NOTICE_PERIOD.min((answer_all_after / 2).max(MIN_NOTICE_PERIOD)).min(answer_all_after);
        ShutdownSchedule { close_listeners_after, answer_all_after, exit_after }
    }
}
