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
const EACH: Duration = Duration::from_millis(200);
/// So many servers are asked at once at most.
const AT_ONCE: usize = 4;
/// After one that said no.
const PAUSE: Duration = Duration::from_millis(5);
/// How long a release is tried beyond the settings' time: a server that was cut off still holds the state.
const MORE: Duration = Duration::from_secs(4);
/// Share of the settings' time after which the next server is asked beside one that has not answered.
const PACE: u32 = 10;

/// What servers may hold for one request, and what is done about it.
#[derive(Debug, Default)]
pub(crate) struct Cleanup {
    /// Servers to which it went, latest first.
    sent_to: Vec<Id>,
    /// A release has been begun that lets go of all that its attempts have left.
    covered: bool,
    /// The release that is under way, if one is, and what waits for its end.
    release: Option<(AbortHandle, Option<oneshot::Receiver<()>>)>,
}

impl Cleanup {
    /// An attempt is about to go out.
    pub(crate) fn sent(&mut self, server: &Id) {
        self.sent_to.insert(0, server.clone());
        self.covered = false;
    }

    /// An attempt has ended, and may have left something: a release beside it does not cover that.
    pub(crate) fn left_something(&mut self) {
        self.covered = false;
    }

    /// A release that is late would take the KV cache of the attempt that has just ended well. What it was
    /// for goes with the first event, or with the release that follows.
    pub(crate) fn call_off(&mut self) {
        self.covered = false;
        if let Some((release, _)) = self.release.take() {
            release.abort();
        }
    }

    /// Resolves once the release that is under way has ended. One waiter can have it.
    pub(crate) fn end(&mut self) -> Option<oneshot::Receiver<()>> {
        self.release.as_mut().and_then(|release| release.1.take())
    }

    /// Whether a release is being tried: it lets go of all that is held when a server takes it.
    pub(crate) fn is_under_way(&self) -> bool {
        self.release.as_ref().is_some_and(|(task, _)| !task.is_finished())
    }

    /// Whether it has had an attempt.
    pub(crate) fn was_sent(&self) -> bool {
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
    fn release(&self, request: &Id, cleanup: &Mutex<Cleanup>);

    /// The same for a request that has ended: what is under way goes on beside it, as no attempt follows from
    /// which it could take anything. Where its last attempt was cut while it was out, the call waits for that
    /// attempt's end to arrive: what a prefill leaves a moment later would be held for ever.
    fn release_at_end(&self, request: &Id, cleanup: &Mutex<Cleanup>, cut: bool);

    /// What an attempt told of its server.
    fn told(&self, server: &Id, outcome: Outcome, now: Micros);
}

/// Begins releases over a way to the servers.
pub(crate) struct Releases<B> {
    upstream: Arc<B>,
    reachability: Arc<Mutex<Reachability>>,
    clock: Clock,
    /// The settings' time for what is held.
    within: Mutex<Duration>,
    tasks: TaskTracker,
    /// A request may be dropped outside of the runtime.
    runtime: Handle,
    log: Logger,
}

impl<B: Upstream> Releases<B> {
    /// For the current runtime.
    pub(crate) fn new(upstream: Arc<B>, within: Duration, clock: Clock, log: Logger) -> Self {
        let (reachability, within, tasks) = (Arc::default(), Mutex::new(within), TaskTracker::new());
        Releases { upstream, reachability, clock, within, tasks, runtime: Handle::current(), log }
    }

    /// What has been told of releases: all of them have ended once it is closed and waited for.
    pub(crate) fn tasks(&self) -> &TaskTracker {
        &self.tasks
    }

    /// New settings.
    pub(crate) fn set_within(&self, within: Duration) {
        *lock(&self.within) = within;
    }

    /// News of the list of servers; gives how many are listed.
    pub(crate) fn members(&self, form: ListUpdateKind, entries: &[ServerEntry]) -> usize {
        let mut reachability = lock(&self.reachability);
        reachability.members(form, entries);
        reachability.count()
    }

