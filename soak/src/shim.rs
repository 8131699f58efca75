//! The control file of the fault shim (`shim/fault_shim.c`).

use std::fs::File;
use std::io::Result;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// The library, as the build has left it.
pub const LIBRARY: &str = env!("FAULT_SHIM");

/// What the shim counts, in the order of its counters.
pub const COUNTERS: [&str; 8] =
    ["clock", "disk", "accept", "connect", "socket", "short io", "configuration", "thread"];

/// Where the counters begin, behind the faults.
const FIRED_AT: u64 = 32;
const BYTES: u64 = FIRED_AT + 8 * COUNTERS.len() as u64;

/// Which faults are on.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// The wall clock is off by so much.
    pub wall_offset_ms: i64,
    /// Calls on the state folder that fail, of 1,000.
    pub disk_per_mille: u32,
    /// Calls that accept, connect or make a socket, or what waits for sockets, and fail, of 1,000.
    pub network_per_mille: u32,
    /// Reads and writes of sockets that are short, of 1,000.
    pub short_per_mille: u32,
    /// Openings of the configuration that fail, of 1,000.
    pub config_per_mille: u32,
    /// Threads that can't be made, of 1,000.
    pub thread_per_mille: u32,
}

/// One process's control file.
#[derive(Debug)]
pub struct Control {
    file: File,
    path: PathBuf,
}

impl Control {
    /// Makes the file, with these faults on.
    pub fn create(path: &Path, faults: Faults) -> Result<Self> {
        let file = File::options().create(true).truncate(true).read(true).write(true).open(path)?;
        file.set_len(BYTES)?;
        let control = Control { file, path: path.to_path_buf() };
        control.set(faults)?;
        Ok(control)
    }

    /// Where it lies.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Switches faults.
    pub fn set(&self, faults: Faults) -> Result<()> {
        let mut bytes = Vec::with_capacity(FIRED_AT as usize);
        bytes.extend(faults.wall_offset_ms.to_ne_bytes());
        let shares = [
            faults.disk_per_mille,
            faults.network_per_mille,
            faults.short_per_mille,
            faults.config_per_mille,
            faults.thread_per_mille,
        ];
        shares.iter().for_each(|share| bytes.extend(share.to_ne_bytes()));
        self.file.write_all_at(&bytes, 0)
    }

    /// How often each fault has fired.
    pub fn fired(&self) -> Result<[u64; COUNTERS.len()]> {
        let mut fired = [0; COUNTERS.len()];
        for (nth, count) in fired.iter_mut().enumerate() {
            let mut bytes = [0; 8];
            self.file.read_exact_at(&mut bytes, FIRED_AT + 8 * nth as u64)?;
            *count = u64::from_ne_bytes(bytes);
        }
        Ok(fired)
    }
}
