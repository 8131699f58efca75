//! The graceful shutdown of `frosttrail serve`: what happens between SIGTERM and the exit of the process.

use frosttrail_core::Conductor;
use frosttrail_daemon::front::ClientListeners;
use frosttrail_daemon::listener_handover::ListenerHandover;
use frosttrail_daemon::shutdown::ShutdownSchedule;
use frosttrail_daemon::upstream::HttpUpstream;
use slog::{info, Logger};
use tokio::time::{sleep, sleep_until, Instant};

/// What a graceful shutdown ends.
pub struct GracefulShutdown {
    pub schedule: ShutdownSchedule,
    pub conductor: Conductor<HttpUpstream>,
    pub client_listeners: ClientListeners,
    /// The offer of the listeners to the next process, if there is one.
    pub handover: Option<ListenerHandover>,
}

impl GracefulShutdown {
    /// Runs the steps of the schedule. Resolves once all requests and releases have ended, or when the
    /// process has to exit; only streams that have begun at their clients may be cut off then.
    pub async fn run(self, log: &Logger) {
        let GracefulShutdown { schedule, conductor, client_listeners, handover } = self;
        let started_at = Instant::now();
        let last_answers = give_last_answers(schedule, started_at, &conductor);
        tokio::select! {
            () = drain(schedule, started_at, &conductor, &client_listeners, handover) => {}
            () = last_answers => {
                info!(log, "shutdown timed out"; "connections" => client_listeners.connection_count(),
                    "unanswered" => client_listeners.unanswered_count());
            }
        }
    }
}

/// Closes the listeners; resolves once every request has been answered and every KV cache released.
async fn drain(
    schedule: ShutdownSchedule,
    started_at: Instant,
    conductor: &Conductor<HttpUpstream>,
    client_listeners: &ClientListeners,
    handover: Option<ListenerHandover>,
) {
    sleep_until(started_at + schedule.close_listeners_after).await;
    if let Some(handover) = handover {
        handover.close().await;
    }
    client_listeners.close().await;
    conductor.wait_for_releases().await;
}

/// Has the remaining requests answered, first by the decisions, then whatever they have left unanswered.
/// Resolves when the process has to exit.
async fn give_last_answers(
    schedule: ShutdownSchedule,
    started_at: Instant,
    conductor: &Conductor<HttpUpstream>,
) {
    sleep_until(started_at + schedule.answer_all_after).await;
    conductor.close();
    sleep_until(started_at + schedule.demand_answers_after).await;
    conductor.demand_final_answers();
    // Counted from the demand: if the process stalled before it, the answers still get their time to be sent.
    sleep(schedule.exit_after - schedule.demand_answers_after).await;
}
