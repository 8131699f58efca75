//! Releases the KV cache that servers hold for a request. The decisions start a release, or the request
//! itself if they are late; both share one [`ReleaseState`], so that a request has one release at a time.

use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use frosttrail::{Id, ListUpdateKind, Micros, Outcome, ServerEntry};
use slog::{debug, info, Logger};
use tokio::runtime::Handle;
use tokio::sync::oneshot;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep, sleep_until, timeout, timeout_at, Instant};
use tokio_util::task::TaskTracker;

use crate::clock::Clock;
use crate::id_claim::IdClaim;
use crate::reachability::Reachability;
use crate::traits::Upstream;

/// How long one server has to accept the call.
const CALL_TIMEOUT: Duration = Duration::from_millis(200);
const MAX_PARALLEL_CALLS: usize = 4;
/// Delay before the next call after one was rejected.
const RETRY_PAUSE: Duration = Duration::from_millis(5);
/// A release is tried for this long beyond the KV cache release timeout, as a server that was cut off still
/// holds the cache.
const EXTRA_RELEASE_TIME: Duration = Duration::from_secs(4);
/// If a server has not answered within the release timeout divided by this, the next one is called as well.
const NEXT_SERVER_DELAY_DIVISOR: u32 = 10;

/// The KV cache that servers may hold for one request, and its release.
#[derive(Debug, Default)]
pub(crate) struct ReleaseState {
    /// Servers that the request was sent to, latest first.
    sent_to: Vec<Id>,
    /// A release has been started that covers all that its attempts have left.
    is_covered: bool,
    /// The release that is running, if there is one, and what resolves at its end.
    running_release: Option<(AbortHandle, Option<oneshot::Receiver<()>>)>,
}

impl ReleaseState {
    /// Records that an attempt is about to be sent.
    pub(crate) fn record_send(&mut self, server: &Id) {
        self.sent_to.insert(0, server.clone());
        self.is_covered = false;
    }

    /// An attempt has ended and may have left KV cache, which a release sent during it does not cover.
    pub(crate) fn mark_uncovered(&mut self) {
        self.is_covered = false;
    }

    /// Aborts the running release: if it came late, it would free the KV cache of the attempt that has just
    /// succeeded. What it was to free goes with the first event, or with the next release.
    pub(crate) fn abort_release(&mut self) {
        self.is_covered = false;
        if let Some((release, _)) = self.running_release.take() {
            release.abort();
        }
    }

    /// Resolves once the running release has ended. Only the first caller gets it.
    pub(crate) fn take_release_end(&mut self) -> Option<oneshot::Receiver<()>> {
        self.running_release.as_mut().and_then(|release| release.1.take())
    }

    /// Whether a release is being tried. It frees all that is held once a server accepts it.
    pub(crate) fn is_release_running(&self) -> bool {
        self.running_release.as_ref().is_some_and(|(task, _)| !task.is_finished())
    }

    /// Whether the request has had an attempt.
    pub(crate) fn has_been_sent(&self) -> bool {
        !self.sent_to.is_empty()
    }
}

/// Ignores poisoning: the data is consistent between any two statements, so that a panic elsewhere does no
/// harm.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts releases.
pub(crate) trait Releaser: Send + Sync {
    /// Releases all KV cache that servers hold for a request, unless that has been started already.
    fn release(&self, request: &Id, release_state: &Mutex<ReleaseState>);

    /// The same for a request that has ended. A release that is already running continues, as no later
    /// attempt follows whose KV cache it could free. If the last attempt was cancelled while in flight, the
    /// call waits until that end has reached the server: KV cache that a prefill leaves a moment later
    /// would be held for ever.
    fn release_at_end(&self, request: &Id, release_state: &Mutex<ReleaseState>, was_cancelled: bool);

    /// Gives up the claim of a request's id once the end of an attempt that was cancelled has reached its
    /// server: before that, another request with this id would be a second attempt.
    fn release_claim(&self, claim: IdClaim, release_state: &Mutex<ReleaseState>, was_cancelled: bool);

    /// Records what an attempt showed about its server.
    fn record_outcome(&self, server: &Id, outcome: Outcome, now: Micros);
}

/// Starts releases and sends them through an [`Upstream`].
pub(crate) struct UpstreamReleaser<U> {
    upstream: Arc<U>,
    reachability: Arc<Mutex<Reachability>>,
    clock: Clock,
    /// The KV cache release timeout from the settings.
    release_timeout: Mutex<Duration>,
    tasks: TaskTracker,
    /// A request may be dropped outside of the runtime.
    runtime: Handle,
    log: Logger,
}

impl<U: Upstream> UpstreamReleaser<U> {
    /// Uses the current runtime.
    pub(crate) fn new(upstream: Arc<U>, release_timeout: Duration, clock: Clock, log: Logger) -> Self {
        let (reachability, release_timeout, tasks) =
            (Arc::default(), Mutex::new(release_timeout), TaskTracker::new());
        UpstreamReleaser {
            upstream,
            reachability,
            clock,
            release_timeout,
            tasks,
            runtime: Handle::current(),
            log,
        }
    }

    /// The running releases: all have ended once the tracker has been closed and waited for.
    pub(crate) fn tasks(&self) -> &TaskTracker {
        &self.tasks
    }

    /// Sets the KV cache release timeout, from new settings.
    pub(crate) fn set_release_timeout(&self, release_timeout: Duration) {
        *lock(&self.release_timeout) = release_timeout;
    }

    /// Applies an update of the list of servers, and returns how many are listed.
    pub(crate) fn apply_update(&self, kind: ListUpdateKind, entries: &[ServerEntry]) -> usize {
        let mut reachability = lock(&self.reachability);
        reachability.apply_update(kind, entries);
        reachability.listed_count()
    }

