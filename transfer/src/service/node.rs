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
use super::hub::Hub;
use super::status::Status;
use super::Config;
use crate::cause::Cause;
use crate::proof::{Proof, ShapeError};
use crate::receiver::State;
use crate::sender::Ticket;
use crate::wire::RequestId;
use crate::Token;

/// After a failed accept, as with no descriptor left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Reports that may wait for whoever listens for them.
const REPORTS: usize = 4_096;

/// Why a state could not be put.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// Its measures.
    #[error("{0}")]
    Layout(#[from] ShapeError),
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
    state: State,
    hub: Option<Arc<Hub>>,
}

impl ReceivedCache {
    pub(crate) fn new(state: State, hub: Arc<Hub>) -> Self {
        ReceivedCache { state, hub: Some(hub) }
    }

    /// Its length, which whoever calls gives back.
    pub(crate) fn disown(mut self) -> u64 {
        self.hub = None;
        self.state.length
    }

    /// The chunks in their order.
    pub fn chunks(&self) -> &[Bytes] {
        &self.state.chunks
    }

    /// Bytes in all.
    pub fn length(&self) -> u64 {
        self.state.length
    }
}

impl std::fmt::Debug for ReceivedCache {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "ReceivedCache({} bytes)", self.state.length)
    }
}

impl Drop for ReceivedCache {
    fn drop(&mut self) {
        if let Some(hub) = self.hub.take() {
            hub.give_back(self.state.length);
        }
    }
}

/// A read that is under way. Dropping it gives the read up.
pub struct ActivePrefill {
    hub: Arc<Hub>,
    ticket: Option<Ticket>,
}

impl ActivePrefill {
    /// The prompt is read: this is its state. It is held until it is taken, released, or out of time.
    pub async fn store(mut self, state: Bytes) -> Result<(), StoreError> {
        let chunk = self.hub.config.chunk_bytes;
        let hashing = {
            let state = state.clone();
            tokio::task::spawn_blocking(move || Proof::of(&state, chunk))
        };
        // Hashing neither panics nor is it cancelled while the runtime lives.
        let proof = hashing.await.map_err(|_| Cause::Lost)??;
        match self.ticket.take() {
            Some(ticket) => Ok(self.hub.put(ticket, state, Arc::new(proof))?),
            None => Err(Cause::Released.into()),
        }
    }
}

impl Drop for ActivePrefill {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.hub.cancel(ticket);
        }
    }
}

/// Ends a fetch that nobody waits for any more.
struct Wanted(Arc<Hub>, Option<Token>);

impl Drop for Wanted {
    fn drop(&mut self) {
        if let Some(token) = self.1.take() {
            self.0.unwanted(token);
        }
    }
}

/// A holder and taker of states. Dropping it ends all that it does.
pub struct Node {
    hub: Arc<Hub>,
    _time: AbortOnDropHandle<()>,
    doors: std::sync::Mutex<Vec<AbortOnDropHandle<()>>>,
}

impl Drop for Node {
    fn drop(&mut self) {
        self.hub.close();
    }
}

impl Node {
    /// A node that nobody can reach yet. `incarnation` is drawn anew at each start, and is not 0.
    pub fn new(config: Config, incarnation: u64, log: Logger) -> Self {
        let hub = Arc::new(Hub::new(config, incarnation.max(1), log));
        let time = AbortOnDropHandle::new(tokio::spawn(hub.clone().keep_time()));
        Node { hub, _time: time, doors: std::sync::Mutex::default() }
    }

