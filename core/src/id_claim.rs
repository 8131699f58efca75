//! Claims of request ids: while a request is open, no other request with its id may run, and for a while
//! after one that may have taken effect.

use std::collections::HashSet;
use std::fmt;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use frosttrail::Id;
use tokio::time::{sleep, timeout, Instant};

use crate::release::lock;
use crate::request::CallError;
use crate::used_ids::UsedIds;

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

    /// Records that the request with this id has ended and may have taken effect.
    fn record_used(&self, id: &Id);

    /// Whether a request with this id has ended, in any process, and may have taken effect.
    fn is_used(&self, id: &Id) -> bool;
}

/// The ids of open requests, and of those that may have taken effect.
#[derive(Clone, Default)]
pub(crate) struct IdRegistry {
    local: Arc<Mutex<LocalIds>>,
    shared: Option<Arc<dyn SharedIdClaims>>,
}

/// The ids of this process's requests.
#[derive(Debug, Default)]
struct LocalIds {
    open: HashSet<Id>,
    used: UsedIds,
}

impl LocalIds {
    /// Whether a request with this id is open or may have taken effect.
    fn check(&mut self, id: &Id) -> Result<(), CallError> {
        if self.open.contains(id) {
            return Err(CallError::IdInUse);
        }
        match self.used.contains(id, Instant::now()) {
            true => Err(CallError::IdUsed),
            false => Ok(()),
        }
    }
}

impl IdRegistry {
    /// Keeps the ids of this process's requests, and shares them over `shared` as well.
    pub(crate) fn new(shared: Option<Arc<dyn SharedIdClaims>>) -> Self {
        IdRegistry { local: Arc::default(), shared }
    }

    /// Whether an id may be claimed, as far as is known without a claim: that of an open request of another
    /// process may seem free.
    pub(crate) fn check(&self, id: &Id) -> Result<(), CallError> {
        lock(&self.local).check(id)?;
        match self.shared.as_ref().is_some_and(|claims| claims.is_used(id)) {
            true => Err(CallError::IdUsed),
            false => Ok(()),
        }
    }

    /// Reserves an id, unless a request with it is open or may have taken effect.
    pub(crate) async fn claim(&self, id: &Id) -> Result<IdClaim, CallError> {
        let local_claim = LocalIdClaim::acquire(&self.local, id)?;
        let shared_claim = match &self.shared {
            Some(claims) => Some(SharedIdClaim::acquire(claims, id).await?),
            None => None,
        };
        Ok(IdClaim { shared_claim, local_claim })
    }
}

/// Reserves a request id for as long as its request is open.
#[derive(Debug)]
pub(crate) struct IdClaim {
    // Dropped before the local claim, under which another request of this process may acquire it.
    shared_claim: Option<SharedIdClaim>,
    local_claim: LocalIdClaim,
}

impl IdClaim {
    /// Records that the request may have taken effect, so that its id is not claimed again for a while.
    pub(crate) fn record_used(&self) {
        self.local_claim.record_used();
        if let Some(shared_claim) = &self.shared_claim {
            shared_claim.claims.record_used(&shared_claim.id);
        }
    }
}

/// A claim that holds within this process.
#[derive(Debug)]
struct LocalIdClaim {
    ids: Arc<Mutex<LocalIds>>,
    id: Id,
}

impl LocalIdClaim {
    fn acquire(ids: &Arc<Mutex<LocalIds>>, id: &Id) -> Result<Self, CallError> {
        let mut locked_ids = lock(ids);
        locked_ids.check(id)?;
        locked_ids.open.insert(id.clone());
        Ok(LocalIdClaim { ids: ids.clone(), id: id.clone() })
    }

    fn record_used(&self) {
        lock(&self.ids).used.record(&self.id, Instant::now());
    }
}

impl Drop for LocalIdClaim {
    fn drop(&mut self) {
        lock(&self.ids).open.remove(&self.id);
    }
}

/// A claim that holds among the processes of the conductor.
struct SharedIdClaim {
    claims: Arc<dyn SharedIdClaims>,
    id: Id,
}

impl SharedIdClaim {
    /// Waits for a while if another process has claimed the id.
    async fn acquire(claims: &Arc<dyn SharedIdClaims>, id: &Id) -> Result<Self, CallError> {
        let claimed = async {
            while !claims.claim(id) {
                sleep(FOREIGN_CLAIM_POLL_INTERVAL).await;
            }
            SharedIdClaim { claims: claims.clone(), id: id.clone() }
        };
        let claim = timeout(FOREIGN_CLAIM_TIMEOUT, claimed).await.map_err(|_| CallError::IdInUse)?;
        // Looked up under the claim: the process that had it has recorded by then what it has to.
        match claims.is_used(id) {
            true => Err(CallError::IdUsed),
            false => Ok(claim),
        }
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
