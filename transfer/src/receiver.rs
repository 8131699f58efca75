//! The taker's side: states that are wanted here, what of them is there and proven, and what is missing. No
//! I/O, no clock. A state is handed out only whole, proven, and once its holder has said whose it is.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::ops::Range;
use std::sync::Arc;

use bytes::Bytes;
use roaring::RoaringBitmap;

use crate::cause::Cause;
use crate::memory::{Memory, Room};
use crate::proof::Proof;
use crate::sender::Fault;
use crate::wire::{Frame, Offer, RequestId, Want};
use crate::{Conn, Micros, Timeouts, Token};

/// Names a holder that can be connected to; the shell knows its address.
pub type Route = u64;

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
pub enum Out {
    /// Say this.
    Say(Conn, Frame),
    /// See to a connection there; it is wanted until no move needs it.
    Connect(Route),
    /// Prove this chunk and tell with [`Receiver::proved`].
    Prove(Chunk),
    /// The state is here and is this process's own. Its memory is given back with [`Receiver::give_back`].
    Done(Token, RequestId, State),
    /// It will not come.
    Failed(Token, Cause),
}

/// A chunk that has come and is to be proven.
#[derive(Debug)]
pub struct Chunk {
    /// Where it came from.
    pub conn: Conn,
    /// Which move.
    pub token: Token,
    /// Which chunk.
    pub index: u32,
    /// Its bytes.
    pub data: Bytes,
    /// What proves it.
    pub proof: Arc<Proof>,
}

/// A whole state, in chunks.
#[derive(Clone, Debug)]
pub struct State {
    /// The chunks in their order.
    pub chunks: Vec<Bytes>,
    /// Bytes in all.
    pub length: u64,
    /// What proves it.
    pub proof: Arc<Proof>,
}

/// A move whose chunks come.
#[derive(Debug)]
struct Parts {
    chunks: Vec<Bytes>,
    /// Proven and kept.
    have: RoaringBitmap,
    /// With whoever proves.
    proving: RoaringBitmap,
    /// Asked for on this connection and not yet come.
    asked: RoaringBitmap,
    tries: HashMap<u32, u8>,
}

#[derive(Debug)]
enum Stage {
    /// No offer yet.
    Sought,
    /// Offered; waits for memory.
    Waits,
    /// Chunks come.
    Moves(Parts),
    /// All is here and proven; the holder's word is missing.
    Whole(Vec<Bytes>),
}

#[derive(Debug)]
struct Fetch {
    id: RequestId,
    route: Route,
    conn: Option<Conn>,
    due: Option<Micros>,
    /// When the holder was last heard of, or the fetch began.
    contact: Micros,
    /// The last moment, by the holder's limit or ours.
    end: Micros,
    offer: Option<Offer>,
    cuts: u8,
    stage: Stage,
}

#[derive(Debug)]
struct Peer {
    route: Option<Route>,
    heard: Micros,
    /// Bytes that may still come before more credit is given.
    may_come: u64,
    moves: Vec<Token>,
}

/// The taker's side of a process.
#[derive(Debug)]
pub struct Receiver {
    timeouts: Timeouts,
    limits: Limits,
    memory: Memory,
    fetches: BTreeMap<Token, Fetch>,
    peers: HashMap<Conn, Peer>,
    serial: Token,
    out: VecDeque<Out>,
}

impl Receiver {
    /// A taker with nothing under way.
    pub fn new(timeouts: Timeouts, limits: Limits) -> Self {
        Receiver {
            timeouts,
            limits,
            memory: Memory::new(limits.max_memory_bytes),
            fetches: BTreeMap::new(),
            peers: HashMap::new(),
            serial: 0,
            out: VecDeque::new(),
        }
    }

    /// A state is wanted from a holder, by a time if it is needed by one.
    pub fn fetch(
        &mut self,
        now: Micros,
        id: RequestId,
        route: Route,
        due: Option<Micros>,
    ) -> Result<Token, Cause> {
        if self.fetches.len() >= self.limits.max_transfers {
            return Err(Cause::Full);
        }
        self.serial += 1;
        let token = self.serial;
        let conn = self.peers.iter().find(|(_, p)| p.route == Some(route)).map(|(conn, _)| *conn);
        let fetch = Fetch {
            id,
            route,
            conn: None,
            due,
            contact: now,
            end: now + self.timeouts.transfer_timeout,
            offer: None,
            cuts: 0,
            stage: Stage::Sought,
        };
        self.fetches.insert(token, fetch);
        match conn {
            Some(conn) => self.attach(now, token, conn),
            None => self.out.push_back(Out::Connect(route)),
        }
        Ok(token)
    }

