//! A request's entry at the dispatcher, and what is done for it however it ends.

use std::collections::HashSet;
use std::future::Future;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use frosttrail::{Id, LoadReport, Outcome, Report};
use tokio::sync::mpsc;
use tokio::time::sleep_until;

use crate::cache_clock::CacheClock;
use crate::command::{Command, Order, Ticket};
use crate::command_queue::CommandSender;
use crate::metrics::Account;
use crate::release::{lock, Cleanup, Releaser};

/// The ids of open requests.
pub(crate) type OpenIds = Arc<Mutex<HashSet<Id>>>;

/// The only use of an id, for as long as its request is open.
#[derive(Debug)]
pub(crate) struct IdClaim {
    ids: OpenIds,
    id: Id,
}

impl IdClaim {
    /// `None` where a request with this id is open.
    pub(crate) fn new(ids: &OpenIds, id: &Id) -> Option<Self> {
        lock(ids).insert(id.clone()).then(|| IdClaim { ids: ids.clone(), id: id.clone() })
    }
}

impl Drop for IdClaim {
    fn drop(&mut self) {
        lock(&self.ids).remove(&self.id);
    }
}

/// A request's entry at the dispatcher. Whatever way the request ends, dropping it is the last word on it: an
/// attempt that is still out is called off and what is held is let go.
pub(crate) struct Entry {
    pub(crate) id: Id,
    pub(crate) ticket: Ticket,
    pub(crate) orders: mpsc::UnboundedReceiver<Order>,
    pub(crate) commands: CommandSender,
    pub(crate) account: Account,
    /// Set with the end, for what has been decided meanwhile.
    pub(crate) ended: Arc<AtomicBool>,
    pub(crate) cleanup: Arc<Mutex<Cleanup>>,
    pub(crate) releaser: Arc<dyn Releaser>,
    pub(crate) cache: CacheClock,
    pub(crate) attempt_is_out: bool,
    /// Its answer has begun: nothing is held any more.
    pub(crate) streams: bool,
    pub(crate) _claim: IdClaim,
}

impl std::fmt::Debug for Entry {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Entry").field("id", &self.id).field("ticket", &self.ticket).finish_non_exhaustive()
    }
}

impl Entry {
    pub(crate) fn report(&self, report: Report) {
        self.commands.send(Command::Report(self.id.clone(), self.ticket, report));
    }

    pub(crate) fn ended(&self, outcome: Outcome, cached_tokens: u64, load: Option<LoadReport>) {
        self.report(Report::Ended { outcome, cached_tokens, load });
    }

    /// The attempt that was out has been ended from here, and its end has arrived.
    pub(crate) fn attempt_was_cut(&mut self) {
        self.attempt_is_out = false;
        lock(&self.cleanup).left_something();
    }

    /// Lets go of what is held, where the decisions have not done so in time.
    pub(crate) fn release(&mut self, beside: bool) {
        let under_way = lock(&self.cleanup).is_under_way();
        if !under_way {
            self.releaser.release(&self.id, &self.cleanup);
        }
        self.cache.released(beside);
    }

    /// Resolves once what is held has to be let go.
    pub(crate) fn release_due(&self, within: Duration) -> impl Future<Output = ()> + 'static {
        let due = self.cache.due(within);
        async move {
            match due {
                Some(at) => sleep_until(at).await,
                None => std::future::pending().await,
            }
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        let mut cleanup = lock(&self.cleanup);
        if self.attempt_is_out {
            cleanup.left_something();
        }
        let was_sent = cleanup.was_sent();
        drop(cleanup);
        if was_sent && !self.streams {
            self.releaser.release_at_end(&self.id, &self.cleanup, self.attempt_is_out);
        }
        self.report(Report::Closed);
    }
}
