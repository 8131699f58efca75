//! The bound on clients' connections, and which of them makes room for a new one.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{timeout, Instant};
use tokio_util::sync::CancellationToken;

/// A connection that was told to make room is gone by then, unless a request has come on it.
const NEXT: Duration = Duration::from_millis(50);
/// Who has just come may be about to ask: a connection makes no room before this age.
const FRESH: Duration = Duration::from_millis(20);
/// Connections on which requests are only refused, while open requests have all places. Their descriptors
/// come from those that are spared for neither clients nor servers.
const REFUSING: usize = 8;

/// All clients' connections, of whichever front.
#[derive(Clone)]
pub(super) struct Clients {
    permits: Arc<Semaphore>,
    refusing: Arc<Semaphore>,
    idle: Arc<Mutex<Idle>>,
}

/// A connection's turn to make room: those that have never brought a whole request go first, then those
/// that have been without one for longest.
type Turn = (bool, u64);

/// Connections without an open request.
#[derive(Default)]
struct Idle {
    turns: u64,
    connections: BTreeMap<Turn, Connection>,
}

struct Connection {
    leave: CancellationToken,
    since: Instant,
    refuses: bool,
}

impl Idle {
    /// Whether nothing makes room for another request: those that are here have no place of their own.
    fn is_without_places(&self) -> bool {
        self.connections.values().all(|connection| connection.refuses)
    }

    /// The one whose turn it is to make room.
    fn evict(&mut self) -> Option<CancellationToken> {
        let (&(asked, nth), first) = self.connections.first_key_value()?;
        let turn = match !asked && first.since.elapsed() < FRESH {
            // All that never asked are as young; the next are those that have.
            true => *self.connections.range((true, 0)..).next()?.0,
            false => (asked, nth),
        };
        self.connections.remove(&turn).map(|connection| connection.leave)
    }
}

impl Clients {
    /// Room for so many.
    pub(super) fn new(most: usize) -> Self {
        let (permits, refusing) = (Semaphore::new(most), Semaphore::new(REFUSING));
        Clients { permits: Arc::new(permits), refusing: Arc::new(refusing), idle: Arc::default() }
    }

    /// A place for one more. Where there is none, connections without an open request are told to close in
    /// turn; clients keep theirs open, so that without this a crowd of idle ones would shut new ones out.
    /// Where open requests have them all, what comes is refused: unread, it would get no answer in its
    /// time.
    pub(super) async fn place(&self) -> Place {
        loop {
            let permit = self.permits.clone().try_acquire_owned();
            if let Ok(permit) = permit {
                return self.enter(permit, false);
            }
            if self.with(|idle| idle.is_without_places()) {
                if let Ok(permit) = self.refusing.clone().try_acquire_owned() {
                    return self.enter(permit, true);
                }
            }
            if let Some(leave) = self.with(Idle::evict) {
                leave.cancel();
            }
            // The semaphore is never closed.
            if let Ok(Ok(permit)) = timeout(NEXT, self.permits.clone().acquire_owned()).await {
                return self.enter(permit, false);
            }
        }
    }

    fn enter(&self, permit: OwnedSemaphorePermit, refuses: bool) -> Place {
        let place = Place {
            clients: self.clone(),
            leave: CancellationToken::new(),
            state: Mutex::default(),
            refuses,
            _permit: permit,
        };
        place.note(|_| {});
        place
    }

    fn with<T>(&self, f: impl FnOnce(&mut Idle) -> T) -> T {
        f(&mut self.idle.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

#[derive(Default)]
struct State {
    /// Requests that have come whole,
    arrived: u64,
    /// and those that have been answered; more than the others where one was turned down before its end.
    answered: u64,
    /// The library has handed out all of one that has not been answered.
    waited_for: bool,
    /// Its turn while none is open.
    turn: Option<Turn>,
}

/// One connection's place. Dropping it gives it to another.
pub(super) struct Place {
    clients: Clients,
    leave: CancellationToken,
    state: Mutex<State>,
    refuses: bool,
    _permit: OwnedSemaphorePermit,
}

impl Place {
    /// A request has come on it whole. Until it is answered, the place is not for others.
    pub(super) fn arrived(&self) {
        self.note(|state| state.arrived += 1);
    }

    /// All of the request has been handed out: what its client sends from now on is no part of it.
    fn handed_out(&self) {
        self.note(|state| state.waited_for = true);
    }

    /// Whether a client waits whose request has been handed out whole.
    pub(super) fn is_waited_for(&self) -> bool {
        self.lock().waited_for
    }

    /// Whether a whole request has come, and has not been answered,
    pub(super) fn is_busy(&self) -> bool {
        self.lock().turn.is_none()
    }

    /// whether one ever came,
    pub(super) fn has_asked(&self) -> bool {
        self.lock().arrived > 0
    }

    /// and whether one was ever answered.
    pub(super) fn has_answered(&self) -> bool {
        self.lock().answered > 0
    }

    /// Whether what comes on it is refused, as there is no place for another request.
    pub(super) fn refuses(&self) -> bool {
        self.refuses
    }

    /// Cancelled when it should make room.
    pub(super) fn leave(&self) -> CancellationToken {
        self.leave.clone()
    }

    fn note(&self, change: impl FnOnce(&mut State)) {
        let mut state = self.lock();
        change(&mut state);
        let open = state.arrived > state.answered;
        match state.turn {
            Some(turn) if open => {
                state.turn = None;
                self.clients.with(|idle| idle.connections.remove(&turn));
            }
            None if !open => {
                let asked = state.arrived > 0;
                state.turn = Some(self.clients.with(|idle| {
                    idle.turns += 1;
                    let (leave, since, refuses) = (self.leave.clone(), Instant::now(), self.refuses);
                    let connection = Connection { leave, since, refuses };
                    idle.connections.insert((asked, idle.turns), connection);
                    (asked, idle.turns)
                }));
            }
            _ => {}
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if let Some(turn) = self.lock().turn {
            self.clients.with(|idle| idle.connections.remove(&turn));
        }
    }
}

/// A request under way on a connection, until its answer has gone.
pub(super) struct UnderWay(pub(super) Arc<Place>);

impl Drop for UnderWay {
    fn drop(&mut self) {
        self.0.note(|state| (state.answered, state.waited_for) = (state.answered + 1, false));
    }
}

/// Goes with a request's head to whoever reads its body, to be told when that has ended.
#[derive(Clone)]
pub(super) struct Arrival(pub(super) Arc<Place>);

impl Arrival {
    /// All of the body has come.
    pub(super) fn ended(&self) {
        self.0.handed_out();
    }
}
