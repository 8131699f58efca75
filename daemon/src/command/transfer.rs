//! `frosttrail transfer`: runs a transfer node beside a server, and sends, fetches and inspects KV caches.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::{Args, Subcommand};
use frosttrail_daemon::config::TransferConfig;
use frosttrail_transfer::cause::Cause;
use frosttrail_transfer::service::{
    query_status, Config, FetchError, Node, PushedCache, ReceivedCache, StatusError, StoreError,
};
use frosttrail_transfer::wire::{RequestId, RequestIdError};
use percent_encoding::{utf8_percent_encode, AsciiSet, NON_ALPHANUMERIC};
use slog::{error, info, Logger};
use tokio::io::AsyncWriteExt;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::time::timeout;

use super::{logger, random_incarnation, runtime, CommandError};

/// The characters of a request id that are not percent-encoded in a file name.
const UNESCAPED: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'_');
/// A longer file name is replaced with the hash of the id, because file systems allow 255 bytes.
const MAX_FILE_NAME_BYTES: usize = 200;

/// Why a transfer command fails.
#[derive(Debug, thiserror::Error)]
pub enum TransferError {
    #[error("{0}: {1}")]
    File(PathBuf, std::io::Error),
    #[error("{0}: can't be sent as a KV cache: {1}")]
    Store(PathBuf, StoreError),
    #[error("{0}: could not be sent: {1}")]
    Push(RequestId, Cause),
    #[error("{0}: could not be fetched: {1}")]
    Fetch(RequestId, FetchError),
    #[error("{0}: not transferred within {1} s; try again with a larger --within")]
    TimedOut(RequestId, u64),
    #[error("{0}: {1}")]
    Status(SocketAddr, StatusError),
}

#[derive(Subcommand, Debug)]
pub enum Command {
    /// Take, hold and hand on states beside a server, until SIGTERM.
    Serve(Serve),
    /// Hand a file to a node as the state of a request.
    Send(Send),
    /// Fetch a state from whichever of several nodes has it.
    Fetch(Fetch),
    /// Show what a node holds and has done, as JSON.
    Status(Status),
}

#[derive(Args, Debug)]
pub struct Serve {
    /// How it is set up; deploy/transfer.json is an example.
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
}

#[derive(Args, Debug)]
pub struct Send {
    /// The state.
    file: PathBuf,
    /// The request's id, which names the state.
    #[arg(long, value_parser = parse_request_id)]
    id: RequestId,
    /// The node that is to have it.
    #[arg(long, value_name = "ADDRESS")]
    to: SocketAddr,
    /// Bytes of a chunk: a power of two from 4096 to 1048576.
    #[arg(long, value_name = "BYTES", default_value_t = 262_144)]
    chunk: u32,
    /// For all of it, in seconds.
    #[arg(long, value_name = "SECONDS", default_value_t = 30)]
    within: u64,
}

#[derive(Args, Debug)]
pub struct Fetch {
    /// The request's id, which names the state.
    #[arg(long, value_parser = parse_request_id)]
    id: RequestId,
    /// A node that may have it; may be given several times.
    #[arg(long, value_name = "ADDRESS", required = true)]
    from: Vec<SocketAddr>,
    /// Where to write it. The file appears whole or not at all.
    #[arg(long, value_name = "FILE")]
    out: PathBuf,
    /// For all of it, in seconds.
    #[arg(long, value_name = "SECONDS", default_value_t = 30)]
    within: u64,
}

#[derive(Args, Debug)]
pub struct Status {
    /// The node.
    #[arg(long, value_name = "ADDRESS")]
    at: SocketAddr,
}

fn parse_request_id(text: &str) -> Result<RequestId, RequestIdError> {
    RequestId::new(text)
}

/// Runs a transfer command.
pub fn run(command: Command) -> Result<(), CommandError> {
    let runtime = runtime()?;
    match command {
        Command::Serve(args) => {
            let config = TransferConfig::read(&args.config)?;
            let signals = {
                let _entered = runtime.enter();
                (signal(SignalKind::terminate())?, signal(SignalKind::hangup())?)
            };
            let (log, _guard) = logger(&config.name);
            runtime.block_on(serve(config, signals, log))
        }
        Command::Send(args) => Ok(runtime.block_on(send(args))?),
        Command::Fetch(args) => Ok(runtime.block_on(fetch(args))?),
        Command::Status(args) => Ok(runtime.block_on(status(args))?),
    }
}

