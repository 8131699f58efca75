//! Carries out operators' calls on a running conductor.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use frosttrail::Id;
use frosttrail_core::{Conductor, Metrics, Upstream};

use super::call::{CallError, Operations};
use super::call_tracker::CallTracker;
use super::exclusion_store::ExclusionStore;

/// The operations of a conductor and of the store of its exclusions.
pub struct ConductorOperations<U> {
    conductor: Conductor<U>,
    store: ExclusionStore,
    metrics: Metrics,
    calls: CallTracker,
    is_serving: Arc<AtomicBool>,
}

impl<U: Upstream> ConductorOperations<U> {
    /// Operates on this conductor; `is_serving` is set while it accepts requests.
    pub fn new(
        conductor: Conductor<U>,
        store: ExclusionStore,
        metrics: Metrics,
        calls: CallTracker,
        is_serving: Arc<AtomicBool>,
    ) -> Self {
        ConductorOperations { conductor, store, metrics, calls, is_serving }
    }
}

impl<U: Upstream> Operations for ConductorOperations<U> {
    fn is_ready(&self) -> bool {
        self.conductor.is_ready() && self.is_serving.load(Ordering::Relaxed)
    }

    fn telemetry(&self) -> Result<String, CallError> {
        Ok(self.metrics.encode_text()?)
    }

    fn exclude(&self, id: &Id) -> Result<(), CallError> {
        self.conductor.check_known(id)?;
        let _call = self.calls.begin();
        // Stored before it takes effect, so that it outlives an upgrade that begins right now.
        self.store.insert(id)?;
        self.conductor.exclude(id).map_err(|error| {
            // A rejected exclusion must not be restored by the next process.
            let _ = self.store.remove(id);
            error.into()
        })
    }

    fn include(&self, id: &Id) -> Result<(), CallError> {
        self.conductor.check_known(id)?;
        let _call = self.calls.begin();
        // Removed from the store first: if that fails, the instance stays excluded, and the caller gets an
        // error.
        self.store.remove(id)?;
        Ok(self.conductor.include(id)?)
    }
}
