//! An in-memory simulation of one sender, several receivers and connections that delay, lose and corrupt
//! frames, on a simulated clock.
#![allow(dead_code)]

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use frosttrail_transfer::cause::Cause;
use frosttrail_transfer::proof::Proof;
use frosttrail_transfer::receiver::{self, KvCache, Receiver};
use frosttrail_transfer::sender::{self, Sender};
use frosttrail_transfer::wire::{Frame, Hello, RequestId, FEATURE_GRANT_RECEIPTS, VERSION};
use frosttrail_transfer::{ConnectionId, Incarnation, Micros, Timeouts, TransferToken};

pub const CHUNK_BYTES: u32 = 4_096;
/// Without an active attempt, a KV cache must be transferred or freed within this time.
pub const MAX_TIME_TO_FREE: Micros = 1_000_000;
/// Step of the simulated clock.
pub const TIME_STEP: Micros = 20_000;

pub fn id(name: u8) -> RequestId {
    RequestId::new(&format!("r{name}")).unwrap()
}

/// Content of a KV cache, different for each serial number.
pub fn content(serial: u64, length: usize) -> Bytes {
    let mut bytes = serial.to_be_bytes().repeat(length / 8 + 1);
    bytes.truncate(length);
    bytes.into()
}

/// The result of a fetch.
pub type FetchResult = Result<KvCache, Cause>;

pub struct SimulatedReceiver {
    pub machine: Receiver,
    pub results: HashMap<TransferToken, FetchResult>,
    pub open_fetches: HashMap<TransferToken, RequestId>,
    incarnation: Incarnation,
    wants_connection: bool,
}

struct SimulatedConnection {
    receiver: usize,
    to_sender: VecDeque<Frame>,
    to_receiver: VecDeque<Frame>,
    /// When data last arrived, at the sender and at the receiver.
    last_activity: [Micros; 2],
}

pub struct Simulation {
    pub now: Micros,
    pub timeouts: Timeouts,
    pub sender: Sender,
    pub receivers: Vec<SimulatedReceiver>,
    connections: HashMap<ConnectionId, SimulatedConnection>,
    last_id: u64,
    /// While set, no connections are established and no frames are delivered.
    pub is_offline: bool,
    /// Number of chunks to corrupt in transit, from the next one on.
    pub chunks_to_corrupt: u32,
    pub times_sent: HashMap<(usize, TransferToken, u32), u32>,
    /// The latest content stored for each request.
    pub latest_content: HashMap<RequestId, Bytes>,
    /// All contents ever stored for each request.
    all_content: HashMap<RequestId, Vec<Bytes>>,
    /// Since when a KV cache has been held without an open fetch for it.
    unclaimed_since: HashMap<RequestId, Micros>,
    pub freed: Vec<(RequestId, Cause)>,
    /// KV caches whose grants were confirmed, and those of which it can't be known any more.
    pub confirmed: Vec<RequestId>,
    pub unconfirmed: Vec<(RequestId, Cause)>,
    /// The feature bits of the receivers.
    pub features: u32,
    limits: sender::Limits,
}

impl Simulation {
    pub fn new(receivers: usize, sender: sender::Limits, receiver: receiver::Limits) -> Self {
        let timeouts = Timeouts::default();
        let receiver = |index: usize| SimulatedReceiver {
            machine: Receiver::new(timeouts, receiver),
            results: HashMap::new(),
            open_fetches: HashMap::new(),
            incarnation: index as Incarnation + 1,
            wants_connection: false,
        };
        Simulation {
            now: 0,
            timeouts,
            sender: Sender::new(100, timeouts, sender),
            receivers: (0..receivers).map(receiver).collect(),
            connections: HashMap::new(),
            last_id: 0,
            is_offline: false,
            chunks_to_corrupt: 0,
            times_sent: HashMap::new(),
            latest_content: HashMap::new(),
            all_content: HashMap::new(),
            unclaimed_since: HashMap::new(),
            freed: Vec::new(),
            confirmed: Vec::new(),
            unconfirmed: Vec::new(),
            features: FEATURE_GRANT_RECEIPTS,
            limits: sender,
        }
    }

