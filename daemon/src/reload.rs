//! A new configuration for a program that serves: taken whole or not at all.

use std::sync::Arc;

use frosttrail_core::{Conductor, Figures};
use slog::{info, warn, Logger};
use tokio::signal::unix::Signal;
use tokio::sync::watch;

use crate::config::{Config, ConfigError, SuccessionError};
use crate::discovery::DiscoveryConfig;
use crate::upstream::Upstream;

/// Why a file is turned down.
#[derive(Debug, thiserror::Error)]
enum ReloadError {
    #[error("{0}")]
    Config(#[from] ConfigError),
    #[error("{0}")]
    Succession(#[from] SuccessionError),
}

/// Everything that a new configuration reaches.
pub struct Reload {
    /// The configuration in force.
    pub config: Config,
    /// The decisions, and with them the fronts.
    pub conductor: Conductor<Upstream>,
    /// Connections to instances.
    pub upstream: Arc<Upstream>,
    /// The source of members.
    pub discovery: watch::Sender<DiscoveryConfig>,
    /// What is counted.
    pub figures: Figures,
    /// The log.
    pub log: Logger,
}

impl Reload {
    /// Reads the file again at each signal. A file that is no good changes nothing.
    pub async fn run(mut self, mut hangup: Signal) {
        while hangup.recv().await.is_some() {
            match self.read() {
                Ok(config) => self.apply(config),
                Err(e) => {
                    self.figures.conf_invalid.inc();
                    warn!(self.log, "SIGHUP: the old configuration stays in force"; "why" => %e);
                }
            }
        }
    }

    fn read(&self) -> Result<Config, ReloadError> {
        let config = Config::from_env()?;
        self.config.check_successor(&config)?;
        Ok(config)
    }

    fn apply(&mut self, config: Config) {
        let restart = self.config.needs_restart(&config).join(" ");
        info!(self.log, "SIGHUP: configuration read"; "discovery" => %config.discovery,
            "at restart" => restart);
        self.conductor.reconfigure(config.settings.clone());
        self.upstream.reconfigure(&config.settings);
        self.discovery.send_replace(config.discovery_config());
        self.config = config;
        self.figures.conf_loaded.inc();
    }
}
