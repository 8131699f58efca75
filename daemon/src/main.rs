//! The conductor: reads its configuration, opens its doors, and on SIGTERM closes them in good order.

#![forbid(unsafe_code)]

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use frosttrail_core::{start, Clock, Conductor, Parts};
use frosttrail_daemon::config::Config;
use frosttrail_daemon::discovery::Discovery;
use frosttrail_daemon::front::platform::Platform;
use frosttrail_daemon::front::Listener;
use frosttrail_daemon::upstream::{Book, Limits, Upstream};
use slog::{info, o, Drain, Logger};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Clients and the front notice a planned end within this time, in which new ones are still taken.
const NOTICE: Duration = Duration::from_millis(900);
/// What has not ended this long after SIGTERM is given up: SIGKILL comes at 3.7 s or later.
const LAST: Duration = Duration::from_millis(3_400);
/// Descriptors for all that is neither a client nor a box: log, timers, discovery, listeners.
const SPARE_SOCKETS: usize = 48;

fn main() -> ExitCode {
    let config = match Config::from_env() {
        Ok(config) => config,
        Err(e) => {
            eprintln!("frosttrail: {e}");
            return ExitCode::from(2);
        }
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("frosttrail: {e}");
            return ExitCode::FAILURE;
        }
    };
    let (log, _guard) = logger(&config.name);
    match runtime.block_on(run(config, log)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("frosttrail: {e}");
            ExitCode::FAILURE
        }
    }
}

/// A log that never holds the program up: lines that find no room are counted and dropped.
fn logger(name: &str) -> (Logger, slog_async::AsyncGuard) {
    let decorator = slog_term::PlainDecorator::new(std::io::stderr());
    let lines = slog_term::FullFormat::new(decorator).build().fuse();
    let level = match std::env::var("FROSTTRAIL_LOG").as_deref() {
        Ok("debug") => slog::Level::Debug,
        _ => slog::Level::Info,
    };
    let (drain, guard) = slog_async::Async::new(lines.filter_level(level).fuse()).build_with_guard();
    (Logger::root(drain.fuse(), o!("name" => name.to_string())), guard)
}

async fn run(config: Config, log: Logger) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let each = (config.sockets - SPARE_SOCKETS) / 2;
    let closing = CancellationToken::new();
    let connections = TaskTracker::new();
    let clients = Arc::new(Semaphore::new(each));
    let listener = Listener::bind(config.listen, clients, closing.clone(), connections.clone(), log.clone())?;
    info!(log, "listening"; "at" => %config.listen, "connections" => each);
    let names = Arc::new(config.names.clone());
    let conductor = conductor(config, each, &log);
    let accepting = tokio::spawn(listener.run(Arc::new(Platform::new(conductor.clone(), names))));
    terminate.recv().await;
    info!(log, "SIGTERM: closing");
    tokio::time::timeout(LAST, async {
        tokio::time::sleep(NOTICE).await;
        closing.cancel();
        // It has been told to end; it can't panic.
        let _ = accepting.await;
        connections.close();
        connections.wait().await;
        conductor.released().await;
    })
    .await
    .unwrap_or_else(|_| info!(log, "closed with requests open"; "connections" => connections.len()));
    Ok(())
}

fn conductor(config: Config, connections: usize, log: &Logger) -> Conductor<Upstream> {
    let clock = Clock::new();
    let book = Arc::new(Book::default());
    let limits = Limits {
        connections,
        connect_timeout: Duration::from_micros(config.settings.connect_timeout),
        conn_idle: Duration::from_micros(config.settings.conn_idle),
    };
    let boxes = Arc::new(Upstream::new(book.clone(), limits));
    let Config { discovery, known, names, settings, seed, .. } = config;
    let members = Discovery::new(discovery, known, names, clock, book, log.clone());
    start(Parts { settings, seed, clock, boxes, members, log: log.clone() })
}
