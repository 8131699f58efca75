//! The holder's side: states that were read here, who comes for them, and what goes out next. No I/O, no
//! clock: it is told what happened and when, and says what to do.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use roaring::RoaringBitmap;

use crate::cause::Cause;
use crate::lease::{Claim, Lease, Taker};
use crate::link::{Flow, Link};
use crate::proof::Proof;
use crate::wire::{Frame, Hello, Offer, RequestId, Want};
use crate::{Conn, Incarnation, Micros, Timeouts, Token};

/// Limits of a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// States held, and notes of those given away.
    pub max_caches: usize,
    /// Bytes of all states held.
    pub max_bytes: u64,
    /// Moves of one connection.
    pub max_transfers_per_connection: usize,
    /// Bytes on their way in all.
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

/// What the other end may not do. Its connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// A name of a move that is in use.
    #[error("it names two moves alike")]
    Token,
    /// Chunks that the state does not have.
    #[error("it asks for chunks that do not exist")]
    Range,
    /// More than was allowed to come.
    #[error("it sends more than it was allowed to")]
    Credit,
}

/// What is to be done.
#[derive(Debug)]
pub enum Out {
    /// Say this.
    Say(Conn, Frame),
    /// A state has gone from here for this reason. Where nobody else has it, its prompt must be read anew.
    Freed(RequestId, Cause),
    /// A state has gone from here as its taker owns it.
    Given(RequestId),
}

/// A read that has begun. What it brings is freed at once if it is released meanwhile.
#[derive(Debug, PartialEq, Eq, Hash, Clone, Copy, PartialOrd, Ord)]
pub struct Ticket(u64);

#[derive(Debug)]
struct Held {
    chunks: Vec<Bytes>,
    proof: Arc<Proof>,
    lease: Lease,
    moving: Option<Flow>,
    /// Released while a taker was at it: it goes once that gives it up.
    released: bool,
}

#[derive(Debug)]
struct Move {
    id: RequestId,
    taker: Taker,
    conn: Conn,
    todo: RoaringBitmap,
}

#[derive(Debug)]
struct Peer {
    process: Incarnation,
    heard: Micros,
    moves: BTreeMap<Token, Flow>,
}

/// The holder's side of a process.
#[derive(Debug)]
pub struct Sender {
    timeouts: Timeouts,
    limits: Limits,
    process: Incarnation,
    reading: BTreeMap<Ticket, RequestId>,
    states: HashMap<RequestId, Held>,
    bytes: u64,
    peers: HashMap<Conn, Peer>,
    moves: HashMap<Flow, Move>,
    link: Link,
    drained: Option<Micros>,
    serial: u64,
    out: VecDeque<Out>,
}

impl Sender {
    /// A holder with nothing in it.
    pub fn new(process: Incarnation, timeouts: Timeouts, limits: Limits) -> Self {
        Sender {
            timeouts,
            limits,
            process,
            reading: BTreeMap::new(),
            states: HashMap::new(),
            bytes: 0,
            peers: HashMap::new(),
            moves: HashMap::new(),
            link: Link::new(limits.max_in_flight_bytes),
            drained: None,
            serial: 0,
            out: VecDeque::new(),
        }
    }

    fn serial(&mut self) -> u64 {
        self.serial += 1;
        self.serial
    }

    /// A read begins here. None does after a drain.
    pub fn begin(&mut self, id: RequestId) -> Result<Ticket, Cause> {
        if self.drained.is_some() {
            return Err(Cause::Drained);
        }
        if self.reading.len() >= self.limits.max_caches {
            return Err(Cause::Full);
        }
        let ticket = Ticket(self.serial());
        self.reading.insert(ticket, id);
        Ok(ticket)
    }

