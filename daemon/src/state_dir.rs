//! The folder in which a conductor keeps what must outlive its process.

use std::fs::{self, DirBuilder};
use std::net::SocketAddr;
use std::os::unix::fs::DirBuilderExt;
use std::path::{Path, PathBuf};

/// Hexadecimal digits of a hash that tell conductors apart on one machine.
const DIGITS: usize = 16;
/// For this user alone: what lies there takes instances out of use.
const MODE: u32 = 0o700;

/// A folder below `$TMPDIR` that belongs to the conductor of this name and address.
pub fn open(name: &str, listen: SocketAddr) -> std::io::Result<PathBuf> {
    open_below(&std::env::temp_dir(), name, listen)
}

/// The same below another folder.
pub fn open_below(parent: &Path, name: &str, listen: SocketAddr) -> std::io::Result<PathBuf> {
    let hash = blake3::hash(format!("{name} {listen}").as_bytes()).to_hex();
    let folder = parent.join(format!("frosttrail-{}", &hash[..DIGITS]));
    DirBuilder::new().recursive(true).mode(MODE).create(&folder)?;
    Ok(folder)
}

/// Replaces a file at once: whoever reads it finds all of it or what was there before. Until then it has the
/// process's id for an extension.
pub fn replace(path: &Path, bytes: impl AsRef<[u8]>) -> std::io::Result<()> {
    let temporary = path.with_extension(std::process::id().to_string());
    fs::write(&temporary, bytes)?;
    fs::rename(&temporary, path)
}