    pub fn store(&mut self, name: u8, length: usize) -> Result<(), Cause> {
        self.last_id += 1;
        let cache = content(self.last_id, length);
        let proof = Arc::new(Proof::compute(&cache, CHUNK_BYTES).unwrap());
        let prefill = self.sender.begin_prefill(id(name))?;
        self.sender.store_prefill(self.now, prefill, cache.clone(), proof)?;
        self.all_content.entry(id(name)).or_default().push(cache.clone());
        self.latest_content.insert(id(name), cache);
        self.unclaimed_since.remove(&id(name));
        self.run_actions();
        Ok(())
    }

    pub fn fetch(
        &mut self,
        receiver: usize,
        name: u8,
        deadline: Option<Micros>,
    ) -> Result<TransferToken, Cause> {
        let token = self.receivers[receiver].machine.fetch(self.now, id(name), 1, deadline)?;
        self.receivers[receiver].open_fetches.insert(token, id(name));
        self.run_actions();
        Ok(token)
    }

    /// Whether the sender has freed the bytes that were stored last under the name.
    pub fn is_last_cache_freed(&mut self, name: u8) -> bool {
        let last = self.all_content.get_mut(&id(name)).and_then(Vec::pop);
        drop(self.latest_content.remove(&id(name)));
        last.is_some_and(|bytes| bytes.is_unique())
    }

    /// Cancels a receiver's fetches, as when their request ends.
    pub fn cancel_fetches(&mut self, receiver: usize, name: u8) {
        let open = self.receivers[receiver].open_fetches.iter().filter(|(_, request)| **request == id(name));
        for token in open.map(|(token, _)| *token).collect::<Vec<_>>() {
            self.receivers[receiver].machine.cancel(token);
        }
        self.run_actions();
    }

    /// Replaces the sender by another process.
    pub fn restart_sender(&mut self) {
        self.close_connections();
        self.last_id += 1;
        self.sender = Sender::new(100 + self.last_id, self.timeouts, self.limits);
        self.latest_content.clear();
    }

    pub fn close_connections(&mut self) {
        let mut connections: Vec<ConnectionId> = self.connections.keys().copied().collect();
        connections.sort_unstable();
        for conn in connections {
            self.close_connection(conn);
        }
        self.run_actions();
    }

    /// Opens a connection from a receiver, whether or not it needs one.
    pub fn reconnect(&mut self, receiver: usize) {
        self.receivers[receiver].wants_connection = true;
    }

    fn close_connection(&mut self, conn: ConnectionId) {
        if let Some(connection) = self.connections.remove(&conn) {
            self.sender.remove_connection(conn);
            self.receivers[connection.receiver].machine.remove_connection(conn);
        }
    }

    fn open_connections(&mut self) {
        for receiver in 0..self.receivers.len() {
            if self.is_offline || !std::mem::take(&mut self.receivers[receiver].wants_connection) {
                continue;
            }
            if self.connections.values().any(|connection| connection.receiver == receiver) {
                continue;
            }
            self.last_id += 1;
            let conn = self.last_id;
            let connection = SimulatedConnection {
                receiver,
                to_sender: VecDeque::new(),
                to_receiver: VecDeque::new(),
                last_activity: [self.now; 2],
            };
            self.connections.insert(conn, connection);
            let receiver = &mut self.receivers[receiver];
            let (incarnation, window_bytes) = (receiver.incarnation, receiver.machine.window_bytes());
            let hello = Hello { version: VERSION, features: self.features, incarnation, window_bytes };
            receiver.machine.add_connection(self.now, conn, Some(1));
            self.sender.add_connection(self.now, conn, hello);
        }
    }

