//! Claims the ids of open requests among the processes of a conductor, by locks on single bytes of a file
//! that they share. The kernel arbitrates between processes, and drops the locks of one that exits or is
//! killed. Ids that may not be used again are kept in a table beside it.

use std::collections::HashSet;
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};

use frosttrail::Id;
use frosttrail_core::SharedIdClaims;
use nix::errno::Errno;
use nix::fcntl::{fcntl, FcntlArg};
use nix::libc;
use slog::{info, warn, Logger};

use crate::state_dir;
use crate::used_id_table::UsedIdTable;

/// The offset of the byte that stands for a request id.
type LockOffset = libc::off_t;

const OFFSET_BYTES: usize = size_of::<LockOffset>();

/// The locks of this process.
pub struct RequestIdLocks {
    path: PathBuf,
    state: Mutex<LockState>,
    used_ids: Mutex<UsedIdTable>,
    has_failed: AtomicBool,
    has_table_failed: AtomicBool,
    log: Logger,
}

enum LockState {
    Open(File),
    /// The file can't be opened yet, and these offsets are to be locked in it.
    Unavailable(HashSet<LockOffset>),
}

impl RequestIdLocks {
    /// Uses a file in the state folder. While it can't be opened, ids are claimed in this process only.
    pub fn in_folder(state_folder: &Path, log: Logger) -> Self {
        let path = state_folder.join("request-ids");
        let state = match open(&path) {
            Ok(file) => LockState::Open(file),
            Err(e) => {
                warn!(log, "during an upgrade, both processes may run a request id; check $TMPDIR";
                    "file" => %path.display(), "why" => %e);
                LockState::Unavailable(HashSet::new())
            }
        };
        RequestIdLocks {
            path,
            state: Mutex::new(state),
            used_ids: Mutex::new(UsedIdTable::in_folder(state_folder)),
            has_failed: AtomicBool::default(),
            has_table_failed: AtomicBool::default(),
            log,
        }
    }

    /// Logs once per outage that the table of used ids can't be read or written.
    fn report_table<T: Default>(&self, result: io::Result<T>) -> T {
        let has_failed = self.has_table_failed.swap(result.is_err(), Ordering::Relaxed);
        result.unwrap_or_else(|e| {
            if !has_failed {
                warn!(self.log, "a used request id may run again in another process; check $TMPDIR";
                    "why" => %e);
            }
            T::default()
        })
    }

    /// Opens the file if that has failed before, and locks what has been claimed since.
    fn reopen(&self, state: &mut LockState) {
        let LockState::Unavailable(claimed) = state else { return };
        let Ok(file) = open(&self.path) else { return };
        info!(self.log, "request ids are claimed for all processes again");
        for offset in claimed.drain() {
            self.try_lock(&file, offset);
        }
        *state = LockState::Open(file);
    }

    /// False if another process has the lock.
    fn try_lock(&self, file: &File, offset: LockOffset) -> bool {
        match set_lock(file, offset, libc::F_WRLCK) {
            Ok(()) => true,
            Err(Errno::EAGAIN | Errno::EACCES) => false,
            Err(e) => {
                self.log_failure(e);
                true
            }
        }
    }

    /// Logs the first failure only.
    fn log_failure(&self, why: Errno) {
        if !self.has_failed.swap(true, Ordering::Relaxed) {
            warn!(self.log, "could not change the lock of a request id"; "file" => %self.path.display(),
                "why" => %why);
        }
    }
}

impl SharedIdClaims for RequestIdLocks {
    fn claim(&self, id: &Id) -> bool {
        let offset = lock_offset(id);
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        self.reopen(&mut state);
        match &mut *state {
            LockState::Open(file) => self.try_lock(file, offset),
            LockState::Unavailable(claimed) => {
                claimed.insert(offset);
                true
            }
        }
    }

    fn release(&self, id: &Id) {
        let offset = lock_offset(id);
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        match &mut *state {
            LockState::Open(file) => {
                if let Err(e) = set_lock(file, offset, libc::F_UNLCK) {
                    self.log_failure(e);
                }
            }
            LockState::Unavailable(claimed) => {
                claimed.remove(&offset);
            }
        }
    }

    fn record_used(&self, id: &Id) {
        let recorded = self.used_ids.lock().unwrap_or_else(PoisonError::into_inner).record(id);
        self.report_table(recorded)
    }

    fn is_used(&self, id: &Id) -> bool {
        let found = self.used_ids.lock().unwrap_or_else(PoisonError::into_inner).contains(id);
        self.report_table(found)
    }
}

fn open(path: &Path) -> io::Result<File> {
    let open = || File::options().create(true).append(true).open(path);
    match open() {
        Err(e) if e.kind() == io::ErrorKind::NotFound => {
            state_dir::create(path.parent().unwrap_or(path))?;
            open()
        }
        opened => opened,
    }
}

fn lock_offset(id: &Id) -> LockOffset {
    let mut bytes = [0; OFFSET_BYTES];
    blake3::Hasher::new().update(id.as_bytes()).finalize_xof().fill(&mut bytes);
    // An offset is not negative, and the end of the range, one more, must fit as well.
    (LockOffset::from_le_bytes(bytes) & LockOffset::MAX) >> 1
}

/// Sets a lock that belongs to the open file, so that closing another descriptor of it does not drop it.
fn set_lock(file: &File, offset: LockOffset, kind: libc::c_int) -> nix::Result<()> {
    let lock = libc::flock {
        l_type: kind as libc::c_short,
        l_whence: libc::SEEK_SET as libc::c_short,
        l_start: offset,
        l_len: 1,
        l_pid: 0,
    };
    loop {
        match fcntl(file, FcntlArg::F_OFD_SETLK(&lock)) {
            Err(Errno::EINTR) => {}
            result => return result.map(drop),
        }
    }
}
