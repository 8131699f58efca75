//! Limits the number of client connections, and evicts idle ones to make room for new ones.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{timeout, Instant};
use tokio_util::sync::CancellationToken;

/// How long to wait for an evicted connection to release its slot before evicting another. An evicted
/// connection has closed by then, unless a request has arrived on it.
const EVICTION_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// A connection that has not brought a request yet is not evicted before this age: its client may be about to
/// send one.
const MIN_EVICTION_AGE: Duration = Duration::from_millis(20);
/// Connections accepted only to refuse their requests, while open requests hold every slot. Their file
/// descriptors come from the reserve that is set aside for neither clients nor servers.
const MAX_REFUSING_CONNECTIONS: usize = 8;

/// Hands out connection slots; shared by the listeners of all fronts.
#[derive(Clone)]
pub(super) struct ConnectionLimiter {
    permits: Arc<Semaphore>,
    refusing_permits: Arc<Semaphore>,
    idle: Arc<Mutex<IdleConnections>>,
}

/// Order of eviction: connections that have never brought a whole request go first (`false`), then those that
/// have been idle for longest (lowest sequence number).
type EvictionKey = (bool, u64);

/// Connections without an open request, in the order of their eviction.
#[derive(Default)]
struct IdleConnections {
    last_sequence: u64,
    connections: BTreeMap<EvictionKey, IdleConnection>,
}

struct IdleConnection {
    eviction: CancellationToken,
    idle_since: Instant,
    is_refusing: bool,
}

impl IdleConnections {
    /// Whether no idle connection holds a regular slot, so that an eviction would make no room.
    fn has_only_refusing(&self) -> bool {
        self.connections.values().all(|connection| connection.is_refusing)
    }

    /// Removes the connection to evict next and returns its eviction token.
    fn pop_eviction_candidate(&mut self) -> Option<CancellationToken> {
        let (&(has_received, sequence), first) = self.connections.first_key_value()?;
        let eviction_key = match !has_received && first.idle_since.elapsed() < MIN_EVICTION_AGE {
            // The oldest without a request is too young, so all of them are: take one that has had a request.
            true => *self.connections.range((true, 0)..).next()?.0,
            false => (has_received, sequence),
        };
        self.connections.remove(&eviction_key).map(|connection| connection.eviction)
    }
}

impl ConnectionLimiter {
    /// Creates a limiter with this many regular slots.
    pub(super) fn new(max_connections: usize) -> Self {
        let (permits, refusing_permits) =
            (Semaphore::new(max_connections), Semaphore::new(MAX_REFUSING_CONNECTIONS));
        ConnectionLimiter {
            permits: Arc::new(permits),
            refusing_permits: Arc::new(refusing_permits),
            idle: Arc::default(),
        }
    }

    /// Acquires a slot for a new connection. If all are taken, evicts idle connections one after another:
    /// clients keep their connections open, so many idle clients would otherwise lock new ones out. If open
    /// requests hold every slot, returns a refusing slot: a request left unread would get no response within
    /// its deadline.
    pub(super) async fn acquire_slot(&self) -> ConnectionSlot {
        loop {
            let permit = self.permits.clone().try_acquire_owned();
            if let Ok(permit) = permit {
                return self.occupy(permit, false);
            }
            if self.with_idle(|idle| idle.has_only_refusing()) {
                if let Ok(permit) = self.refusing_permits.clone().try_acquire_owned() {
                    return self.occupy(permit, true);
                }
            }
            if let Some(eviction) = self.with_idle(IdleConnections::pop_eviction_candidate) {
                eviction.cancel();
            }
            // The semaphore is never closed.
            if let Ok(Ok(permit)) =
                timeout(EVICTION_RETRY_INTERVAL, self.permits.clone().acquire_owned()).await
            {
                return self.occupy(permit, false);
            }
        }
    }

    /// Creates a slot, which starts without an open request.
    fn occupy(&self, permit: OwnedSemaphorePermit, is_refusing: bool) -> ConnectionSlot {
        let slot = ConnectionSlot {
            limiter: self.clone(),
            eviction: CancellationToken::new(),
            state: Mutex::default(),
            is_refusing,
            _permit: permit,
        };
        slot.update(|_| {});
        slot
    }

