//! The messages that handles and requests send to the dispatcher, and that the dispatcher sends to requests.

use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};

use frosttrail::{
    Decision, Id, ListUpdateKind, LoadReport, Micros, OpenWork, Outcome, Query, Report, ServerEntry,
    Settings, Snapshot,
};
use tokio::sync::{mpsc, oneshot};

use crate::permit::SendPermit;
use crate::release::ReleaseState;

/// Distinguishes calls, even two with the same request id: the second is rejected, and its reports must not
/// affect the first.
pub(crate) type CallId = u64;

/// A decision as it is delivered to its request.
#[derive(Debug)]
pub(crate) struct Instruction {
    pub(crate) decision: Decision,
    /// Resolves once the request's previous release has ended.
    pub(crate) previous_release: Option<oneshot::Receiver<()>>,
    /// The permit of the attempt, if the decision is to send one.
    pub(crate) permit: SendPermit,
    /// Whether the attempt, if there is one, may take effect, which a prefill alone does not.
    pub(crate) may_take_effect: bool,
}

/// A request that waits for its first decision.
#[derive(Debug)]
pub(crate) struct NewRequest {
    pub(crate) query: Query,
    pub(crate) call_id: CallId,
    pub(crate) arrived_at: Micros,
    /// When the client stops waiting.
    pub(crate) deadline: Micros,
    /// Where the request's instructions go; dropped if its id is in use.
    pub(crate) instructions: mpsc::UnboundedSender<Instruction>,
    /// Set once the request has ended.
    pub(crate) has_ended: Arc<AtomicBool>,
    /// The KV cache that servers may hold for it, and its release.
    pub(crate) release_state: Arc<Mutex<ReleaseState>>,
}

/// A message to the dispatcher.
#[derive(Debug)]
pub(crate) enum Command {
    /// A request has come.
    Submit(Box<NewRequest>),
    /// The progress or end of a request's attempt, or the end of the request.
    Report(Id, CallId, Report),
    /// An update of the list of servers, with exclusions applied. The parts that must not wait for the
    /// decisions have applied it already.
    UpdateServers(ListUpdateKind, Vec<ServerEntry>),
    ProbeEnded(Id, Outcome, Option<LoadReport>),
    /// The conductor is about to stop.
    Close,
    /// This conductor's share of the quota that all conductors have in common.
    SetQuotaShare(f64),
    Reconfigure(Arc<Settings>),
    ExportSnapshot(oneshot::Sender<Snapshot>),
    ExportOpenWork(oneshot::Sender<OpenWork>),
    SetForeignWork(OpenWork),
    /// An instance was excluded or included.
    ExclusionChanged(Id),
    /// Answered once all earlier commands have been handled.
    Barrier(oneshot::Sender<()>),
}
