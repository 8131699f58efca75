//! Keeps idle connections for later requests and limits the number of all connections.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use frosttrail::Id;
use hyper::body::Incoming;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, timeout, timeout_at, Instant};

use super::connection::Connection;
use super::idle_age::IdleAgeLimits;
use super::observer::UpstreamObserver;
use super::response_body::read_to_end;
use super::{lock, AddressTable};
use crate::buffer_budget::BufferBudget;

/// Limits reading a response body to its end only to reuse the connection.
const BODY_READ_TIMEOUT: Duration = Duration::from_millis(500);
/// The wait after a connection that failed for lack of descriptors, ports or memory on this machine.
const LOCAL_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Why there is no new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectFailure {
    /// The server refused it, can't be reached or took too long.
    Server,
    /// This machine lacks a resource; the server is not at fault.
    Local,
}

/// Limits on connections to servers.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// The number of connections in all.
    pub max_connections: usize,
    /// How long a connection may take to open. One that has not opened by then never will.
    pub connect_timeout: Duration,
    /// Servers close a connection that has been idle for this time.
    pub server_idle_timeout: Duration,
    /// A connection is not reused for this time after a response, so that bytes that follow the response are
    /// not taken for the next one.
    pub settle_time: Duration,
    /// A reused connection that breaks within this time of a request was stale: the request's first bytes
    /// were answered by a reset.
    pub stale_reset_window: Duration,
}

/// The idle connections of each server, and the permits for all connections.
pub struct ConnectionPool {
    addresses: Arc<AddressTable>,
    limits: Mutex<ConnectionLimits>,
    permits: Arc<Semaphore>,
    idle: Mutex<HashMap<Id, Vec<Connection>>>,
    idle_age_limits: Mutex<IdleAgeLimits>,
    /// Counts and logs what attempts show.
    pub(super) observer: UpstreamObserver,
    /// The memory for large events.
    pub(super) buffers: BufferBudget,
}

impl ConnectionPool {
    pub(super) fn new(
        addresses: Arc<AddressTable>,
        limits: ConnectionLimits,
        observer: UpstreamObserver,
        buffers: BufferBudget,
    ) -> Self {
        let permits = Arc::new(Semaphore::new(limits.max_connections));
        let (limits, idle, idle_age_limits) = (Mutex::new(limits), Mutex::default(), Mutex::default());
        ConnectionPool { addresses, limits, permits, idle, idle_age_limits, observer, buffers }
    }

    fn limits(&self) -> ConnectionLimits {
        *lock(&self.limits)
    }

    /// Applies the timeouts of new settings.
    pub(super) fn set_timeouts(&self, connect_timeout: Duration, server_idle_timeout: Duration) {
        let mut limits = lock(&self.limits);
        (limits.connect_timeout, limits.server_idle_timeout) = (connect_timeout, server_idle_timeout);
    }

    /// Takes an idle connection, if one is usable: open, and far from the age at which the server may close
    /// it, as a request that is sent while the server closes it may have run.
    pub(super) async fn take_idle(&self, server: &Id) -> Option<Connection> {
        // Lets pending socket events be handled first: a close of this connection, or of that of the client
        // that waits for the response.
        tokio::task::yield_now().await;
        let address = self.addresses.get(server);
        let mut idle = lock(&self.idle);
        let connections = idle.get_mut(server)?;
        // A server may have moved to another address than the one connected to.
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

    /// Opens a new connection. Failures for lack of a resource on this machine are retried within the connect
    /// timeout.
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

    /// How long the end of a connection may take to reach the server.
    pub(super) fn cancellation_delay(&self, server: &Id) -> Duration {
        self.addresses.cancellation_delay(server)
    }

    /// Acquires a permit for one more connection, evicting the one that has been idle longest if necessary.
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

    /// Keeps a connection whose response is complete, and drops the idle ones that are no longer usable, also
    /// those to servers that get no more requests.
    pub(super) fn put(&self, server: &Id, connection: Connection) {
        self.put_idle_since(server, connection, Instant::now());
    }

    /// Keeps a connection after a probe and skips the settle time: no rest of a stream can follow on it, and
    /// the request that the probe was for is sent next.
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

    /// Whether a reused connection that broke this long after a request was sent had been stale before.
    pub(super) fn is_stale_reset(&self, elapsed: Duration) -> bool {
        elapsed < self.limits().stale_reset_window
    }

    /// Whether it is far from the age at which the server may close it, and younger than those found stale.
    fn is_within_idle_limit(&self, server: &Id, connection: &Connection) -> bool {
        let limit =
            lock(&self.idle_age_limits).limit(server, self.limits().server_idle_timeout / 2, Instant::now());
        connection.idle_since.elapsed() < limit
    }

    /// Records that a connection that had been idle for this time was stale, as others may be too.
    pub(super) fn record_stale(&self, server: &Id, idle: Duration) {
        let max_age = self.limits().server_idle_timeout / 2;
        lock(&self.idle_age_limits).record_stale(server, idle, max_age, Instant::now());
    }

    /// Reads the rest of a response that is no longer needed, to keep the connection.
    pub(super) fn put_after_body(self: &Arc<Self>, server: &Id, connection: Connection, body: Incoming) {
        let (pool, server) = (self.clone(), server.clone());
        tokio::spawn(async move {
            if matches!(timeout(BODY_READ_TIMEOUT, read_to_end(body)).await, Ok(Ok(_))) {
                pool.put(&server, connection);
            }
        });
    }
}
