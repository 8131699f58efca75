//! The way to the servers: where they are, connections to them, and the three calls.

mod attempt;
mod calls;
mod idle_age;
mod link;
mod pool;
mod sse;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use frosttrail::{Health, Id, ListUpdateKind, LoadReport, Outcome, Settings};
use frosttrail_core::{AttemptReply, MembershipUpdate, SendPermit, Upstream};
use hyper::{HeaderMap, Method, Uri};
use prometheus::IntCounter;
use tokio::time::Instant;

pub use attempt::ServerEvents;
pub use pool::{ConnectionLimits, ConnectionPool};

/// A server that has gone keeps its last address for this time, as calls that let go of state may still want
/// it; they end some seconds after it.
const GONE_ADDRESS_TTL: Duration = Duration::from_secs(30);

/// Where each server is. Filled by discovery.
#[derive(Default)]
pub struct AddressTable(Mutex<HashMap<Id, AddressEntry>>);

struct AddressEntry {
    address: SocketAddr,
    gone_since: Option<Instant>,
    /// The shortest time in which a connection to it came up: a way there and back.
    round_trip: Option<Duration>,
}

impl AddressTable {
    /// Notes where a server is.
    pub fn set(&self, server: Id, address: SocketAddr) {
        let mut addresses = lock(&self.0);
        let same_address = addresses.get(&server).filter(|entry| entry.address == address);
        let round_trip = same_address.and_then(|entry| entry.round_trip);
        addresses.insert(server, AddressEntry { address, gone_since: None, round_trip });
    }

    /// Notes how long a connection to it took to come up.
    fn record_connect_time(&self, server: &Id, elapsed: Duration) {
        if let Some(entry) = lock(&self.0).get_mut(server) {
            entry.round_trip = Some(entry.round_trip.map_or(elapsed, |shortest| shortest.min(elapsed)));
        }
    }

    /// How long a connection's end may be on its way there: two round trips, as one way may be four times as
    /// slow as half of the shortest. Nothing where no connection has come up.
    fn cancellation_delay(&self, server: &Id) -> Duration {
        let round_trip = lock(&self.0).get(server).and_then(|entry| entry.round_trip);
        round_trip.unwrap_or_default() * 2
    }

    /// Where it is.
    pub fn get(&self, server: &Id) -> Option<SocketAddr> {
        lock(&self.0).get(server).map(|entry| entry.address)
    }

    /// Follows the list of members: what has left it is forgotten after a while.
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

/// What these locks guard is whole between any two statements, so a panic elsewhere does no harm to it.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A request as it goes to a server.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its method,
    pub method: Method,
    /// path and query,
    pub target: Uri,
    /// headers (the time to wait is added for each attempt)
    pub headers: HeaderMap,
    /// and body.
    pub body: Bytes,
}

/// The servers, as the core sees them.
pub struct HttpUpstream {
    pool: Arc<ConnectionPool>,
}

impl HttpUpstream {
    /// The servers that the book knows; `sends` counts attempts that are written whole.
    pub fn new(addresses: Arc<AddressTable>, limits: ConnectionLimits, sends: IntCounter) -> Self {
        HttpUpstream { pool: Arc::new(ConnectionPool::new(addresses, limits, sends)) }
    }

    /// Takes the times of connections from new settings.
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
