//! The handle by which fronts and operators use a running conductor.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use frosttrail::{Id, Micros, OpenWork, Settings, Snapshot};
use serde::{Deserialize, Serialize};
use slog::Logger;
use tokio::sync::{oneshot, watch};
use tokio_util::sync::CancellationToken;

use crate::clock::Clock;
use crate::command::{CallId, Command};
use crate::command_queue::CommandSender;
use crate::exclusion::{ExclusionError, Exclusions};
use crate::id_claim::{IdRegistry, SharedIdClaims};
use crate::metrics::Metrics;
use crate::permit::AdmittingServers;
use crate::release::{lock, UpstreamReleaser};
use crate::request::CallError;
use crate::traits::Upstream;

/// An attempt waits for the request's previous release for the KV cache release timeout divided by this.
const RELEASE_WAIT_DIVISOR: u32 = 2;

/// What a conductor has learned, for the process that replaces it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InheritedState {
    /// The decisions' part.
    pub(crate) decisions: Snapshot,
    /// Instances that operators have included again, and how many microseconds before the export.
    pub(crate) included: Vec<(Id, Micros)>,
}

/// What [`start`](crate::start) needs.
pub struct ConductorParts<U, M> {
    /// The initial settings.
    pub settings: Settings,
    /// The seed for random numbers, new with each start.
    pub seed: u64,
    /// The clock, which is also used to convert the start times of members.
    pub clock: Clock,
    /// Reaches the servers.
    pub upstream: Arc<U>,
    /// The list of members.
    pub members: M,
    /// Instances that operators excluded before the start.
    pub excluded: Vec<Id>,
    /// The conductor's metrics.
    pub metrics: Metrics,
    /// What the previous process has learned, and how long ago it exported that.
    pub inherited: Option<(InheritedState, Duration)>,
    /// Claims the ids of open requests among the processes of the conductor, where there may be several.
    pub shared_id_claims: Option<Arc<dyn SharedIdClaims>>,
    /// The logger.
    pub log: Logger,
}

/// A handle to a running conductor; clones are cheap and refer to the same one.
pub struct Conductor<U> {
    pub(crate) commands: CommandSender,
    pub(crate) upstream: Arc<U>,
    pub(crate) clock: Clock,
    /// The settings in force.
    pub(crate) settings: Arc<watch::Sender<Arc<Settings>>>,
    pub(crate) next_call_id: Arc<AtomicU64>,
    pub(crate) ids: IdRegistry,
    pub(crate) has_members: watch::Receiver<bool>,
    pub(crate) releaser: Arc<UpstreamReleaser<U>>,
    pub(crate) exclusions: Arc<Mutex<Exclusions>>,
    pub(crate) admitting_servers: AdmittingServers,
    /// Cancelled once every request whose client has received nothing must get its final answer.
    pub(crate) final_answers_due: CancellationToken,
    pub(crate) metrics: Metrics,
    pub(crate) log: Logger,
}

impl<U> Clone for Conductor<U> {
    fn clone(&self) -> Self {
        Conductor {
            commands: self.commands.clone(),
            upstream: self.upstream.clone(),
            clock: self.clock,
            settings: self.settings.clone(),
            next_call_id: self.next_call_id.clone(),
            ids: self.ids.clone(),
            has_members: self.has_members.clone(),
            releaser: self.releaser.clone(),
            exclusions: self.exclusions.clone(),
            admitting_servers: self.admitting_servers.clone(),
            final_answers_due: self.final_answers_due.clone(),
            metrics: self.metrics.clone(),
            log: self.log.clone(),
        }
    }
}

impl<U: Upstream> Conductor<U> {
    pub(crate) fn allocate_call_id(&self) -> CallId {
        self.next_call_id.fetch_add(1, Ordering::Relaxed)
    }

    /// How many requests have been registered since the start.
    pub fn call_count(&self) -> u64 {
        self.next_call_id.load(Ordering::Relaxed)
    }

    /// Whether a front may refuse a request by itself, which promises that a retry is harmless. An error says
    /// that a request with this id is open or may have taken effect.
    pub fn check_refusable(&self, id: &Id) -> Result<(), CallError> {
        self.ids.check(id).inspect_err(|why| self.metrics.count_id_conflict(*why))
    }

    /// Counts a request of this class that a front has refused by itself.
    pub fn count_refused(&self, class: &str) {
        self.metrics.open_request(class).mark_deferred();
    }

