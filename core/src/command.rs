//! What the dispatcher is told, and what it tells requests.

use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};

use frosttrail::{
    Decision, Id, ListUpdateKind, LoadReport, Micros, OpenWork, Outcome, Query, Report, ServerEntry,
    Settings, Snapshot,
};
use tokio::sync::{mpsc, oneshot};

use crate::permit::SendPermit;
use crate::release::ReleaseState;

/// Tells calls apart, also where two name the same id: the second is turned down, and what it says must
/// not touch the first.
pub(crate) type CallId = u64;

/// A verdict as its request gets it.
#[derive(Debug)]
pub(crate) struct Instruction {
    pub(crate) decision: Decision,
    /// Resolves once the release before it has ended.
    pub(crate) previous_release: Option<oneshot::Receiver<()>>,
    /// Leave for the attempt, where it is one.
    pub(crate) permit: SendPermit,
    /// Whether the attempt, where it is one, may take effect: it is more than a prefill.
    pub(crate) may_take_effect: bool,
}

/// A request that waits for its first decision.
#[derive(Debug)]
pub(crate) struct NewRequest {
    pub(crate) query: Query,
    pub(crate) call_id: CallId,
    /// When it came.
    pub(crate) arrived_at: Micros,
    /// When its client stops waiting.
    pub(crate) deadline: Micros,
    /// Its orders go here; dropped where its id is taken.
    pub(crate) instructions: mpsc::UnboundedSender<Instruction>,
    /// Set once it has ended.
    pub(crate) has_ended: Arc<AtomicBool>,
    /// What servers may hold for it.
    pub(crate) release_state: Arc<Mutex<ReleaseState>>,
}

/// What the dispatcher is told.
#[derive(Debug)]
pub(crate) enum Command {
    /// A request has come.
    Submit(Box<NewRequest>),
    /// Something became of a request.
    Report(Id, CallId, Report),
    /// News of the list, as exclusions have it. What must not wait for the decisions follows it already.
    UpdateServers(ListUpdateKind, Vec<ServerEntry>),
    ProbeEnded(Id, Outcome, Option<LoadReport>),
    /// The conductor is about to stop.
    Close,
    /// This conductor's part of what all conductors share.
    SetQuotaShare(f64),
    Reconfigure(Arc<Settings>),
    ExportSnapshot(oneshot::Sender<Snapshot>),
    ExportOpenWork(oneshot::Sender<OpenWork>),
    SetForeignWork(OpenWork),
    /// An instance was taken out of use or put back.
    ExclusionChanged(Id),
    /// Dropped once all that was told before has been seen to.
    Barrier(oneshot::Sender<()>),
}