    /// The greeting's window.
    pub fn window(&self) -> u32 {
        self.limits.window_bytes
    }

    /// A connection is there, greetings exchanged. `route`: whose it is, where it was opened from here.
    pub fn up(&mut self, now: Micros, conn: Conn, route: Option<Route>) {
        let may_come = u64::from(self.limits.window_bytes);
        self.peers.insert(conn, Peer { route, heard: now, may_come, moves: Vec::new() });
        let Some(route) = route else { return };
        let waiting = self.fetches.iter().filter(|(_, f)| f.route == route && f.conn.is_none());
        let waiting: Vec<Token> = waiting.map(|(token, _)| *token).collect();
        for token in waiting {
            self.attach(now, token, conn);
        }
    }

    fn attach(&mut self, now: Micros, token: Token, conn: Conn) {
        let (Some(fetch), Some(peer)) = (self.fetches.get_mut(&token), self.peers.get_mut(&conn)) else {
            return;
        };
        fetch.conn = Some(conn);
        peer.moves.push(token);
        let resume = fetch.offer.as_ref().map_or(0, |o| o.incarnation);
        // At least a millisecond: 0 would mean no certain time.
        let due_ms = fetch.due.map_or(0, |due| (due.saturating_sub(now) / 1_000).max(1));
        let due_ms = u32::try_from(due_ms).unwrap_or(u32::MAX);
        let want = Want { token, id: fetch.id.clone(), due_ms, resume };
        self.out.push_back(Out::Say(conn, Frame::Want(want)));
    }

    /// Something came on a connection.
    pub fn heard(&mut self, now: Micros, conn: Conn) {
        if let Some(peer) = self.peers.get_mut(&conn) {
            peer.heard = now;
        }
    }

    /// A connection is gone. Its moves go on over the next one, if there is one in time.
    pub fn down(&mut self, conn: Conn) {
        let Some(peer) = self.peers.remove(&conn) else { return };
        let mut hopeless = Vec::new();
        for token in peer.moves {
            let Some(fetch) = self.fetches.get_mut(&token) else { continue };
            fetch.conn = None;
            fetch.contact = peer.heard;
            fetch.cuts += 1;
            if let Stage::Moves(parts) = &mut fetch.stage {
                parts.asked.clear();
            }
            if fetch.cuts > self.limits.max_connection_losses {
                hopeless.push(token);
            } else {
                self.out.push_back(Out::Connect(fetch.route));
            }
        }
        for token in hopeless {
            self.fail(token, Cause::Lost);
        }
    }

    /// The holder has it.
    pub fn offer(&mut self, now: Micros, conn: Conn, offer: Offer) {
        let token = offer.token;
        let Some(fetch) = self.attached(conn, token) else { return };
        let shape = offer.proof.shape();
        let before = fetch.offer.as_ref();
        if before.is_some_and(|b| b.proof != offer.proof || b.incarnation != offer.incarnation) {
            // Not the state that began to move: what is here of that one is of no use.
            self.end(token, Cause::Gone);
            return;
        }
        fetch.end = fetch.end.min(now + Micros::from(offer.limit_ms) * 1_000);
        fetch.offer = Some(offer);
        let due = fetch.due.unwrap_or(Micros::MAX);
        match fetch.stage {
            Stage::Sought => {
                fetch.stage = Stage::Waits;
                let fits = u64::from(shape.chunk()) * 2 <= u64::from(self.limits.window_bytes);
                match self.memory.want(token, shape.length(), due) {
                    Room::Now if fits => self.begin(token),
                    Room::Now => {
                        self.memory.give_back(shape.length());
                        self.end(token, Cause::TooLarge);
                    }
                    Room::Later => {}
                    Room::Never => self.end(token, Cause::TooLarge),
                }
            }
            Stage::Waits => {}
            Stage::Moves(_) => self.ask(token),
            // The holder has not heard that all of it is here.
            Stage::Whole(_) => self.out.push_back(Out::Say(conn, Frame::Complete(token))),
        }
    }

