//! The receiving side: KV caches that are being fetched, their verified chunks and their missing ones. No
//! I/O, no clock. A KV cache is delivered only once it is complete and verified and its sender has granted
//! ownership.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::ops::Range;
use std::sync::Arc;

use bytes::Bytes;
use roaring::RoaringBitmap;

use crate::cause::Cause;
use crate::memory_budget::{MemoryBudget, Reservation};
use crate::proof::Proof;
use crate::sender::ProtocolError;
use crate::wire::{Frame, Offer, RequestId, Want};
use crate::{ConnectionId, Micros, Timeouts, TransferToken};

/// Identifies a sender to fetch from; the service maps it to an address or to a process that has connected.
pub type RouteId = u64;

/// Limits of a receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of all KV caches that are being received, or were delivered and not yet dropped.
    pub max_memory_bytes: u64,
    /// Concurrent transfers, including those that wait for memory.
    pub max_transfers: usize,
    /// Flow-control window per connection: bytes of chunks in flight or not yet verified.
    pub window_bytes: u32,
    /// Number of failed verifications of one chunk after which the transfer is given up.
    pub max_chunk_attempts: u8,
    /// Number of connections that may be lost in a row without a chunk verified in between.
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

/// Completed transfers whose tokens are remembered, so that a repeated grant is confirmed again.
const MAX_REMEMBERED_GRANTS: usize = 1_024;

/// An action for the service to carry out.
#[derive(Debug)]
pub enum Action {
    /// Send this frame on this connection.
    Send(ConnectionId, Frame),
    /// Connect to this route, and keep connecting until no transfer needs it.
    Connect(RouteId),
    /// Verify this chunk and report the result with [`Receiver::handle_verification`].
    VerifyChunk(ReceivedChunk),
    /// The KV cache is complete and owned by this process. Return its memory with
    /// [`Receiver::release_memory`].
    Completed(TransferToken, RequestId, KvCache),
    /// The fetch has failed.
    Failed(TransferToken, Cause),
}

/// A chunk that has arrived and is not yet verified.
#[derive(Debug)]
pub struct ReceivedChunk {
    /// The connection that it arrived on.
    pub conn: ConnectionId,
    /// The transfer that it belongs to.
    pub token: TransferToken,
    /// Its index in the KV cache.
    pub index: u32,
    /// Its bytes.
    pub data: Bytes,
    /// The hashes to verify it against.
    pub proof: Arc<Proof>,
}

/// A complete KV cache, in chunks.
#[derive(Clone, Debug)]
pub struct KvCache {
    /// The chunks in order.
    pub chunks: Vec<Bytes>,
    /// Total length in bytes.
    pub length: u64,
    /// The hashes that it was verified against.
    pub proof: Arc<Proof>,
}

/// The chunks of a transfer that is being received.
#[derive(Debug)]
struct PartialCache {
    chunks: Vec<Bytes>,
    /// Verified and stored in `chunks`.
    verified: RoaringBitmap,
    /// Handed out for verification.
    verifying: RoaringBitmap,
    /// Requested on the current connection and not yet arrived.
    requested: RoaringBitmap,
    failed_attempts: HashMap<u32, u8>,
}

#[derive(Debug)]
enum Stage {
    /// The sender has not made an offer yet.
    AwaitingOffer,
    /// Offered; waiting for memory.
    AwaitingMemory,
    /// Receiving chunks.
    Receiving(PartialCache),
    /// Complete and verified; waiting for the sender to grant ownership.
    AwaitingGrant(Vec<Bytes>),
}

#[derive(Debug)]
struct Fetch {
    id: RequestId,
    route: RouteId,
    conn: Option<ConnectionId>,
    deadline: Option<Micros>,
    /// When the sender was last active, or the fetch began.
    last_contact: Micros,
    /// The earlier of the sender's time limit and this receiver's own.
    expires_at: Micros,
    offer: Option<Offer>,
    connection_losses: u8,
    stage: Stage,
}

#[derive(Debug)]
struct Peer {
    route: Option<RouteId>,
    last_activity: Micros,
    /// Bytes that may still arrive before more credit is granted.
    remaining_window_bytes: u64,
    transfers: Vec<TransferToken>,
}

/// State machine of a process's receiving side.
#[derive(Debug)]
pub struct Receiver {
    timeouts: Timeouts,
    limits: Limits,
    memory: MemoryBudget,
    fetches: BTreeMap<TransferToken, Fetch>,
    peers: HashMap<ConnectionId, Peer>,
    last_token: TransferToken,
    /// The tokens of the latest completed transfers.
    granted: VecDeque<TransferToken>,
    actions: VecDeque<Action>,
}

impl Receiver {
    /// A receiver without fetches.
    pub fn new(timeouts: Timeouts, limits: Limits) -> Self {
        Receiver {
            timeouts,
            limits,
            memory: MemoryBudget::new(limits.max_memory_bytes),
            fetches: BTreeMap::new(),
            peers: HashMap::new(),
            last_token: 0,
            granted: VecDeque::new(),
            actions: VecDeque::new(),
        }
    }

    /// Starts to fetch a KV cache from a sender, with an optional deadline.
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

    /// The window to announce in the hello frame.
    pub fn window_bytes(&self) -> u32 {
        self.limits.window_bytes
    }

