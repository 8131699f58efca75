//! What each process of a conductor has open at servers, in files that the others read.

use std::fs;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use frosttrail::OpenWork;

use crate::state_dir;

/// A process that lives writes more often than this.
const FRESH: Duration = Duration::from_secs(1);
/// A file this old is that of a process that was killed.
const ABANDONED: Duration = Duration::from_secs(30);
/// No file is larger.
const BYTES_MAX: u64 = 4 << 20;

/// The folder of such files, and this process's own.
#[derive(Clone, Debug)]
pub struct OpenWorkFiles {
    folder: PathBuf,
    own: PathBuf,
}

impl OpenWorkFiles {
    /// Uses a folder below this one, which is made if it is not there.
    pub fn open(state: &Path) -> std::io::Result<Self> {
        let folder = state.join("open-work");
        fs::create_dir_all(&folder)?;
        let own = folder.join(std::process::id().to_string());
        Ok(OpenWorkFiles { folder, own })
    }

    /// Writes what this process has open, and gives what the others have.
    pub fn exchange(&self, own: &OpenWork) -> std::io::Result<OpenWork> {
        state_dir::replace(&self.own, serde_json::to_vec(own)?)?;
        let mut others = OpenWork::default();
        for file in fs::read_dir(&self.folder)? {
            let path = file?.path();
            if path != self.own && path.extension().is_none() {
                others.add(read(&path).unwrap_or_default());
            }
        }
        Ok(others)
    }

    /// This process has nothing open any more.
    pub fn remove(&self) {
        // Where it stays, it is passed over soon for its age.
        let _ = fs::remove_file(&self.own);
    }
}

/// `None` for a file that has gone meanwhile, was not written lately or can't be read.
fn read(path: &Path) -> Option<OpenWork> {
    let metadata = fs::metadata(path).ok()?;
    let age = SystemTime::now().duration_since(metadata.modified().ok()?).unwrap_or_default();
    if age > ABANDONED {
        let _ = fs::remove_file(path);
    }
    if age > FRESH || metadata.len() > BYTES_MAX {
        return None;
    }
    serde_json::from_slice(&fs::read(path).ok()?).ok()
}