async fn serve(
    config: TransferConfig,
    (mut terminate, mut hangup): (Signal, Signal),
    log: Logger,
) -> Result<(), CommandError> {
    let node = Node::new(config.node, random_incarnation()?, log.clone());
    let mut pushed = node.subscribe_pushed();
    let at = node.listen(config.listen).await.map_err(|e| CommandError::Bind(config.listen, e))?;
    info!(log, "listening"; "at" => at);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => info!(log, "SIGHUP: ignored; restart to change settings"),
            Some(cache) = pushed.recv() => store_pushed(&node, cache, config.store.as_deref(), &log).await,
        }
    }
    info!(log, "SIGTERM: draining"; "within" => ?config.drain_timeout);
    node.drain(config.drain_timeout);
    let drain = async {
        loop {
            tokio::select! {
                () = node.wait_until_idle() => break,
                Some(cache) = pushed.recv() => {
                    store_pushed(&node, cache, config.store.as_deref(), &log).await;
                }
            }
        }
        while let Ok(cache) = pushed.try_recv() {
            store_pushed(&node, cache, config.store.as_deref(), &log).await;
        }
    };
    if timeout(config.drain_timeout + config.drain_timeout / 10, drain).await.is_err() {
        info!(log, "drain timed out"; "states" => node.status().states);
    }
    Ok(())
}

/// Stores a received KV cache in the folder. If that fails, or there is no folder, holds it in memory to be
/// fetched.
async fn store_pushed(
    node: &Node,
    PushedCache { id, cache }: PushedCache,
    store: Option<&Path>,
    log: &Logger,
) {
    let bytes = cache.length();
    if let Some(folder) = store {
        let file = folder.join(file_name(&id));
        match write_atomically(&file, &cache).await {
            Ok(()) => {
                return info!(log, "KV cache stored"; "request" => %id, "bytes" => bytes, "file" => ?file)
            }
            Err(e) => error!(log, "KV cache not stored"; "request" => %id, "file" => ?file, "why" => %e),
        }
    }
    let stored = match node.begin_prefill(id.clone()) {
        Ok(prefill) => prefill.store(cache.chunks().concat().into()).await,
        Err(cause) => Err(cause.into()),
    };
    match stored {
        Ok(()) => info!(log, "KV cache held in memory"; "request" => %id, "bytes" => bytes),
        Err(e) => error!(log, "KV cache lost"; "request" => %id, "bytes" => bytes, "why" => %e),
    }
}

/// A file name that can't refer outside its folder, whatever the id.
fn file_name(id: &RequestId) -> String {
    let name = utf8_percent_encode(id.as_str(), UNESCAPED).to_string();
    match name.len() {
        0..=MAX_FILE_NAME_BYTES => name,
        _ => format!("{}", blake3::hash(id.as_str().as_bytes())),
    }
}

/// Writes a KV cache to a temporary file and renames it, so that readers see the complete file or none.
async fn write_atomically(file: &Path, cache: &ReceivedCache) -> std::io::Result<()> {
    let mut temporary = file.as_os_str().to_owned();
    temporary.push(format!(".{}.part", std::process::id()));
    let written = async {
        let mut out = tokio::fs::File::create(&temporary).await?;
        for chunk in cache.chunks() {
            out.write_all(chunk).await?;
        }
        out.sync_all().await?;
        tokio::fs::rename(&temporary, file).await
    };
    let written: std::io::Result<()> = written.await;
    if written.is_err() {
        let _ = tokio::fs::remove_file(&temporary).await;
    }
    written
}

async fn send(args: Send) -> Result<(), CommandError> {
    let Send { file, id, to, chunk, within } = args;
    let cache = std::fs::read(&file).map_err(|e| TransferError::File(file.clone(), e))?;
    let (log, _guard) = logger("send");
    let node = Node::new(Config { chunk_bytes: chunk, ..Config::default() }, random_incarnation()?, log);
    let bytes = cache.len();
    let transfer = async {
        let store_error = |e| TransferError::Store(file.clone(), e);
        let prefill = node.begin_prefill(id.clone()).map_err(|e| store_error(e.into()))?;
        prefill.store(cache.into()).await.map_err(store_error)?;
        node.push(&id, to).await.map_err(|e| TransferError::Push(id.clone(), e))
    };
    let result = timeout(Duration::from_secs(within), transfer).await;
    result.unwrap_or_else(|_| Err(TransferError::TimedOut(id.clone(), within)))?;
    println!("{id}: {bytes} bytes are at {to}");
    Ok(())
}

async fn fetch(args: Fetch) -> Result<(), CommandError> {
    let Fetch { id, from, out, within } = args;
    let (log, _guard) = logger("fetch");
    let node = Node::new(Config::default(), random_incarnation()?, log);
    let fetch_timeout = Duration::from_secs(within);
    let result = timeout(fetch_timeout, node.fetch(&id, &from, Some(fetch_timeout))).await;
    let result = result.map_err(|_| TransferError::TimedOut(id.clone(), within))?;
    let cache = result.map_err(|e| TransferError::Fetch(id.clone(), e))?;
    write_atomically(&out, &cache).await.map_err(|e| TransferError::File(out.clone(), e))?;
    println!("{id}: {} bytes are in {}", cache.length(), out.display());
    Ok(())
}

async fn status(args: Status) -> Result<(), CommandError> {
    let status =
        query_status(args.at, Duration::from_secs(2)).await.map_err(|e| TransferError::Status(args.at, e))?;
    println!("{}", serde_json::to_string_pretty(&status).map_err(std::io::Error::other)?);
    Ok(())
}
