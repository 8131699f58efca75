//! The sending side: KV caches that are held here, the receivers that fetch them, and the chunks to send
//! next. No I/O, no clock: the caller reports events with their time and carries out the resulting actions.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use roaring::RoaringBitmap;

use crate::cause::Cause;
use crate::grant_tracker::GrantTracker;
use crate::lease::{ClaimOutcome, Claimant, Lease};
use crate::link_scheduler::{FlowId, LinkScheduler};
use crate::proof::Proof;
use crate::wire::{Frame, Hello, Offer, RequestId, Want};
use crate::{ConnectionId, Incarnation, Micros, Timeouts, TransferToken};

/// Limits of a sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// KV caches that are held, and records of those that were handed over.
    pub max_caches: usize,
    /// Bytes of all KV caches that are held.
    pub max_bytes: u64,
    /// Concurrent transfers on one connection.
    pub max_transfers_per_connection: usize,
    /// Bytes in flight on all connections together.
    pub max_in_flight_bytes: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_caches: 4_096,
            max_bytes: 4 << 30,
            max_transfers_per_connection: 1_024,
            max_in_flight_bytes: 16 << 20,
        }
    }
}

/// A violation of the protocol by the other end; it closes the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolError {
    /// A want frame reuses the token of a transfer that is under way.
    #[error("the transfer token is already in use")]
    DuplicateToken,
    /// An ask frame has an empty range, or one beyond the last chunk.
    #[error("a requested chunk range is empty or out of bounds")]
    InvalidRange,
    /// The peer sent more bytes of chunks than it had credit for.
    #[error("the peer sent more chunk bytes than its window allows")]
    WindowExceeded,
}

/// An action for the service to carry out.
#[derive(Debug)]
pub enum Action {
    /// Send this frame on this connection.
    Send(ConnectionId, Frame),
    /// A KV cache was freed for this reason. Unless another server has it, its prompt must be prefilled
    /// again.
    Freed(RequestId, Cause),
    /// A KV cache was handed over to its receiver and is no longer held here.
    HandedOver(RequestId),
    /// The receiver of a KV cache that was handed over has received the grant.
    GrantConfirmed(RequestId),
    /// It is not known whether the receiver of a KV cache that was handed over has received the grant, and
    /// for this reason it will not be known. A receiver without the grant frees its copy.
    GrantUnconfirmed(RequestId, Cause),
}

/// Identifies a prefill that has begun. Its KV cache is dropped at once if the request is released meanwhile.
#[derive(Debug, PartialEq, Eq, Hash, Clone, Copy, PartialOrd, Ord)]
pub struct PrefillId(u64);

#[derive(Debug)]
struct HeldCache {
    chunks: Vec<Bytes>,
    proof: Arc<Proof>,
    lease: Lease,
    flow: Option<FlowId>,
    /// Released while claimed by a receiver: freed as soon as that receiver gives it up.
    is_release_pending: bool,
}

#[derive(Debug)]
struct Transfer {
    id: RequestId,
    claimant: Claimant,
    conn: ConnectionId,
    pending_chunks: RoaringBitmap,
}

#[derive(Debug)]
struct Peer {
    incarnation: Incarnation,
    last_activity: Micros,
    transfers: BTreeMap<TransferToken, FlowId>,
    grants: GrantTracker,
}

/// State machine of a process's sending side.
#[derive(Debug)]
pub struct Sender {
    timeouts: Timeouts,
    limits: Limits,
    incarnation: Incarnation,
    prefills: BTreeMap<PrefillId, RequestId>,
    caches: HashMap<RequestId, HeldCache>,
    held_bytes: u64,
    peers: HashMap<ConnectionId, Peer>,
    transfers: HashMap<FlowId, Transfer>,
    scheduler: LinkScheduler,
    drain_deadline: Option<Micros>,
    last_id: u64,
    actions: VecDeque<Action>,
}

