//! The interface for an embedding server: KV caches are stored, fetched, pushed and released. Dropping a
//! prefill or a fetch cancels it; dropping a received KV cache releases its memory.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::FuturesUnordered;
use futures_util::StreamExt;
use slog::{info, warn, Logger};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, Semaphore};
use tokio::time::sleep;
use tokio_util::task::AbortOnDropHandle;

use super::connection::serve;
use super::session_manager::SessionManager;
use super::status::Status;
use super::Config;
use crate::cause::Cause;
use crate::proof::{LayoutError, Proof};
use crate::receiver::KvCache;
use crate::sender::PrefillId;
use crate::wire::RequestId;
use crate::TransferToken;

/// Delay after a failed accept, for example when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Capacity of the channel of reports on freed KV caches.
const MAX_QUEUED_FREED_REPORTS: usize = 4_096;

/// Why a KV cache could not be stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// It cannot be divided into chunks.
    #[error("{0}")]
    Layout(#[from] LayoutError),
    /// The request was released meanwhile, or the node drains or is full.
    #[error("{0}")]
    Refused(#[from] Cause),
}

/// Why a fetch failed: of several senders, the most informative cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FetchError {
    /// No sender was given.
    #[error("no address given to fetch the KV cache from")]
    NoSender,
    /// No sender delivered it.
    #[error("{0}")]
    Failed(#[from] Cause),
}

/// A KV cache that another node pushed here.
#[derive(Debug)]
pub struct PushedCache {
    /// The request that it belongs to.
    pub id: RequestId,
    /// The KV cache.
    pub cache: ReceivedCache,
}

/// A KV cache that is complete, verified and owned by this process. Dropping it releases its memory.
pub struct ReceivedCache {
    cache: KvCache,
    manager: Option<Arc<SessionManager>>,
}

impl ReceivedCache {
    pub(crate) fn new(cache: KvCache, manager: Arc<SessionManager>) -> Self {
        ReceivedCache { cache, manager: Some(manager) }
    }

    /// Consumes the value without releasing its memory; returns the bytes, which the caller must release.
    pub(crate) fn disown(mut self) -> u64 {
        self.manager = None;
        self.cache.length
    }

    /// The chunks in order.
    pub fn chunks(&self) -> &[Bytes] {
        &self.cache.chunks
    }

    /// Total length in bytes.
    pub fn length(&self) -> u64 {
        self.cache.length
    }
}

impl std::fmt::Debug for ReceivedCache {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "ReceivedCache({} bytes)", self.cache.length)
    }
}

impl Drop for ReceivedCache {
    fn drop(&mut self) {
        if let Some(manager) = self.manager.take() {
            manager.release_memory(self.cache.length);
        }
    }
}

/// A prefill that is under way. Dropping it cancels the prefill.
pub struct ActivePrefill {
    manager: Arc<SessionManager>,
    prefill: Option<PrefillId>,
}

impl ActivePrefill {
    /// Ends the prefill and stores its KV cache. It is held until it is fetched, released, or expires.
    pub async fn store(mut self, cache: Bytes) -> Result<(), StoreError> {
        let chunk_bytes = self.manager.config.chunk_bytes;
        let hash_task = {
            let cache = cache.clone();
            tokio::task::spawn_blocking(move || Proof::compute(&cache, chunk_bytes))
        };
        // Hashing does not panic and is not cancelled while the runtime exists.
        let proof = hash_task.await.map_err(|_| Cause::PeerLost)??;
        match self.prefill.take() {
            Some(prefill) => Ok(self.manager.store_prefill(prefill, cache, Arc::new(proof))?),
            None => Err(Cause::Released.into()),
        }
    }
}

impl Drop for ActivePrefill {
    fn drop(&mut self) {
        if let Some(prefill) = self.prefill.take() {
            self.manager.cancel_prefill(prefill);
        }
    }
}

/// Cancels a fetch when its caller stops waiting for it.
struct FetchGuard(Arc<SessionManager>, Option<TransferToken>);

impl Drop for FetchGuard {
    fn drop(&mut self) {
        if let Some(token) = self.1.take() {
            self.0.cancel_fetch(token);
        }
    }
}

/// A node of the transfer service: holds, sends and fetches KV caches. Dropping it ends all its work.
pub struct Node {
    manager: Arc<SessionManager>,
    _expiry_task: AbortOnDropHandle<()>,
    accept_tasks: std::sync::Mutex<Vec<AbortOnDropHandle<()>>>,
}

impl Drop for Node {
    fn drop(&mut self) {
        self.manager.close();
    }
}

impl Node {
    /// Creates a node that does not listen yet. `incarnation` is a new value at each start and is not 0.
    pub fn new(config: Config, incarnation: u64, log: Logger) -> Self {
        let manager = Arc::new(SessionManager::new(config, incarnation.max(1), log));
        let expiry_task = AbortOnDropHandle::new(tokio::spawn(manager.clone().run_expiry()));
        Node { manager, _expiry_task: expiry_task, accept_tasks: std::sync::Mutex::default() }
    }