    /// How many servers are listed.
    pub(crate) fn count(&self) -> usize {
        lock(&self.reachability).count()
    }
}

impl<B: Upstream> Releases<B> {
    /// Begins one, unless one has been that covers all that is held.
    fn begin(&self, request: &Id, cleanup: &mut Cleanup, after: Duration) {
        if cleanup.covered {
            return;
        }
        let order = lock(&self.reachability).order(&cleanup.sent_to);
        let (log, time) = (self.log.clone(), *lock(&self.within));
        let calls = Calls {
            upstream: self.upstream.clone(),
            reachability: self.reachability.clone(),
            clock: self.clock,
        };
        let (ended, end) = oneshot::channel();
        let id = request.clone();
        let task = async move {
            let _ended: oneshot::Sender<()> = ended;
            sleep(after).await;
            let begin = Instant::now();
            match release(calls, id.clone(), order, time / PACE, time + MORE).await {
                Some(by) => debug!(log, "released"; "id" => %id, "by" => %by, "after" => ?begin.elapsed()),
                None => info!(log, "a release reached no server"; "id" => %id),
            }
        };
        let task = self.tasks.spawn_on(task, &self.runtime);
        cleanup.release = Some((task.abort_handle(), Some(end)));
        cleanup.covered = true;
    }
}

impl<B: Upstream> Releaser for Releases<B> {
    fn release(&self, request: &Id, cleanup: &Mutex<Cleanup>) {
        let mut cleanup = lock(cleanup);
        if !cleanup.covered {
            cleanup.call_off();
        }
        self.begin(request, &mut cleanup, Duration::ZERO);
    }

    fn release_at_end(&self, request: &Id, cleanup: &Mutex<Cleanup>, cut: bool) {
        let mut cleanup = lock(cleanup);
        let last = cleanup.sent_to.first().filter(|_| cut);
        let after = last.map_or(Duration::ZERO, |server| self.upstream.cancellation_delay(server));
        self.begin(request, &mut cleanup, after);
    }

    fn told(&self, server: &Id, outcome: Outcome, now: Micros) {
        lock(&self.reachability).told(server, outcome, now);
    }
}
/// The calls of a release. What they tell of a server is of use to the next ones.
struct Calls<B> {
    upstream: Arc<B>,
    reachability: Arc<Mutex<Reachability>>,
    clock: Clock,
}

impl<B: Upstream> Calls<B> {
    /// One call; true once the server has taken it.
    fn call(&self, server: &Id, request: &Id) -> impl Future<Output = bool> + Send + 'static {
        let (upstream, reachability, clock) = (self.upstream.clone(), self.reachability.clone(), self.clock);
        let (server, request) = (server.clone(), request.clone());
        async move {
            let answer = timeout(EACH, upstream.release(&server, &request)).await;
            let outcome = match answer {
                Ok(true) => Outcome::Served,
                Ok(false) => Outcome::NoConnection,
                Err(_) => Outcome::NoAnswer,
            };
            lock(&reachability).told(&server, outcome, clock.now());
            outcome == Outcome::Served
        }
    }
}

/// Calls servers until one has taken the release, or `within` has passed; gives that one. Any server can
/// let go of all that is held for a request, wherever it is. One that has not answered within `pace` keeps
/// its time, and the next is asked beside it: a zone that is silent must not use up the time of the rule.
async fn release<B: Upstream>(
    calls_to: Calls<B>,
    id: Id,
    order: Vec<Id>,
    pace: Duration,
    within: Duration,
) -> Option<Id> {
    let end = Instant::now() + within;
    let rounds = async {
        let (mut turn, mut due) = (order.into_iter().cycle(), Instant::now());
        let mut calls = JoinSet::new();
        loop {
            tokio::select! {
                biased;
                Some(taken) = calls.join_next() => match taken {
                    Ok(Some(server)) => return Some(server),
                    _ => due = due.min(Instant::now() + PAUSE),
                },
                () = sleep_until(due), if calls.len() < AT_ONCE => {
                    let server = turn.next()?;
                    let call = calls_to.call(&server, &id);
                    calls.spawn(async move { call.await.then_some(server) });
                    due = Instant::now() + pace;
                }
            }
        }
    };
    timeout_at(end, rounds).await.unwrap_or(None)
}

#[cfg(test)]
#[path = "../tests/unit/release.rs"]
mod tests;
