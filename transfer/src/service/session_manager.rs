//! The session manager of a node: the sender and receiver state machines, the connections and the waiting
//! callers, behind one lock that is never held across an await. The caller that reports an event to the
//! state machines carries out the resulting actions at once.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use bytes::Bytes;
use slog::{debug, info, warn, Logger};
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::time::sleep_until;
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

use super::activity::Clock;
use super::node::{PushedCache, ReceivedCache};
use super::status::{Status, Totals};
use super::{Config, PushPolicy};
use crate::cause::Cause;
use crate::receiver::{self, KvCache, ReceivedChunk, Receiver, RouteId};
use crate::sender::{self, PrefillId, ProtocolError, Sender};
use crate::wire::{Frame, Hello, RequestId};
use crate::{ConnectionId, Incarnation, Micros, TransferToken};

/// Chunks of at least this size are verified on the blocking thread pool, so that hashing does not delay
/// connections.
const MIN_BLOCKING_VERIFY_BYTES: usize = 64 << 10;
/// Maximum bytes of frames, chunks not counted, that may wait to be written on one connection. A peer that
/// requests much and reads nothing is disconnected.
const MAX_QUEUED_BYTES: usize = 8 << 20;

/// An item in a connection's outgoing queue.
#[derive(Debug)]
pub(crate) enum WriteItem {
    Frame(Frame),
    Chunk(TransferToken, u32, Bytes),
}

/// The manager's record of a connection.
struct Connection {
    outgoing: mpsc::UnboundedSender<WriteItem>,
    /// Bytes of frames, chunks not counted, that the write task has not taken yet.
    queued_bytes: usize,
    /// Cancelled once the outgoing queue exceeds its limit; closes the connection.
    overflowed: CancellationToken,
    /// Notified when a transfer may have started, as that shortens the timeout of the connection.
    transfers_changed: Arc<Notify>,
    route: RouteId,
    /// Whether the peer takes receipts for grants.
    has_grant_receipts: bool,
}

/// Notifies the caller that waits for a push to end.
type PushWaiter = oneshot::Sender<Result<(), Cause>>;

/// The state that the manager's lock guards.
struct Inner {
    sender: Sender,
    receiver: Receiver,
    connections: HashMap<ConnectionId, Connection>,
    last_id: u64,
    /// Routes to addresses that this node connects to.
    routes_by_address: HashMap<SocketAddr, RouteId>,
    /// Routes to processes that have connected to this node.
    routes_by_incarnation: HashMap<Incarnation, RouteId>,
    dialers: HashMap<RouteId, AbortOnDropHandle<()>>,
    fetch_waiters: HashMap<TransferToken, oneshot::Sender<Result<ReceivedCache, Cause>>>,
    /// Fetches of KV caches that other nodes have pushed.
    pushed_transfers: HashSet<TransferToken>,
    pushes: HashMap<RequestId, (RouteId, PushWaiter)>,
    pushed_caches: Option<mpsc::UnboundedSender<PushedCache>>,
    freed_reports: Option<mpsc::Sender<(RequestId, Cause)>>,
    totals: Totals,
}

/// Shared by all tasks of a node.
pub(crate) struct SessionManager {
    inner: Mutex<Inner>,
    pub(crate) config: Config,
    pub(crate) clock: Clock,
    pub(crate) incarnation: Incarnation,
    pub(crate) log: Logger,
    /// Notified on each event, to wake the expiry task while it has no deadline to wait for.
    deadlines_changed: Notify,
    /// Cancelled when the node shuts down; closes all connections.
    pub(crate) closing: CancellationToken,
    /// Notified whenever a KV cache leaves this node or a transfer ends.
    pub(crate) transfer_ended: Notify,
}

