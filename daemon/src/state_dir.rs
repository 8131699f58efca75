//! The folder in which a conductor keeps what must outlive its process. It may fail for a while: nothing here
//! is made before it is needed, and what failed half way is cleared away.

use std::fs::{self, DirBuilder};
use std::io::{ErrorKind, Result};
use std::net::SocketAddr;
use std::os::unix::fs::DirBuilderExt;
use std::path::{Path, PathBuf};

/// Hexadecimal digits of a hash that tell conductors apart on one machine.
const HASH_DIGITS: usize = 16;
/// For this user alone: what lies there takes instances out of use.
const FOLDER_MODE: u32 = 0o700;

/// Where the folder of the conductor of this name and address is, below `$TMPDIR`. It need not be there.
pub fn path(name: &str, listen: SocketAddr) -> PathBuf {
    path_below(&std::env::temp_dir(), name, listen)
}

/// The same below another folder.
pub fn path_below(parent: &Path, name: &str, listen: SocketAddr) -> PathBuf {
    let hash = blake3::hash(format!("{name} {listen}").as_bytes()).to_hex();
    parent.join(format!("frosttrail-{}", &hash[..HASH_DIGITS]))
}

/// Makes a folder and those above it, where they are not there.
pub fn create(folder: &Path) -> Result<()> {
    DirBuilder::new().recursive(true).mode(FOLDER_MODE).create(folder)
}

/// Replaces a file at once: whoever reads it finds all of it or what was there before. Until then it has the
/// process's id for an extension. A folder that is not there is made.
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
        // Half a file would take room that may be what is lacking.
        let _ = fs::remove_file(&temporary);
    })
}

/// Removes from a folder what processes that are gone were writing when they were killed.
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
