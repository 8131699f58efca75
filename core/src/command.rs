//! What the dispatcher is told, and what it tells requests.

use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};

use frosttrail::{
    Decision, Id, ListUpdateKind, LoadReport, Micros, OpenWork, Outcome, Query, Report, ServerEntry,
    Settings, Snapshot,
};
use tokio::sync::{mpsc, oneshot};

use crate::permit::SendPermit;
use crate::release::Cleanup;

/// Tells calls apart, also where two name the same id: the second is turned down, and what it says must
/// not touch the first.
pub(crate) type Ticket = u64;

/// A verdict as its request gets it.
#[derive(Debug)]
pub(crate) struct Order {
    pub(crate) verdict: Decision,
    /// Resolves once the release before it has ended.
    pub(crate) after: Option<oneshot::Receiver<()>>,
    /// Leave for the attempt, where it is one.
    pub(crate) permit: SendPermit,
    /// Whether the attempt, where it is one, may take effect: it is more than a prefill.
    pub(crate) takes_effect: bool,
}

/// A request that waits for its first decision.
#[derive(Debug)]
pub(crate) struct NewRequest {
    pub(crate) query: Query,
    pub(crate) ticket: Ticket,
    /// When it came.
    pub(crate) arrived: Micros,
    /// When its client stops waiting.
    pub(crate) deadline: Micros,
    /// Its orders go here; dropped where its id is taken.
    pub(crate) orders: mpsc::UnboundedSender<Order>,
    /// Set once it has ended.
    pub(crate) ended: Arc<AtomicBool>,
    /// What servers may hold for it.
    pub(crate) cleanup: Arc<Mutex<Cleanup>>,
}

/// What the dispatcher is told.
#[derive(Debug)]
pub(crate) enum Command {
    /// A request has come.
    Open(Box<NewRequest>),
    /// Something became of a request.
    Report(Id, Ticket, Report),
    /// News of the list, as exclusions have it. What must not wait for the decisions follows it already.
    Members(ListUpdateKind, Vec<ServerEntry>),
    Probed(Id, Outcome, Option<LoadReport>),
    /// The conductor is about to stop.
    Close,
    /// This conductor's part of what all conductors share.
    Share(f64),
    Settings(Arc<Settings>),
    Snapshot(oneshot::Sender<Snapshot>),
    OpenWork(oneshot::Sender<OpenWork>),
    ForeignWork(OpenWork),
    /// An instance was taken out of use or put back.
    ExclusionChanged(Id),
    /// Dropped once all that was told before has been seen to.
    Seen(oneshot::Sender<()>),
}