    /// Carries out the actions of the state machines, and checks the invariants.
    pub fn run_actions(&mut self) {
        while let Some(action) = self.sender.next_action() {
            match action {
                sender::Action::Send(conn, frame) => {
                    if let Some(connection) = self.connections.get_mut(&conn) {
                        connection.to_receiver.push_back(frame);
                    }
                }
                sender::Action::Freed(id, cause) => self.freed.push((id, cause)),
                sender::Action::HandedOver(_) => {}
                sender::Action::GrantConfirmed(id) => self.confirmed.push(id),
                sender::Action::GrantUnconfirmed(id, cause) => self.unconfirmed.push((id, cause)),
            }
        }
        for receiver in 0..self.receivers.len() {
            while let Some(action) = self.receivers[receiver].machine.next_action() {
                match action {
                    // As the service does: not to a sender that does not take them.
                    receiver::Action::Send(_, Frame::GrantReceipt(_)) if self.features == 0 => {}
                    receiver::Action::Send(conn, frame) => {
                        if let Some(connection) = self.connections.get_mut(&conn) {
                            connection.to_sender.push_back(frame);
                        }
                    }
                    receiver::Action::Connect(_) => self.receivers[receiver].wants_connection = true,
                    receiver::Action::VerifyChunk(chunk) => {
                        let is_valid = chunk.proof.verifies(chunk.index, &chunk.data);
                        self.receivers[receiver].machine.handle_verification(chunk, is_valid);
                    }
                    receiver::Action::Completed(token, _, cache) => {
                        self.finish_fetch(receiver, token, Ok(cache))
                    }
                    receiver::Action::Failed(token, cause) => self.finish_fetch(receiver, token, Err(cause)),
                }
            }
        }
        while let Some((conn, token, index, data)) = self.sender.next_chunk(self.now) {
            let connection =
                self.connections.get_mut(&conn).expect("chunks are only sent on open connections");
            *self.times_sent.entry((connection.receiver, token, index)).or_default() += 1;
            let data = if self.chunks_to_corrupt > 0 {
                self.chunks_to_corrupt -= 1;
                let mut flipped = data.to_vec();
                flipped[index as usize % data.len()] ^= 4;
                flipped.into()
            } else {
                data
            };
            connection.to_receiver.push_back(Frame::Chunk(token, index, data));
        }
        self.check_invariants();
    }

    fn finish_fetch(&mut self, receiver: usize, token: TransferToken, result: FetchResult) {
        let id = self.receivers[receiver].open_fetches.remove(&token).expect("a fetch ends only once");
        if let Ok(cache) = &result {
            let received: Vec<u8> = cache.chunks.iter().flatten().copied().collect();
            let is_latest = self.latest_content.get(&id).is_some_and(|c| c[..] == received[..]);
            // A later prefill of the request may have replaced the cache; then this is an earlier one.
            let was_stored =
                self.all_content.get(&id).is_some_and(|a| a.iter().any(|c| c[..] == received[..]));
            assert!(was_stored, "a corrupt cache became visible");
            assert!(!is_latest || !self.sender.holds(&id), "{id} has two owners");
        }
        self.receivers[receiver].results.insert(token, result);
    }

    fn check_invariants(&mut self) {
        for receiver in &self.receivers {
            let owned = receiver.results.values().flatten().map(|cache| cache.length).sum::<u64>();
            assert!(
                receiver.machine.usage().2 >= owned,
                "delivered caches must stay in the memory accounting"
            );
        }
        let held: Vec<RequestId> =
            self.latest_content.keys().filter(|id| self.sender.holds(id)).cloned().collect();
        self.unclaimed_since.retain(|id, _| held.contains(id));
        for id in held {
            if self.receivers.iter().any(|receiver| receiver.open_fetches.values().any(|open| *open == id)) {
                self.unclaimed_since.remove(&id);
            } else {
                let since = *self.unclaimed_since.entry(id.clone()).or_insert(self.now);
                assert!(self.now - since <= MAX_TIME_TO_FREE, "{id} is held for longer than a second");
            }
        }
    }