    /// Accepts connections on an address; for port 0 the system chooses a port. Returns the bound address.
    pub async fn listen(&self, address: SocketAddr) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let accept_task = accept_connections(self.manager.clone(), listener);
        self.accept_tasks
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .push(AbortOnDropHandle::new(tokio::spawn(accept_task)));
        Ok(address)
    }

    /// Begins a prefill.
    pub fn begin_prefill(&self, id: RequestId) -> Result<ActivePrefill, Cause> {
        let prefill = self.manager.begin_prefill(id)?;
        Ok(ActivePrefill { manager: self.manager.clone(), prefill: Some(prefill) })
    }

    /// Fetches a KV cache from whichever of these senders has it. Dropping the future cancels the fetch.
    pub async fn fetch(
        &self,
        id: &RequestId,
        from: &[SocketAddr],
        deadline: Option<Duration>,
    ) -> Result<ReceivedCache, FetchError> {
        let mut attempts: FuturesUnordered<_> =
            from.iter().map(|address| self.fetch_from(id.clone(), *address, deadline)).collect();
        let mut failure = None;
        while let Some(result) = attempts.next().await {
            match result {
                Ok(cache) => return Ok(cache),
                // A sender without the KV cache says less than one that had it and cannot deliver it.
                Err(cause) if failure.is_none_or(|earlier| earlier == Cause::NotFound) => {
                    failure = Some(cause)
                }
                Err(_) => {}
            }
        }
        Err(failure.map_or(FetchError::NoSender, FetchError::Failed))
    }

    fn fetch_from(
        &self,
        id: RequestId,
        from: SocketAddr,
        deadline: Option<Duration>,
    ) -> impl Future<Output = Result<ReceivedCache, Cause>> + use<> {
        let manager = self.manager.clone();
        async move {
            let deadline = deadline.map(|within| manager.clock.now() + within.as_micros() as u64);
            let (token, result) = manager.fetch(id, from, deadline)?;
            let mut guard = FetchGuard(manager, Some(token));
            let result = result.await.unwrap_or(Err(Cause::PeerLost));
            guard.1 = None;
            result
        }
    }

    /// Announces a KV cache that is held here to the node at an address; returns once that node has confirmed
    /// that it owns it. After an error the node may own it all the same: [`Cause::PeerLost`] says that its
    /// confirmation did not come in time.
    pub async fn push(&self, id: &RequestId, to: SocketAddr) -> Result<(), Cause> {
        self.manager.push(id.clone(), to)?.await.unwrap_or(Err(Cause::PeerLost))
    }

    /// Frees what is held for a request that has ended, at both ends of its transfers, and drops the result
    /// of a prefill that is under way.
    pub fn release(&self, id: &RequestId) {
        self.manager.release(id);
    }

    /// Frees what is held for the request unless an attempt uses it: a prefill that is under way continues,
    /// and so does a transfer until its receiver gives it up. These are the semantics of `DELETE /state/{id}`
    /// in the platform's protocol, as the request's next attempt may already be under way.
    pub fn release_unclaimed(&self, id: &RequestId) {
        self.manager.release_unclaimed(id);
    }

    /// Stops new prefills. KV caches that are held may be fetched for this long and are freed then.
    pub fn drain(&self, within: Duration) {
        info!(self.manager.log, "draining"; "within_ms" => within.as_millis() as u64);
        self.manager.drain(within.as_micros() as u64);
    }

    /// Waits until no KV cache is held, the receivers of all others have confirmed them, and no fetch is
    /// under way. A receiver that does not respond is waited for no longer than a KV cache is held.
    pub async fn wait_until_idle(&self) {
        loop {
            let transfer_ended = self.manager.transfer_ended.notified();
            if self.manager.is_idle() {
                return;
            }
            transfer_ended.await;
        }
    }

    /// Subscribes to KV caches that other nodes push, as they arrive. Replaces an earlier subscriber.
    pub fn subscribe_pushed(&self) -> mpsc::UnboundedReceiver<PushedCache> {
        self.manager.subscribe_pushed()
    }

    /// Subscribes to reports on KV caches that were freed without being handed over, with the cause; their
    /// prompts need another prefill if the requests are still active. Replaces an earlier subscriber. Reports
    /// are dropped while the channel is full.
    pub fn subscribe_freed(&self) -> mpsc::Receiver<(RequestId, Cause)> {
        self.manager.subscribe_freed(MAX_QUEUED_FREED_REPORTS)
    }

    /// For each fetch: the request, the verified bytes, and the total bytes once they are known.
    pub fn progress(&self) -> Vec<(RequestId, u64, Option<u64>)> {
        self.manager.progress()
    }

    /// What the node holds and has done since its start.
    pub fn status(&self) -> Status {
        self.manager.status()
    }
}

async fn accept_connections(manager: Arc<SessionManager>, listener: TcpListener) {
    let connection_permits = Arc::new(Semaphore::new(manager.config.max_connections));
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => match connection_permits.clone().try_acquire_owned() {
                Ok(permit) => {
                    let manager = manager.clone();
                    // The task ends with its connection or with the node.
                    tokio::spawn(async move {
                        serve(manager, stream, peer, None).await;
                        drop(permit);
                    });
                }
                Err(_) => {
                    info!(manager.log, "rejected a connection: connection limit reached"; "peer" => peer)
                }
            },
            Err(e) => {
                warn!(manager.log, "accept failed; retrying"; "why" => %e);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