    fn begin(&mut self, token: Token) {
        let Some(fetch) = self.fetches.get_mut(&token) else { return };
        let Some(offer) = &fetch.offer else { return };
        fetch.stage = Stage::Moves(Parts {
            chunks: vec![Bytes::new(); offer.proof.shape().chunks() as usize],
            have: RoaringBitmap::new(),
            proving: RoaringBitmap::new(),
            asked: RoaringBitmap::new(),
            tries: HashMap::new(),
        });
        self.ask(token);
    }

    /// Asks for all that is missing and not on its way.
    fn ask(&mut self, token: Token) {
        let Some(fetch) = self.fetches.get_mut(&token) else { return };
        let (Some(conn), Some(offer), Stage::Moves(parts)) = (fetch.conn, &fetch.offer, &mut fetch.stage)
        else {
            return;
        };
        let mut missing = RoaringBitmap::new();
        missing.insert_range(0..offer.proof.shape().chunks());
        missing -= &parts.have;
        missing -= &parts.proving;
        missing -= &parts.asked;
        let ranges = ranges(&missing);
        if !ranges.is_empty() {
            parts.asked |= missing;
            self.out.push_back(Out::Say(conn, Frame::Ask(token, ranges)));
        }
    }

    /// A chunk has come.
    pub fn chunk(&mut self, conn: Conn, token: Token, index: u32, data: Bytes) -> Result<(), Fault> {
        let Some(peer) = self.peers.get_mut(&conn) else { return Ok(()) };
        peer.may_come = peer.may_come.checked_sub(data.len() as u64).ok_or(Fault::Credit)?;
        if let Some(Fetch { stage: Stage::Moves(parts), offer: Some(offer), .. }) = self.attached(conn, token)
        {
            if parts.asked.remove(index) {
                parts.proving.insert(index);
                let proof = offer.proof.clone();
                self.out.push_back(Out::Prove(Chunk { conn, token, index, data, proof }));
                return Ok(());
            }
        }
        // Of a move that has ended, or asked for twice over two connections.
        self.give_credit(conn, data.len());
        Ok(())
    }

    fn give_credit(&mut self, conn: Conn, bytes: usize) {
        if let Some(peer) = self.peers.get_mut(&conn) {
            peer.may_come += bytes as u64;
            self.out.push_back(Out::Say(conn, Frame::Credit(bytes as u32)));
        }
    }

    /// Whether a chunk is what it should be.
    pub fn proved(&mut self, chunk: Chunk, good: bool) {
        let Chunk { conn, token, index, data, .. } = chunk;
        self.give_credit(conn, data.len());
        let Some(Fetch { stage: Stage::Moves(parts), cuts, conn, .. }) = self.fetches.get_mut(&token) else {
            return;
        };
        parts.proving.remove(index);
        if !good {
            let tries = parts.tries.entry(index).or_default();
            *tries += 1;
            if *tries >= self.limits.max_chunk_attempts {
                self.end(token, Cause::Corrupt);
            } else {
                self.ask(token);
            }
            return;
        }
        *cuts = 0;
        parts.have.insert(index);
        if let Some(slot) = parts.chunks.get_mut(index as usize) {
            *slot = data;
        }
        if parts.have.len() == parts.chunks.len() as u64 {
            let (chunks, conn) = (std::mem::take(&mut parts.chunks), *conn);
            if let Some(fetch) = self.fetches.get_mut(&token) {
                fetch.stage = Stage::Whole(chunks);
            }
            if let Some(conn) = conn {
                self.out.push_back(Out::Say(conn, Frame::Complete(token)));
            }
        }
    }

    /// The holder's word that the state is this process's.
    pub fn grant(&mut self, conn: Conn, token: Token) {
        if self.attached(conn, token).is_none_or(|f| !matches!(f.stage, Stage::Whole(_))) {
            return;
        }
        if let Some(Fetch { id, stage: Stage::Whole(chunks), offer: Some(offer), .. }) = self.take(token) {
            let Offer { proof, .. } = offer;
            let length = proof.shape().length();
            self.out.push_back(Out::Done(token, id, State { chunks, length, proof }));
        }
    }

    /// The holder has ended the move.
    pub fn abort(&mut self, conn: Conn, token: Token, cause: Cause) {
        if self.attached(conn, token).is_some() {
            self.fail(token, cause);
        }
    }

    /// Nobody here wants it any more.
    pub fn unwanted(&mut self, token: Token) {
        self.end(token, Cause::Unwanted);
    }

