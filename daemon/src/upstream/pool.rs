//! Connections that are kept for the next request, and the bound on all there are.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use frosttrail::Id;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use prometheus::IntCounter;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, timeout, timeout_at, Instant};

use super::idle_age::IdleAges;
use super::link::Link;
use super::{lock, AddressTable};

/// Answers' bodies that are read to their end only to keep the connection.
const TAIL: Duration = Duration::from_millis(500);
/// After a connection that this machine could not even try, for want of descriptors, ports or memory.
const LOCAL_PAUSE: Duration = Duration::from_millis(20);
/// No body on this wire is larger.
pub(super) const BODY_MOST: usize = 256 << 10;

/// Why there is no new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NoLink {
    /// The server refuses it, can't be reached or takes too long.
    Server,
    /// This machine lacks what it takes; the server is not to blame.
    Local,
}

/// Bounds on connections to servers.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections in all.
    pub connections: usize,
    /// One that has not come up within this time never will.
    pub connect_timeout: Duration,
    /// Servers close one that has been idle this long.
    pub conn_idle: Duration,
    /// One that has brought an answer is left alone for this time: what comes right behind the answer
    /// must not be taken for the next one.
    pub settle: Duration,
    /// A kept one that breaks within this time of a request was dead before it: the answer to the request's
    /// first bytes was a reset.
    pub stale_within: Duration,
}

/// Idle connections by server, and permits for all.
pub struct Pool {
    book: Arc<AddressTable>,
    limits: Mutex<Limits>,
    permits: Arc<Semaphore>,
    idle: Mutex<HashMap<Id, Vec<Link>>>,
    idle_ages: Mutex<IdleAges>,
    /// Attempts that were written whole.
    pub(super) sends: IntCounter,
}

impl Pool {
    pub(super) fn new(book: Arc<AddressTable>, limits: Limits, sends: IntCounter) -> Self {
        let permits = Arc::new(Semaphore::new(limits.connections));
        let (limits, idle, idle_ages) = (Mutex::new(limits), Mutex::default(), Mutex::default());
        Pool { book, limits, permits, idle, idle_ages, sends }
    }

    fn limits(&self) -> Limits {
        *lock(&self.limits)
    }

    /// The settings' times, as new settings have them.
    pub(super) fn set_times(&self, connect_timeout: Duration, conn_idle: Duration) {
        let mut limits = lock(&self.limits);
        (limits.connect_timeout, limits.conn_idle) = (connect_timeout, conn_idle);
    }

    /// A connection that was kept, if one is fit for use: open, and far from the age at which the server
    /// may close it, as a request that crosses the close may have run.
    pub(super) async fn kept(&self, server: &Id) -> Option<Link> {
        // Lets what lies in the sockets be heard first: a close of this connection, or the end of the client
        // for whom it is wanted.
        tokio::task::yield_now().await;
        let address = self.book.get(server);
        let mut idle = lock(&self.idle);
        let links = idle.get_mut(server)?;
        // A server that is back elsewhere is not where the connection leads.
        links.retain(|link| !link.is_spent() && self.is_young(server, link) && Some(link.address) == address);
        let settle = self.limits().settle;
        let settled = |link: &Link| link.is_ready() && link.idle_since.elapsed() >= settle;
        let link = links.iter().rposition(settled).map(|at| links.remove(at));
        if links.is_empty() {
            idle.remove(server);
        }
        link
    }

    /// A new connection. What fails for want of something on this machine is tried again, for as long as a
    /// connection may take.
    pub(super) async fn fresh(&self, server: &Id) -> Result<Link, NoLink> {
        let address = self.book.get(server).ok_or(NoLink::Server)?;
        let by = Instant::now() + self.limits().connect_timeout;
        loop {
            let begin = Instant::now();
            let opened = match self.permit() {
                Some(permit) => {
                    timeout_at(by, Link::open(address, permit)).await.map_err(|_| NoLink::Server)?
                }
                None => return Err(NoLink::Local),
            };
            match opened {
                Ok(link) => {
                    self.book.came_up(server, begin.elapsed());
                    return Ok(link);
                }
                Err(e) if !e.is_local() => return Err(NoLink::Server),
                Err(_) if begin + LOCAL_PAUSE >= by => return Err(NoLink::Local),
                Err(_) => sleep(LOCAL_PAUSE).await,
            }
        }
    }

    /// How long a connection's end may be on its way.
    pub(super) fn end_takes(&self, server: &Id) -> Duration {
        self.book.cancellation_delay(server)
    }

    /// A permit for one more connection, if need be in place of the one that has been idle longest.
    fn permit(&self) -> Option<OwnedSemaphorePermit> {
        let permit = || self.permits.clone().try_acquire_owned().ok();
        permit().or_else(|| {
            self.drop_oldest();
            permit()
        })
    }

    fn drop_oldest(&self) {
        let mut idle = lock(&self.idle);
        let oldest = |links: &Vec<Link>| links.first().map(|link| link.idle_since);
        let server = idle.iter().filter_map(|(w, links)| Some((oldest(links)?, w.clone()))).min();
        if let Some((_, server)) = server {
            idle.entry(server).and_modify(|links| drop(links.remove(0)));
        }
    }

    /// Keeps a connection whose answer has come whole, and lets go of those that are past use, also of
    /// servers to which nothing goes any more.
    pub(super) fn keep(&self, server: &Id, link: Link) {
        self.keep_from(server, link, Instant::now());
    }

    /// Keeps a connection on which a small call has been answered: no stream's rest can follow on it, and the
    /// request that the call was for goes out next.
    pub(super) fn keep_settled(&self, server: &Id, link: Link) {
        let now = Instant::now();
        self.keep_from(server, link, now.checked_sub(self.limits().settle).unwrap_or(now));
    }

    fn keep_from(&self, server: &Id, mut link: Link, idle_since: Instant) {
        if link.is_spent() {
            return;
        }
        link.idle_since = idle_since;
        let mut idle = lock(&self.idle);
        idle.retain(|server, links| {
            links.retain(|link| !link.is_spent() && self.is_young(server, link));
            !links.is_empty()
        });
        idle.entry(server.clone()).or_default().push(link);
    }

    /// Whether a kept connection that broke so long after a request went out had been dead before.
    pub(super) fn was_stale(&self, after: Duration) -> bool {
        after < self.limits().stale_within
    }

    /// Far from the age at which the server may close it, and younger than those that were found dead.
    fn is_young(&self, server: &Id, link: &Link) -> bool {
        let limit = lock(&self.idle_ages).limit(server, self.limits().conn_idle / 2, Instant::now());
        link.idle_since.elapsed() < limit
    }

    /// A connection that had been idle for so long broke at its next request: others may be as dead.
    pub(super) fn was_dead(&self, server: &Id, idle: Duration) {
        let most = self.limits().conn_idle / 2;
        lock(&self.idle_ages).was_dead(server, idle, most, Instant::now());
    }

    /// Reads an answer that nobody waits for to its end, to keep the connection.
    pub(super) fn keep_after(self: &Arc<Self>, server: &Id, link: Link, body: Incoming) {
        let (pool, server) = (self.clone(), server.clone());
        tokio::spawn(async move {
            let tail = Limited::new(body, BODY_MOST).collect();
            if matches!(timeout(TAIL, tail).await, Ok(Ok(_))) {
                pool.keep(&server, link);
            }
        });
    }
}
