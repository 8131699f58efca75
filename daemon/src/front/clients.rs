//! The bound on clients' connections, and which of them makes room for a new one.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{timeout, Instant};
use tokio_util::sync::CancellationToken;

/// A connection that was told to make room is gone by then, unless a request has come on it.
const EVICTION_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Who has just come may be about to ask: a connection makes no room before this age.
const MIN_EVICTION_AGE: Duration = Duration::from_millis(20);
/// Connections on which requests are only refused, while open requests have all places. Their descriptors
/// come from those that are spared for neither clients nor servers.
const MAX_REFUSING_CONNECTIONS: usize = 8;

/// All clients' connections, of whichever front.
#[derive(Clone)]
pub(super) struct ConnectionLimiter {
    permits: Arc<Semaphore>,
    refusing_permits: Arc<Semaphore>,
    idle: Arc<Mutex<IdleConnections>>,
}

/// A connection's turn to make room: those that have never brought a whole request go first, then those
/// that have been without one for longest.
type EvictionKey = (bool, u64);

/// Connections without an open request.
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
    /// Whether nothing makes room for another request: those that are here have no place of their own.
    fn has_only_refusing(&self) -> bool {
        self.connections.values().all(|connection| connection.is_refusing)
    }

    /// The one whose turn it is to make room.
    fn pop_eviction_candidate(&mut self) -> Option<CancellationToken> {
        let (&(has_received, sequence), first) = self.connections.first_key_value()?;
        let eviction_key = match !has_received && first.idle_since.elapsed() < MIN_EVICTION_AGE {
            // All that never asked are as young; the next are those that have.
            true => *self.connections.range((true, 0)..).next()?.0,
            false => (has_received, sequence),
        };
        self.connections.remove(&eviction_key).map(|connection| connection.eviction)
    }
}

impl ConnectionLimiter {
    /// Room for so many.
    pub(super) fn new(max_connections: usize) -> Self {
        let (permits, refusing_permits) =
            (Semaphore::new(max_connections), Semaphore::new(MAX_REFUSING_CONNECTIONS));
        ConnectionLimiter {
            permits: Arc::new(permits),
            refusing_permits: Arc::new(refusing_permits),
            idle: Arc::default(),
        }
    }

    /// A place for one more. Where there is none, connections without an open request are told to close in
    /// turn; clients keep theirs open, so that without this a crowd of idle ones would shut new ones out.
    /// Where open requests have them all, what comes is refused: unread, it would get no answer in its
    /// time.
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

#[derive(Default)]
struct RequestState {
    /// Requests that have come whole,
    received_count: u64,
    /// and those that have been answered; more than the others where one was turned down before its end.
    answered_count: u64,
    /// The library has handed out all of one that has not been answered.
    is_awaiting_response: bool,
    /// Its turn while none is open.
    eviction_key: Option<EvictionKey>,
}

/// One connection's place. Dropping it gives it to another.
pub(super) struct ConnectionSlot {
    limiter: ConnectionLimiter,
    eviction: CancellationToken,
    state: Mutex<RequestState>,
    is_refusing: bool,
    _permit: OwnedSemaphorePermit,
}

impl ConnectionSlot {
    /// A request has come on it whole. Until it is answered, the place is not for others.
    pub(super) fn record_arrival(&self) {
        self.update(|state| state.received_count += 1);
    }

    /// All of the request has been handed out: what its client sends from now on is no part of it.
    fn record_body_read(&self) {
        self.update(|state| state.is_awaiting_response = true);
    }

    /// Whether a client waits whose request has been handed out whole.
    pub(super) fn is_awaiting_response(&self) -> bool {
        self.lock().is_awaiting_response
    }

    /// Whether a whole request has come, and has not been answered,
    pub(super) fn has_open_request(&self) -> bool {
        self.lock().eviction_key.is_none()
    }

    /// whether one ever came,
    pub(super) fn has_received_request(&self) -> bool {
        self.lock().received_count > 0
    }

    /// and whether one was ever answered.
    pub(super) fn has_answered_request(&self) -> bool {
        self.lock().answered_count > 0
    }

    /// Whether what comes on it is refused, as there is no place for another request.
    pub(super) fn is_refusing(&self) -> bool {
        self.is_refusing
    }

    /// Cancelled when it should make room.
    pub(super) fn eviction_token(&self) -> CancellationToken {
        self.eviction.clone()
    }

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

/// A request under way on a connection, until its answer has gone.
pub(super) struct OpenRequestGuard(pub(super) Arc<ConnectionSlot>);

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.0.update(|state| {
            (state.answered_count, state.is_awaiting_response) = (state.answered_count + 1, false)
        });
    }
}

/// Goes with a request's head to whoever reads its body, to be told when that has ended.
#[derive(Clone)]
pub(super) struct BodyReadNotice(pub(super) Arc<ConnectionSlot>);

impl BodyReadNotice {
    /// All of the body has come.
    pub(super) fn notify(&self) {
        self.0.record_body_read();
    }
}
