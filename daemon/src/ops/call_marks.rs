//! Calls of operators beside readings of the folder: what was read before a call, or during one, must not
//! replace what the call has brought about.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

#[derive(Debug, Default)]
struct Counts {
    begun: u64,
    ended: u64,
}

/// Counts calls that change exclusions; clones share the count.
#[derive(Clone, Debug, Default)]
pub struct CallMarks(Arc<Mutex<Counts>>);

/// A moment in which no call was under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mark(u64);

/// A call under way, until it is dropped.
#[derive(Debug)]
pub struct CallUnderWay(CallMarks);

impl CallMarks {
    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A call begins.
    pub fn begin(&self) -> CallUnderWay {
        self.lock().begun += 1;
        CallUnderWay(self.clone())
    }

    /// Now; `None` while a call is under way.
    pub fn mark(&self) -> Option<Mark> {
        let counts = self.lock();
        (counts.begun == counts.ended).then_some(Mark(counts.begun))
    }

    /// Applies what was read since a mark, unless a call has begun since; says whether it did. No call
    /// begins meanwhile, so that `apply` must be short.
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
