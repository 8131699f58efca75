//! Exclusions as they are kept in a folder: one file for each excluded instance, so that two processes that
//! share the folder never write over each other, and what was said outlives the process that said it.

use std::collections::HashMap;
use std::fs;
use std::io::{Error, ErrorKind, Result};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::SystemTime;

use frosttrail::Id;
use slog::{warn, Logger};

use super::call::MAX_ID_BYTES;
use crate::state_dir;

const FOLDER_NAME: &str = "excluded";

/// The files of one conductor. Clones share what has been read.
#[derive(Clone, Debug)]
pub struct ExclusionStore {
    folder: PathBuf,
    /// What files hold, by their paths. A name is the hash of the content, so that neither ever changes.
    cache: Arc<Mutex<HashMap<PathBuf, Id>>>,
}

impl ExclusionStore {
    /// Uses a folder below this one, which is made once there is something to keep.
    pub fn in_folder(state: &Path) -> Self {
        ExclusionStore { folder: state.join(FOLDER_NAME), cache: Arc::default() }
    }

    /// Where they are kept.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// What a process that starts finds: nothing, where the folder has never been made.
    pub fn load_at_start(&self, log: &Logger) -> Result<Vec<Id>> {
        match self.load(log) {
            Err(e) if e.kind() == ErrorKind::NotFound => Ok(Vec::new()),
            loaded => loaded,
        }
    }

    /// All that are kept. A file that is damaged is passed over, with a line in the log. Fails where one
    /// can't be read: it may not be taken for one that is not there. Those that could are not read again, so
    /// that hundreds of files come together while each now and then can't be read.
    pub fn load(&self, log: &Logger) -> Result<Vec<Id>> {
        let (mut excluded, mut last_error) = (HashMap::new(), None);
        let cached = self.cache.lock().unwrap_or_else(PoisonError::into_inner).clone();
        for file in fs::read_dir(&self.folder)? {
            let path = file?.path();
            if path.extension().is_some() {
                // Being written, or left behind by a process that was killed as it wrote.
                continue;
            }
            let id = cached.get(&path).map_or_else(|| self.read_id(&path), |id| Ok(id.clone()));
            match id {
                Ok(id) => drop(excluded.insert(path, id)),
                // Included again meanwhile.
                Err(e) if e.kind() == ErrorKind::NotFound => {}
                Err(e) if e.kind() != ErrorKind::InvalidData => last_error = Some(e),
                Err(e) => {
                    warn!(log, "an exclusion is passed over; exclude the instance again, remove the file";
                        "file" => %path.display(), "why" => %e);
                }
            }
        }
        let ids = excluded.values().cloned().collect();
        *self.cache.lock().unwrap_or_else(PoisonError::into_inner) = excluded;
        last_error.map_or(Ok(ids), Err)
    }

    /// When the folder last changed, where the file system says so.
    pub fn last_modified(&self) -> Option<SystemTime> {
        fs::metadata(&self.folder).and_then(|folder| folder.modified()).ok()
    }

    /// Keeps an exclusion; it is whole once this has returned.
    pub fn insert(&self, id: &Id) -> Result<()> {
        state_dir::replace(&self.path(id), id.as_bytes())
    }

    /// Forgets an exclusion, if it is kept.
    pub fn remove(&self, id: &Id) -> Result<()> {
        match fs::remove_file(self.path(id)) {
            Err(e) if e.kind() != ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        }
    }

    /// Named by the id's hash: ids may hold what file names may not.
    fn path(&self, id: &str) -> PathBuf {
        self.folder.join(blake3::hash(id.as_bytes()).to_hex().as_str())
    }

    fn read_id(&self, path: &Path) -> Result<Id> {
        let invalid = |why| Error::new(ErrorKind::InvalidData, why);
        let file = fs::metadata(path)?;
        if file.is_dir() {
            return Err(ErrorKind::IsADirectory.into());
        }
        if file.len() > MAX_ID_BYTES as u64 {
            return Err(invalid("larger than an id"));
        }
        let id = String::from_utf8(fs::read(path)?).map_err(|_| invalid("not text"))?;
        match self.path(&id) == path {
            true => Ok(id.into()),
            false => Err(invalid("its name is not the hash of what it holds")),
        }
    }
}
