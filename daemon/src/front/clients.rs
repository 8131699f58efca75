//! The bound on clients' connections, and which of them makes room for a new one.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

/// A connection that was told to make room has an answer under way if it has not gone by then.
const NEXT: Duration = Duration::from_millis(50);

/// All clients' connections, of whichever front.
#[derive(Clone)]
pub(super) struct Clients {
    permits: Arc<Semaphore>,
    by_use: Arc<Mutex<ByUse>>,
}

/// Connections by when a request last came on each.
#[derive(Default)]
struct ByUse {
    uses: u64,
    connections: BTreeMap<u64, CancellationToken>,
}

impl Clients {
    /// Room for so many.
    pub(super) fn new(most: usize) -> Self {
        Clients { permits: Arc::new(Semaphore::new(most)), by_use: Arc::default() }
    }

    /// A place for one more. Where there is none, connections on which no request has come for longest
    /// are told to close; clients keep theirs open, so that without this a crowd of idle ones would shut
    /// new ones out.
    pub(super) async fn place(&self) -> Place {
        loop {
            let permit = self.permits.clone().try_acquire_owned();
            if let Ok(permit) = permit {
                return self.enter(permit);
            }
            self.tell_oldest();
            // The semaphore is never closed.
            if let Ok(Ok(permit)) = timeout(NEXT, self.permits.clone().acquire_owned()).await {
                return self.enter(permit);
            }
        }
    }

    fn enter(&self, permit: OwnedSemaphorePermit) -> Place {
        let place = Place {
            clients: self.clone(),
            leave: CancellationToken::new(),
            at: Mutex::new(0),
            _permit: permit,
        };
        place.used();
        place
    }

    fn tell_oldest(&self) {
        let oldest = self.with(|by_use| by_use.connections.pop_first());
        if let Some((_, leave)) = oldest {
            leave.cancel();
        }
    }

    fn with<T>(&self, f: impl FnOnce(&mut ByUse) -> T) -> T {
        f(&mut self.by_use.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// One connection's place. Dropping it gives it to another.
pub(super) struct Place {
    clients: Clients,
    leave: CancellationToken,
    at: Mutex<u64>,
    _permit: OwnedSemaphorePermit,
}

impl Place {
    /// A request has come on it.
    pub(super) fn used(&self) {
        let mut at = self.at.lock().unwrap_or_else(PoisonError::into_inner);
        *at = self.clients.with(|by_use| {
            by_use.connections.remove(&at);
            by_use.uses += 1;
            by_use.connections.insert(by_use.uses, self.leave.clone());
            by_use.uses
        });
    }

    /// Cancelled when it should make room.
    pub(super) fn leave(&self) -> CancellationToken {
        self.leave.clone()
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let at = *self.at.lock().unwrap_or_else(PoisonError::into_inner);
        self.clients.with(|by_use| by_use.connections.remove(&at));
    }
}
