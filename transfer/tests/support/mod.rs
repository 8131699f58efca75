//! A world in memory: one holder, some takers, and connections between them that lose, delay, cut and
//! corrupt. Time is a number.
#![allow(dead_code)]

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use frosttrail_transfer::cause::Cause;
use frosttrail_transfer::proof::Proof;
use frosttrail_transfer::receiver::{self, Receiver, State};
use frosttrail_transfer::sender::{self, Sender};
use frosttrail_transfer::wire::{Frame, Hello, RequestId, VERSION};
use frosttrail_transfer::{Conn, Incarnation, Micros, Timeouts, Token};

pub const CHUNK: u32 = 4_096;
/// The rule: with no attempt out, a state is taken or freed within this time.
pub const RULE: Micros = 1_000_000;
/// Time moves on by this much at a time.
pub const SLICE: Micros = 20_000;

pub fn id(name: u8) -> RequestId {
    RequestId::new(&format!("r{name}")).unwrap()
}

/// Bytes that no other state has.
pub fn content(serial: u64, length: usize) -> Bytes {
    let mut out = serial.to_be_bytes().repeat(length / 8 + 1);
    out.truncate(length);
    out.into()
}

/// What ended a fetch.
pub type End = Result<State, Cause>;

pub struct Taker {
    pub machine: Receiver,
    pub ends: HashMap<Token, End>,
    pub open: HashMap<Token, RequestId>,
    process: Incarnation,
    connects: bool,
}

struct Wire {
    taker: usize,
    to_holder: VecDeque<Frame>,
    to_taker: VecDeque<Frame>,
    /// When something last came, at the holder and at the taker.
    heard: [Micros; 2],
}

pub struct World {
    pub now: Micros,
    pub timeouts: Timeouts,
    pub holder: Sender,
    pub takers: Vec<Taker>,
    wires: HashMap<Conn, Wire>,
    serial: u64,
    /// No new connections, and nothing passes on those there are.
    pub dark: bool,
    /// So many of the next chunks are corrupted on their way.
    pub flips: u32,
    pub sent: HashMap<(usize, Token, u32), u32>,
    /// Content of each state by id, as it was put last.
    pub content: HashMap<RequestId, Bytes>,
    /// All that was ever put under an id.
    all: HashMap<RequestId, Vec<Bytes>>,
    /// Since when a state has been held with no fetch for it open.
    pinned: HashMap<RequestId, Micros>,
    pub freed: Vec<(RequestId, Cause)>,
    limits: sender::Limits,
}

impl World {
    pub fn new(takers: usize, sender: sender::Limits, receiver: receiver::Limits) -> Self {
        let timeouts = Timeouts::default();
        let taker = |process: usize| Taker {
            machine: Receiver::new(timeouts, receiver),
            ends: HashMap::new(),
            open: HashMap::new(),
            process: process as Incarnation + 1,
            connects: false,
        };
        World {
            now: 0,
            timeouts,
            holder: Sender::new(100, timeouts, sender),
            takers: (0..takers).map(taker).collect(),
            wires: HashMap::new(),
            serial: 0,
            dark: false,
            flips: 0,
            sent: HashMap::new(),
            content: HashMap::new(),
            all: HashMap::new(),
            pinned: HashMap::new(),
            freed: Vec::new(),
            limits: sender,
        }
    }

    pub fn put(&mut self, name: u8, length: usize) -> Result<(), Cause> {
        self.serial += 1;
        let state = content(self.serial, length);
        let proof = Arc::new(Proof::of(&state, CHUNK).unwrap());
        let ticket = self.holder.begin(id(name))?;
        self.holder.put(self.now, ticket, state.clone(), proof)?;
        self.all.entry(id(name)).or_default().push(state.clone());
        self.content.insert(id(name), state);
        self.pinned.remove(&id(name));
        self.settle();
        Ok(())
    }

    pub fn fetch(&mut self, taker: usize, name: u8, due: Option<Micros>) -> Result<Token, Cause> {
        let token = self.takers[taker].machine.fetch(self.now, id(name), 1, due)?;
        self.takers[taker].open.insert(token, id(name));
        self.settle();
        Ok(token)
    }

    /// Whether the holder has let go of the bytes that were put last under the name.
    pub fn dropped(&mut self, name: u8) -> bool {
        let last = self.all.get_mut(&id(name)).and_then(Vec::pop);
        drop(self.content.remove(&id(name)));
        last.is_some_and(|bytes| bytes.is_unique())
    }

