//! The ids of requests that may have taken effect, in a file that the processes of a conductor share and that
//! outlives them. A fixed table: each id has its place in one of a number of buckets.

use std::collections::VecDeque;
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

use frosttrail::Id;
use frosttrail_core::USED_ID_TTL;

use crate::state_dir;
use crate::uptime::{boot_id, uptime};

const FINGERPRINT_BYTES: usize = 16;
const EXPIRY_BYTES: usize = 8;
const CHECKSUM_BYTES: usize = 8;
const RECORD_BYTES: usize = FINGERPRINT_BYTES + EXPIRY_BYTES + CHECKSUM_BYTES;
const RECORDS_PER_BUCKET: usize = 16;
const BUCKET_BYTES: usize = RECORDS_PER_BUCKET * RECORD_BYTES;
/// Bounds the file at 512 KiB. The folder may be in memory.
const BUCKET_COUNT: u64 = 1_024;
/// Records that wait while the file can't be written; beyond it the oldest are dropped.
const MAX_PENDING_RECORDS: usize = 4_096;

type Fingerprint = [u8; FINGERPRINT_BYTES];

/// An id, and until when it is remembered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Record {
    fingerprint: Fingerprint,
    /// In the uptime of the machine.
    expires_at: Duration,
}

impl Record {
    fn expiry_bytes(&self) -> [u8; EXPIRY_BYTES] {
        (self.expires_at.as_millis() as u64).to_le_bytes()
    }

    /// Detects a record that was written in part, or before the machine was last booted.
    fn checksum(&self, boot_id: &str) -> [u8; CHECKSUM_BYTES] {
        let mut checksum = [0; CHECKSUM_BYTES];
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.fingerprint).update(&self.expiry_bytes()).update(boot_id.as_bytes());
        hasher.finalize_xof().fill(&mut checksum);
        checksum
    }

    fn encode(&self, boot_id: &str) -> [u8; RECORD_BYTES] {
        let mut bytes = [0; RECORD_BYTES];
        let parts = [&self.fingerprint[..], &self.expiry_bytes(), &self.checksum(boot_id)];
        bytes.iter_mut().zip(parts.concat()).for_each(|(byte, part)| *byte = part);
        bytes
    }

    /// `None` for a record that is empty, damaged or from before the last boot.
    fn decode(bytes: &[u8], boot_id: &str) -> Option<Self> {
        let (fingerprint, rest) = bytes.split_first_chunk()?;
        let (expiry, checksum) = rest.split_first_chunk()?;
        let expires_at = Duration::from_millis(u64::from_le_bytes(*expiry));
        let record = Record { fingerprint: *fingerprint, expires_at };
        (checksum == record.checksum(boot_id)).then_some(record)
    }
}

/// The table in its file. Each process opens it for itself.
#[derive(Debug)]
pub(crate) struct UsedIdTable {
    path: PathBuf,
    /// Open once that has succeeded, with the id of the current boot.
    file: Option<(File, String)>,
    /// Records that have not been written yet.
    pending: VecDeque<Record>,
}

impl UsedIdTable {
    /// Uses a file in the state folder, which is opened or created when it is needed.
    pub(crate) fn in_folder(state_folder: &Path) -> Self {
        let path = state_folder.join("used-request-ids");
        UsedIdTable { path, file: None, pending: VecDeque::new() }
    }

    /// Records an id. If the file can't be written, the record is kept and written with a later call.
    pub(crate) fn record(&mut self, id: &Id) -> io::Result<()> {
        let expires_at = uptime() + USED_ID_TTL;
        self.pending.push_back(Record { fingerprint: fingerprint(id), expires_at });
        if self.pending.len() > MAX_PENDING_RECORDS {
            self.pending.pop_front();
        }
        self.write_pending()
    }

    /// Whether an id has been recorded by any process and is remembered still.
    pub(crate) fn contains(&mut self, id: &Id) -> io::Result<bool> {
        let (fingerprint, now) = (fingerprint(id), uptime());
        let is_match = |record: &Record| record.fingerprint == fingerprint && record.expires_at > now;
        if self.pending.iter().any(is_match) {
            return Ok(true);
        }
        let (file, boot_id) = self.open()?;
        Ok(read_bucket(file, boot_id, &fingerprint)?.iter().flatten().any(is_match))
    }

    fn write_pending(&mut self) -> io::Result<()> {
        while let Some(record) = self.pending.front().copied() {
            let (file, boot_id) = self.open()?;
            write_record(file, boot_id, &record)?;
            self.pending.pop_front();
        }
        Ok(())
    }

    fn open(&mut self) -> io::Result<(&File, &str)> {
        if self.file.is_none() {
            state_dir::create(self.path.parent().unwrap_or(&self.path))?;
            let file =
                File::options().create(true).truncate(false).read(true).write(true).open(&self.path)?;
            self.file = Some((file, boot_id()?));
        }
        match &self.file {
            Some((file, boot_id)) => Ok((file, boot_id)),
            None => Err(io::ErrorKind::NotFound.into()),
        }
    }
}

fn fingerprint(id: &Id) -> Fingerprint {
    let mut fingerprint = Fingerprint::default();
    blake3::Hasher::new().update(id.as_bytes()).finalize_xof().fill(&mut fingerprint);
    fingerprint
}

fn bucket_offset(fingerprint: &Fingerprint) -> u64 {
    let hash = fingerprint.first_chunk().map_or(0, |bytes| u64::from_le_bytes(*bytes));
    hash % BUCKET_COUNT * BUCKET_BYTES as u64
}

/// Reads the bucket of an id. What lies beyond the end of the file is empty.
fn read_bucket(file: &File, boot_id: &str, fingerprint: &Fingerprint) -> io::Result<Vec<Option<Record>>> {
    let mut bytes = [0; BUCKET_BYTES];
    let mut filled = 0;
    while filled < BUCKET_BYTES {
        match file.read_at(&mut bytes[filled..], bucket_offset(fingerprint) + filled as u64) {
            Ok(0) => break,
            Ok(read) => filled += read,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(bytes.chunks(RECORD_BYTES).map(|record| Record::decode(record, boot_id)).collect())
}

/// Writes a record in place of one of the same id, an empty one, or the one that expires first.
fn write_record(file: &File, boot_id: &str, record: &Record) -> io::Result<()> {
    let bucket = read_bucket(file, boot_id, &record.fingerprint)?;
    let priority = |known: &Option<Record>| match known {
        Some(known) if known.fingerprint == record.fingerprint => Duration::ZERO,
        Some(known) => known.expires_at,
        None => Duration::from_nanos(1),
    };
    let slot = (0..bucket.len()).min_by_key(|slot| priority(&bucket[*slot])).unwrap_or_default();
    let offset = bucket_offset(&record.fingerprint) + (slot * RECORD_BYTES) as u64;
    file.write_all_at(&record.encode(boot_id), offset)
}

#[cfg(test)]
#[path = "../tests/unit/used_id_table.rs"]
mod tests;