    /// The read was given up.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.reading.remove(&ticket);
    }

    /// The read has brought a state. It takes the place of an older one of the same request, of which this
    /// read shows that it is no longer of use.
    pub fn put(&mut self, now: Micros, ticket: Ticket, state: Bytes, proof: Arc<Proof>) -> Result<(), Cause> {
        let id = self.reading.remove(&ticket).ok_or(Cause::Released)?;
        let shape = proof.shape();
        let cut = |index: u32| {
            let start = index as usize * shape.chunk() as usize;
            state.slice(start..start + shape.len_of(index) as usize)
        };
        self.hold(now, id, (0..shape.chunks()).map(cut).collect(), proof)
    }

    /// Holds a state that has come from elsewhere, whole and proven.
    pub fn hold(
        &mut self,
        now: Micros,
        id: RequestId,
        chunks: Vec<Bytes>,
        proof: Arc<Proof>,
    ) -> Result<(), Cause> {
        if self.drained.is_some() {
            return Err(Cause::Drained);
        }
        self.free(&id, Cause::Superseded);
        let bytes = proof.shape().length();
        if !self.room(bytes) {
            return Err(Cause::Full);
        }
        self.bytes += bytes;
        self.states.insert(id, Held { chunks, proof, lease: Lease::new(now), moving: None, released: false });
        Ok(())
    }

    /// Whether one more state of so many bytes may be held.
    pub fn room(&self, bytes: u64) -> bool {
        self.states.len() < self.limits.max_caches && self.bytes + bytes <= self.limits.max_bytes
    }

    /// A connection is there, greetings exchanged.
    pub fn up(&mut self, now: Micros, conn: Conn, hello: Hello) {
        let peer = Peer { process: hello.incarnation, heard: now, moves: BTreeMap::new() };
        self.peers.insert(conn, peer);
        self.link.up(conn, u64::from(hello.window));
        if let Some(end) = self.drained {
            self.out.push_back(Out::Say(conn, Frame::Drain(millis(end.saturating_sub(now)))));
        }
    }

    /// Something came on a connection.
    pub fn heard(&mut self, now: Micros, conn: Conn) {
        if let Some(peer) = self.peers.get_mut(&conn) {
            peer.heard = now;
        }
    }

    /// A connection is gone. Its moves wait for their takers to come back.
    pub fn down(&mut self, conn: Conn) {
        let Some(peer) = self.peers.remove(&conn) else { return };
        self.link.down(conn);
        for flow in peer.moves.into_values() {
            let Some(moving) = self.moves.remove(&flow) else { continue };
            if let Some(held) = self.states.get_mut(&moving.id) {
                held.lease.cut(moving.taker, peer.heard);
                held.moving = None;
            }
        }
    }

    /// A taker comes for a state, for the first time or back after a cut.
    pub fn want(&mut self, now: Micros, conn: Conn, want: Want) -> Result<(), Fault> {
        let Some(peer) = self.peers.get(&conn) else { return Ok(()) };
        let Want { token, id, due_ms, resume } = want;
        if peer.moves.contains_key(&token) {
            return Err(Fault::Token);
        }
        let full = peer.moves.len() >= self.limits.max_transfers_per_connection;
        let taker = Taker { process: peer.process, token };
        let claim = match self.states.get_mut(&id) {
            _ if resume != 0 && resume != self.process => Err(Cause::Gone),
            None if self.drained.is_some() => Err(Cause::Drained),
            None => Err(Cause::Gone),
            Some(_) if full => Err(Cause::Full),
            Some(held) => held.lease.claim(now, taker, resume != 0),
        };
        let frame = match claim {
            Err(cause) => Frame::Abort(token, cause),
            Ok(Claim::Owner) => Frame::Grant(token),
            Ok(Claim::New { .. } | Claim::Again) => {
                let due = (due_ms > 0).then(|| now + Micros::from(due_ms) * 1_000);
                return {
                    self.take_up(now, conn, taker, id, due);
                    Ok(())
                };
            }
        };
        self.out.push_back(Out::Say(conn, frame));
        Ok(())
    }

    fn take_up(&mut self, now: Micros, conn: Conn, taker: Taker, id: RequestId, due: Option<Micros>) {
        let flow = self.serial();
        let Some(held) = self.states.get_mut(&id) else { return };
        let before = held.moving.replace(flow);
        let (proof, ends) = (held.proof.clone(), held.lease.ends(&self.timeouts));
        if let Some(old) = before.and_then(|f| self.end_move(f)) {
            // Where it is the same taker, on a connection that is not yet known to have gone, it has heard.
            if old.taker != taker {
                let frame = Frame::Abort(old.taker.token, Cause::Superseded);
                self.out.push_back(Out::Say(old.conn, frame));
            }
        }
        let limit_ms = millis(ends.min(self.drained.unwrap_or(Micros::MAX)).saturating_sub(now));
        let offer = Offer { token: taker.token, incarnation: self.process, limit_ms, proof };
        self.out.push_back(Out::Say(conn, Frame::Offer(offer)));
        self.link.add(flow, conn, due);
        self.moves.insert(flow, Move { id, taker, conn, todo: RoaringBitmap::new() });
        if let Some(peer) = self.peers.get_mut(&conn) {
            peer.moves.insert(taker.token, flow);
        }
    }

    fn end_move(&mut self, flow: Flow) -> Option<Move> {
        let moving = self.moves.remove(&flow)?;
        self.link.remove(flow);
        if let Some(peer) = self.peers.get_mut(&moving.conn) {
            peer.moves.remove(&moving.taker.token);
        }
        Some(moving)
    }

    /// The taker has room for these chunks and wants them.
    pub fn ask(&mut self, conn: Conn, token: Token, ranges: &[std::ops::Range<u32>]) -> Result<(), Fault> {
        let Some((flow, moving)) = self.moving(conn, token) else { return Ok(()) };
        let id = moving.id.clone();
        let Some(shape) = self.states.get(&id).map(|h| h.proof.shape()) else { return Ok(()) };
        if ranges.iter().any(|r| r.start >= r.end || r.end > shape.chunks()) {
            return Err(Fault::Range);
        }
        if let Some(moving) = self.moves.get_mut(&flow) {
            for range in ranges {
                moving.todo.insert_range(range.clone());
            }
            self.link.ready(flow, moving.todo.min().map_or(0, |i| shape.len_of(i)));
        }
        Ok(())
    }

    /// The taker has dealt with so many bytes of chunks.
    pub fn credit(&mut self, conn: Conn, bytes: u32) {
        self.link.credit(conn, u64::from(bytes));
    }

    /// The taker has the whole, proven. The copy here goes.
    pub fn complete(&mut self, now: Micros, conn: Conn, token: Token) {
        let Some((flow, moving)) = self.moving(conn, token) else { return };
        let (id, taker) = (moving.id.clone(), moving.taker);
        let given = match self.states.get_mut(&id) {
            Some(held) => held.lease.give(now, taker),
            None => Err(Cause::Gone),
        };
        self.end_move(flow);
        let frame = match given {
            Ok(()) => {
                if let Some(held) = self.states.get_mut(&id) {
                    held.moving = None;
                    held.chunks = Vec::new();
                    self.bytes -= held.proof.shape().length();
                }
                self.out.push_back(Out::Given(id));
                Frame::Grant(token)
            }
            Err(cause) => Frame::Abort(token, cause),
        };
        self.out.push_back(Out::Say(conn, frame));
    }

    /// The taker has given the move up. The state waits for another, unless it can't be proven anywhere.
    pub fn abort(&mut self, now: Micros, conn: Conn, token: Token, cause: Cause) {
        let Some((flow, _)) = self.moving(conn, token) else { return };
        let Some(moving) = self.end_move(flow) else { return };
        if let Some(held) = self.states.get_mut(&moving.id) {
            held.moving = None;
            held.lease.let_go(now, moving.taker);
        }
        let released = self.states.get(&moving.id).is_some_and(|held| held.released);
        if cause == Cause::Corrupt {
            self.free(&moving.id, cause);
        } else if released {
            self.free(&moving.id, Cause::Released);
        }
    }

    fn moving(&self, conn: Conn, token: Token) -> Option<(Flow, &Move)> {
        let flow = *self.peers.get(&conn)?.moves.get(&token)?;
        Some((flow, self.moves.get(&flow)?))
    }

    /// Lets go of all that is held for the request, and of what a read that is under way will bring.
    pub fn release(&mut self, id: &RequestId) {
        self.reading.retain(|_, reading| reading != id);
        self.free(id, Cause::Released);
    }

    /// Lets go of what is held for the request and no attempt waits for: a read that is under way goes on,
    /// and a state that a taker is at goes once that gives it up. A taker that asks for it on its own
    /// connection, `by`, gives it up with that.
    pub fn release_unclaimed(&mut self, id: &RequestId, by: Option<Conn>) {
        let Some(held) = self.states.get_mut(id) else { return };
        let taken_by = held.moving.and_then(|flow| self.moves.get(&flow)).map(|moving| moving.conn);
        if held.lease.is_claimed() && (by.is_none() || taken_by != by) {
            held.released = true;
        } else {
            self.free(id, Cause::Released);
        }
    }

    fn free(&mut self, id: &RequestId, cause: Cause) {
        let Some(held) = self.states.remove(id) else { return };
        if let Some(moving) = held.moving.and_then(|flow| self.end_move(flow)) {
            self.out.push_back(Out::Say(moving.conn, Frame::Abort(moving.taker.token, cause)));
        }
        if held.lease.holds() {
            self.bytes -= held.proof.shape().length();
            self.out.push_back(Out::Freed(id.clone(), cause));
        }
    }

    /// Nothing new is read here; what is held may be taken until `end`, and is freed then.
    pub fn drain(&mut self, now: Micros, end: Micros) {
        let end = self.drained.map_or(end, |earlier| earlier.min(end));
        self.drained = Some(end);
        for conn in self.peers.keys() {
            self.out.push_back(Out::Say(*conn, Frame::Drain(millis(end.saturating_sub(now)))));
        }
    }

    /// Ends what is out of time. Returns when to call again, if anything is left.
    pub fn tick(&mut self, now: Micros) -> Option<Micros> {
        let over = self.drained.is_some_and(|end| end <= now);
        let ended = |h: &Held| h.lease.ends(&self.timeouts) <= now;
        let ended: Vec<RequestId> =
            self.states.iter().filter(|(_, h)| over || ended(h)).map(|(id, _)| id.clone()).collect();
        for id in ended {
            self.free(&id, if over { Cause::Drained } else { Cause::Expired });
        }
        let leases = self.states.values().map(|h| h.lease.ends(&self.timeouts));
        leases.chain(self.drained.filter(|_| !self.states.is_empty())).min()
    }

    /// The next chunk that goes out.
    pub fn next_chunk(&mut self, now: Micros) -> Option<(Conn, Token, u32, Bytes)> {
        let flow = self.link.next(now)?;
        let moving = self.moves.get_mut(&flow)?;
        let held = self.states.get(&moving.id)?;
        let shape = held.proof.shape();
        let index = moving.todo.min()?;
        moving.todo.remove(index);
        self.link.ready(flow, moving.todo.min().map_or(0, |i| shape.len_of(i)));
        let data = held.chunks.get(index as usize)?.clone();
        Some((moving.conn, moving.taker.token, index, data))
    }

    /// What is to be done next.
    pub fn poll(&mut self) -> Option<Out> {
        self.out.pop_front()
    }

    /// Whether moves are under way on a connection.
    pub fn busy(&self, conn: Conn) -> bool {
        self.peers.get(&conn).is_some_and(|p| !p.moves.is_empty())
    }

    /// Whether a state of this name is here.
    pub fn holds(&self, id: &RequestId) -> bool {
        self.states.get(id).is_some_and(|h| h.lease.holds())
    }

    /// States held here, and their bytes.
    pub fn held(&self) -> (usize, u64) {
        (self.states.values().filter(|h| h.lease.holds()).count(), self.bytes)
    }

    /// Moves under way, and bytes on their way.
    pub fn moves(&self) -> (usize, u64) {
        (self.moves.len(), self.link.in_flight())
    }

    /// Whether it has been told to drain.
    pub fn draining(&self) -> bool {
        self.drained.is_some()
    }
}

/// Whole milliseconds, as the wire has them.
fn millis(time: Micros) -> u32 {
    u32::try_from(time / 1_000).unwrap_or(u32::MAX)
}
