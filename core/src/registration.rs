//! A request's registration with the dispatcher, and the cleanup when the request ends in any way.

use std::future::Future;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use frosttrail::{Id, LoadReport, Outcome, Report};
use tokio::sync::mpsc;
use tokio::time::sleep_until;

use crate::cache_clock::CacheClock;
use crate::command::{CallId, Command, Instruction};
use crate::command_queue::CommandSender;
use crate::id_claim::IdClaim;
use crate::metrics::RequestMetrics;
use crate::release::{lock, ReleaseState, Releaser};

/// A request's registration with the dispatcher. However the request ends, dropping this reports it closed,
/// which cancels an attempt in flight, and releases its KV cache.
pub(crate) struct Registration {
    pub(crate) id: Id,
    pub(crate) call_id: CallId,
    pub(crate) instructions: mpsc::UnboundedReceiver<Instruction>,
    pub(crate) commands: CommandSender,
    pub(crate) metrics: RequestMetrics,
    /// Set when the request ends, for decisions that were made meanwhile.
    pub(crate) has_ended: Arc<AtomicBool>,
    pub(crate) release_state: Arc<Mutex<ReleaseState>>,
    pub(crate) releaser: Arc<dyn Releaser>,
    pub(crate) cache_clock: CacheClock,
    pub(crate) has_attempt_in_flight: bool,
    /// Its answer has begun, so that no KV cache is held any more.
    pub(crate) is_streaming: bool,
    /// A request with the same id may run later: this one has no effect that must not be repeated.
    pub(crate) may_repeat: bool,
    /// Present until the request ends.
    pub(crate) claim: Option<IdClaim>,
}

impl std::fmt::Debug for Registration {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Registration")
            .field("id", &self.id)
            .field("call_id", &self.call_id)
            .finish_non_exhaustive()
    }
}

impl Registration {
    pub(crate) fn report(&self, report: Report) {
        self.commands.send(Command::Report(self.id.clone(), self.call_id, report));
    }

    pub(crate) fn report_ended(&self, outcome: Outcome, cached_tokens: u64, load: Option<LoadReport>) {
        self.report(Report::Ended { outcome, cached_tokens, load });
    }

    /// The request is refused, which promises that a retry is harmless.
    pub(crate) fn mark_refused(&mut self) {
        self.metrics.mark_deferred();
        self.may_repeat = true;
    }

    /// Gives up the claim of the id, which is remembered if the request may have taken effect.
    pub(crate) fn release_claim(&mut self, was_cancelled: bool) {
        let Some(claim) = self.claim.take() else { return };
        if !self.may_repeat && lock(&self.release_state).has_been_sent() {
            claim.record_used();
        }
        self.releaser.release_claim(claim, &self.release_state, was_cancelled);
    }

    /// The attempt in flight was ended by this side, and its end has reached the server.
    pub(crate) fn record_cancelled_attempt(&mut self) {
        self.has_attempt_in_flight = false;
        lock(&self.release_state).mark_uncovered();
    }

    /// Releases the request's KV cache, where the decisions have not done so in time. Starts no release if
    /// one is running.
    pub(crate) fn release(&mut self, during_attempt: bool) {
        let is_running = lock(&self.release_state).is_release_running();
        if !is_running {
            self.releaser.release(&self.id, &self.release_state);
        }
        self.cache_clock.record_release(during_attempt);
    }

    /// Resolves once the KV cache has to be released.
    pub(crate) fn wait_until_release_due(&self, timeout: Duration) -> impl Future<Output = ()> + 'static {
        let due_at = self.cache_clock.release_due_at(timeout);
        async move {
            match due_at {
                Some(at) => sleep_until(at).await,
                None => std::future::pending().await,
            }
        }
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.has_ended.store(true, Ordering::Relaxed);
        let mut release_state = lock(&self.release_state);
        if self.has_attempt_in_flight {
            release_state.mark_uncovered();
        }
        let has_been_sent = release_state.has_been_sent();
        drop(release_state);
        self.release_claim(self.has_attempt_in_flight || self.is_streaming);
        if has_been_sent && !self.is_streaming {
            self.releaser.release_at_end(&self.id, &self.release_state, self.has_attempt_in_flight);
        }
        self.report(Report::Closed);
    }
}
