//! Claims of request ids: while a request is open, no other request with its id may run.

use std::collections::HashSet;
use std::fmt;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use frosttrail::Id;
use tokio::time::{sleep, timeout};

use crate::release::lock;

/// How long a request waits for an id that another process has claimed. A client that sends a request again
/// may reach this process before the other one has noticed the end of the first.
const FOREIGN_CLAIM_TIMEOUT: Duration = Duration::from_millis(500);
/// How often a claim of another process is checked again.
const FOREIGN_CLAIM_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Claims of request ids that hold among all processes of a conductor. Its methods must not block.
pub trait SharedIdClaims: Send + Sync {
    /// Claims an id for this process; false if another process has claimed it.
    fn claim(&self, id: &Id) -> bool;

    /// Gives up this process's claim of an id.
    fn release(&self, id: &Id);
}

/// The ids of open requests.
#[derive(Clone, Default)]
pub(crate) struct OpenIds {
    local: Arc<Mutex<HashSet<Id>>>,
    shared: Option<Arc<dyn SharedIdClaims>>,
}

impl OpenIds {
    /// Keeps the ids of this process's requests, and claims them in `shared` as well.
    pub(crate) fn new(shared: Option<Arc<dyn SharedIdClaims>>) -> Self {
        OpenIds { local: Arc::default(), shared }
    }

    /// Reserves an id; `None` if a request with this id is open.
    pub(crate) async fn claim(&self, id: &Id) -> Option<IdClaim> {
        let local_claim = LocalIdClaim::acquire(&self.local, id)?;
        let shared_claim = match &self.shared {
            Some(claims) => Some(SharedIdClaim::acquire(claims, id).await?),
            None => None,
        };
        Some(IdClaim { _shared_claim: shared_claim, _local_claim: local_claim })
    }
}

/// Reserves a request id for as long as its request is open.
#[derive(Debug)]
pub(crate) struct IdClaim {
    // Dropped before the local claim, under which another request of this process may acquire it.
    _shared_claim: Option<SharedIdClaim>,
    _local_claim: LocalIdClaim,
}

/// A claim that holds within this process.
#[derive(Debug)]
struct LocalIdClaim {
    ids: Arc<Mutex<HashSet<Id>>>,
    id: Id,
}

impl LocalIdClaim {
    fn acquire(ids: &Arc<Mutex<HashSet<Id>>>, id: &Id) -> Option<Self> {
        lock(ids).insert(id.clone()).then(|| LocalIdClaim { ids: ids.clone(), id: id.clone() })
    }
}

impl Drop for LocalIdClaim {
    fn drop(&mut self) {
        lock(&self.ids).remove(&self.id);
    }
}

/// A claim that holds among the processes of the conductor.
struct SharedIdClaim {
    claims: Arc<dyn SharedIdClaims>,
    id: Id,
}

impl SharedIdClaim {
    /// Waits for a while if another process has claimed the id.
    async fn acquire(claims: &Arc<dyn SharedIdClaims>, id: &Id) -> Option<Self> {
        let claimed = async {
            while !claims.claim(id) {
                sleep(FOREIGN_CLAIM_POLL_INTERVAL).await;
            }
            SharedIdClaim { claims: claims.clone(), id: id.clone() }
        };
        timeout(FOREIGN_CLAIM_TIMEOUT, claimed).await.ok()
    }
}

impl Drop for SharedIdClaim {
    fn drop(&mut self) {
        self.claims.release(&self.id);
    }
}

impl fmt::Debug for SharedIdClaim {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SharedIdClaim").field("id", &self.id).finish_non_exhaustive()
    }
}
