//! Orders operators' calls and reads of the exclusion folder: exclusions that were read before or during a
//! call must not overwrite the result of that call.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

#[derive(Debug, Default)]
struct Counts {
    begun: u64,
    ended: u64,
}

/// Counts the calls that change exclusions; clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct CallTracker(Arc<Mutex<Counts>>);

/// A point in time at which no call was in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Checkpoint(u64);

/// A call in progress, until dropped.
#[derive(Debug)]
pub struct CallInProgress(CallTracker);

impl CallTracker {
    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the beginning of a call.
    pub fn begin(&self) -> CallInProgress {
        self.lock().begun += 1;
        CallInProgress(self.clone())
    }

    /// Returns a checkpoint for the current time; `None` while a call is in progress.
    pub fn checkpoint(&self) -> Option<Checkpoint> {
        let counts = self.lock();
        (counts.begun == counts.ended).then_some(Checkpoint(counts.begun))
    }

    /// Runs `apply`, for exclusions read after the checkpoint, unless a call has begun since then; returns
    /// whether it ran. `apply` must be short, because no call can begin meanwhile.
    pub fn apply_since(&self, checkpoint: Checkpoint, apply: impl FnOnce()) -> bool {
        let counts = self.lock();
        let unchanged = counts.begun == checkpoint.0;
        if unchanged {
            apply();
        }
        unchanged
    }
}

impl Drop for CallInProgress {
    fn drop(&mut self) {
        self.0.lock().ended += 1;
    }
}
