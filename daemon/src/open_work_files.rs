//! Shares the open work at servers among the processes of a conductor: each writes a file that the others
//! read.

use std::collections::HashMap;
use std::fs::{self, Metadata};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use frosttrail::OpenWork;

use crate::state_dir;

/// A running process writes its file more often than this.
const MAX_REPORT_AGE: Duration = Duration::from_secs(1);
/// A file that has not changed for this long belongs to a process that was killed.
const ABANDONED_FILE_AGE: Duration = Duration::from_secs(30);
/// Larger files are ignored.
const MAX_FILE_BYTES: u64 = 4 << 20;

/// The folder with the files of all processes of a conductor.
#[derive(Clone, Debug)]
pub struct OpenWorkFiles {
    folder: PathBuf,
    own_file: PathBuf,
    /// The last version seen of each file, and when it was first seen. Uses this process's monotonic clock,
    /// because the wall clock, and with it a file's modification time, may be stepped.
    versions: Arc<Mutex<HashMap<PathBuf, (FileVersion, Instant)>>>,
}

/// The inode and modification time of a file, which tell one write from the next: each creates a new file.
type FileVersion = (u64, i64, i64);

fn file_version(file: &Metadata) -> FileVersion {
    (file.ino(), file.mtime(), file.mtime_nsec())
}

impl OpenWorkFiles {
    /// Uses a subfolder of the state folder, which is created with the first file.
    pub fn in_folder(state: &Path) -> Self {
        let folder = state.join("open-work");
        let own_file = folder.join(std::process::id().to_string());
        OpenWorkFiles { folder, own_file, versions: Arc::default() }
    }

    /// Writes the open work of this process and returns the sum of that of the others.
    pub fn exchange(&self, own: &OpenWork, now: Instant) -> std::io::Result<OpenWork> {
        state_dir::replace(&self.own_file, serde_json::to_vec(own)?)?;
        let mut versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        let previous = std::mem::take(&mut *versions);
        let mut others = OpenWork::default();
        for file in fs::read_dir(&self.folder)? {
            let path = file?.path();
            if path == self.own_file || path.extension().is_some() {
                continue;
            }
            let Ok(metadata) = fs::metadata(&path) else { continue };
            let version = file_version(&metadata);
            let known = previous.get(&path).filter(|(known, _)| *known == version);
            let since = known.map_or(now, |(_, since)| *since);
            let age = now.saturating_duration_since(since);
            if age > ABANDONED_FILE_AGE {
                let _ = fs::remove_file(&path);
                continue;
            }
            if age <= MAX_REPORT_AGE && metadata.len() <= MAX_FILE_BYTES {
                others.add(read_file(&path).unwrap_or_default());
            }
            versions.insert(path, (version, since));
        }
        Ok(others)
    }

    /// Removes the file of this process.
    pub fn remove(&self) {
        // If that fails, the other processes soon ignore the file because of its age.
        let _ = fs::remove_file(&self.own_file);
    }
}

/// Returns `None` for a file that has been removed meanwhile or can't be read.
fn read_file(path: &Path) -> Option<OpenWork> {
    serde_json::from_slice(&fs::read(path).ok()?).ok()
}
