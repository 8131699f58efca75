//! The commands of the `frosttrail` binary, and what they share.

mod graceful_shutdown;
mod operations;
pub mod serve;
pub mod transfer;

use std::net::SocketAddr;
use std::process::ExitCode;

use frosttrail_daemon::config::ConfigError;
use rand::TryRngCore;
use slog::{o, Drain, Logger};
use tokio::runtime::Runtime;

/// Why a command fails.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    #[error("{0}")]
    Config(#[from] ConfigError),
    #[error("{0}: {1}")]
    Bind(SocketAddr, std::io::Error),
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("{0}")]
    Transfer(#[from] transfer::TransferError),
}

impl CommandError {
    /// The exit code: 2 for errors in the configuration, 1 for all others.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            CommandError::Config(_) => ExitCode::from(2),
            CommandError::Bind(..) | CommandError::Io(_) | CommandError::Transfer(_) => ExitCode::FAILURE,
        }
    }
}

/// Draws a random id that tells this process from all others.
fn random_incarnation() -> Result<u64, CommandError> {
    let number = rand::rngs::OsRng.try_next_u64();
    Ok(number.map_err(|e| std::io::Error::other(e.to_string()))?)
}

fn runtime() -> std::io::Result<Runtime> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()
}

/// A logger that never blocks the program: lines that do not fit into its queue are counted and dropped.
fn logger(name: &str) -> (Logger, slog_async::AsyncGuard) {
    let decorator = slog_term::PlainDecorator::new(std::io::stderr());
    let formatter = slog_term::FullFormat::new(decorator).build().fuse();
    let level = match std::env::var("FROSTTRAIL_LOG").as_deref() {
        Ok("debug") => slog::Level::Debug,
        _ => slog::Level::Info,
    };
    let (drain, guard) = slog_async::Async::new(formatter).build_with_guard();
    // Filters before the queue, so that lines below the level are neither formatted nor displace other lines.
    (Logger::root(drain.filter_level(level).fuse(), o!("name" => name.to_string())), guard)
}