    /// The taker's request has gone.
    pub fn drop_fetches(&mut self, taker: usize, name: u8) {
        let open = self.takers[taker].open.iter().filter(|(_, i)| **i == id(name));
        for token in open.map(|(t, _)| *t).collect::<Vec<_>>() {
            self.takers[taker].machine.unwanted(token);
        }
        self.settle();
    }

    /// Another process in the holder's place.
    pub fn restart_holder(&mut self) {
        self.cut_all();
        self.serial += 1;
        self.holder = Sender::new(100 + self.serial, self.timeouts, self.limits);
        self.content.clear();
    }

    pub fn cut_all(&mut self) {
        let mut wires: Vec<Conn> = self.wires.keys().copied().collect();
        wires.sort_unstable();
        for conn in wires {
            self.cut(conn);
        }
        self.settle();
    }

    fn cut(&mut self, conn: Conn) {
        if let Some(wire) = self.wires.remove(&conn) {
            self.holder.down(conn);
            self.takers[wire.taker].machine.down(conn);
        }
    }

    fn connect(&mut self) {
        for taker in 0..self.takers.len() {
            if self.dark || !std::mem::take(&mut self.takers[taker].connects) {
                continue;
            }
            if self.wires.values().any(|w| w.taker == taker) {
                continue;
            }
            self.serial += 1;
            let conn = self.serial;
            let wire =
                Wire { taker, to_holder: VecDeque::new(), to_taker: VecDeque::new(), heard: [self.now; 2] };
            self.wires.insert(conn, wire);
            let taker = &mut self.takers[taker];
            let (process, window) = (taker.process, taker.machine.window());
            let hello = Hello { version: VERSION, features: 0, incarnation: process, window };
            taker.machine.up(self.now, conn, Some(1));
            self.holder.up(self.now, conn, hello);
        }
    }

    /// Carries out what the machines say, and checks what must always hold.
    pub fn settle(&mut self) {
        while let Some(out) = self.holder.poll() {
            match out {
                sender::Out::Say(conn, frame) => {
                    if let Some(wire) = self.wires.get_mut(&conn) {
                        wire.to_taker.push_back(frame);
                    }
                }
                sender::Out::Freed(id, cause) => self.freed.push((id, cause)),
                sender::Out::Given(_) => {}
            }
        }
        for taker in 0..self.takers.len() {
            while let Some(out) = self.takers[taker].machine.poll() {
                match out {
                    receiver::Out::Say(conn, frame) => {
                        if let Some(wire) = self.wires.get_mut(&conn) {
                            wire.to_holder.push_back(frame);
                        }
                    }
                    receiver::Out::Connect(_) => self.takers[taker].connects = true,
                    receiver::Out::Prove(chunk) => {
                        let good = chunk.proof.proves(chunk.index, &chunk.data);
                        self.takers[taker].machine.proved(chunk, good);
                    }
                    receiver::Out::Done(token, _, state) => self.end(taker, token, Ok(state)),
                    receiver::Out::Failed(token, cause) => self.end(taker, token, Err(cause)),
                }
            }
        }
        while let Some((conn, token, index, data)) = self.holder.next_chunk(self.now) {
            let wire = self.wires.get_mut(&conn).expect("chunks go only where a connection is");
            *self.sent.entry((wire.taker, token, index)).or_default() += 1;
            let data = if self.flips > 0 {
                self.flips -= 1;
                let mut flipped = data.to_vec();
                flipped[index as usize % data.len()] ^= 4;
                flipped.into()
            } else {
                data
            };
            wire.to_taker.push_back(Frame::Chunk(token, index, data));
        }
        self.check();
    }

    fn end(&mut self, taker: usize, token: Token, end: End) {
        let id = self.takers[taker].open.remove(&token).expect("a fetch ends once");
        if let Ok(state) = &end {
            let whole: Vec<u8> = state.chunks.iter().flatten().copied().collect();
            let is = self.content.get(&id).is_some_and(|c| c[..] == whole[..]);
            // A later read may have taken the name since; then it is an earlier state.
            let was = self.all.get(&id).is_some_and(|a| a.iter().any(|c| c[..] == whole[..]));
            assert!(was, "a spoilt state became visible");
            assert!(!is || !self.holder.holds(&id), "{id} has two owners");
        }
        self.takers[taker].ends.insert(token, end);
    }

