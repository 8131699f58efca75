//! Divides the time between SIGTERM and SIGKILL. The platform sends SIGKILL no sooner than 0.7 s after the
//! longest deadline of a class, which counts as at most 3 s. The schedule is therefore derived from the
//! settings instead of being constant.

use std::time::Duration;

use frosttrail::Settings;

/// The platform counts longer deadlines as this.
const MAX_DEADLINE: Duration = Duration::from_secs(3);
/// The time between the longest deadline and SIGKILL.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// Margin before SIGKILL for the end of the process itself and for delays on a busy machine.
const KILL_MARGIN: Duration = Duration::from_millis(300);
/// Time to send the final answers and the releases.
const FINAL_ANSWERS_TIME: Duration = Duration::from_millis(500);
/// The last part of it, in which the answers are sent that were given without a decision.
const DEMANDED_ANSWERS_TIME: Duration = Duration::from_millis(100);
/// How long new requests are accepted at most after SIGTERM, while clients and the load balancer notice the
/// shutdown. It is below 0.7 s: a stream that begins later than that and still runs at SIGKILL is lost.
const MAX_NOTICE_PERIOD: Duration = Duration::from_millis(650);
/// The same where streams that run on are not cut off. It leaves time for a process that is held up before it
/// notices SIGTERM or reads the last request.
const MAX_NOTICE_PERIOD_WITHOUT_CUT: Duration = Duration::from_millis(500);
/// New connections keep arriving for at least this long after SIGTERM. Clients that then find the listeners
/// closed reach another instance.
const MIN_NOTICE_PERIOD: Duration = Duration::from_millis(400);

/// When each step of a graceful shutdown happens, counted from SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// The listeners close, and each connection closes once it has no open request. Until then all requests
    /// are served as before.
    pub close_listeners_after: Duration,
    /// The decisions answer every request whose stream has not begun at its server.
    pub answer_all_after: Duration,
    /// Every other request whose client has received nothing gets its final answer.
    pub demand_answers_after: Duration,
    /// The process exits, unless streams still run that must not be cut off.
    pub exit_after: Duration,
    /// Whether streams that still run then are cut off, as their clients resume them elsewhere. Otherwise a
    /// cut loses the answer, so the process exits with the last stream.
    pub cuts_streams: bool,
}

impl ShutdownSchedule {
    /// Computes the schedule from the deadlines in the settings.
    pub fn new(settings: &Settings) -> Self {
        let kill_time = Duration::from_micros(settings.longest_deadline()).min(MAX_DEADLINE) + KILL_DELAY;
        let exit_after = kill_time - KILL_MARGIN;
        let answer_all_after = exit_after.saturating_sub(FINAL_ANSWERS_TIME);
        let demand_answers_after = exit_after - DEMANDED_ANSWERS_TIME;
        let cuts_streams = settings.resume;
        let max_notice_period = if cuts_streams { MAX_NOTICE_PERIOD } else { MAX_NOTICE_PERIOD_WITHOUT_CUT };
        // About half of the time until the final answers is left for the requests that are accepted last.
        let close_listeners_after =
            max_notice_period.min((answer_all_after / 2).max(MIN_NOTICE_PERIOD)).min(answer_all_after);
        ShutdownSchedule {
            close_listeners_after,
            answer_all_after,
            demand_answers_after,
            exit_after,
            cuts_streams,
        }
    }
}
