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
pub struct CallMarks(Arc<Mutex<Counts>>);

/// A point in time at which no call was in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mark(u64);

/// A call in progress, until dropped.
#[derive(Debug)]
pub struct CallUnderWay(CallMarks);

impl CallMarks {
    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the beginning of a call.
    pub fn begin(&self) -> CallUnderWay {
        self.lock().begun += 1;
        CallUnderWay(self.clone())
    }

    /// Marks the current time; `None` while a call is in progress.
    pub fn mark(&self) -> Option<Mark> {
        let counts = self.lock();
        (counts.begun == counts.ended).then_some(Mark(counts.begun))
    }

    /// Runs `apply`, for exclusions read after the mark, unless a call has begun since the mark; returns
    /// whether it ran. `apply` must be short, because no call can begin meanwhile.
    pub fn apply_since(&self, mark: Mark, apply: impl FnOnce()) -> bool {
        let counts = self.lock();
        let unchanged = counts.begun == mark.0;
        if unchanged {
            apply();
        }
        unchanged
    }
}

impl Drop for CallUnderWay {
    fn drop(&mut self) {
        self.0.lock().ended += 1;
    }
}