    fn check(&mut self) {
        for taker in &self.takers {
            let owned = taker.ends.values().flatten().map(|s| s.length).sum::<u64>();
            assert!(taker.machine.moves().2 >= owned, "what is handed out stays counted");
        }
        let held: Vec<RequestId> = self.content.keys().filter(|id| self.holder.holds(id)).cloned().collect();
        self.pinned.retain(|id, _| held.contains(id));
        for id in held {
            if self.takers.iter().any(|t| t.open.values().any(|open| *open == id)) {
                self.pinned.remove(&id);
            } else {
                let since = *self.pinned.entry(id.clone()).or_insert(self.now);
                assert!(self.now - since <= RULE, "{id} is held for longer than a second");
            }
        }
    }

    /// One frame each way on each connection.
    fn deliver(&mut self) -> bool {
        let mut wires: Vec<Conn> = self.wires.keys().copied().collect();
        wires.sort_unstable();
        let mut any = false;
        for conn in wires {
            let Some(wire) = self.wires.get_mut(&conn) else { continue };
            let taker = wire.taker;
            let (up, down) = (wire.to_holder.pop_front(), wire.to_taker.pop_front());
            any |= up.is_some() || down.is_some();
            if let Some(frame) = up {
                self.at_holder(conn, frame);
            }
            if let Some(frame) = down {
                self.at_taker(conn, taker, frame);
            }
            self.settle();
        }
        any
    }

    fn at_holder(&mut self, conn: Conn, frame: Frame) {
        match frame {
            Frame::Want(want) => self.holder.want(self.now, conn, want).unwrap(),
            Frame::Ask(token, ranges) => self.holder.ask(conn, token, &ranges).unwrap(),
            Frame::Credit(bytes) => self.holder.credit(conn, bytes),
            Frame::Complete(token) => self.holder.complete(self.now, conn, token),
            Frame::GiveUp(token, cause) => self.holder.abort(self.now, conn, token, cause),
            Frame::Release(id) => self.holder.release_unclaimed(&id, Some(conn)),
            other => panic!("{other:?} to a holder"),
        }
    }

    fn at_taker(&mut self, conn: Conn, taker: usize, frame: Frame) {
        let machine = &mut self.takers[taker].machine;
        match frame {
            Frame::Offer(offer) => machine.offer(self.now, conn, offer),
            Frame::Chunk(token, index, data) => machine.chunk(conn, token, index, data).unwrap(),
            Frame::Grant(token) => machine.grant(conn, token),
            Frame::Abort(token, cause) => machine.abort(conn, token, cause),
            Frame::Drain(_) => {}
            other => panic!("{other:?} to a taker"),
        }
    }

    /// So many frames pass, with no time in between.
    pub fn frames(&mut self, count: usize) {
        self.connect();
        self.settle();
        if !self.dark {
            for _ in 0..count {
                if !self.deliver() {
                    break;
                }
            }
        }
    }

    /// Time passes, and on wires that are not dark all that there is to say. What has been silent is cut.
    pub fn advance(&mut self, time: Micros) {
        let end = self.now + time;
        while self.now < end {
            self.now += SLICE;
            self.connect();
            self.settle();
            if !self.dark {
                while self.deliver() {}
                for (conn, wire) in &mut self.wires {
                    wire.heard = [self.now; 2];
                    self.holder.heard(self.now, *conn);
                    self.takers[wire.taker].machine.heard(self.now, *conn);
                }
            }
            let (now, silence) = (self.now, self.timeouts.silence_timeout);
            let silent: Vec<Conn> =
                self.wires.iter().filter(|(_, w)| now - w.heard[0] > silence).map(|(c, _)| *c).collect();
            for conn in silent {
                self.cut(conn);
            }
            self.holder.tick(self.now);
            for taker in &mut self.takers {
                taker.machine.tick(self.now);
            }
            self.settle();
        }
    }

    /// What the takers have got is dropped.
    pub fn drop_states(&mut self) {
        for taker in &mut self.takers {
            for (_, end) in taker.ends.drain() {
                if let Ok(state) = end {
                    taker.machine.give_back(state.length);
                }
            }
        }
        self.settle();
    }
}
