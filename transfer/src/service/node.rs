//! What an embedding server sees: states are put, fetched, pushed and released. Dropping a read, a fetch or a
//! state gives it up.

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
use super::hub::SessionManager;
use super::status::Status;
use super::Config;
use crate::cause::Cause;
use crate::proof::{LayoutError, Proof};
use crate::receiver::KvCache;
use crate::sender::PrefillId;
use crate::wire::RequestId;
use crate::TransferToken;

/// After a failed accept, as with no descriptor left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Reports that may wait for whoever listens for them.
const MAX_QUEUED_FREED_REPORTS: usize = 4_096;

/// Why a state could not be put.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// Its measures.
    #[error("{0}")]
    Layout(#[from] LayoutError),
    /// Released meanwhile, drained, or no room.
    #[error("{0}")]
    Refused(#[from] Cause),
}

/// Why a state does not come: of several holders the one cause that tells most.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FetchError {
    /// No holder was named.
    #[error("no holder to fetch it from")]
    NoSender,
    /// It could not be had.
    #[error("{0}")]
    Failed(#[from] Cause),
}

/// A state that others announced and that has arrived.
#[derive(Debug)]
pub struct PushedCache {
    /// Whose state.
    pub id: RequestId,
    /// The state.
    pub cache: ReceivedCache,
}

/// A state that is whole, proven and this process's own. Its memory is given back when it is dropped.
pub struct ReceivedCache {
    cache: KvCache,
    manager: Option<Arc<SessionManager>>,
}

impl ReceivedCache {
    pub(crate) fn new(cache: KvCache, manager: Arc<SessionManager>) -> Self {
        ReceivedCache { cache, manager: Some(manager) }
    }

    /// Its length, which whoever calls gives back.
    pub(crate) fn disown(mut self) -> u64 {
        self.manager = None;
        self.cache.length
    }

    /// The chunks in their order.
    pub fn chunks(&self) -> &[Bytes] {
        &self.cache.chunks
    }

    /// Bytes in all.
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

/// A read that is under way. Dropping it gives the read up.
pub struct ActivePrefill {
    manager: Arc<SessionManager>,
    prefill: Option<PrefillId>,
}

impl ActivePrefill {
    /// The prompt is read: this is its state. It is held until it is taken, released, or out of time.
    pub async fn store(mut self, cache: Bytes) -> Result<(), StoreError> {
        let chunk_bytes = self.manager.config.chunk_bytes;
        let hash_task = {
            let cache = cache.clone();
            tokio::task::spawn_blocking(move || Proof::compute(&cache, chunk_bytes))
        };
        // Hashing neither panics nor is it cancelled while the runtime lives.
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

/// Ends a fetch that nobody waits for any more.
struct FetchGuard(Arc<SessionManager>, Option<TransferToken>);

impl Drop for FetchGuard {
    fn drop(&mut self) {
        if let Some(token) = self.1.take() {
            self.0.cancel_fetch(token);
        }
    }
}

/// A holder and taker of states. Dropping it ends all that it does.
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
    /// A node that nobody can reach yet. `incarnation` is drawn anew at each start, and is not 0.
    pub fn new(config: Config, incarnation: u64, log: Logger) -> Self {
        let manager = Arc::new(SessionManager::new(config, incarnation.max(1), log));
        let expiry_task = AbortOnDropHandle::new(tokio::spawn(manager.clone().run_expiry()));
        Node { manager, _expiry_task: expiry_task, accept_tasks: std::sync::Mutex::default() }
    }

    /// Takes connections there; a port of 0 is chosen by the system.
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

    /// A read begins here.
    pub fn begin_prefill(&self, id: RequestId) -> Result<ActivePrefill, Cause> {
        let prefill = self.manager.begin_prefill(id)?;
        Ok(ActivePrefill { manager: self.manager.clone(), prefill: Some(prefill) })
    }

    /// Fetches a state from whichever of these holders has it. Dropping the future gives it up.
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
                // A holder that is not there tells less than one that had it and can't give it.
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

    /// Announces a state that is held here to the node at an address; resolves once that owns it.
    pub async fn push(&self, id: &RequestId, to: SocketAddr) -> Result<(), Cause> {
        self.manager.push(id.clone(), to)?.await.unwrap_or(Err(Cause::PeerLost))
    }

    /// Lets go of all that is held for the request, at both ends of its moves, and of what a read brings.
    /// For a request that has ended.
    pub fn release(&self, id: &RequestId) {
        self.manager.release(id);
    }

    /// Lets go of what is held for the request and no attempt waits for: a read that is under way goes on,
    /// and so does a move until its taker gives it up. What `DELETE /state/{id}` of the platform's protocol
    /// means, as the request's next attempt may be under way beside it.
    pub fn release_unclaimed(&self, id: &RequestId) {
        self.manager.release_unclaimed(id);
    }

    /// Reads nothing more here. What is held may be taken for so long, and is freed then.
    pub fn drain(&self, within: Duration) {
        info!(self.manager.log, "draining"; "within_ms" => within.as_millis() as u64);
        self.manager.drain(within.as_micros() as u64);
    }

    /// Resolves once nothing is held and nothing moves.
    pub async fn wait_until_idle(&self) {
        loop {
            let transfer_ended = self.manager.transfer_ended.notified();
            if self.manager.is_idle() {
                return;
            }
            transfer_ended.await;
        }
    }

    /// The states that others have announced, once they are here. One caller gets them: the last.
    pub fn subscribe_pushed(&self) -> mpsc::UnboundedReceiver<PushedCache> {
        self.manager.subscribe_pushed()
    }

    /// The states that were freed here without a taker, and why: their prompts are to be read anew, if they
    /// are still wanted. One caller gets them: the last. What finds no room is not waited for.
    pub fn subscribe_freed(&self) -> mpsc::Receiver<(RequestId, Cause)> {
        self.manager.subscribe_freed(MAX_QUEUED_FREED_REPORTS)
    }

    /// Each move to here: whose, bytes that are here and proven, bytes in all once they are known.
    pub fn progress(&self) -> Vec<(RequestId, u64, Option<u64>)> {
        self.manager.progress()
    }

    /// What it holds and has done.
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
                    // It ends with its connection, or with the node.
                    tokio::spawn(async move {
                        serve(manager, stream, peer, None).await;
                        drop(permit);
                    });
                }
                Err(_) => info!(manager.log, "a connection was turned down: too many"; "peer" => peer),
            },
            Err(e) => {
                warn!(manager.log, "no connection could be taken"; "why" => %e);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
