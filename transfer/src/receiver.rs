//! The taker's side: states that are wanted here, what of them is there and proven, and what is missing. No
//! I/O, no clock. A state is handed out only whole, proven, and once its holder has said whose it is.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::ops::Range;
use std::sync::Arc;

use bytes::Bytes;
use roaring::RoaringBitmap;

use crate::cause::Cause;
use crate::memory::{MemoryBudget, Reservation};
use crate::proof::Proof;
use crate::sender::ProtocolError;
use crate::wire::{Frame, Offer, RequestId, Want};
use crate::{ConnectionId, Micros, Timeouts, TransferToken};

/// Names a holder that can be connected to; the shell knows its address.
pub type RouteId = u64;

/// Limits of a taker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of all states that arrive or have arrived and are not yet dropped.
    pub max_memory_bytes: u64,
    /// Moves at once, those that wait for memory too.
    pub max_transfers: usize,
    /// Bytes of chunks on their way from one holder, or not yet proven.
    pub window_bytes: u32,
    /// How often one chunk may fail to be proven, before the move is given up.
    pub max_chunk_attempts: u8,
    /// How many connections in a row may break without a chunk proven in between.
    pub max_connection_losses: u8,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_memory_bytes: 4 << 30,
            max_transfers: 4_096,
            window_bytes: 4 << 20,
            max_chunk_attempts: 4,
            max_connection_losses: 16,
        }
    }
}

/// What is to be done.
#[derive(Debug)]
pub enum Action {
    /// Say this.
    Send(ConnectionId, Frame),
    /// See to a connection there; it is wanted until no move needs it.
    Connect(RouteId),
    /// Prove this chunk and tell with [`Receiver::handle_verification`].
    VerifyChunk(ReceivedChunk),
    /// The state is here and is this process's own. Its memory is given back with
    /// [`Receiver::release_memory`].
    Completed(TransferToken, RequestId, KvCache),
    /// It will not come.
    Failed(TransferToken, Cause),
}

/// A chunk that has come and is to be proven.
#[derive(Debug)]
pub struct ReceivedChunk {
    /// Where it came from.
    pub conn: ConnectionId,
    /// Which move.
    pub token: TransferToken,
    /// Which chunk.
    pub index: u32,
    /// Its bytes.
    pub data: Bytes,
    /// What proves it.
    pub proof: Arc<Proof>,
}

/// A whole state, in chunks.
#[derive(Clone, Debug)]
pub struct KvCache {
    /// The chunks in their order.
    pub chunks: Vec<Bytes>,
    /// Bytes in all.
    pub length: u64,
    /// What proves it.
    pub proof: Arc<Proof>,
}

/// A move whose chunks come.
#[derive(Debug)]
struct PartialCache {
    chunks: Vec<Bytes>,
    /// Proven and kept.
    verified: RoaringBitmap,
    /// With whoever proves.
    verifying: RoaringBitmap,
    /// Asked for on this connection and not yet come.
    requested: RoaringBitmap,
    failed_attempts: HashMap<u32, u8>,
}

#[derive(Debug)]
enum Stage {
    /// No offer yet.
    AwaitingOffer,
    /// Offered; waits for memory.
    AwaitingMemory,
    /// Chunks come.
    Receiving(PartialCache),
    /// All is here and proven; the holder's word is missing.
    AwaitingGrant(Vec<Bytes>),
}

#[derive(Debug)]
struct Fetch {
    id: RequestId,
    route: RouteId,
    conn: Option<ConnectionId>,
    deadline: Option<Micros>,
    /// When the holder was last heard of, or the fetch began.
    last_contact: Micros,
    /// The last moment, by the holder's limit or ours.
    expires_at: Micros,
    offer: Option<Offer>,
    connection_losses: u8,
    stage: Stage,
}

#[derive(Debug)]
struct Peer {
    route: Option<RouteId>,
    last_activity: Micros,
    /// Bytes that may still come before more credit is given.
    remaining_window_bytes: u64,
    transfers: Vec<TransferToken>,
}

