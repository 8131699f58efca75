//! Operators' calls as a running conductor carries them out.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use frosttrail::Id;
use frosttrail_core::{Boxes, Conductor, Figures};

use super::call::{CallError, Operations};
use super::exclusion_store::ExclusionStore;

/// A conductor, and where its exclusions are kept.
pub struct ConductorOperations<B> {
    conductor: Conductor<B>,
    store: ExclusionStore,
    figures: Figures,
    ending: Arc<AtomicBool>,
}

impl<B: Boxes> ConductorOperations<B> {
    /// Calls on this conductor; `ending` is set once it takes nothing new.
    pub fn new(
        conductor: Conductor<B>,
        store: ExclusionStore,
        figures: Figures,
        ending: Arc<AtomicBool>,
    ) -> Self {
        ConductorOperations { conductor, store, figures, ending }
    }
}

impl<B: Boxes> Operations for ConductorOperations<B> {
    fn is_ready(&self) -> bool {
        self.conductor.able() && !self.ending.load(Ordering::Relaxed)
    }

    fn telemetry(&self) -> Result<String, CallError> {
        Ok(self.figures.text()?)
    }

    fn exclude(&self, id: &Id) -> Result<(), CallError> {
        self.conductor.check_known(id)?;
        // Kept before it is said: it must hold over an upgrade that begins right now.
        self.store.insert(id)?;
        self.conductor.exclude(id).map_err(|error| {
            // What was not taken must not come back with the next process.
            let _ = self.store.remove(id);
            error.into()
        })
    }

    fn include(&self, id: &Id) -> Result<(), CallError> {
        // In this order: what is in neither place would be no instance that anybody knows.
        self.conductor.include(id)?;
        Ok(self.store.remove(id)?)
    }
}
