//! Letting go of what servers hold for a request. Begun by the decisions, or by the request itself where they
//! are late: both share one account of it, so that one release is out for a request at a time.

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
use crate::reachability::Reachability;
use crate::traits::Upstream;

/// One server has this long to take the call.
const CALL_TIMEOUT: Duration = Duration::from_millis(200);
/// So many servers are asked at once at most.
const MAX_PARALLEL_CALLS: usize = 4;
/// After one that said no.
const RETRY_PAUSE: Duration = Duration::from_millis(5);
/// How long a release is tried beyond the settings' time: a server that was cut off still holds the state.
const EXTRA_RELEASE_TIME: Duration = Duration::from_secs(4);
/// Share of the settings' time after which the next server is asked beside one that has not answered.
const NEXT_SERVER_DELAY_DIVISOR: u32 = 10;

/// What servers may hold for one request, and what is done about it.
#[derive(Debug, Default)]
pub(crate) struct ReleaseState {
    /// Servers to which it went, latest first.
    sent_to: Vec<Id>,
    /// A release has been begun that lets go of all that its attempts have left.
    is_covered: bool,
    /// The release that is under way, if one is, and what waits for its end.
    running_release: Option<(AbortHandle, Option<oneshot::Receiver<()>>)>,
}

impl ReleaseState {
    /// An attempt is about to go out.
    pub(crate) fn record_send(&mut self, server: &Id) {
        self.sent_to.insert(0, server.clone());
        self.is_covered = false;
    }

    /// An attempt has ended, and may have left something: a release beside it does not cover that.
    pub(crate) fn mark_uncovered(&mut self) {
        self.is_covered = false;
    }

    /// A release that is late would take the KV cache of the attempt that has just ended well. What it was
    /// for goes with the first event, or with the release that follows.
    pub(crate) fn abort_release(&mut self) {
        self.is_covered = false;
        if let Some((release, _)) = self.running_release.take() {
            release.abort();
        }
    }

    /// Resolves once the release that is under way has ended. One waiter can have it.
    pub(crate) fn take_release_end(&mut self) -> Option<oneshot::Receiver<()>> {
        self.running_release.as_mut().and_then(|release| release.1.take())
    }

    /// Whether a release is being tried: it lets go of all that is held when a server takes it.
    pub(crate) fn is_release_running(&self) -> bool {
        self.running_release.as_ref().is_some_and(|(task, _)| !task.is_finished())
    }

    /// Whether it has had an attempt.
    pub(crate) fn has_been_sent(&self) -> bool {
        !self.sent_to.is_empty()
    }
}

/// Whole between any two statements, so that a panic elsewhere does no harm to it.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Begins releases.
pub(crate) trait Releaser: Send + Sync {
    /// Lets go of whatever servers hold for a request, unless that has begun already.
    fn release(&self, request: &Id, release_state: &Mutex<ReleaseState>);

    /// The same for a request that has ended: what is under way goes on beside it, as no attempt follows from
    /// which it could take anything. Where its last attempt was cut while it was out, the call waits for that
    /// attempt's end to arrive: what a prefill leaves a moment later would be held for ever.
    fn release_at_end(&self, request: &Id, release_state: &Mutex<ReleaseState>, was_cut: bool);

    /// What an attempt told of its server.
    fn record_outcome(&self, server: &Id, outcome: Outcome, now: Micros);
}

/// Begins releases over a way to the servers.
pub(crate) struct UpstreamReleaser<U> {
    upstream: Arc<U>,
    reachability: Arc<Mutex<Reachability>>,
    clock: Clock,
    /// The settings' time for what is held.
    release_timeout: Mutex<Duration>,
    tasks: TaskTracker,
    /// A request may be dropped outside of the runtime.
    runtime: Handle,
    log: Logger,
}

impl<U: Upstream> UpstreamReleaser<U> {
    /// For the current runtime.
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

    /// What has been told of releases: all of them have ended once it is closed and waited for.
    pub(crate) fn tasks(&self) -> &TaskTracker {
        &self.tasks
    }

    /// New settings.
    pub(crate) fn set_release_timeout(&self, release_timeout: Duration) {
        *lock(&self.release_timeout) = release_timeout;
    }

    /// News of the list of servers; gives how many are listed.
    pub(crate) fn apply_update(&self, kind: ListUpdateKind, entries: &[ServerEntry]) -> usize {
        let mut reachability = lock(&self.reachability);
        reachability.apply_update(kind, entries);
        reachability.listed_count()
    }

    /// How many servers are listed.
    pub(crate) fn listed_count(&self) -> usize {
        lock(&self.reachability).listed_count()
    }
}

impl<U: Upstream> UpstreamReleaser<U> {
    /// Begins one, unless one has been that covers all that is held.
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
                Some(by) => debug!(log, "released"; "id" => %id, "by" => %by, "after" => ?begin.elapsed()),
                None => info!(log, "a release reached no server"; "id" => %id),
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

    fn release_at_end(&self, request: &Id, release_state: &Mutex<ReleaseState>, was_cut: bool) {
        let mut release_state = lock(release_state);
        let last_server = release_state.sent_to.first().filter(|_| was_cut);
        let delay = last_server.map_or(Duration::ZERO, |server| self.upstream.cancellation_delay(server));
        self.start_release(request, &mut release_state, delay);
    }

    fn record_outcome(&self, server: &Id, outcome: Outcome, now: Micros) {
        lock(&self.reachability).record_outcome(server, outcome, now);
    }
}
/// The calls of a release. What they tell of a server is of use to the next ones.
struct ReleaseCalls<U> {
    upstream: Arc<U>,
    reachability: Arc<Mutex<Reachability>>,
    clock: Clock,
}

impl<U: Upstream> ReleaseCalls<U> {
    /// One call; true once the server has taken it.
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

/// Calls servers until one has taken the release, or `within` has passed; gives that one. Any server can
/// let go of all that is held for a request, wherever it is. One that has not answered within `pace` keeps
/// its time, and the next is asked beside it: a zone that is silent must not use up the time of the rule.
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