    /// Lets go of all moves for the request, and passes the word on to their holders.
    pub fn release(&mut self, id: &RequestId) {
        let of = self.fetches.iter().filter(|(_, f)| f.id == *id);
        let of: Vec<(Token, Option<Conn>)> = of.map(|(token, f)| (*token, f.conn)).collect();
        for (token, conn) in of {
            if let Some(conn) = conn {
                self.out.push_back(Out::Say(conn, Frame::Release(id.clone())));
            }
            self.fail(token, Cause::Released);
        }
    }

    /// A state that was handed out has been dropped.
    pub fn give_back(&mut self, bytes: u64) {
        self.memory.give_back(bytes);
        self.admit();
    }

    /// Ends what is out of time. Returns when to call again, if anything is left.
    pub fn tick(&mut self, now: Micros) -> Option<Micros> {
        let hold = self.timeouts.hold_ttl;
        let ends = |f: &Fetch| if f.conn.is_some() { f.end } else { f.end.min(f.contact + hold) };
        let late = self.fetches.iter().filter(|(_, f)| ends(f) <= now);
        let late: Vec<(Token, bool)> = late.map(|(token, f)| (*token, f.end <= now)).collect();
        for (token, expired) in late {
            self.end(token, if expired { Cause::Expired } else { Cause::Lost });
        }
        self.fetches.values().map(ends).min()
    }

    fn attached(&mut self, conn: Conn, token: Token) -> Option<&mut Fetch> {
        self.fetches.get_mut(&token).filter(|f| f.conn == Some(conn))
    }

    /// Ends a move from here: its holder is told.
    fn end(&mut self, token: Token, cause: Cause) {
        if let Some(conn) = self.fetches.get(&token).and_then(|f| f.conn) {
            self.out.push_back(Out::Say(conn, Frame::GiveUp(token, cause)));
        }
        self.fail(token, cause);
    }

    fn fail(&mut self, token: Token, cause: Cause) {
        let Some(fetch) = self.take(token) else { return };
        let length = fetch.offer.map_or(0, |o| o.proof.shape().length());
        match fetch.stage {
            Stage::Sought => {}
            Stage::Waits => self.memory.leave(token, fetch.due.unwrap_or(Micros::MAX)),
            Stage::Moves(_) | Stage::Whole(_) => self.memory.give_back(length),
        }
        self.out.push_back(Out::Failed(token, cause));
        self.admit();
    }

    fn take(&mut self, token: Token) -> Option<Fetch> {
        let fetch = self.fetches.remove(&token)?;
        if let Some(peer) = fetch.conn.and_then(|conn| self.peers.get_mut(&conn)) {
            peer.moves.retain(|t| *t != token);
        }
        Some(fetch)
    }

    fn admit(&mut self) {
        while let Some(token) = self.memory.admit() {
            self.begin(token);
        }
    }

    /// What is to be done next.
    pub fn poll(&mut self) -> Option<Out> {
        self.out.pop_front()
    }

    /// Whether moves are under way on a connection.
    pub fn busy(&self, conn: Conn) -> bool {
        self.peers.get(&conn).is_some_and(|p| !p.moves.is_empty())
    }

    /// Whether moves need the route.
    pub fn needs(&self, route: Route) -> bool {
        self.fetches.values().any(|f| f.route == route)
    }

    /// Whether a move for the request is under way.
    pub fn seeks(&self, id: &RequestId) -> bool {
        self.fetches.values().any(|f| f.id == *id)
    }

    /// Each move under way: whose, bytes that are here and proven, bytes in all once they are known.
    pub fn progress(&self) -> impl Iterator<Item = (&RequestId, u64, Option<u64>)> {
        self.fetches.values().map(|f| {
            let shape = f.offer.as_ref().map(|o| o.proof.shape());
            let here = match (&f.stage, shape) {
                (Stage::Moves(parts), _) => parts.chunks.iter().map(|c| c.len() as u64).sum(),
                (Stage::Whole(_), Some(shape)) => shape.length(),
                _ => 0,
            };
            (&f.id, here, shape.map(|s| s.length()))
        })
    }

    /// Moves under way, how many of them wait for memory, and bytes set aside.
    pub fn moves(&self) -> (usize, usize, u64) {
        (self.fetches.len(), self.memory.waiting(), self.memory.used())
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
