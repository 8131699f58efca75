//! Stores exclusions in a folder, so that they outlive the process. There is one file for each excluded
//! instance, so that two processes that share the folder never overwrite each other's changes.

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

/// The stored exclusions of a conductor. Clones share the cache.
#[derive(Clone, Debug)]
pub struct ExclusionStore {
    folder: PathBuf,
    /// The ids read from files, by path. The name of a file is the hash of its content, so that entries never
    /// change.
    cache: Arc<Mutex<HashMap<PathBuf, Id>>>,
}

impl ExclusionStore {
    /// Uses a subfolder of the state folder, which is created with the first exclusion.
    pub fn in_folder(state: &Path) -> Self {
        ExclusionStore { folder: state.join(FOLDER_NAME), cache: Arc::default() }
    }

    /// The folder of the files.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Loads the exclusions when a process starts; a folder that does not exist counts as empty.
    pub fn load_at_start(&self, log: &Logger) -> Result<Vec<Id>> {
        match self.load(log) {
            Err(e) if e.kind() == ErrorKind::NotFound => Ok(Vec::new()),
            loaded => loaded,
        }
    }

    /// Loads all stored exclusions. Skips damaged files and logs them. Fails if any file can't be read, which
    /// must not be treated as missing. Files that were read are cached and not read again, so that retries
    /// succeed in loading hundreds of files even if reads fail now and then.
    pub fn load(&self, log: &Logger) -> Result<Vec<Id>> {
        let (mut excluded, mut last_error) = (HashMap::new(), None);
        let cached = self.cache.lock().unwrap_or_else(PoisonError::into_inner).clone();
        for file in fs::read_dir(&self.folder)? {
            let path = file?.path();
            if path.extension().is_some() {
                // A temporary file: being written, or left over from a process that was killed as it wrote.
                continue;
            }
            let id = cached.get(&path).map_or_else(|| self.read_id(&path), |id| Ok(id.clone()));
            match id {
                Ok(id) => drop(excluded.insert(path, id)),
                // The instance was included again meanwhile.
                Err(e) if e.kind() == ErrorKind::NotFound => {}
                Err(e) if e.kind() != ErrorKind::InvalidData => last_error = Some(e),
                Err(e) => {
                    warn!(log, "damaged exclusion file skipped; remove it and exclude the instance again";
                        "file" => %path.display(), "why" => %e);
                }
            }
        }
        let ids = excluded.values().cloned().collect();
        *self.cache.lock().unwrap_or_else(PoisonError::into_inner) = excluded;
        last_error.map_or(Ok(ids), Err)
    }

    /// The folder's modification time, if the file system provides it.
    pub fn last_modified(&self) -> Option<SystemTime> {
        fs::metadata(&self.folder).and_then(|folder| folder.modified()).ok()
    }

    /// Stores an exclusion; its file is complete when this returns.
    pub fn insert(&self, id: &Id) -> Result<()> {
        state_dir::replace(&self.path(id), id.as_bytes())
    }

    /// Removes an exclusion, if it is stored.
    pub fn remove(&self, id: &Id) -> Result<()> {
        match fs::remove_file(self.path(id)) {
            Err(e) if e.kind() != ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        }
    }

    /// The file is named by the id's hash, because ids may contain characters that file names can't.
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
            return Err(invalid("the file is larger than an id"));
        }
        let id = String::from_utf8(fs::read(path)?).map_err(|_| invalid("the content is not UTF-8"))?;
        match self.path(&id) == path {
            true => Ok(id.into()),
            false => Err(invalid("the file name is not the hash of the content")),
        }
    }
}