/// The taker's side of a process.
#[derive(Debug)]
pub struct Receiver {
    timeouts: Timeouts,
    limits: Limits,
    memory: MemoryBudget,
    fetches: BTreeMap<TransferToken, Fetch>,
    peers: HashMap<ConnectionId, Peer>,
    last_token: TransferToken,
    actions: VecDeque<Action>,
}

impl Receiver {
    /// A taker with nothing under way.
    pub fn new(timeouts: Timeouts, limits: Limits) -> Self {
        Receiver {
            timeouts,
            limits,
            memory: MemoryBudget::new(limits.max_memory_bytes),
            fetches: BTreeMap::new(),
            peers: HashMap::new(),
            last_token: 0,
            actions: VecDeque::new(),
        }
    }

    /// A state is wanted from a holder, by a time if it is needed by one.
    pub fn fetch(
        &mut self,
        now: Micros,
        id: RequestId,
        route: RouteId,
        deadline: Option<Micros>,
    ) -> Result<TransferToken, Cause> {
        if self.fetches.len() >= self.limits.max_transfers {
            return Err(Cause::NoCapacity);
        }
        self.last_token += 1;
        let token = self.last_token;
        let conn = self.peers.iter().find(|(_, peer)| peer.route == Some(route)).map(|(conn, _)| *conn);
        let fetch = Fetch {
            id,
            route,
            conn: None,
            deadline,
            last_contact: now,
            expires_at: now + self.timeouts.transfer_timeout,
            offer: None,
            connection_losses: 0,
            stage: Stage::AwaitingOffer,
        };
        self.fetches.insert(token, fetch);
        match conn {
            Some(conn) => self.send_want(now, token, conn),
            None => self.actions.push_back(Action::Connect(route)),
        }
        Ok(token)
    }

    /// The greeting's window.
    pub fn window_bytes(&self) -> u32 {
        self.limits.window_bytes
    }

    /// A connection is there, greetings exchanged. `route`: whose it is, where it was opened from here.
    pub fn add_connection(&mut self, now: Micros, conn: ConnectionId, route: Option<RouteId>) {
        let remaining_window_bytes = u64::from(self.limits.window_bytes);
        self.peers
            .insert(conn, Peer { route, last_activity: now, remaining_window_bytes, transfers: Vec::new() });
        let Some(route) = route else { return };
        let waiting = self.fetches.iter().filter(|(_, fetch)| fetch.route == route && fetch.conn.is_none());
        let waiting: Vec<TransferToken> = waiting.map(|(token, _)| *token).collect();
        for token in waiting {
            self.send_want(now, token, conn);
        }
    }

    fn send_want(&mut self, now: Micros, token: TransferToken, conn: ConnectionId) {
        let (Some(fetch), Some(peer)) = (self.fetches.get_mut(&token), self.peers.get_mut(&conn)) else {
            return;
        };
        fetch.conn = Some(conn);
        peer.transfers.push(token);
        let resume_incarnation = fetch.offer.as_ref().map_or(0, |offer| offer.incarnation);
        // At least a millisecond: 0 would mean no certain time.
        let deadline_ms = fetch.deadline.map_or(0, |deadline| (deadline.saturating_sub(now) / 1_000).max(1));
        let deadline_ms = u32::try_from(deadline_ms).unwrap_or(u32::MAX);
        let want = Want { token, id: fetch.id.clone(), deadline_ms, resume_incarnation };
        self.actions.push_back(Action::Send(conn, Frame::Want(want)));
    }

    /// Something came on a connection.
    pub fn record_activity(&mut self, now: Micros, conn: ConnectionId) {
        if let Some(peer) = self.peers.get_mut(&conn) {
            peer.last_activity = now;
        }
    }

    /// A connection is gone. Its moves go on over the next one, if there is one in time.
    pub fn remove_connection(&mut self, conn: ConnectionId) {
        let Some(peer) = self.peers.remove(&conn) else { return };
        let mut failed = Vec::new();
        for token in peer.transfers {
            let Some(fetch) = self.fetches.get_mut(&token) else { continue };
            fetch.conn = None;
            fetch.last_contact = peer.last_activity;
            fetch.connection_losses += 1;
            if let Stage::Receiving(partial) = &mut fetch.stage {
                partial.requested.clear();
            }
            if fetch.connection_losses > self.limits.max_connection_losses {
                failed.push(token);
            } else {
                self.actions.push_back(Action::Connect(fetch.route));
            }
        }
        for token in failed {
            self.fail(token, Cause::PeerLost);
        }
    }