    pub(crate) fn listed_count(&self) -> usize {
        lock(&self.reachability).listed_count()
    }
}

impl<U: Upstream> UpstreamReleaser<U> {
    /// How long the end of the last attempt takes to reach its server, if it was cancelled.
    fn cancellation_delay(&self, release_state: &ReleaseState, was_cancelled: bool) -> Duration {
        let last_server = release_state.sent_to.first().filter(|_| was_cancelled);
        last_server.map_or(Duration::ZERO, |server| self.upstream.cancellation_delay(server))
    }

    /// Starts a release, unless an earlier one covers all that is held.
    fn start_release(&self, request: &Id, release_state: &mut ReleaseState, delay: Duration) {
        if release_state.is_covered {
            return;
        }
        let order = lock(&self.reachability).call_order(&release_state.sent_to);
        let (log, release_timeout) = (self.log.clone(), *lock(&self.release_timeout));
        let calls = ReleaseCalls {
            upstream: self.upstream.clone(),
            reachability: self.reachability.clone(),
            clock: self.clock,
        };
        let (end_sender, end) = oneshot::channel();
        let id = request.clone();
        let task = async move {
            let _end_sender: oneshot::Sender<()> = end_sender;
            sleep(delay).await;
            let begin = Instant::now();
            match release_at_any_server(
                calls,
                id.clone(),
                order,
                release_timeout / NEXT_SERVER_DELAY_DIVISOR,
                release_timeout + EXTRA_RELEASE_TIME,
            )
            .await
            {
                Some(by) => {
                    debug!(log, "KV cache released"; "id" => %id, "by" => %by, "after" => ?begin.elapsed())
                }
                None => info!(log, "no server accepted the release"; "id" => %id),
            }
        };
        let task = self.tasks.spawn_on(task, &self.runtime);
        release_state.running_release = Some((task.abort_handle(), Some(end)));
        release_state.is_covered = true;
    }
}

impl<U: Upstream> Releaser for UpstreamReleaser<U> {
    fn release(&self, request: &Id, release_state: &Mutex<ReleaseState>) {
        let mut release_state = lock(release_state);
        if !release_state.is_covered {
            release_state.abort_release();
        }
        self.start_release(request, &mut release_state, Duration::ZERO);
    }

    fn release_at_end(&self, request: &Id, release_state: &Mutex<ReleaseState>, was_cancelled: bool) {
        let mut release_state = lock(release_state);
        let delay = self.cancellation_delay(&release_state, was_cancelled);
        self.start_release(request, &mut release_state, delay);
    }

    fn release_claim(&self, claim: IdClaim, release_state: &Mutex<ReleaseState>, was_cancelled: bool) {
        let delay = self.cancellation_delay(&lock(release_state), was_cancelled);
        if delay.is_zero() {
            return;
        }
        let release_later = async move {
            sleep(delay).await;
            drop(claim);
        };
        self.tasks.spawn_on(release_later, &self.runtime);
    }

    fn record_outcome(&self, server: &Id, outcome: Outcome, now: Micros) {
        lock(&self.reachability).record_outcome(server, outcome, now);
    }
}

/// The calls of a release. Their results are recorded for later releases.
struct ReleaseCalls<U> {
    upstream: Arc<U>,
    reachability: Arc<Mutex<Reachability>>,
    clock: Clock,
}

impl<U: Upstream> ReleaseCalls<U> {
    /// Calls one server; true once it has accepted the release.
    fn call(&self, server: &Id, request: &Id) -> impl Future<Output = bool> + Send + 'static {
        let (upstream, reachability, clock) = (self.upstream.clone(), self.reachability.clone(), self.clock);
        let (server, request) = (server.clone(), request.clone());
        async move {
            let answer = timeout(CALL_TIMEOUT, upstream.release(&server, &request)).await;
            let outcome = match answer {
                Ok(true) => Outcome::Served,
                Ok(false) => Outcome::NoConnection,
                Err(_) => Outcome::NoAnswer,
            };
            lock(&reachability).record_outcome(&server, outcome, clock.now());
            outcome == Outcome::Served
        }
    }
}

/// Calls servers until one has accepted the release or `time_limit` has passed, and returns that server.
/// Any server can free all that is held for a request, wherever it is. A server that has not answered
/// within `next_server_delay` keeps its time, and the next one is called in parallel: a silent zone must
/// not use up the time in which KV cache has to be released.
async fn release_at_any_server<U: Upstream>(
    release_calls: ReleaseCalls<U>,
    id: Id,
    order: Vec<Id>,
    next_server_delay: Duration,
    time_limit: Duration,
) -> Option<Id> {
    let end = Instant::now() + time_limit;
    let rounds = async {
        let (mut servers, mut next_call_at) = (order.into_iter().cycle(), Instant::now());
        let mut calls = JoinSet::new();
        loop {
            tokio::select! {
                biased;
                Some(joined) = calls.join_next() => match joined {
                    Ok(Some(server)) => return Some(server),
                    _ => next_call_at = next_call_at.min(Instant::now() + RETRY_PAUSE),
                },
                () = sleep_until(next_call_at), if calls.len() < MAX_PARALLEL_CALLS => {
                    let server = servers.next()?;
                    let call = release_calls.call(&server, &id);
                    calls.spawn(async move { call.await.then_some(server) });
                    next_call_at = Instant::now() + next_server_delay;
                }
            }
        }
    };
    timeout_at(end, rounds).await.unwrap_or(None)
}

#[cfg(test)]
#[path = "../tests/unit/release.rs"]
mod tests;
