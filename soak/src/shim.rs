//! The control file of the fault shim, whose layout is `struct control` in `shim/fault_shim.c`.

use std::fs::File;
use std::io::Result;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// The shared library that `build.rs` has built.
pub const LIBRARY_PATH: &str = env!("FAULT_SHIM");

/// Names of the shim's counters, in the order of its `enum counter`.
pub const COUNTERS: [&str; 8] =
    ["clock", "disk", "accept", "connect", "socket", "short io", "configuration", "thread"];

/// Offset of the counters, which follow the faults.
const COUNTERS_OFFSET: u64 = 32;
const FILE_BYTES: u64 = COUNTERS_OFFSET + 8 * COUNTERS.len() as u64;

/// The faults of the operating system that are on.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemFaults {
    /// Offset of the wall clock.
    pub wall_offset_ms: i64,
    /// Calls on the state folder that fail, of 1,000.
    pub disk_per_mille: u32,
    /// Calls that fail, of 1,000, among those that accept, connect or bind, or that create a socket or a
    /// descriptor to wait for sockets.
    pub network_per_mille: u32,
    /// Reads and writes of sockets that are short, of 1,000.
    pub short_per_mille: u32,
    /// Attempts to open the configuration that fail, of 1,000.
    pub config_per_mille: u32,
    /// Threads that cannot be created, of 1,000.
    pub thread_per_mille: u32,
}

/// The control file of one process.
#[derive(Debug)]
pub struct ControlFile {
    file: File,
    path: PathBuf,
}

impl ControlFile {
    /// Creates the file, with these faults on.
    pub fn create(path: &Path, faults: SystemFaults) -> Result<Self> {
        let file = File::options().create(true).truncate(true).read(true).write(true).open(path)?;
        file.set_len(FILE_BYTES)?;
        let control = ControlFile { file, path: path.to_path_buf() };
        control.set_faults(faults)?;
        Ok(control)
    }

    /// The path of the file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Replaces the faults that are on.
    pub fn set_faults(&self, faults: SystemFaults) -> Result<()> {
        let mut bytes = Vec::with_capacity(COUNTERS_OFFSET as usize);
        bytes.extend(faults.wall_offset_ms.to_ne_bytes());
        let rates = [
            faults.disk_per_mille,
            faults.network_per_mille,
            faults.short_per_mille,
            faults.config_per_mille,
            faults.thread_per_mille,
        ];
        rates.iter().for_each(|rate| bytes.extend(rate.to_ne_bytes()));
        self.file.write_all_at(&bytes, 0)
    }

    /// Reads how often each fault has fired, in the order of [`COUNTERS`].
    pub fn fired_counts(&self) -> Result<[u64; COUNTERS.len()]> {
        let mut counts = [0; COUNTERS.len()];
        for (index, count) in counts.iter_mut().enumerate() {
            let mut bytes = [0; 8];
            self.file.read_exact_at(&mut bytes, COUNTERS_OFFSET + 8 * index as u64)?;
            *count = u64::from_ne_bytes(bytes);
        }
        Ok(counts)
    }
}