    /// The holder has it.
    pub fn handle_offer(&mut self, now: Micros, conn: ConnectionId, offer: Offer) {
        let token = offer.token;
        let Some(fetch) = self.fetch_on(conn, token) else { return };
        let layout = offer.proof.layout();
        let earlier = fetch.offer.as_ref();
        if earlier
            .is_some_and(|earlier| earlier.proof != offer.proof || earlier.incarnation != offer.incarnation)
        {
            // Not the state that began to move: what is here of that one is of no use.
            self.give_up(token, Cause::NotFound);
            return;
        }
        fetch.expires_at = fetch.expires_at.min(now + Micros::from(offer.limit_ms) * 1_000);
        fetch.offer = Some(offer);
        let deadline = fetch.deadline.unwrap_or(Micros::MAX);
        match fetch.stage {
            Stage::AwaitingOffer => {
                fetch.stage = Stage::AwaitingMemory;
                let fits_window = u64::from(layout.chunk_bytes()) * 2 <= u64::from(self.limits.window_bytes);
                match self.memory.reserve(token, layout.length(), deadline) {
                    Reservation::Granted if fits_window => self.start_receiving(token),
                    Reservation::Granted => {
                        self.memory.release(layout.length());
                        self.give_up(token, Cause::TooLarge);
                    }
                    Reservation::Queued => {}
                    Reservation::Impossible => self.give_up(token, Cause::TooLarge),
                }
            }
            Stage::AwaitingMemory => {}
            Stage::Receiving(_) => self.request_missing(token),
            // The holder has not heard that all of it is here.
            Stage::AwaitingGrant(_) => self.actions.push_back(Action::Send(conn, Frame::Complete(token))),
        }
    }

    fn start_receiving(&mut self, token: TransferToken) {
        let Some(fetch) = self.fetches.get_mut(&token) else { return };
        let Some(offer) = &fetch.offer else { return };
        fetch.stage = Stage::Receiving(PartialCache {
            chunks: vec![Bytes::new(); offer.proof.layout().chunk_count() as usize],
            verified: RoaringBitmap::new(),
            verifying: RoaringBitmap::new(),
            requested: RoaringBitmap::new(),
            failed_attempts: HashMap::new(),
        });
        self.request_missing(token);
    }

    /// Asks for all that is missing and not on its way.
    fn request_missing(&mut self, token: TransferToken) {
        let Some(fetch) = self.fetches.get_mut(&token) else { return };
        let (Some(conn), Some(offer), Stage::Receiving(partial)) =
            (fetch.conn, &fetch.offer, &mut fetch.stage)
        else {
            return;
        };
        let mut missing = RoaringBitmap::new();
        missing.insert_range(0..offer.proof.layout().chunk_count());
        missing -= &partial.verified;
        missing -= &partial.verifying;
        missing -= &partial.requested;
        let ranges = ranges(&missing);
        if !ranges.is_empty() {
            partial.requested |= missing;
            self.actions.push_back(Action::Send(conn, Frame::Ask(token, ranges)));
        }
    }

    /// A chunk has come.
    pub fn handle_chunk(
        &mut self,
        conn: ConnectionId,
        token: TransferToken,
        index: u32,
        data: Bytes,
    ) -> Result<(), ProtocolError> {
        let Some(peer) = self.peers.get_mut(&conn) else { return Ok(()) };
        peer.remaining_window_bytes = peer
            .remaining_window_bytes
            .checked_sub(data.len() as u64)
            .ok_or(ProtocolError::WindowExceeded)?;
        if let Some(Fetch { stage: Stage::Receiving(partial), offer: Some(offer), .. }) =
            self.fetch_on(conn, token)
        {
            if partial.requested.remove(index) {
                partial.verifying.insert(index);
                let proof = offer.proof.clone();
                self.actions.push_back(Action::VerifyChunk(ReceivedChunk {
                    conn,
                    token,
                    index,
                    data,
                    proof,
                }));
                return Ok(());
            }
        }
        // Of a move that has ended, or asked for twice over two connections.
        self.give_credit(conn, data.len());
        Ok(())
    }