    fn with_idle<T>(&self, f: impl FnOnce(&mut IdleConnections) -> T) -> T {
        f(&mut self.idle.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// The requests of one connection, and its place among the idle ones.
#[derive(Default)]
struct RequestState {
    /// Requests that have been received in full.
    received_count: u64,
    /// Requests whose response has been sent. Exceeds `received_count` if a request was rejected before all
    /// of it had arrived.
    answered_count: u64,
    /// hyper has handed out the whole of a request that has not been answered yet.
    is_awaiting_response: bool,
    /// The connection's place in the order of eviction, while it has no open request.
    eviction_key: Option<EvictionKey>,
}

/// The slot of one connection. Dropping it frees the slot for another connection.
pub(super) struct ConnectionSlot {
    limiter: ConnectionLimiter,
    eviction: CancellationToken,
    state: Mutex<RequestState>,
    is_refusing: bool,
    _permit: OwnedSemaphorePermit,
}

impl ConnectionSlot {
    /// Records that a whole request has arrived. The connection can't be evicted until it is answered.
    pub(super) fn record_arrival(&self) {
        self.update(|state| state.received_count += 1);
    }

    /// Records that hyper has handed out the whole request: what the client sends from now on is not part of
    /// it.
    fn record_body_read(&self) {
        self.update(|state| state.is_awaiting_response = true);
    }

    /// Whether a request has been handed out in full and its response is outstanding.
    pub(super) fn is_awaiting_response(&self) -> bool {
        self.lock().is_awaiting_response
    }

    /// Whether a whole request has arrived and has not been answered.
    pub(super) fn has_open_request(&self) -> bool {
        self.lock().eviction_key.is_none()
    }

    /// Whether a whole request has ever arrived.
    pub(super) fn has_received_request(&self) -> bool {
        self.lock().received_count > 0
    }

    /// Whether a request has ever been answered.
    pub(super) fn has_answered_request(&self) -> bool {
        self.lock().answered_count > 0
    }

    /// Whether requests on this connection are refused because no regular slot was free.
    pub(super) fn is_refusing(&self) -> bool {
        self.is_refusing
    }

    /// The token that is cancelled when the connection is to make room for another.
    pub(super) fn eviction_token(&self) -> CancellationToken {
        self.eviction.clone()
    }

    /// Changes the request state, and enters the connection into the order of eviction or removes it.
    fn update(&self, change: impl FnOnce(&mut RequestState)) {
        let mut state = self.lock();
        change(&mut state);
        let is_open = state.received_count > state.answered_count;
        match state.eviction_key {
            Some(eviction_key) if is_open => {
                state.eviction_key = None;
                self.limiter.with_idle(|idle| idle.connections.remove(&eviction_key));
            }
            None if !is_open => {
                let has_received = state.received_count > 0;
                state.eviction_key = Some(self.limiter.with_idle(|idle| {
                    idle.last_sequence += 1;
                    let (eviction, idle_since, is_refusing) =
                        (self.eviction.clone(), Instant::now(), self.is_refusing);
                    let connection = IdleConnection { eviction, idle_since, is_refusing };
                    idle.connections.insert((has_received, idle.last_sequence), connection);
                    (has_received, idle.last_sequence)
                }));
            }
            _ => {}
        }
    }

    fn lock(&self) -> MutexGuard<'_, RequestState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        if let Some(eviction_key) = self.lock().eviction_key {
            self.limiter.with_idle(|idle| idle.connections.remove(&eviction_key));
        }
    }
}

/// Counts a request as answered when dropped, once its response has been sent.
pub(super) struct OpenRequestGuard(pub(super) Arc<ConnectionSlot>);

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.0.update(|state| {
            (state.answered_count, state.is_awaiting_response) = (state.answered_count + 1, false)
        });
    }
}

/// Travels with a request's head to the reader of its body, which reports the body's end through it.
#[derive(Clone)]
pub(super) struct BodyReadNotice(pub(super) Arc<ConnectionSlot>);

impl BodyReadNotice {
    /// Reports that the whole body has been read.
    pub(super) fn notify(&self) {
        self.0.record_body_read();
    }
}
