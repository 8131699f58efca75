//! Stores the learned state of a conductor in a file, for the process that replaces this one.

use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

use frosttrail_core::InheritedState;

use crate::state_dir;
use crate::uptime::{boot_id, uptime};

/// The first word of the file, which includes the version of the format.
const MAGIC: &str = "frosttrail-snapshot-2";
/// A larger state is not written. A file of more than twice this size is not read.
const MAX_BODY_BYTES: usize = 4 << 20;
/// An older snapshot no longer describes the current state of the servers.
const MAX_AGE: Duration = Duration::from_secs(10);

/// Why a snapshot is not used, or not written.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    /// The file can't be read or written.
    #[error("{0}; check that $TMPDIR has free space and belongs to this user")]
    Io(#[from] std::io::Error),
    /// The file is not a snapshot, or has another version.
    #[error("not a snapshot of this version; it will be replaced")]
    UnknownFormat,
    /// The content does not match its checksum, or the file is incomplete.
    #[error("damaged; it will be replaced")]
    Damaged,
    /// The snapshot was written too long ago, or before the machine was last booted.
    #[error("written over {MAX_AGE:?} ago, by a process that is no more; it will be replaced")]
    Expired,
    /// The snapshot exceeds the size limit.
    #[error("the snapshot is larger than {MAX_BODY_BYTES} bytes")]
    TooLarge,
}

/// The snapshot file of a conductor.
#[derive(Clone, Debug)]
pub struct SnapshotFile(PathBuf);

impl SnapshotFile {
    /// The snapshot file in a conductor's state folder.
    pub fn in_folder(folder: &Path) -> Self {
        SnapshotFile(folder.join("snapshot"))
    }

    /// Replaces the file atomically.
    pub fn write(&self, state: &InheritedState) -> Result<(), SnapshotError> {
        let body = serde_json::to_string(state).map_err(|_| SnapshotError::Damaged)?;
        if body.len() > MAX_BODY_BYTES {
            return Err(SnapshotError::TooLarge);
        }
        let hash = blake3::hash(body.as_bytes()).to_hex();
        let text = format!("{MAGIC} {hash} {} {}\n{body}", boot_id()?, uptime().as_millis());
        Ok(state_dir::replace(&self.0, text)?)
    }

    /// The state that was last written, and its age; `None` if there is no file.
    pub fn read(&self) -> Result<Option<(InheritedState, Duration)>, SnapshotError> {
        match fs::metadata(&self.0) {
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(None),
            Err(e) => return Err(e.into()),
            Ok(file) if file.len() > 2 * MAX_BODY_BYTES as u64 => return Err(SnapshotError::TooLarge),
            Ok(_) => {}
        }
        let text = String::from_utf8(fs::read(&self.0)?).map_err(|_| SnapshotError::Damaged)?;
        let (header, body) = text.split_once('\n').ok_or(SnapshotError::UnknownFormat)?;
        let mut words = header.split(' ');
        if words.next() != Some(MAGIC) {
            return Err(SnapshotError::UnknownFormat);
        }
        if words.next() != Some(blake3::hash(body.as_bytes()).to_hex().as_str()) {
            return Err(SnapshotError::Damaged);
        }
        let is_same_boot = words.next() == Some(boot_id()?.as_str());
        let written_ms = words.next().and_then(|ms| ms.parse().ok()).ok_or(SnapshotError::Damaged)?;
        let age = uptime().saturating_sub(Duration::from_millis(written_ms));
        if !is_same_boot || age > MAX_AGE {
            return Err(SnapshotError::Expired);
        }
        let state = serde_json::from_str(body).map_err(|_| SnapshotError::UnknownFormat)?;
        Ok(Some((state, age)))
    }
}
