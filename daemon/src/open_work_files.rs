//! What each process of a conductor has open at servers, in files that the others read.

use std::collections::HashMap;
use std::fs::{self, Metadata};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use frosttrail::OpenWork;

use crate::state_dir;

/// A process that lives writes more often than this.
const MAX_REPORT_AGE: Duration = Duration::from_secs(1);
/// A file this old is that of a process that was killed.
const ABANDONED_FILE_AGE: Duration = Duration::from_secs(30);
/// No file is larger.
const MAX_FILE_BYTES: u64 = 4 << 20;

/// The folder of such files, and this process's own.
#[derive(Clone, Debug)]
pub struct OpenWorkFiles {
    folder: PathBuf,
    own_file: PathBuf,
    /// Which version of each file was seen last, and since when. By this process's clock: the wall clock, and
    /// with it what a file says of its age, may be stepped.
    versions: Arc<Mutex<HashMap<PathBuf, (FileVersion, Instant)>>>,
}

/// Tells one writing of a file from the next: each makes a new file.
type FileVersion = (u64, i64, i64);

fn file_version(file: &Metadata) -> FileVersion {
    (file.ino(), file.mtime(), file.mtime_nsec())
}

impl OpenWorkFiles {
    /// Uses a folder below this one, which is made with the first file.
    pub fn in_folder(state: &Path) -> Self {
        let folder = state.join("open-work");
        let own_file = folder.join(std::process::id().to_string());
        OpenWorkFiles { folder, own_file, versions: Arc::default() }
    }

    /// Writes what this process has open, and gives what the others have.
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

    /// This process has nothing open any more.
    pub fn remove(&self) {
        // Where it stays, it is passed over soon for its age.
        let _ = fs::remove_file(&self.own_file);
    }
}

/// `None` for a file that has gone meanwhile or can't be read.
fn read_file(path: &Path) -> Option<OpenWork> {
    serde_json::from_slice(&fs::read(path).ok()?).ok()
}
