//! The record of a case: one line for each thing that was sent, answered or run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Clones write to the same file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    /// Creates the file that `RECORD` names, or `record.txt` in the current folder.
    pub fn create() -> std::io::Result<Self> {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
        let record = Record { file: Arc::new(Mutex::new(File::create(path)?)), start: Instant::now() };
        record.line(if crate::has_trouble() { "with the disruption" } else { "without the disruption" });
        Ok(record)
    }

    /// The time since the start of the case.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Writes one line to the file and to standard output.
    pub fn line(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.now().as_secs_f64());
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = file.write_all(line.as_bytes());
        print!("{line}");
    }
}
