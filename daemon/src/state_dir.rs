//! The folder in which a conductor stores data that outlives its process. The file system may fail for a
//! while: folders are created only when needed, and incomplete writes are removed.

use std::fs::{self, DirBuilder};
use std::io::{ErrorKind, Result};
use std::net::SocketAddr;
use std::os::unix::fs::DirBuilderExt;
use std::path::{Path, PathBuf};

/// How many hexadecimal digits of a hash distinguish the conductors of one machine.
const HASH_DIGITS: usize = 16;
/// Access for this user only: the files in the folder can take instances out of use.
const FOLDER_MODE: u32 = 0o700;

/// The path of the state folder of the conductor with this name and address, in `$TMPDIR`. It may not exist.
pub fn path(name: &str, listen: SocketAddr) -> PathBuf {
    path_below(&std::env::temp_dir(), name, listen)
}

/// The path of the state folder in another parent folder.
pub fn path_below(parent: &Path, name: &str, listen: SocketAddr) -> PathBuf {
    let hash = blake3::hash(format!("{name} {listen}").as_bytes()).to_hex();
    parent.join(format!("frosttrail-{}", &hash[..HASH_DIGITS]))
}

/// Creates a folder and its missing parents.
pub fn create(folder: &Path) -> Result<()> {
    DirBuilder::new().recursive(true).mode(FOLDER_MODE).create(folder)
}

/// Replaces a file atomically: readers see either the complete new content or the old one. The temporary file
/// has the process's id as its extension. A missing folder is created.
pub fn replace(path: &Path, bytes: impl AsRef<[u8]>) -> Result<()> {
    let temporary = path.with_extension(std::process::id().to_string());
    let written = match fs::write(&temporary, &bytes) {
        Err(e) if e.kind() == ErrorKind::NotFound => {
            create(path.parent().unwrap_or(path))?;
            fs::write(&temporary, &bytes)
        }
        written => written,
    };
    written.and_then(|()| fs::rename(&temporary, path)).inspect_err(|_| {
        // The write may have failed for lack of space, which an incomplete file would use up.
        let _ = fs::remove_file(&temporary);
    })
}

/// Removes temporary files of processes that no longer run, which were killed as they wrote.
pub fn remove_leftovers(folder: &Path) {
    let Ok(files) = fs::read_dir(folder) else { return };
    for file in files.flatten() {
        let path = file.path();
        let writer = path.extension().and_then(|e| e.to_str()).and_then(|e| e.parse::<u32>().ok());
        let is_gone = writer.is_some_and(|id| !Path::new("/proc").join(id.to_string()).exists());
        if is_gone && file.file_type().is_ok_and(|kind| kind.is_file()) {
            let _ = fs::remove_file(path);
        }
    }
}
