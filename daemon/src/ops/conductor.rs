//! Operators' calls as a running conductor carries them out.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use frosttrail::Id;
use frosttrail_core::{Conductor, Metrics, Upstream};

use super::call::{CallError, Operations};
use super::call_marks::CallMarks;
use super::exclusion_store::ExclusionStore;

/// A conductor, and where its exclusions are kept.
pub struct ConductorOperations<U> {
    conductor: Conductor<U>,
    store: ExclusionStore,
    metrics: Metrics,
    calls: CallMarks,
    is_serving: Arc<AtomicBool>,
}

impl<U: Upstream> ConductorOperations<U> {
    /// Calls on this conductor; `is_serving` is set while it takes requests.
    pub fn new(
        conductor: Conductor<U>,
        store: ExclusionStore,
        metrics: Metrics,
        calls: CallMarks,
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
        // Kept before it is said: it must hold over an upgrade that begins right now.
        self.store.insert(id)?;
        self.conductor.exclude(id).map_err(|error| {
            // What was not taken must not come back with the next process.
            let _ = self.store.remove(id);
            error.into()
        })
    }

    fn include(&self, id: &Id) -> Result<(), CallError> {
        self.conductor.check_known(id)?;
        let _call = self.calls.begin();
        // In this order: where it can't be removed, it stays out, and its caller hears a no.
        self.store.remove(id)?;
        Ok(self.conductor.include(id)?)
    }
}