    /// Takes connections there; a port of 0 is chosen by the system.
    pub async fn listen(&self, at: SocketAddr) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind(at).await?;
        let at = listener.local_addr()?;
        let door = accept(self.hub.clone(), listener);
        self.doors.lock().unwrap_or_else(|e| e.into_inner()).push(AbortOnDropHandle::new(tokio::spawn(door)));
        Ok(at)
    }

    /// A read begins here.
    pub fn begin_prefill(&self, id: RequestId) -> Result<ActivePrefill, Cause> {
        let ticket = self.hub.begin(id)?;
        Ok(ActivePrefill { hub: self.hub.clone(), ticket: Some(ticket) })
    }

    /// Fetches a state from whichever of these holders has it. Dropping the future gives it up.
    pub async fn fetch(
        &self,
        id: &RequestId,
        from: &[SocketAddr],
        due: Option<Duration>,
    ) -> Result<ReceivedCache, FetchError> {
        let mut tries: FuturesUnordered<_> =
            from.iter().map(|at| self.fetch_from(id.clone(), *at, due)).collect();
        let mut failed = None;
        while let Some(end) = tries.next().await {
            match end {
                Ok(whole) => return Ok(whole),
                // A holder that is not there tells less than one that had it and can't give it.
                Err(cause) if failed.is_none_or(|f| f == Cause::Gone) => failed = Some(cause),
                Err(_) => {}
            }
        }
        Err(failed.map_or(FetchError::NoSender, FetchError::Failed))
    }

    fn fetch_from(
        &self,
        id: RequestId,
        from: SocketAddr,
        due: Option<Duration>,
    ) -> impl Future<Output = Result<ReceivedCache, Cause>> + use<> {
        let hub = self.hub.clone();
        async move {
            let due = due.map(|d| hub.clock.now() + d.as_micros() as u64);
            let (token, told) = hub.fetch(id, from, due)?;
            let mut wanted = Wanted(hub, Some(token));
            let end = told.await.unwrap_or(Err(Cause::Lost));
            wanted.1 = None;
            end
        }
    }

    /// Announces a state that is held here to the node at an address; resolves once that owns it.
    pub async fn push(&self, id: &RequestId, to: SocketAddr) -> Result<(), Cause> {
        self.hub.push(id.clone(), to)?.await.unwrap_or(Err(Cause::Lost))
    }

    /// Lets go of all that is held for the request, at both ends of its moves, and of what a read brings.
    /// For a request that has ended.
    pub fn release(&self, id: &RequestId) {
        self.hub.release(id);
    }

    /// Lets go of what is held for the request and no attempt waits for: a read that is under way goes on,
    /// and so does a move until its taker gives it up. What `DELETE /state/{id}` of the platform's protocol
    /// means, as the request's next attempt may be under way beside it.
    pub fn release_unclaimed(&self, id: &RequestId) {
        self.hub.release_unclaimed(id);
    }

    /// Reads nothing more here. What is held may be taken for so long, and is freed then.
    pub fn drain(&self, within: Duration) {
        info!(self.hub.log, "draining"; "within_ms" => within.as_millis() as u64);
        self.hub.drain(within.as_micros() as u64);
    }

    /// Resolves once nothing is held and nothing moves.
    pub async fn wait_until_idle(&self) {
        loop {
            let ended = self.hub.ended.notified();
            if self.hub.empty() {
                return;
            }
            ended.await;
        }
    }

    /// The states that others have announced, once they are here. One caller gets them: the last.
    pub fn subscribe_pushed(&self) -> mpsc::UnboundedReceiver<PushedCache> {
        self.hub.inbox()
    }

    /// The states that were freed here without a taker, and why: their prompts are to be read anew, if they
    /// are still wanted. One caller gets them: the last. What finds no room is not waited for.
    pub fn subscribe_freed(&self) -> mpsc::Receiver<(RequestId, Cause)> {
        self.hub.reports(REPORTS)
    }

    /// Each move to here: whose, bytes that are here and proven, bytes in all once they are known.
    pub fn progress(&self) -> Vec<(RequestId, u64, Option<u64>)> {
        self.hub.progress()
    }

    /// What it holds and has done.
    pub fn status(&self) -> Status {
        self.hub.status()
    }
}

async fn accept(hub: Arc<Hub>, listener: TcpListener) {
    let room = Arc::new(Semaphore::new(hub.config.max_connections));
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => match room.clone().try_acquire_owned() {
                Ok(place) => {
                    let hub = hub.clone();
                    // It ends with its connection, or with the node.
                    tokio::spawn(async move {
                        serve(hub, stream, peer, None).await;
                        drop(place);
                    });
                }
                Err(_) => info!(hub.log, "a connection was turned down: too many"; "peer" => peer),
            },
            Err(e) => {
                warn!(hub.log, "no connection could be taken"; "why" => %e);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
