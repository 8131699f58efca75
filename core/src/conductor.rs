//! The handle by which fronts and operators speak to a running conductor.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use frosttrail::{Id, Micros, OpenWork, Settings, Snapshot};
use serde::{Deserialize, Serialize};
use slog::Logger;
use tokio::sync::{oneshot, watch};

use crate::clock::Clock;
use crate::command::{CallId, Command};
use crate::command_queue::CommandSender;
use crate::entry::OpenIds;
use crate::exclusion::{ExclusionError, Exclusions};
use crate::metrics::Metrics;
use crate::permit::AdmittingServers;
use crate::release::{lock, UpstreamReleaser};
use crate::traits::Upstream;

/// Share of the settings' time for what is held that the request's next attempt waits for a release to end.
const RELEASE_WAIT_DIVISOR: u32 = 2;

/// What a conductor has learned, for the process that takes its place.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InheritedState {
    /// The decisions' part.
    pub(crate) decisions: Snapshot,
    /// Instances that were put back by hand, and how many microseconds before.
    pub(crate) included: Vec<(Id, Micros)>,
}

/// What a conductor is made of.
pub struct ConductorParts<U, M> {
    /// The settings.
    pub settings: Settings,
    /// For random numbers, new with each start.
    pub seed: u64,
    /// The clock, also of whoever converts start times of members.
    pub clock: Clock,
    /// The way to the servers.
    pub upstream: Arc<U>,
    /// The list of members.
    pub members: M,
    /// Instances that operators have taken out of use before.
    pub excluded: Vec<Id>,
    /// What is counted.
    pub metrics: Metrics,
    /// What the process before has learned, and how long ago it said so.
    pub inherited: Option<(InheritedState, Duration)>,
    /// The log.
    pub log: Logger,
}

/// A handle on a running conductor; clones are cheap and speak to the same one.
pub struct Conductor<U> {
    pub(crate) commands: CommandSender,
    pub(crate) upstream: Arc<U>,
    pub(crate) clock: Clock,
    /// The settings in force.
    pub(crate) settings: Arc<watch::Sender<Arc<Settings>>>,
    pub(crate) next_call_id: Arc<AtomicU64>,
    pub(crate) open_ids: OpenIds,
    pub(crate) has_members: watch::Receiver<bool>,
    pub(crate) releaser: Arc<UpstreamReleaser<U>>,
    pub(crate) exclusions: Arc<Mutex<Exclusions>>,
    pub(crate) admitting_servers: AdmittingServers,
    pub(crate) metrics: Metrics,
}

impl<U> Clone for Conductor<U> {
    fn clone(&self) -> Self {
        Conductor {
            commands: self.commands.clone(),
            upstream: self.upstream.clone(),
            clock: self.clock,
            settings: self.settings.clone(),
            next_call_id: self.next_call_id.clone(),
            open_ids: self.open_ids.clone(),
            has_members: self.has_members.clone(),
            releaser: self.releaser.clone(),
            exclusions: self.exclusions.clone(),
            admitting_servers: self.admitting_servers.clone(),
            metrics: self.metrics.clone(),
        }
    }
}

impl<U: Upstream> Conductor<U> {
    pub(crate) fn allocate_call_id(&self) -> CallId {
        self.next_call_id.fetch_add(1, Ordering::Relaxed)
    }

    /// How many requests have come since the start.
    pub fn call_count(&self) -> u64 {
        self.next_call_id.load(Ordering::Relaxed)
    }

    /// A front has refused a request of this class by itself.
    pub fn count_refused(&self, class: &str) {
        self.metrics.open_request(class).mark_deferred();
    }

    /// Whether there is a member to send to.
    pub fn is_ready(&self) -> bool {
        *self.has_members.borrow()
    }

    /// Answers every request that has not begun to stream: the conductor is about to stop.
    pub fn close(&self) {
        self.commands.send(Command::Close);
    }

    /// This conductor's part of what all that send to the same servers share: of 1. Until it is told, that is
    /// one of the number in the settings.
    pub fn set_quota_share(&self, share: f64) {
        self.commands.send(Command::SetQuotaShare(share));
    }

    /// The settings in force, for requests that come now.
    pub fn settings(&self) -> Arc<Settings> {
        self.settings.borrow().clone()
    }

    /// Puts new settings in force. Requests that are open keep the classes with which they came.
    pub fn reconfigure(&self, settings: Settings) {
        let settings = Arc::new(settings);
        // The decisions first: who reads the new settings may ask at once.
        self.commands.send(Command::Reconfigure(settings.clone()));
        self.settings.send_replace(settings);
    }

    /// How long an attempt waits for the release before it.
    pub(crate) fn release_wait(&self) -> Duration {
        Duration::from_micros(self.settings.borrow().cache_release_timeout) / RELEASE_WAIT_DIVISOR
    }

    /// Fails for an id that no instance has, in the list or among those taken out.
    pub fn check_known(&self, instance: &Id) -> Result<(), ExclusionError> {
        lock(&self.exclusions).check_known(instance)
    }

    /// Takes an instance out of use until [`Conductor::include`], whatever the list says of it meanwhile.
    pub fn exclude(&self, instance: &Id) -> Result<(), ExclusionError> {
        lock(&self.exclusions).exclude(instance)?;
        // Holds from the answer on, also for attempts that have been decided and not begun.
        self.admitting_servers.remove(instance);
        self.commands.send(Command::ExclusionChanged(instance.clone()));
        Ok(())
    }

    /// Puts an instance back into use. It counts as started now; one that was not out stays as it is.
    pub fn include(&self, instance: &Id) -> Result<(), ExclusionError> {
        lock(&self.exclusions).include(self.clock.now(), instance)?;
        self.commands.send(Command::ExclusionChanged(instance.clone()));
        Ok(())
    }

    /// What it has learned up to now; `None` once it has ended.
    pub async fn export_state(&self) -> Option<InheritedState> {
        let (reply, snapshot) = oneshot::channel();
        self.commands.send(Command::ExportSnapshot(reply));
        let decisions = snapshot.await.ok()?;
        let included = lock(&self.exclusions).inclusion_ages(self.clock.now());
        Some(InheritedState { decisions, included })
    }

    /// What is open at instances; `None` once it has ended.
    pub async fn open_work(&self) -> Option<OpenWork> {
        let (reply, work) = oneshot::channel();
        self.commands.send(Command::ExportOpenWork(reply));
        work.await.ok()
    }

    /// What other processes of the same conductor have open at instances counts as its own.
    pub fn set_foreign_work(&self, work: OpenWork) {
        self.commands.send(Command::SetForeignWork(work));
    }

    /// Makes these the excluded instances, as another process of the same conductor was told.
    pub fn replace_excluded(&self, excluded: BTreeSet<Id>) {
        let changed = lock(&self.exclusions).replace_excluded(self.clock.now(), excluded);
        for instance in changed {
            self.commands.send(Command::ExclusionChanged(instance));
        }
    }

    /// Resolves once every release that was asked for has arrived or been given up. Requests must have
    /// ended before.
    pub async fn wait_for_releases(&self) {
        // What the last requests reported lies before this in the queue.
        let (barrier, reached) = oneshot::channel();
        self.commands.send(Command::Barrier(barrier));
        let _ = reached.await;
        let tasks = self.releaser.tasks();
        tasks.close();
        tasks.wait().await;
        tasks.reopen();
    }
}
