//! Reloads the configuration on SIGHUP, without a restart. A new configuration is applied completely or not
//! at all.

use std::sync::Arc;
use std::time::Duration;

use frosttrail_core::{Conductor, Metrics};
use slog::{info, warn, Logger};
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tokio::time::{sleep, Instant};

use crate::config::{Config, ConfigError, SuccessionError};
use crate::discovery::DiscoveryConfig;
use crate::transient::RETRY_INTERVAL;
use crate::upstream::HttpUpstream;

/// How long an unreadable file is retried. A new configuration counts as known 4 s after its signal, and
/// getting the member list from a new agent takes time of its own.
const READ_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Files of at least this size take milliseconds to read and are read on a separate thread.
const LARGE_FILE_BYTES: u64 = 256 << 10;

/// Why a new configuration is rejected.
#[derive(Debug, thiserror::Error)]
enum ReloadError {
    #[error("{0}")]
    Config(#[from] ConfigError),
    #[error("{0}")]
    Succession(#[from] SuccessionError),
    #[error("reading the file was interrupted: {0}; send SIGHUP again")]
    Interrupted(String),
}

/// Reads the configuration again at each signal and applies it to the parts of the daemon.
pub struct ConfigReloader {
    /// The configuration in force.
    pub config: Config,
    /// The conductor, and through it the fronts.
    pub conductor: Conductor<HttpUpstream>,
    /// The connections to servers.
    pub upstream: Arc<HttpUpstream>,
    /// Passes new settings to service discovery.
    pub discovery: watch::Sender<DiscoveryConfig>,
    /// Counts the configurations that were loaded and rejected.
    pub metrics: Metrics,
    /// Logs the outcome of each reload.
    pub log: Logger,
}

fn read_successor(current: &Config) -> Result<Config, ReloadError> {
    let config = Config::from_env()?;
    current.check_successor(&config)?;
    Ok(config)
}

impl ConfigReloader {
    /// Reads the file at each signal. An invalid file changes nothing.
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

    /// Reads the file. Transient read errors are retried, because the signal is not sent again.
    async fn read_with_retries(&self) -> Result<Config, ReloadError> {
        let deadline = Instant::now() + READ_TIMEOUT;
        loop {
            match self.read().await {
                Err(ReloadError::Config(e)) if e.is_transient() && Instant::now() < deadline => {
                    sleep(RETRY_INTERVAL).await;
                }
                read => return read,
            }
        }
    }

    /// Reads large files, which name thousands of instances, on a separate thread so as not to block the
    /// thread that serves requests.
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
