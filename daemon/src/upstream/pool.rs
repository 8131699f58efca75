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

use super::idle_age::IdleAgeLimits;
use super::link::Connection;
use super::{lock, AddressTable};

/// Answers' bodies that are read to their end only to keep the connection.
const BODY_READ_TIMEOUT: Duration = Duration::from_millis(500);
/// After a connection that this machine could not even try, for want of descriptors, ports or memory.
const LOCAL_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// No body on this wire is larger.
pub(super) const MAX_BODY_BYTES: usize = 256 << 10;

/// Why there is no new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectFailure {
    /// The server refuses it, can't be reached or takes too long.
    Server,
    /// This machine lacks what it takes; the server is not to blame.
    Local,
}

/// Bounds on connections to servers.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Connections in all.
    pub max_connections: usize,
    /// One that has not come up within this time never will.
    pub connect_timeout: Duration,
    /// Servers close one that has been idle this long.
    pub server_idle_timeout: Duration,
    /// One that has brought an answer is left alone for this time: what comes right behind the answer
    /// must not be taken for the next one.
    pub settle_time: Duration,
    /// A kept one that breaks within this time of a request was dead before it: the answer to the request's
    /// first bytes was a reset.
    pub stale_reset_window: Duration,
}

/// Idle connections by server, and permits for all.
pub struct ConnectionPool {
    addresses: Arc<AddressTable>,
    limits: Mutex<ConnectionLimits>,
    permits: Arc<Semaphore>,
    idle: Mutex<HashMap<Id, Vec<Connection>>>,
    idle_age_limits: Mutex<IdleAgeLimits>,
    /// Attempts that were written whole.
    pub(super) sends: IntCounter,
}

impl ConnectionPool {
    pub(super) fn new(addresses: Arc<AddressTable>, limits: ConnectionLimits, sends: IntCounter) -> Self {
        let permits = Arc::new(Semaphore::new(limits.max_connections));
        let (limits, idle, idle_age_limits) = (Mutex::new(limits), Mutex::default(), Mutex::default());
        ConnectionPool { addresses, limits, permits, idle, idle_age_limits, sends }
    }

    fn limits(&self) -> ConnectionLimits {
        *lock(&self.limits)
    }

    /// The settings' times, as new settings have them.
    pub(super) fn set_timeouts(&self, connect_timeout: Duration, server_idle_timeout: Duration) {
        let mut limits = lock(&self.limits);
        (limits.connect_timeout, limits.server_idle_timeout) = (connect_timeout, server_idle_timeout);
    }

    /// A connection that was kept, if one is fit for use: open, and far from the age at which the server
    /// may close it, as a request that crosses the close may have run.
    pub(super) async fn take_idle(&self, server: &Id) -> Option<Connection> {
        // Lets what lies in the sockets be heard first: a close of this connection, or the end of the client
        // for whom it is wanted.
        tokio::task::yield_now().await;
        let address = self.addresses.get(server);
        let mut idle = lock(&self.idle);
        let connections = idle.get_mut(server)?;
        // A server that is back elsewhere is not where the connection leads.
        connections.retain(|connection| {
            !connection.is_unusable()
                && self.is_within_idle_limit(server, connection)
                && Some(connection.address) == address
        });
        let settle_time = self.limits().settle_time;
        let is_settled =
            |connection: &Connection| connection.is_ready() && connection.idle_since.elapsed() >= settle_time;
        let connection = connections.iter().rposition(is_settled).map(|index| connections.remove(index));
        if connections.is_empty() {
            idle.remove(server);
        }
        connection
    }

