//! The program's commands.

mod operations;
pub mod serve;
pub mod transfer;

use std::net::SocketAddr;
use std::process::ExitCode;

use frosttrail_daemon::config::ConfigError;
use rand::TryRngCore;
use slog::{o, Drain, Logger};
use tokio::runtime::Runtime;

/// Why a command ends otherwise than well.
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
    /// 2 for whoever started it to mend, 1 for the rest.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            CommandError::Config(_) => ExitCode::from(2),
            CommandError::Bind(..) | CommandError::Io(_) | CommandError::Transfer(_) => ExitCode::FAILURE,
        }
    }
}

/// A process's name, which no other has.
fn random_incarnation() -> Result<u64, CommandError> {
    let number = rand::rngs::OsRng.try_next_u64();
    Ok(number.map_err(|e| std::io::Error::other(e.to_string()))?)
}

fn runtime() -> std::io::Result<Runtime> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()
}

/// A log that never holds the program up: lines that find no room are counted and dropped.
fn logger(name: &str) -> (Logger, slog_async::AsyncGuard) {
    let decorator = slog_term::PlainDecorator::new(std::io::stderr());
    let formatter = slog_term::FullFormat::new(decorator).build().fuse();
    let level = match std::env::var("FROSTTRAIL_LOG").as_deref() {
        Ok("debug") => slog::Level::Debug,
        _ => slog::Level::Info,
    };
    let (drain, guard) = slog_async::Async::new(formatter).build_with_guard();
    // Before the channel: what nobody reads must neither be put into words here nor push out other lines.
    (Logger::root(drain.filter_level(level).fuse(), o!("name" => name.to_string())), guard)
}