    /// Delivers one frame each way on each connection; returns whether there was any.
    fn deliver_one_each(&mut self) -> bool {
        let mut connections: Vec<ConnectionId> = self.connections.keys().copied().collect();
        connections.sort_unstable();
        let mut is_any_delivered = false;
        for conn in connections {
            let Some(connection) = self.connections.get_mut(&conn) else { continue };
            let receiver = connection.receiver;
            let (to_sender, to_receiver) =
                (connection.to_sender.pop_front(), connection.to_receiver.pop_front());
            is_any_delivered |= to_sender.is_some() || to_receiver.is_some();
            if let Some(frame) = to_sender {
                self.deliver_to_sender(conn, frame);
            }
            if let Some(frame) = to_receiver {
                self.deliver_to_receiver(conn, receiver, frame);
            }
            self.run_actions();
        }
        is_any_delivered
    }

    fn deliver_to_sender(&mut self, conn: ConnectionId, frame: Frame) {
        match frame {
            Frame::Want(want) => self.sender.handle_want(self.now, conn, want).unwrap(),
            Frame::Ask(token, ranges) => self.sender.handle_ask(conn, token, &ranges).unwrap(),
            Frame::Credit(bytes) => self.sender.handle_credit(conn, bytes),
            Frame::Complete(token) => self.sender.handle_complete(self.now, conn, token),
            Frame::GiveUp(token, cause) => self.sender.handle_give_up(self.now, conn, token, cause),
            Frame::Release(id) => self.sender.release_unclaimed(&id, Some(conn)),
            Frame::GrantReceipt(token) => self.sender.handle_grant_receipt(conn, token),
            Frame::Status(_) => self.sender.handle_status(conn),
            other => panic!("{other:?} sent to a sender"),
        }
    }

    fn deliver_to_receiver(&mut self, conn: ConnectionId, receiver: usize, frame: Frame) {
        let machine = &mut self.receivers[receiver].machine;
        match frame {
            Frame::Offer(offer) => machine.handle_offer(self.now, conn, offer),
            Frame::Chunk(token, index, data) => machine.handle_chunk(conn, token, index, data).unwrap(),
            Frame::Grant(token) => machine.handle_grant(conn, token),
            Frame::Abort(token, cause) => machine.handle_abort(conn, token, cause),
            Frame::Drain(_) => {}
            Frame::StatusAsk => {
                if let Some(connection) = self.connections.get_mut(&conn) {
                    connection.to_sender.push_back(Frame::Status(Bytes::new()));
                }
            }
            other => panic!("{other:?} sent to a receiver"),
        }
    }

    /// Delivers up to `count` frames each way without advancing the clock.
    pub fn deliver_frames(&mut self, count: usize) {
        self.open_connections();
        self.run_actions();
        if !self.is_offline {
            for _ in 0..count {
                if !self.deliver_one_each() {
                    break;
                }
            }
        }
    }

    /// Advances the clock, delivers all frames unless offline, and closes silent connections.
    pub fn advance(&mut self, time: Micros) {
        let end = self.now + time;
        while self.now < end {
            self.now += TIME_STEP;
            self.open_connections();
            self.run_actions();
            if !self.is_offline {
                while self.deliver_one_each() {}
                for (conn, connection) in &mut self.connections {
                    connection.last_activity = [self.now; 2];
                    self.sender.record_activity(self.now, *conn);
                    self.receivers[connection.receiver].machine.record_activity(self.now, *conn);
                }
            }
            let (now, silence) = (self.now, self.timeouts.silence_timeout);
            let silent: Vec<ConnectionId> = self
                .connections
                .iter()
                .filter(|(_, connection)| now - connection.last_activity[0] > silence)
                .map(|(conn, _)| *conn)
                .collect();
            for conn in silent {
                self.close_connection(conn);
            }
            self.sender.expire(self.now);
            for receiver in &mut self.receivers {
                receiver.machine.expire(self.now);
            }
            self.run_actions();
        }
    }

    /// Drops the KV caches that the receivers have received.
    pub fn drop_received(&mut self) {
        for receiver in &mut self.receivers {
            for (_, result) in receiver.results.drain() {
                if let Ok(cache) = result {
                    receiver.machine.release_memory(cache.length);
                }
            }
        }
        self.run_actions();
    }
}