    fn give_credit(&mut self, conn: ConnectionId, bytes: usize) {
        if let Some(peer) = self.peers.get_mut(&conn) {
            peer.remaining_window_bytes += bytes as u64;
            self.actions.push_back(Action::Send(conn, Frame::Credit(bytes as u32)));
        }
    }

    /// Whether a chunk is what it should be.
    pub fn handle_verification(&mut self, chunk: ReceivedChunk, is_valid: bool) {
        let ReceivedChunk { conn, token, index, data, .. } = chunk;
        self.give_credit(conn, data.len());
        let Some(Fetch { stage: Stage::Receiving(partial), connection_losses, conn, .. }) =
            self.fetches.get_mut(&token)
        else {
            return;
        };
        partial.verifying.remove(index);
        if !is_valid {
            let failed_attempts = partial.failed_attempts.entry(index).or_default();
            *failed_attempts += 1;
            if *failed_attempts >= self.limits.max_chunk_attempts {
                self.give_up(token, Cause::Corrupt);
            } else {
                self.request_missing(token);
            }
            return;
        }
        *connection_losses = 0;
        partial.verified.insert(index);
        if let Some(slot) = partial.chunks.get_mut(index as usize) {
            *slot = data;
        }
        if partial.verified.len() == partial.chunks.len() as u64 {
            let (chunks, conn) = (std::mem::take(&mut partial.chunks), *conn);
            if let Some(fetch) = self.fetches.get_mut(&token) {
                fetch.stage = Stage::AwaitingGrant(chunks);
            }
            if let Some(conn) = conn {
                self.actions.push_back(Action::Send(conn, Frame::Complete(token)));
            }
        }
    }

    /// The holder's word that the state is this process's.
    pub fn handle_grant(&mut self, conn: ConnectionId, token: TransferToken) {
        if self.fetch_on(conn, token).is_none_or(|fetch| !matches!(fetch.stage, Stage::AwaitingGrant(_))) {
            return;
        }
        if let Some(Fetch { id, stage: Stage::AwaitingGrant(chunks), offer: Some(offer), .. }) =
            self.remove_fetch(token)
        {
            let Offer { proof, .. } = offer;
            let length = proof.layout().length();
            self.actions.push_back(Action::Completed(token, id, KvCache { chunks, length, proof }));
        }
    }

    /// The holder has ended the move.
    pub fn handle_abort(&mut self, conn: ConnectionId, token: TransferToken, cause: Cause) {
        if self.fetch_on(conn, token).is_some() {
            self.fail(token, cause);
        }
    }

    /// Nobody here wants it any more.
    pub fn cancel(&mut self, token: TransferToken) {
        self.give_up(token, Cause::Unwanted);
    }

    /// Lets go of all moves for the request, and passes the word on to their holders.
    pub fn release(&mut self, id: &RequestId) {
        let matching = self.fetches.iter().filter(|(_, fetch)| fetch.id == *id);
        let matching: Vec<(TransferToken, Option<ConnectionId>)> =
            matching.map(|(token, fetch)| (*token, fetch.conn)).collect();
        for (token, conn) in matching {
            if let Some(conn) = conn {
                self.actions.push_back(Action::Send(conn, Frame::Release(id.clone())));
            }
            self.fail(token, Cause::Released);
        }
    }

    /// A state that was handed out has been dropped.
    pub fn release_memory(&mut self, bytes: u64) {
        self.memory.release(bytes);
        self.start_admitted();
    }

