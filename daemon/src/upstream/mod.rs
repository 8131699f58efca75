//! The HTTP client for the servers: their addresses, connections to them, attempts, probes and releases.

mod attempt;
mod calls;
mod connection;
mod idle_age;
mod observer;
mod pool;
mod response_body;
mod response_framing;
mod sse;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use frosttrail::{Health, Id, ListUpdateKind, LoadReport, Outcome, Settings};
use frosttrail_core::{AttemptReply, MembershipUpdate, SendPermit, Upstream};
use hyper::header::HeaderName;
use hyper::{HeaderMap, Method, Uri};
use tokio::time::Instant;

use crate::buffer_budget::BufferBudget;

pub use attempt::ServerEvents;
pub use observer::UpstreamObserver;
pub use pool::{ConnectionLimits, ConnectionPool};

/// How long a server that has gone keeps its address, as calls that release its KV cache may still need it.
/// Those calls end a few seconds after the server has gone.
const GONE_ADDRESS_TTL: Duration = Duration::from_secs(30);

/// Carries the id of a request.
const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-txn");

/// The address of each server, filled by discovery.
#[derive(Default)]
pub struct AddressTable(Mutex<HashMap<Id, AddressEntry>>);

struct AddressEntry {
    address: SocketAddr,
    gone_since: Option<Instant>,
    /// The shortest time that a connection to it took to open, about one round trip.
    round_trip: Option<Duration>,
}

impl AddressTable {
    /// Sets the address of a server.
    pub fn set(&self, server: Id, address: SocketAddr) {
        let mut addresses = lock(&self.0);
        let same_address = addresses.get(&server).filter(|entry| entry.address == address);
        let round_trip = same_address.and_then(|entry| entry.round_trip);
        addresses.insert(server, AddressEntry { address, gone_since: None, round_trip });
    }

    /// Records how long a connection to a server took to open.
    fn record_connect_time(&self, server: &Id, elapsed: Duration) {
        if let Some(entry) = lock(&self.0).get_mut(server) {
            entry.round_trip = Some(entry.round_trip.map_or(elapsed, |shortest| shortest.min(elapsed)));
        }
    }

    /// How long the end of a connection may take to reach a server: two round trips, as one way may be four
    /// times as slow as half of the shortest. Zero if no connection to it has opened.
    fn cancellation_delay(&self, server: &Id) -> Duration {
        let round_trip = lock(&self.0).get(server).and_then(|entry| entry.round_trip);
        round_trip.unwrap_or_default() * 2
    }

    /// Returns the address of a server.
    pub fn get(&self, server: &Id) -> Option<SocketAddr> {
        lock(&self.0).get(server).map(|entry| entry.address)
    }

    /// Applies a change to the list of members. Servers that have left it are forgotten after a while.
    pub fn apply_update(&self, update: &MembershipUpdate) {
        let (now, mut addresses) = (Instant::now(), lock(&self.0));
        if matches!(update.kind, ListUpdateKind::Full | ListUpdateKind::StaleCopy) {
            addresses.values_mut().for_each(|entry| entry.gone_since = entry.gone_since.or(Some(now)));
        }
        for member in &update.entries {
            if let Some(entry) = addresses.get_mut(&member.server) {
                let is_gone = member.health == Health::Gone;
                entry.gone_since = is_gone.then_some(entry.gone_since.unwrap_or(now));
            }
        }
        addresses.retain(|_, entry| entry.gone_since.is_none_or(|at| now - at < GONE_ADDRESS_TTL));
    }
}

/// Locks a mutex even if it is poisoned: the guarded data is consistent between any two statements.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A request as it is sent to a server.
#[derive(Clone, Debug)]
pub struct Call {
    /// The HTTP method.
    pub method: Method,
    /// The path and query.
    pub target: Uri,
    /// The headers, without the remaining time, which each attempt adds.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Call {
    /// The request's id, as the servers are told it.
    fn id(&self) -> &str {
        self.headers.get(REQUEST_ID_HEADER).and_then(|id| id.to_str().ok()).unwrap_or_default()
    }
}

/// The core's access to the servers, over HTTP/1.
pub struct HttpUpstream {
    pool: Arc<ConnectionPool>,
}

impl HttpUpstream {
    /// Reaches the servers in `addresses`. Large events take their memory from `buffers`.
    pub fn new(
        addresses: Arc<AddressTable>,
        limits: ConnectionLimits,
        observer: UpstreamObserver,
        buffers: BufferBudget,
    ) -> Self {
        HttpUpstream { pool: Arc::new(ConnectionPool::new(addresses, limits, observer, buffers)) }
    }

    /// Applies the connection timeouts of new settings.
    pub fn reconfigure(&self, settings: &Settings) {
        let connect_timeout = Duration::from_micros(settings.connect_timeout);
        self.pool.set_timeouts(connect_timeout, Duration::from_micros(settings.connection_idle_timeout));
    }
}

impl Upstream for HttpUpstream {
    type Call = Call;
    type Events = ServerEvents;

    async fn attempt(
        &self,
        server: &Id,
        _: &Id,
        call: &Call,
        wait: Duration,
        permit: &SendPermit,
    ) -> AttemptReply<ServerEvents> {
        attempt::attempt(&self.pool, server, call, wait, permit).await
    }

    fn cancellation_delay(&self, server: &Id) -> Duration {
        self.pool.cancellation_delay(server)
    }

    async fn release(&self, server: &Id, request: &Id) -> bool {
        calls::release(&self.pool, server, request).await
    }

    async fn probe(&self, server: &Id) -> (Outcome, Option<LoadReport>) {
        calls::probe(&self.pool, server).await
    }
}
