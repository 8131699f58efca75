//! A new configuration for a program that serves: taken whole or not at all.

use std::sync::Arc;
use std::time::Duration;

use frosttrail_core::{Conductor, Metrics};
use slog::{info, warn, Logger};
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tokio::time::{sleep, Instant};

use crate::config::{Config, ConfigError, SuccessionError};
use crate::discovery::DiscoveryConfig;
use crate::transient::RETRY_EVERY;
use crate::upstream::HttpUpstream;

/// A file that can't be read is tried again for so long. What a new configuration names counts as told 4 s
/// after its signal, and the list of a new agent takes time of its own.
const READ_TIMEOUT: Duration = Duration::from_millis(2_500);

/// A file of this many bytes takes milliseconds to read, and is read on a thread of its own.
const LARGE_FILE_BYTES: u64 = 256 << 10;

/// Why a file is turned down.
#[derive(Debug, thiserror::Error)]
enum ReloadError {
    #[error("{0}")]
    Config(#[from] ConfigError),
    #[error("{0}")]
    Succession(#[from] SuccessionError),
    #[error("the file was not read to its end: {0}; send SIGHUP again")]
    Interrupted(String),
}

/// Everything that a new configuration reaches.
pub struct ConfigReloader {
    /// The configuration in force.
    pub config: Config,
    /// The decisions, and with them the fronts.
    pub conductor: Conductor<HttpUpstream>,
    /// Connections to instances.
    pub upstream: Arc<HttpUpstream>,
    /// The source of members.
    pub discovery: watch::Sender<DiscoveryConfig>,
    /// What is counted.
    pub metrics: Metrics,
    /// The log.
    pub log: Logger,
}

fn read_successor(current: &Config) -> Result<Config, ReloadError> {
    let config = Config::from_env()?;
    current.check_successor(&config)?;
    Ok(config)
}

impl ConfigReloader {
    /// Reads the file again at each signal. A file that is no good changes nothing.
    pub async fn run(mut self, mut hangup: Signal) {
        while hangup.recv().await.is_some() {
            match self.read_with_retries().await {
                Ok(config) => self.apply(config),
                Err(e) => {
                    self.metrics.conf_invalid.inc();
                    warn!(self.log, "SIGHUP: the old configuration stays in force"; "why" => %e);
                }
            }
        }
    }

    /// Reads the file; one that can't be read for a moment is tried again, as nobody sends the signal twice.
    async fn read_with_retries(&self) -> Result<Config, ReloadError> {
        let deadline = Instant::now() + READ_TIMEOUT;
        loop {
            match self.read().await {
                Err(ReloadError::Config(e)) if e.is_transient() && Instant::now() < deadline => {
                    sleep(RETRY_EVERY).await;
                }
                read => return read,
            }
        }
    }

    /// The thread that serves does not wait for a file that names thousands of instances.
    async fn read(&self) -> Result<Config, ReloadError> {
        let current = self.config.clone();
        if Config::file_size() < LARGE_FILE_BYTES {
            return read_successor(&current);
        }
        let read = tokio::task::spawn_blocking(move || read_successor(&current));
        read.await.map_err(|e| ReloadError::Interrupted(e.to_string()))?
    }

    fn apply(&mut self, config: Config) {
        let restart_keys = self.config.keys_needing_restart(&config).join(" ");
        info!(self.log, "SIGHUP: configuration read"; "discovery" => %config.discovery,
            "at restart" => restart_keys);
        self.conductor.reconfigure(config.settings.clone());
        self.upstream.reconfigure(&config.settings);
        self.discovery.send_replace(config.discovery_config());
        self.config = config;
        self.metrics.conf_loaded.inc();
    }
}