impl Sender {
    /// A sender that holds no KV caches.
    pub fn new(incarnation: Incarnation, timeouts: Timeouts, limits: Limits) -> Self {
        Sender {
            timeouts,
            limits,
            incarnation,
            prefills: BTreeMap::new(),
            caches: HashMap::new(),
            held_bytes: 0,
            peers: HashMap::new(),
            transfers: HashMap::new(),
            scheduler: LinkScheduler::new(limits.max_in_flight_bytes),
            drain_deadline: None,
            last_id: 0,
            actions: VecDeque::new(),
        }
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Begins a prefill. Rejected once the sender drains.
    pub fn begin_prefill(&mut self, id: RequestId) -> Result<PrefillId, Cause> {
        if self.drain_deadline.is_some() {
            return Err(Cause::Drained);
        }
        if self.prefills.len() >= self.limits.max_caches {
            return Err(Cause::NoCapacity);
        }
        let prefill = PrefillId(self.next_id());
        self.prefills.insert(prefill, id);
        Ok(prefill)
    }

    /// Cancels a prefill.
    pub fn cancel_prefill(&mut self, prefill: PrefillId) {
        self.prefills.remove(&prefill);
    }

    /// Stores the KV cache of a prefill. It replaces an older one of the same request, which is of no use any
    /// more since the request was prefilled again.
    pub fn store_prefill(
        &mut self,
        now: Micros,
        prefill: PrefillId,
        cache: Bytes,
        proof: Arc<Proof>,
    ) -> Result<(), Cause> {
        let id = self.prefills.remove(&prefill).ok_or(Cause::Released)?;
        if self.is_draining() {
            return Err(Cause::Drained);
        }
        let layout = proof.layout();
        let chunk_at = |index: u32| {
            let start = index as usize * layout.chunk_bytes() as usize;
            cache.slice(start..start + layout.chunk_length(index) as usize)
        };
        self.store(now, id, (0..layout.chunk_count()).map(chunk_at).collect(), proof)
    }

    /// Stores a complete, verified KV cache that was received from another server, which no longer has it.
    /// Rejected only once a drain is over: until then it may be fetched like all that is held.
    pub fn store(
        &mut self,
        now: Micros,
        id: RequestId,
        chunks: Vec<Bytes>,
        proof: Arc<Proof>,
    ) -> Result<(), Cause> {
        if self.drain_deadline.is_some_and(|end| end <= now) {
            return Err(Cause::Drained);
        }
        self.free(&id, Cause::Superseded);
        let bytes = proof.layout().length();
        if !self.has_room(bytes) {
            return Err(Cause::NoCapacity);
        }
        self.held_bytes += bytes;
        self.caches.insert(
            id,
            HeldCache { chunks, proof, lease: Lease::new(now), flow: None, is_release_pending: false },
        );
        Ok(())
    }

    /// Whether another KV cache of this size fits the limits.
    pub fn has_room(&self, bytes: u64) -> bool {
        self.caches.len() < self.limits.max_caches && self.held_bytes + bytes <= self.limits.max_bytes
    }

    /// Adds a connection after the handshake.
    pub fn add_connection(&mut self, now: Micros, conn: ConnectionId, hello: Hello) {
        let peer = Peer {
            incarnation: hello.incarnation,
            last_activity: now,
            transfers: BTreeMap::new(),
            grants: GrantTracker::new(&hello),
        };
        self.peers.insert(conn, peer);
        self.scheduler.add_peer(conn, u64::from(hello.window_bytes));
        if let Some(end) = self.drain_deadline {
            self.actions.push_back(Action::Send(conn, Frame::Drain(millis(end.saturating_sub(now)))));
        }
        self.resend_grants(conn, hello.incarnation);
    }

    /// Repeats the grants to a receiver that may have been lost with its previous connection.
    fn resend_grants(&mut self, conn: ConnectionId, incarnation: Incarnation) {
        let unconfirmed = self.caches.iter().filter_map(|(id, held)| {
            let owner = held.lease.unconfirmed_owner()?;
            (owner.incarnation == incarnation).then(|| (owner.token, id.clone()))
        });
        for (token, id) in unconfirmed.collect::<Vec<_>>() {
            self.send_grant(conn, token, id);
        }
    }

    /// Sends a grant, which its receiver is to confirm.
    fn send_grant(&mut self, conn: ConnectionId, token: TransferToken, id: RequestId) {
        self.actions.push_back(Action::Send(conn, Frame::Grant(token)));
        let Some(peer) = self.peers.get_mut(&conn) else { return };
        if peer.grants.record(token, id) {
            self.actions.push_back(Action::Send(conn, Frame::StatusAsk));
        }
    }

    /// Handles a status, which confirms the earliest grant to a receiver that sends no receipts.
    pub fn handle_status(&mut self, conn: ConnectionId) {
        let confirmed = self.peers.get_mut(&conn).and_then(|peer| peer.grants.take_confirmed_by_status());
        if let Some(token) = confirmed {
            self.handle_grant_receipt(conn, token);
        }
    }

    /// Handles a receiver's receipt for a grant.
    pub fn handle_grant_receipt(&mut self, conn: ConnectionId, token: TransferToken) {
        let Some(peer) = self.peers.get(&conn) else { return };
        let owner = Claimant { incarnation: peer.incarnation, token };
        let Some(id) = self.forget_grant(owner) else { return };
        if self.caches.get_mut(&id).is_some_and(|held| held.lease.confirm(owner)) {
            self.actions.push_back(Action::GrantConfirmed(id));
        }
    }

    /// Removes a grant from the connections on which its receipt is awaited.
    fn forget_grant(&mut self, owner: Claimant) -> Option<RequestId> {
        let peers = self.peers.values_mut().filter(|peer| peer.incarnation == owner.incarnation);
        peers.filter_map(|peer| peer.grants.remove(owner.token)).last()
    }

    /// Records that data arrived on a connection.
    pub fn record_activity(&mut self, now: Micros, conn: ConnectionId) {
        if let Some(peer) = self.peers.get_mut(&conn) {
            peer.last_activity = now;
        }
    }

    /// Removes a lost connection. Its transfers wait for their receivers to resume them.
    pub fn remove_connection(&mut self, conn: ConnectionId) {
        let Some(peer) = self.peers.remove(&conn) else { return };
        self.scheduler.remove_peer(conn);
        for flow in peer.transfers.into_values() {
            let Some(transfer) = self.transfers.remove(&flow) else { continue };
            if let Some(held) = self.caches.get_mut(&transfer.id) {
                held.lease.disconnect(transfer.claimant, peer.last_activity);
                held.flow = None;
            }
        }
    }

    /// Handles a receiver's request for a KV cache, new or resumed after a lost connection.
    pub fn handle_want(&mut self, now: Micros, conn: ConnectionId, want: Want) -> Result<(), ProtocolError> {
        let Some(peer) = self.peers.get(&conn) else { return Ok(()) };
        let Want { token, id, deadline_ms, resume_incarnation } = want;
        if peer.transfers.contains_key(&token) {
            return Err(ProtocolError::DuplicateToken);
        }
        let is_full = peer.transfers.len() >= self.limits.max_transfers_per_connection;
        let claimant = Claimant { incarnation: peer.incarnation, token };
        let claim = match self.caches.get_mut(&id) {
            _ if resume_incarnation != 0 && resume_incarnation != self.incarnation => Err(Cause::NotFound),
            None if self.drain_deadline.is_some() => Err(Cause::Drained),
            None => Err(Cause::NotFound),
            Some(_) if is_full => Err(Cause::NoCapacity),
            Some(held) => held.lease.claim(now, claimant, resume_incarnation != 0),
        };
        let frame = match claim {
            Err(cause) => Frame::Abort(token, cause),
            Ok(ClaimOutcome::AlreadyOwner) => {
                self.send_grant(conn, token, id);
                return Ok(());
            }
            Ok(ClaimOutcome::New { .. } | ClaimOutcome::Unchanged) => {
                let deadline = (deadline_ms > 0).then(|| now + Micros::from(deadline_ms) * 1_000);
                return {
                    self.start_transfer(now, conn, claimant, id, deadline);
                    Ok(())
                };
            }
        };
        self.actions.push_back(Action::Send(conn, frame));
        Ok(())
    }

    fn start_transfer(
        &mut self,
        now: Micros,
        conn: ConnectionId,
        claimant: Claimant,
        id: RequestId,
        deadline: Option<Micros>,
    ) {
        let flow = self.next_id();
        let Some(held) = self.caches.get_mut(&id) else { return };
        let previous_flow = held.flow.replace(flow);
        let (proof, expires_at) = (held.proof.clone(), held.lease.expires_at(&self.timeouts));
        if let Some(old) = previous_flow.and_then(|flow| self.end_transfer(flow)) {
            // The same claimant, back on a new connection before the loss of the old one was noticed, needs
            // no notice.
            if old.claimant != claimant {
                let frame = Frame::Abort(old.claimant.token, Cause::Superseded);
                self.actions.push_back(Action::Send(old.conn, frame));
            }
        }
        let limit_ms = millis(expires_at.min(self.drain_deadline.unwrap_or(Micros::MAX)).saturating_sub(now));
        let offer = Offer { token: claimant.token, incarnation: self.incarnation, limit_ms, proof };
        self.actions.push_back(Action::Send(conn, Frame::Offer(offer)));
        self.scheduler.add_flow(flow, conn, deadline);
        self.transfers.insert(flow, Transfer { id, claimant, conn, pending_chunks: RoaringBitmap::new() });
        if let Some(peer) = self.peers.get_mut(&conn) {
            peer.transfers.insert(claimant.token, flow);
        }
    }

    fn end_transfer(&mut self, flow: FlowId) -> Option<Transfer> {
        let transfer = self.transfers.remove(&flow)?;
        self.scheduler.remove_flow(flow);
        if let Some(peer) = self.peers.get_mut(&transfer.conn) {
            peer.transfers.remove(&transfer.claimant.token);
        }
        Some(transfer)
    }

    /// Handles a receiver's request for chunks; it has reserved memory for them.
    pub fn handle_ask(
        &mut self,
        conn: ConnectionId,
        token: TransferToken,
        ranges: &[std::ops::Range<u32>],
    ) -> Result<(), ProtocolError> {
        let Some((flow, transfer)) = self.transfer_on(conn, token) else { return Ok(()) };
        let id = transfer.id.clone();
        let Some(layout) = self.caches.get(&id).map(|held| held.proof.layout()) else { return Ok(()) };
        if ranges.iter().any(|range| range.start >= range.end || range.end > layout.chunk_count()) {
            return Err(ProtocolError::InvalidRange);
        }
        if let Some(transfer) = self.transfers.get_mut(&flow) {
            for range in ranges {
                transfer.pending_chunks.insert_range(range.clone());
            }
            self.scheduler.set_next_chunk(
                flow,
                transfer.pending_chunks.min().map_or(0, |index| layout.chunk_length(index)),
            );
        }
        Ok(())
    }

    /// Handles a receiver's credit for bytes of chunks that it has processed.
    pub fn handle_credit(&mut self, conn: ConnectionId, bytes: u32) {
        self.scheduler.add_credit(conn, u64::from(bytes));
    }

    /// Handles a receiver's report that its copy is complete and verified. Drops the copy here.
    pub fn handle_complete(&mut self, now: Micros, conn: ConnectionId, token: TransferToken) {
        let Some((flow, transfer)) = self.transfer_on(conn, token) else { return };
        let (id, claimant) = (transfer.id.clone(), transfer.claimant);
        let handed_over = match self.caches.get_mut(&id) {
            Some(held) => held.lease.hand_over(now, claimant),
            None => Err(Cause::NotFound),
        };
        self.end_transfer(flow);
        if let Err(cause) = handed_over {
            self.actions.push_back(Action::Send(conn, Frame::Abort(token, cause)));
            return;
        }
        if let Some(held) = self.caches.get_mut(&id) {
            held.flow = None;
            held.chunks = Vec::new();
            self.held_bytes -= held.proof.layout().length();
        }
        self.actions.push_back(Action::HandedOver(id.clone()));
        self.send_grant(conn, token, id);
    }

    /// Handles the end of a transfer by its receiver. The KV cache waits for another receiver, unless it
    /// failed verification and would fail anywhere.
    pub fn handle_give_up(&mut self, now: Micros, conn: ConnectionId, token: TransferToken, cause: Cause) {
        let Some((flow, _)) = self.transfer_on(conn, token) else { return };
        let Some(transfer) = self.end_transfer(flow) else { return };
        if let Some(held) = self.caches.get_mut(&transfer.id) {
            held.flow = None;
            held.lease.unclaim(now, transfer.claimant);
        }
        let is_released = self.caches.get(&transfer.id).is_some_and(|held| held.is_release_pending);
        if cause == Cause::Corrupt {
            self.free(&transfer.id, cause);
        } else if is_released {
            self.free(&transfer.id, Cause::Released);
        }
    }

    fn transfer_on(&self, conn: ConnectionId, token: TransferToken) -> Option<(FlowId, &Transfer)> {
        let flow = *self.peers.get(&conn)?.transfers.get(&token)?;
        Some((flow, self.transfers.get(&flow)?))
    }

    /// Frees what is held for the request, and drops the result of a prefill that is under way.
    pub fn release(&mut self, id: &RequestId) {
        self.prefills.retain(|_, prefilled| prefilled != id);
        self.free(id, Cause::Released);
    }

    /// Frees what is held for the request unless an attempt uses it: a prefill that is under way continues,
    /// and a KV cache that is claimed is freed once its receiver gives it up. A receiver that sends the
    /// release on its own connection, `by`, thereby gives it up.
    pub fn release_unclaimed(&mut self, id: &RequestId, by: Option<ConnectionId>) {
        let Some(held) = self.caches.get_mut(id) else { return };
        let claimed_by = held.flow.and_then(|flow| self.transfers.get(&flow)).map(|transfer| transfer.conn);
        if held.lease.is_claimed() && (by.is_none() || claimed_by != by) {
            held.is_release_pending = true;
        } else {
            self.free(id, Cause::Released);
        }
    }

    fn free(&mut self, id: &RequestId, cause: Cause) {
        let Some(held) = self.caches.remove(id) else { return };
        if let Some(transfer) = held.flow.and_then(|flow| self.end_transfer(flow)) {
            self.actions.push_back(Action::Send(transfer.conn, Frame::Abort(transfer.claimant.token, cause)));
        }
        if held.lease.is_held_here() {
            self.held_bytes -= held.proof.layout().length();
            self.actions.push_back(Action::Freed(id.clone(), cause));
        }
        if let Some(owner) = held.lease.unconfirmed_owner() {
            self.forget_grant(owner);
            let cause = if cause == Cause::Expired { Cause::PeerLost } else { cause };
            self.actions.push_back(Action::GrantUnconfirmed(id.clone(), cause));
        }
    }

    /// Stops new prefills. KV caches that are held may be fetched until `end` and are freed then.
    pub fn drain(&mut self, now: Micros, end: Micros) {
        let end = self.drain_deadline.map_or(end, |earlier| earlier.min(end));
        self.drain_deadline = Some(end);
        for conn in self.peers.keys() {
            self.actions.push_back(Action::Send(*conn, Frame::Drain(millis(end.saturating_sub(now)))));
        }
    }

    /// Frees KV caches that have expired. Returns when to call again, if any remain.
    pub fn expire(&mut self, now: Micros) -> Option<Micros> {
        let is_drain_over = self.drain_deadline.is_some_and(|end| end <= now);
        let is_expired = |held: &HeldCache| held.lease.expires_at(&self.timeouts) <= now;
        let expired: Vec<RequestId> = self
            .caches
            .iter()
            .filter(|(_, held)| is_drain_over || is_expired(held))
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            self.free(&id, if is_drain_over { Cause::Drained } else { Cause::Expired });
        }
        let lease_ends = self.caches.values().map(|held| held.lease.expires_at(&self.timeouts));
        lease_ends.chain(self.drain_deadline.filter(|_| !self.caches.is_empty())).min()
    }