impl SessionManager {
    pub(crate) fn new(config: Config, incarnation: Incarnation, log: Logger) -> Self {
        let inner = Inner {
            sender: Sender::new(incarnation, config.timeouts, config.sender),
            receiver: Receiver::new(config.timeouts, config.receiver),
            connections: HashMap::new(),
            last_id: 0,
            routes_by_address: HashMap::new(),
            routes_by_incarnation: HashMap::new(),
            dialers: HashMap::new(),
            fetch_waiters: HashMap::new(),
            pushed_transfers: HashSet::new(),
            pushes: HashMap::new(),
            pushed_caches: None,
            freed_reports: None,
            totals: Totals::default(),
        };
        SessionManager {
            inner: Mutex::new(inner),
            config,
            clock: Clock::new(),
            incarnation,
            log,
            deadlines_changed: Notify::new(),
            closing: CancellationToken::new(),
            transfer_ended: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // Code under the lock does not panic by design; if it ever does, the data is still consistent enough
        // to shut down with.
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Reports an event to the state machines, carries out their actions and wakes the expiry task.
    fn update<T>(self: &Arc<Self>, apply: impl FnOnce(&mut Inner, Micros) -> T) -> T {
        let result = self.update_without_wake(apply);
        self.deadlines_changed.notify_one();
        result
    }

    /// Like `update`, for the expiry task itself, which needs no wake-up.
    fn update_without_wake<T>(self: &Arc<Self>, apply: impl FnOnce(&mut Inner, Micros) -> T) -> T {
        let mut chunks = Vec::new();
        let result = {
            let mut inner = self.lock();
            let result = apply(&mut inner, self.clock.now());
            self.run_actions(&mut inner, &mut chunks);
            result
        };
        for chunk in chunks {
            self.verify(chunk);
        }
        result
    }

    fn verify(self: &Arc<Self>, chunk: ReceivedChunk) {
        let (manager, is_large) = (self.clone(), chunk.data.len() >= MIN_BLOCKING_VERIFY_BYTES);
        let verify = move || {
            let is_valid = chunk.proof.verifies(chunk.index, &chunk.data);
            if !is_valid {
                info!(manager.log, "chunk failed verification"; "index" => chunk.index);
            }
            manager.update(|inner, _| {
                inner.totals.chunks_bad += u64::from(!is_valid);
                inner.receiver.handle_verification(chunk, is_valid);
            });
        };
        if is_large {
            // The task is not joined: it ends by itself, and its result is ignored if the transfer has ended.
            tokio::task::spawn_blocking(verify);
        } else {
            verify();
        }
    }

    fn run_actions(self: &Arc<Self>, inner: &mut Inner, chunks: &mut Vec<ReceivedChunk>) {
        while let Some(action) = inner.receiver.next_action() {
            match action {
                receiver::Action::Send(conn, frame) => inner.send(conn, frame),
                receiver::Action::Connect(route) => self.connect(inner, route),
                receiver::Action::VerifyChunk(chunk) => chunks.push(chunk),
                receiver::Action::Completed(token, id, cache) => self.finish_fetch(inner, token, id, cache),
                receiver::Action::Failed(token, cause) => {
                    inner.totals.failed += 1;
                    inner.pushed_transfers.remove(&token);
                    if let Some(waiter) = inner.fetch_waiters.remove(&token) {
                        let _ = waiter.send(Err(cause));
                    }
                    debug!(self.log, "fetch failed"; "move" => token, "why" => %cause);
                    self.transfer_ended.notify_waiters();
                }
            }
        }
        while let Some(action) = inner.sender.next_action() {
            match action {
                sender::Action::Send(conn, frame) => inner.send(conn, frame),
                sender::Action::HandedOver(_) => {
                    inner.totals.given += 1;
                    self.transfer_ended.notify_waiters();
                }
                sender::Action::GrantConfirmed(id) => {
                    inner.finish_push(&id, Ok(()));
                    self.transfer_ended.notify_waiters();
                }
                sender::Action::GrantUnconfirmed(id, cause) => {
                    info!(self.log, "a receiver did not confirm its KV cache";
                        "request" => %id, "why" => %cause);
                    inner.finish_push(&id, Err(cause));
                    self.transfer_ended.notify_waiters();
                }
                sender::Action::Freed(id, cause) => {
                    inner.totals.freed += 1;
                    info!(self.log, "freed a KV cache"; "request" => %id, "why" => %cause);
                    inner.finish_push(&id, Err(cause));
                    if let Some(freed_reports) = &inner.freed_reports {
                        // Dropped if the channel is full: a subscriber that lags must not block the node.
                        let _ = freed_reports.try_send((id, cause));
                    }
                    self.transfer_ended.notify_waiters();
                }
            }
        }
        while let Some((conn, token, index, data)) = inner.sender.next_chunk(self.clock.now()) {
            inner.totals.chunks_sent += 1;
            inner.totals.bytes_sent += data.len() as u64;
            if let Some(connection) = inner.connections.get(&conn) {
                let _ = connection.outgoing.send(WriteItem::Chunk(token, index, data));
            }
        }
    }

    fn finish_fetch(
        self: &Arc<Self>,
        inner: &mut Inner,
        token: TransferToken,
        id: RequestId,
        cache: KvCache,
    ) {
        inner.totals.arrived += 1;
        if inner.pushed_transfers.remove(&token) && self.config.push_policy == PushPolicy::Store {
            // Under the same lock, so that the next receiver that fetches it finds it.
            let KvCache { chunks, length, proof } = cache;
            inner.receiver.release_memory(length);
            match inner.sender.store(self.clock.now(), id.clone(), chunks, proof) {
                Ok(()) => info!(self.log, "pushed KV cache is held"; "request" => %id, "bytes" => length),
                Err(cause) => warn!(self.log, "dropped a pushed KV cache"; "request" => %id, "why" => %cause),
            }
            return;
        }
        let received = ReceivedCache::new(cache, self.clone());
        let undelivered = match (inner.fetch_waiters.remove(&token), &inner.pushed_caches) {
            (Some(waiter), _) => waiter.send(Ok(received)).err().and_then(Result::ok),
            (None, Some(subscriber)) => {
                subscriber.send(PushedCache { id, cache: received }).err().map(|error| error.0.cache)
            }
            (None, None) => Some(received),
        };
        if let Some(received) = undelivered {
            // Its memory is released here, as its destructor would take the lock that is held.
            inner.receiver.release_memory(received.disown());
        }
        self.transfer_ended.notify_waiters();
    }

    fn connect(self: &Arc<Self>, inner: &mut Inner, route: RouteId) {
        let address = inner.routes_by_address.iter().find(|(_, r)| **r == route).map(|(address, _)| *address);
        let Some(address) = address else { return };
        if inner.dialers.contains_key(&route)
            || inner.connections.values().any(|connection| connection.route == route)
        {
            return;
        }
        let dialer = super::dial::keep_connected(self.clone(), route, address);
        inner.dialers.insert(route, AbortOnDropHandle::new(tokio::spawn(dialer)));
    }

    /// Whether the dialer of a route should continue. If not, it is removed under the same lock, so that the
    /// next transfer that needs the route starts another one.
    pub(crate) fn keep_dialing(&self, route: RouteId) -> bool {
        let mut inner = self.lock();
        let is_needed = inner.needs_route(route);
        if !is_needed {
            // Dropping the handle aborts the calling task, which is about to end.
            inner.dialers.remove(&route);
            inner.routes_by_address.retain(|_, r| *r != route);
        }
        is_needed
    }

    /// Registers a connection after the handshake. `route` is given if this node opened the connection.
    pub(crate) fn connection_opened(
        self: &Arc<Self>,
        hello: Hello,
        route: Option<RouteId>,
    ) -> OpenConnection {
        let (outgoing, items) = mpsc::unbounded_channel();
        let (overflowed, transfers_changed) = (CancellationToken::new(), Arc::new(Notify::new()));
        let conn = self.update(|inner, now| {
            let conn = inner.next_id();
            let route = route.unwrap_or_else(|| inner.route_to_incarnation(hello.incarnation));
            let connection = Connection {
                outgoing,
                queued_bytes: 0,
                overflowed: overflowed.clone(),
                transfers_changed: transfers_changed.clone(),
                route,
                has_grant_receipts: hello.has_grant_receipts(),
            };
            inner.connections.insert(conn, connection);
            inner.sender.add_connection(now, conn, hello);
            inner.receiver.add_connection(now, conn, Some(route));
            let pushed_here = inner.pushes.iter().filter(|(_, (r, _))| *r == route);
            // One that has been handed over is granted again instead.
            let announcements = pushed_here.map(|(id, _)| id).filter(|id| inner.sender.holds(id));
            for id in announcements.cloned().collect::<Vec<_>>() {
                inner.send(conn, Frame::Announce(id));
            }
            conn
        });
        OpenConnection { conn, items, overflowed, transfers_changed }
    }

    /// Removes a closed connection on which data last arrived at `last_activity`.
    pub(crate) fn connection_closed(
        self: &Arc<Self>,
        conn: ConnectionId,
        last_activity: Micros,
        is_fault: bool,
    ) {
        self.update(|inner, _| {
            inner.totals.cuts += u64::from(inner.has_transfers(conn));
            inner.totals.faults += u64::from(is_fault);
            let connection = inner.connections.remove(&conn);
            inner.sender.record_activity(last_activity, conn);
            inner.sender.remove_connection(conn);
            inner.receiver.record_activity(last_activity, conn);
            inner.receiver.remove_connection(conn);
            if let Some(connection) = connection {
                let (route, is_needed) = (connection.route, inner.needs_route(connection.route));
                let has_more = inner.connections.values().any(|connection| connection.route == route);
                inner.routes_by_incarnation.retain(|_, r| *r != route || is_needed || has_more);
            }
        });
    }

    /// Handles a received frame. An error closes the connection.
    pub(crate) fn handle_frame(
        self: &Arc<Self>,
        conn: ConnectionId,
        frame: Frame,
    ) -> Result<(), ProtocolError> {
        self.update(|inner, now| self.dispatch(inner, now, conn, frame))
    }

    fn dispatch(
        &self,
        inner: &mut Inner,
        now: Micros,
        conn: ConnectionId,
        frame: Frame,
    ) -> Result<(), ProtocolError> {
        match frame {
            Frame::Want(want) => inner.sender.handle_want(now, conn, want)?,
            Frame::Ask(token, ranges) => inner.sender.handle_ask(conn, token, &ranges)?,
            Frame::Chunk(token, index, data) => inner.receiver.handle_chunk(conn, token, index, data)?,
            Frame::Offer(offer) => inner.receiver.handle_offer(now, conn, offer),
            Frame::Credit(bytes) => inner.sender.handle_credit(conn, bytes),
            Frame::Complete(token) => inner.sender.handle_complete(now, conn, token),
            Frame::Grant(token) => inner.receiver.handle_grant(conn, token),
            Frame::GrantReceipt(token) => inner.sender.handle_grant_receipt(conn, token),
            Frame::GiveUp(token, cause) => inner.sender.handle_give_up(now, conn, token, cause),
            Frame::Abort(token, cause) => inner.receiver.handle_abort(conn, token, cause),
            // Concerns only what is held here: a fetch by this node has a caller that waits for it.
            Frame::Release(id) => inner.sender.release_unclaimed(&id, Some(conn)),
            Frame::Announce(id) => self.handle_announce(inner, now, conn, id),
            Frame::Refuse(id, cause) => inner.finish_push(&id, Err(cause)),
            Frame::StatusAsk => {
                let text = serde_json::to_vec(&self.status_of(inner)).unwrap_or_default();
                inner.send(conn, Frame::Status(text.into()));
            }
            Frame::Drain(left_ms) => info!(self.log, "peer is draining"; "left_ms" => left_ms),
            Frame::Status(_) => inner.sender.handle_status(conn),
            Frame::Hello(_) | Frame::Beat => {}
        }
        Ok(())
    }

    fn handle_announce(&self, inner: &mut Inner, now: Micros, conn: ConnectionId, id: RequestId) {
        let Some(route) = inner.connections.get(&conn).map(|connection| connection.route) else { return };
        // Repeated after a lost connection: the transfer is under way.
        if inner.receiver.is_fetching(&id) {
            return;
        }
        let token = match self.config.push_policy {
            PushPolicy::Reject => Err(Cause::Unwanted),
            _ if inner.sender.is_draining() => Err(Cause::Drained),
            PushPolicy::Store if !inner.sender.has_room(inner.receiver.usage().2) => Err(Cause::NoCapacity),
            PushPolicy::Store | PushPolicy::Deliver => inner.receiver.fetch(now, id.clone(), route, None),
        };
        match token {
            Ok(token) => {
                inner.pushed_transfers.insert(token);
            }
            Err(cause) => inner.send(conn, Frame::Refuse(id, cause)),
        }
    }

    pub(crate) fn begin_prefill(&self, id: RequestId) -> Result<PrefillId, Cause> {
        self.lock().sender.begin_prefill(id)
    }

    pub(crate) fn cancel_prefill(&self, prefill: PrefillId) {
        self.lock().sender.cancel_prefill(prefill);
    }

    pub(crate) fn store_prefill(
        self: &Arc<Self>,
        prefill: PrefillId,
        cache: Bytes,
        proof: Arc<crate::proof::Proof>,
    ) -> Result<(), Cause> {
        self.update(|inner, now| inner.sender.store_prefill(now, prefill, cache, proof))
    }

    pub(crate) fn fetch(
        self: &Arc<Self>,
        id: RequestId,
        from: SocketAddr,
        deadline: Option<Micros>,
    ) -> Result<(TransferToken, oneshot::Receiver<Result<ReceivedCache, Cause>>), Cause> {
        let (waiter, result) = oneshot::channel();
        self.update(|inner, now| {
            let route = inner.route_to_address(from);
            let token = inner.receiver.fetch(now, id, route, deadline)?;
            inner.fetch_waiters.insert(token, waiter);
            inner.notify_connections(route);
            Ok((token, result))
        })
    }

    pub(crate) fn cancel_fetch(self: &Arc<Self>, token: TransferToken) {
        self.update(|inner, _| inner.receiver.cancel(token));
    }

    /// Announces a KV cache that is held here to the node at an address, again on each new connection until
    /// that node owns it.
    pub(crate) fn push(
        self: &Arc<Self>,
        id: RequestId,
        to: SocketAddr,
    ) -> Result<oneshot::Receiver<Result<(), Cause>>, Cause> {
        let (waiter, result) = oneshot::channel();
        self.update(|inner, _| {
            if !inner.sender.holds(&id) {
                return Err(Cause::NotFound);
            }
            let route = inner.route_to_address(to);
            inner.pushes.insert(id.clone(), (route, waiter));
            match inner
                .connections
                .iter()
                .find(|(_, connection)| connection.route == route)
                .map(|(conn, _)| *conn)
            {
                Some(conn) => inner.send(conn, Frame::Announce(id)),
                None => self.connect(inner, route),
            }
            Ok(result)
        })
    }

    /// Frees what is held for the request, here and at the other end of its transfers. A request that is
    /// unknown here may be known to connected nodes, so the release is forwarded to all of them.
    pub(crate) fn release(self: &Arc<Self>, id: &RequestId) {
        self.update(|inner, _| {
            let is_known = inner.sender.holds(id) || inner.receiver.is_fetching(id);
            inner.sender.release(id);
            inner.receiver.release(id);
            if !is_known {
                inner.forward_release(id);
            }
        });
    }

    /// Frees what is held for the request unless an attempt uses it, here or, if the request is unknown here,
    /// at all connected nodes.
    pub(crate) fn release_unclaimed(self: &Arc<Self>, id: &RequestId) {
        self.update(|inner, _| {
            let is_known = inner.sender.holds(id) || inner.receiver.is_fetching(id);
            inner.sender.release_unclaimed(id, None);
            if !is_known {
                inner.forward_release(id);
            }
        });
    }

    pub(crate) fn drain(self: &Arc<Self>, within: Micros) {
        self.update(|inner, now| inner.sender.drain(now, now + within));
    }

    pub(crate) fn release_memory(self: &Arc<Self>, bytes: u64) {
        self.update(|inner, _| inner.receiver.release_memory(bytes));
    }

    pub(crate) fn has_transfers(&self, conn: ConnectionId) -> bool {
        self.lock().has_transfers(conn)
    }

    /// Records that the write task has taken a frame of this queued size.
    pub(crate) fn frame_dequeued(&self, conn: ConnectionId, bytes: usize) {
        if let Some(connection) = self.lock().connections.get_mut(&conn) {
            connection.queued_bytes = connection.queued_bytes.saturating_sub(bytes);
        }
    }

    /// Whether no KV cache is held, no grant is unconfirmed and no fetch is under way.
    pub(crate) fn is_idle(&self) -> bool {
        let inner = self.lock();
        let is_sender_idle = inner.sender.held().0 == 0 && !inner.sender.has_unconfirmed_grants();
        is_sender_idle && inner.receiver.usage().0 == 0
    }

    /// Closes all connections and stops all dialers, as the node is dropped.
    pub(crate) fn close(&self) {
        self.closing.cancel();
        let dialers = std::mem::take(&mut self.lock().dialers);
        drop(dialers);
    }

    pub(crate) fn subscribe_pushed(&self) -> mpsc::UnboundedReceiver<PushedCache> {
        // Bounded by the receiver's limits on memory and transfers.
        let (sender, receiver) = mpsc::unbounded_channel();
        self.lock().pushed_caches = Some(sender);
        receiver
    }

    pub(crate) fn subscribe_freed(&self, capacity: usize) -> mpsc::Receiver<(RequestId, Cause)> {
        let (sender, receiver) = mpsc::channel(capacity);
        self.lock().freed_reports = Some(sender);
        receiver
    }

    pub(crate) fn status(&self) -> Status {
        self.status_of(&self.lock())
    }

    pub(crate) fn progress(&self) -> Vec<(RequestId, u64, Option<u64>)> {
        self.lock()
            .receiver
            .progress()
            .map(|(id, received_bytes, length)| (id.clone(), received_bytes, length))
            .collect()
    }

    fn status_of(&self, inner: &Inner) -> Status {
        let ((states, state_bytes), (sending, in_flight)) = (inner.sender.held(), inner.sender.transfers());
        let (fetching, waiting, memory) = inner.receiver.usage();
        Status {
            incarnation: self.incarnation,
            connections: inner.connections.len(),
            draining: inner.sender.is_draining(),
            states,
            state_bytes,
            sending,
            in_flight,
            fetching,
            waiting,
            memory,
            total: inner.totals,
        }
    }

    /// Expires KV caches and transfers, for as long as the node exists.
    pub(crate) async fn run_expiry(self: Arc<Self>) {
        loop {
            let next_deadline = self.update_without_wake(|inner, now| {
                let deadlines = [inner.sender.expire(now), inner.receiver.expire(now)];
                deadlines.into_iter().flatten().min()
            });
            // Events during the sleep create deadlines that are many heartbeats away, so waking up once a
            // heartbeat suffices.
            let next_heartbeat = self.clock.now() + self.config.timeouts.heartbeat_interval;
            match next_deadline {
                Some(deadline) => sleep_until(self.clock.instant(deadline.min(next_heartbeat))).await,
                None => self.deadlines_changed.notified().await,
            }
        }
    }
}

/// Handles of a registered connection, for its tasks.
pub(crate) struct OpenConnection {
    pub(crate) conn: ConnectionId,
    pub(crate) items: mpsc::UnboundedReceiver<WriteItem>,
    pub(crate) overflowed: CancellationToken,
    pub(crate) transfers_changed: Arc<Notify>,
}

impl Inner {
    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    fn has_transfers(&self, conn: ConnectionId) -> bool {
        self.sender.has_transfers(conn) || self.receiver.has_transfers(conn)
    }

    fn needs_route(&self, route: RouteId) -> bool {
        self.receiver.needs_route(route) || self.pushes.values().any(|(r, _)| *r == route)
    }

    fn route_to_address(&mut self, address: SocketAddr) -> RouteId {
        let new_route = self.next_id();
        *self.routes_by_address.entry(address).or_insert(new_route)
    }

    fn route_to_incarnation(&mut self, incarnation: Incarnation) -> RouteId {
        let new_route = self.next_id();
        *self.routes_by_incarnation.entry(incarnation).or_insert(new_route)
    }

    fn notify_connections(&self, route: RouteId) {
        self.connections
            .values()
            .filter(|connection| connection.route == route)
            .for_each(|connection| connection.transfers_changed.notify_one());
    }

    fn forward_release(&mut self, id: &RequestId) {
        for conn in self.connections.keys().copied().collect::<Vec<_>>() {
            self.send(conn, Frame::Release(id.clone()));
        }
    }

    fn finish_push(&mut self, id: &RequestId, result: Result<(), Cause>) {
        if let Some((_, waiter)) = self.pushes.remove(id) {
            let _ = waiter.send(result);
        }
    }

    fn send(&mut self, conn: ConnectionId, frame: Frame) {
        let Some(connection) = self.connections.get_mut(&conn) else { return };
        if matches!(frame, Frame::GrantReceipt(_)) && !connection.has_grant_receipts {
            return;
        }
        connection.queued_bytes += queued_size(&frame);
        if connection.queued_bytes > MAX_QUEUED_BYTES {
            connection.overflowed.cancel();
        } else {
            let _ = connection.outgoing.send(WriteItem::Frame(frame));
        }
    }
}

/// Approximate memory of a queued frame, in bytes.
pub(crate) fn queued_size(frame: &Frame) -> usize {
    let payload_bytes = match frame {
        Frame::Offer(offer) => offer.proof.chunk_hashes().len(),
        Frame::Ask(_, ranges) => ranges.len() * 8,
        Frame::Status(text) => text.len(),
        _ => 0,
    };
    64 + payload_bytes
}