    /// Adds a connection after the handshake. `route` names the sender at its other end, if that is known.
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
        // At least one millisecond, as 0 means no deadline.
        let deadline_ms = fetch.deadline.map_or(0, |deadline| (deadline.saturating_sub(now) / 1_000).max(1));
        let deadline_ms = u32::try_from(deadline_ms).unwrap_or(u32::MAX);
        let want = Want { token, id: fetch.id.clone(), deadline_ms, resume_incarnation };
        self.actions.push_back(Action::Send(conn, Frame::Want(want)));
    }

    /// Records that data arrived on a connection.
    pub fn record_activity(&mut self, now: Micros, conn: ConnectionId) {
        if let Some(peer) = self.peers.get_mut(&conn) {
            peer.last_activity = now;
        }
    }

    /// Removes a lost connection. Its transfers resume on the next one, if that is established in time.
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

    /// Handles the sender's offer.
    pub fn handle_offer(&mut self, now: Micros, conn: ConnectionId, offer: Offer) {
        let token = offer.token;
        let Some(fetch) = self.fetch_on(conn, token) else { return };
        let layout = offer.proof.layout();
        let earlier = fetch.offer.as_ref();
        if earlier
            .is_some_and(|earlier| earlier.proof != offer.proof || earlier.incarnation != offer.incarnation)
        {
            // Not the KV cache that the transfer began with; its chunks are of no use any more.
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
            // The sender has not received the completion report.
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

    /// Requests all chunks that are missing and not under way.
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

    /// Handles a chunk that has arrived.
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
        // A chunk of an ended transfer, or one that was requested on two connections.
        self.give_credit(conn, data.len());
        Ok(())
    }

    fn give_credit(&mut self, conn: ConnectionId, bytes: usize) {
        if let Some(peer) = self.peers.get_mut(&conn) {
            peer.remaining_window_bytes += bytes as u64;
            self.actions.push_back(Action::Send(conn, Frame::Credit(bytes as u32)));
        }
    }

    /// Handles the verification result of a chunk.
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

    /// Handles the sender's grant of ownership, and confirms it. It may come on another connection of the
    /// same sender than the transfer, before the loss of that one is noticed, and again if the receipt was
    /// lost.
    pub fn handle_grant(&mut self, conn: ConnectionId, token: TransferToken) {
        if self.granted.contains(&token) {
            self.actions.push_back(Action::Send(conn, Frame::GrantReceipt(token)));
            return;
        }
        let route = self.peers.get(&conn).and_then(|peer| peer.route);
        let is_awaited =
            |fetch: &Fetch| Some(fetch.route) == route && matches!(fetch.stage, Stage::AwaitingGrant(_));
        if !self.fetches.get(&token).is_some_and(is_awaited) {
            return;
        }
        if self.granted.len() == MAX_REMEMBERED_GRANTS {
            self.granted.pop_front();
        }
        self.granted.push_back(token);
        self.actions.push_back(Action::Send(conn, Frame::GrantReceipt(token)));
        if let Some(Fetch { id, stage: Stage::AwaitingGrant(chunks), offer: Some(offer), .. }) =
            self.remove_fetch(token)
        {
            let Offer { proof, .. } = offer;
            let length = proof.layout().length();
            self.actions.push_back(Action::Completed(token, id, KvCache { chunks, length, proof }));
        }
    }

    /// Handles the end of a transfer by its sender.
    pub fn handle_abort(&mut self, conn: ConnectionId, token: TransferToken, cause: Cause) {
        if self.fetch_on(conn, token).is_some() {
            self.fail(token, cause);
        }
    }

    /// Cancels a fetch whose result is no longer wanted.
    pub fn cancel(&mut self, token: TransferToken) {
        self.give_up(token, Cause::Unwanted);
    }

    /// Ends all transfers for the request and forwards the release to their senders.
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

    /// Returns the memory of a delivered KV cache that was dropped.
    pub fn release_memory(&mut self, bytes: u64) {
        self.memory.release(bytes);
        self.start_admitted();
    }

    /// Ends transfers that have timed out. Returns when to call again, if transfers remain.
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

    /// Fails a fetch and notifies its sender.
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

    /// Takes the next action to carry out.
    pub fn next_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// Whether transfers are under way on a connection.
    pub fn has_transfers(&self, conn: ConnectionId) -> bool {
        self.peers.get(&conn).is_some_and(|peer| !peer.transfers.is_empty())
    }

    /// Whether any fetch needs the route.
    pub fn needs_route(&self, route: RouteId) -> bool {
        self.fetches.values().any(|fetch| fetch.route == route)
    }

    /// Whether a KV cache is being fetched for the request.
    pub fn is_fetching(&self, id: &RequestId) -> bool {
        self.fetches.values().any(|fetch| fetch.id == *id)
    }

    /// For each fetch: the request, the verified bytes, and the total bytes once they are known.
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

    /// Number of fetches, how many of them wait for memory, and bytes reserved.
    pub fn usage(&self) -> (usize, usize, u64) {
        (self.fetches.len(), self.memory.queued_count(), self.memory.reserved_bytes())
    }
}

/// Converts a set of chunks to ranges. The result fits one frame: n ranges take at least 2n - 1 chunks, and a
/// KV cache has at most twice as many chunks as a frame takes ranges.
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