    /// A new connection. What fails for want of something on this machine is tried again, for as long as a
    /// connection may take.
    pub(super) async fn connect(&self, server: &Id) -> Result<Connection, ConnectFailure> {
        let address = self.addresses.get(server).ok_or(ConnectFailure::Server)?;
        let deadline = Instant::now() + self.limits().connect_timeout;
        loop {
            let started_at = Instant::now();
            let result = match self.acquire_permit() {
                Some(permit) => timeout_at(deadline, Connection::open(address, permit))
                    .await
                    .map_err(|_| ConnectFailure::Server)?,
                None => return Err(ConnectFailure::Local),
            };
            match result {
                Ok(connection) => {
                    self.addresses.record_connect_time(server, started_at.elapsed());
                    return Ok(connection);
                }
                Err(e) if !e.is_local() => return Err(ConnectFailure::Server),
                Err(_) if started_at + LOCAL_RETRY_INTERVAL >= deadline => return Err(ConnectFailure::Local),
                Err(_) => sleep(LOCAL_RETRY_INTERVAL).await,
            }
        }
    }

    /// How long a connection's end may be on its way.
    pub(super) fn cancellation_delay(&self, server: &Id) -> Duration {
        self.addresses.cancellation_delay(server)
    }

    /// A permit for one more connection, if need be in place of the one that has been idle longest.
    fn acquire_permit(&self) -> Option<OwnedSemaphorePermit> {
        let try_acquire = || self.permits.clone().try_acquire_owned().ok();
        try_acquire().or_else(|| {
            self.evict_oldest_idle();
            try_acquire()
        })
    }

    fn evict_oldest_idle(&self) {
        let mut idle = lock(&self.idle);
        let oldest_idle_since =
            |connections: &Vec<Connection>| connections.first().map(|connection| connection.idle_since);
        let server = idle
            .iter()
            .filter_map(|(server, connections)| Some((oldest_idle_since(connections)?, server.clone())))
            .min();
        if let Some((_, server)) = server {
            idle.entry(server).and_modify(|connections| drop(connections.remove(0)));
        }
    }

    /// Keeps a connection whose answer has come whole, and lets go of those that are past use, also of
    /// servers to which nothing goes any more.
    pub(super) fn put(&self, server: &Id, connection: Connection) {
        self.put_idle_since(server, connection, Instant::now());
    }

    /// Keeps a connection on which a small call has been answered: no stream's rest can follow on it, and the
    /// request that the call was for goes out next.
    pub(super) fn put_settled(&self, server: &Id, connection: Connection) {
        let now = Instant::now();
        self.put_idle_since(server, connection, now.checked_sub(self.limits().settle_time).unwrap_or(now));
    }

    fn put_idle_since(&self, server: &Id, mut connection: Connection, idle_since: Instant) {
        if connection.is_unusable() {
            return;
        }
        connection.idle_since = idle_since;
        let mut idle = lock(&self.idle);
        idle.retain(|server, connections| {
            connections.retain(|connection| {
                !connection.is_unusable() && self.is_within_idle_limit(server, connection)
            });
            !connections.is_empty()
        });
        idle.entry(server.clone()).or_default().push(connection);
    }

    /// Whether a kept connection that broke so long after a request went out had been dead before.
    pub(super) fn is_stale_reset(&self, elapsed: Duration) -> bool {
        elapsed < self.limits().stale_reset_window
    }

    /// Far from the age at which the server may close it, and younger than those that were found dead.
    fn is_within_idle_limit(&self, server: &Id, connection: &Connection) -> bool {
        let limit =
            lock(&self.idle_age_limits).limit(server, self.limits().server_idle_timeout / 2, Instant::now());
        connection.idle_since.elapsed() < limit
    }

    /// A connection that had been idle for so long broke at its next request: others may be as dead.
    pub(super) fn record_stale(&self, server: &Id, idle: Duration) {
        let max_age = self.limits().server_idle_timeout / 2;
        lock(&self.idle_age_limits).record_stale(server, idle, max_age, Instant::now());
    }

    /// Reads an answer that nobody waits for to its end, to keep the connection.
    pub(super) fn put_after_body(self: &Arc<Self>, server: &Id, connection: Connection, body: Incoming) {
        let (pool, server) = (self.clone(), server.clone());
        tokio::spawn(async move {
            let body = Limited::new(body, MAX_BODY_BYTES).collect();
            if matches!(timeout(BODY_READ_TIMEOUT, body).await, Ok(Ok(_))) {
                pool.put(&server, connection);
            }
        });
    }
}