    /// Whether any member is listed.
    pub fn is_ready(&self) -> bool {
        *self.has_members.borrow()
    }

    /// Has the decisions answer every request whose stream has not begun at a server, as the conductor is
    /// about to stop. To the decisions, the others are answered.
    pub fn close(&self) {
        self.commands.send(Command::Close);
    }

    /// Demands the final answer of every request whose client has received nothing, as the process exits
    /// soon. Follows [`Conductor::close`].
    pub fn demand_final_answers(&self) {
        self.final_answers_due.cancel();
    }

    /// Resolves once [`Conductor::demand_final_answers`] has been called. A front that collects an answer
    /// before it sends anything must fail the request then.
    pub async fn final_answers_due(&self) {
        self.final_answers_due.cancelled().await
    }

    /// Sets this conductor's share, out of 1, of the quota of all conductors that send to the same servers.
    /// Until it is set, the share is one divided by the number of conductors in the settings; after that, new
    /// settings do not change it.
    pub fn set_quota_share(&self, share: f64) {
        self.commands.send(Command::SetQuotaShare(share));
    }

    /// The settings in force, for new requests.
    pub fn settings(&self) -> Arc<Settings> {
        self.settings.borrow().clone()
    }

    /// Puts new settings in force. Open requests keep the classes that they came with.
    pub fn reconfigure(&self, settings: Settings) {
        let settings = Arc::new(settings);
        // The decisions get them first: a task that reads the new settings may make a request at once.
        self.commands.send(Command::Reconfigure(settings.clone()));
        self.settings.send_replace(settings);
    }

    /// How long an attempt waits for the request's previous release.
    pub(crate) fn release_wait(&self) -> Duration {
        Duration::from_micros(self.settings.borrow().cache_release_timeout) / RELEASE_WAIT_DIVISOR
    }

    /// Returns an error for an id that is neither listed nor excluded.
    pub fn check_known(&self, instance: &Id) -> Result<(), ExclusionError> {
        lock(&self.exclusions).check_known(instance)
    }

    /// Excludes an instance until [`Conductor::include`], whatever the list says of it meanwhile.
    pub fn exclude(&self, instance: &Id) -> Result<(), ExclusionError> {
        lock(&self.exclusions).exclude(instance)?;
        // In force before this returns, also for attempts that are decided but not yet sent.
        self.admitting_servers.remove(instance);
        self.commands.send(Command::ExclusionChanged(instance.clone()));
        Ok(())
    }

    /// Includes an excluded instance again. It counts as started now; one that is not excluded stays as it
    /// is.
    pub fn include(&self, instance: &Id) -> Result<(), ExclusionError> {
        lock(&self.exclusions).include(self.clock.now(), instance)?;
        self.commands.send(Command::ExclusionChanged(instance.clone()));
        Ok(())
    }

    /// What the conductor has learned so far; `None` once it has ended.
    pub async fn export_state(&self) -> Option<InheritedState> {
        let (reply, snapshot) = oneshot::channel();
        self.commands.send(Command::ExportSnapshot(reply));
        let decisions = snapshot.await.ok()?;
        let included = lock(&self.exclusions).inclusion_ages(self.clock.now());
        Some(InheritedState { decisions, included })
    }

    /// The work that is open at instances; `None` once the conductor has ended.
    pub async fn open_work(&self) -> Option<OpenWork> {
        let (reply, work) = oneshot::channel();
        self.commands.send(Command::ExportOpenWork(reply));
        work.await.ok()
    }

    /// Counts what other processes of the same conductor have open at instances as this one's own.
    pub fn set_foreign_work(&self, work: OpenWork) {
        self.commands.send(Command::SetForeignWork(work));
    }

    /// Replaces the set of excluded instances by the one that another process of the same conductor has.
    pub fn replace_excluded(&self, excluded: BTreeSet<Id>) {
        let changed = lock(&self.exclusions).replace_excluded(self.clock.now(), excluded);
        for instance in changed {
            self.commands.send(Command::ExclusionChanged(instance));
        }
    }

    /// Resolves once every requested release has been accepted or given up. All requests must have ended
    /// before.
    pub async fn wait_for_releases(&self) {
        // The last reports of requests are ahead of this in the queue.
        let (barrier, reached) = oneshot::channel();
        self.commands.send(Command::Barrier(barrier));
        let _ = reached.await;
        let tasks = self.releaser.tasks();
        tasks.close();
        tasks.wait().await;
        tasks.reopen();
    }
}