    /// Ends what is out of time. Returns when to call again, if anything is left.
    pub fn expire(&mut self, now: Micros) -> Option<Micros> {
        let hold_ttl = self.timeouts.hold_ttl;
        let expires_at = |fetch: &Fetch| {
            if fetch.conn.is_some() {
                fetch.expires_at
            } else {
                fetch.expires_at.min(fetch.last_contact + hold_ttl)
            }
        };
        let expired = self.fetches.iter().filter(|(_, fetch)| expires_at(fetch) <= now);
        let expired: Vec<(TransferToken, bool)> =
            expired.map(|(token, fetch)| (*token, fetch.expires_at <= now)).collect();
        for (token, is_expired) in expired {
            self.give_up(token, if is_expired { Cause::Expired } else { Cause::PeerLost });
        }
        self.fetches.values().map(expires_at).min()
    }

    fn fetch_on(&mut self, conn: ConnectionId, token: TransferToken) -> Option<&mut Fetch> {
        self.fetches.get_mut(&token).filter(|fetch| fetch.conn == Some(conn))
    }

    /// Ends a move from here: its holder is told.
    fn give_up(&mut self, token: TransferToken, cause: Cause) {
        if let Some(conn) = self.fetches.get(&token).and_then(|fetch| fetch.conn) {
            self.actions.push_back(Action::Send(conn, Frame::GiveUp(token, cause)));
        }
        self.fail(token, cause);
    }

    fn fail(&mut self, token: TransferToken, cause: Cause) {
        let Some(fetch) = self.remove_fetch(token) else { return };
        let length = fetch.offer.map_or(0, |offer| offer.proof.layout().length());
        match fetch.stage {
            Stage::AwaitingOffer => {}
            Stage::AwaitingMemory => self.memory.cancel(token, fetch.deadline.unwrap_or(Micros::MAX)),
            Stage::Receiving(_) | Stage::AwaitingGrant(_) => self.memory.release(length),
        }
        self.actions.push_back(Action::Failed(token, cause));
        self.start_admitted();
    }

    fn remove_fetch(&mut self, token: TransferToken) -> Option<Fetch> {
        let fetch = self.fetches.remove(&token)?;
        if let Some(peer) = fetch.conn.and_then(|conn| self.peers.get_mut(&conn)) {
            peer.transfers.retain(|other| *other != token);
        }
        Some(fetch)
    }

    fn start_admitted(&mut self) {
        while let Some(token) = self.memory.admit_next() {
            self.start_receiving(token);
        }
    }

    /// What is to be done next.
    pub fn next_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// Whether moves are under way on a connection.
    pub fn has_transfers(&self, conn: ConnectionId) -> bool {
        self.peers.get(&conn).is_some_and(|peer| !peer.transfers.is_empty())
    }

    /// Whether moves need the route.
    pub fn needs_route(&self, route: RouteId) -> bool {
        self.fetches.values().any(|fetch| fetch.route == route)
    }

    /// Whether a move for the request is under way.
    pub fn is_fetching(&self, id: &RequestId) -> bool {
        self.fetches.values().any(|fetch| fetch.id == *id)
    }

    /// Each move under way: whose, bytes that are here and proven, bytes in all once they are known.
    pub fn progress(&self) -> impl Iterator<Item = (&RequestId, u64, Option<u64>)> {
        self.fetches.values().map(|fetch| {
            let layout = fetch.offer.as_ref().map(|offer| offer.proof.layout());
            let received_bytes = match (&fetch.stage, layout) {
                (Stage::Receiving(partial), _) => partial.chunks.iter().map(|chunk| chunk.len() as u64).sum(),
                (Stage::AwaitingGrant(_), Some(layout)) => layout.length(),
                _ => 0,
            };
            (&fetch.id, received_bytes, layout.map(|layout| layout.length()))
        })
    }

    /// Moves under way, how many of them wait for memory, and bytes set aside.
    pub fn usage(&self) -> (usize, usize, u64) {
        (self.fetches.len(), self.memory.queued_count(), self.memory.reserved_bytes())
    }
}

/// A set as ranges: never more than a frame takes, as that many need twice as many chunks.
fn ranges(set: &RoaringBitmap) -> Vec<Range<u32>> {
    let mut ranges: Vec<Range<u32>> = Vec::new();
    for index in set {
        match ranges.last_mut() {
            Some(last) if last.end == index => last.end += 1,
            _ => ranges.push(index..index + 1),
        }
    }
    ranges
}