    /// Takes the next chunk to send.
    pub fn next_chunk(&mut self, now: Micros) -> Option<(ConnectionId, TransferToken, u32, Bytes)> {
        let flow = self.scheduler.pick_next(now)?;
        let transfer = self.transfers.get_mut(&flow)?;
        let held = self.caches.get(&transfer.id)?;
        let layout = held.proof.layout();
        let index = transfer.pending_chunks.min()?;
        transfer.pending_chunks.remove(index);
        self.scheduler.set_next_chunk(
            flow,
            transfer.pending_chunks.min().map_or(0, |index| layout.chunk_length(index)),
        );
        let data = held.chunks.get(index as usize)?.clone();
        Some((transfer.conn, transfer.claimant.token, index, data))
    }

    /// Takes the next action to carry out.
    pub fn next_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// Whether transfers are under way on a connection, or confirmations of grants are to come.
    pub fn has_transfers(&self, conn: ConnectionId) -> bool {
        self.peers
            .get(&conn)
            .is_some_and(|peer| !peer.transfers.is_empty() || peer.grants.awaits_confirmation())
    }

    /// Whether it is not known of some grant whether it has reached its receiver.
    pub fn has_unconfirmed_grants(&self) -> bool {
        self.caches.values().any(|held| held.lease.unconfirmed_owner().is_some())
    }

    /// Whether a KV cache of the request is held here.
    pub fn holds(&self, id: &RequestId) -> bool {
        self.caches.get(id).is_some_and(|held| held.lease.is_held_here())
    }

    /// Number of KV caches that are held, and their bytes.
    pub fn held(&self) -> (usize, u64) {
        (self.caches.values().filter(|held| held.lease.is_held_here()).count(), self.held_bytes)
    }

    /// Number of transfers under way, and bytes in flight.
    pub fn transfers(&self) -> (usize, u64) {
        (self.transfers.len(), self.scheduler.in_flight_bytes())
    }

    /// Whether a drain has been requested.
    pub fn is_draining(&self) -> bool {
        self.drain_deadline.is_some()
    }
}

/// Converts to whole milliseconds, the unit of the wire format.
fn millis(time: Micros) -> u32 {
    u32::try_from(time / 1_000).unwrap_or(u32::MAX)
}
