//! The graceful shutdown of `frosttrail serve`: what happens between SIGTERM and the exit of the process.

use std::time::Duration;

use frosttrail_core::Conductor;
use frosttrail_daemon::front::ClientListeners;
use frosttrail_daemon::listener_handover::ListenerHandover;
use frosttrail_daemon::shutdown::ShutdownSchedule;
use frosttrail_daemon::upstream::HttpUpstream;
use slog::{info, Logger};
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// Time to send the last bytes of streams that ran on, and to release what they have left.
const LAST_STREAM_FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// What a graceful shutdown ends.
pub struct GracefulShutdown {
    /// When SIGTERM was received.
    pub started_at: Instant,
    pub schedule: ShutdownSchedule,
    pub conductor: Conductor<HttpUpstream>,
    pub client_listeners: ClientListeners,
    /// The offer of the listeners to the next process, if there is one.
    pub handover: Option<ListenerHandover>,
}

impl GracefulShutdown {
    /// Runs the steps of the schedule. Resolves once all requests and releases have ended, or when the time
    /// of the schedule is over; only streams that have begun at their clients still run then.
    pub async fn give_final_answers(&mut self, log: &Logger) {
        let handover = self.handover.take();
        tokio::select! {
            () = self.drain(handover) => {}
            () = self.answer_remaining() => {
                info!(log, "shutdown timed out"; "connections" => self.client_listeners.connection_count(),
                    "streams" => self.client_listeners.stream_count(),
                    "unanswered" => self.client_listeners.unanswered_count());
            }
        }
    }

    /// Waits for the streams that still run, unless they may be cut off. Each ends with its server's
    /// stream, or once its server or its client has been silent for too long.
    pub async fn finish_streams(self, log: &Logger) {
        if self.schedule.cuts_streams || self.client_listeners.stream_count() == 0 {
            return;
        }
        self.client_listeners.wait_for_streams().await;
        info!(log, "the last stream has ended"; "after" => ?self.started_at.elapsed());
        let last_bytes_and_releases = async {
            self.client_listeners.close().await;
            self.conductor.wait_for_releases().await;
        };
        let _ = timeout(LAST_STREAM_FLUSH_TIMEOUT, last_bytes_and_releases).await;
    }

    /// Closes the listeners; resolves once every request has been answered and every KV cache released.
    async fn drain(&self, handover: Option<ListenerHandover>) {
        sleep_until(self.started_at + self.schedule.close_listeners_after).await;
        if let Some(handover) = handover {
            handover.close().await;
        }
        self.client_listeners.close().await;
        self.conductor.wait_for_releases().await;
    }

    /// Has the remaining requests answered, first by the decisions, then whatever they have left unanswered.
    /// Resolves when the time of the schedule is over.
    async fn answer_remaining(&self) {
        sleep_until(self.started_at + self.schedule.answer_all_after).await;
        self.conductor.close();
        sleep_until(self.started_at + self.schedule.demand_answers_after).await;
        self.conductor.demand_final_answers();
        // Counted from the demand: if the process stalled before it, the answers still get their time to be
        // sent.
        sleep(self.schedule.exit_after - self.schedule.demand_answers_after).await;
    }
}
