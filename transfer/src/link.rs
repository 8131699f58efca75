//! Which chunk goes next where many moves share one link. Moves with a time by which they are needed come
//! first, the earliest first, as long as that time has not passed; the rest share by bytes (start-time fair
//! queueing). Bytes on their way are bounded for each peer and in all. No I/O, no clock.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::{Conn, Micros};

/// Names a move on the link.
pub type Flow = u64;

/// Of so many chunks in a row that went to moves with a time, the next goes to one without, if one waits.
const DUE_RUN: u64 = 7;

#[derive(Debug, Default)]
struct Peer {
    credit: u64,
    in_flight: u64,
    due: BTreeSet<(Micros, Flow)>,
    fair: BTreeSet<(u64, Flow)>,
}

#[derive(Debug)]
struct Queue {
    peer: Conn,
    due: Option<Micros>,
    /// Bytes of the next chunk; 0 while there is none.
    next: u32,
    /// Where it stands among those that share.
    tag: u64,
}

/// The link of one holder.
#[derive(Debug)]
pub struct Link {
    most: u64,
    in_flight: u64,
    peers: BTreeMap<Conn, Peer>,
    flows: HashMap<Flow, Queue>,
    /// The tag of the chunk that was sent last: who comes anew starts here, and saves nothing up.
    virtual_time: u64,
    due_run: u64,
}

impl Link {
    /// `most`: bytes in flight in all. A peer with nothing in flight may always be sent one chunk, so that
    /// peers that take nothing can't hold up the others; the bound is `most` and a chunk for each peer.
    pub fn new(most: u64) -> Self {
        Link {
            most,
            in_flight: 0,
            peers: BTreeMap::new(),
            flows: HashMap::new(),
            virtual_time: 0,
            due_run: 0,
        }
    }

    /// A peer is there and lets so many bytes come.
    pub fn up(&mut self, peer: Conn, window: u64) {
        self.peers.insert(peer, Peer { credit: window, ..Peer::default() });
    }

    /// A peer is gone, and with it what was on its way and its moves.
    pub fn down(&mut self, peer: Conn) {
        if let Some(peer) = self.peers.remove(&peer) {
            self.in_flight -= peer.in_flight;
            for (_, flow) in peer.due.iter().chain(&peer.fair) {
                self.flows.remove(flow);
            }
        }
        self.flows.retain(|_, q| q.peer != peer);
    }

    /// The peer has taken so many bytes and lets as many more come.
    pub fn credit(&mut self, peer: Conn, bytes: u64) {
        if let Some(peer) = self.peers.get_mut(&peer) {
            let arrived = bytes.min(peer.in_flight);
            peer.in_flight -= arrived;
            self.in_flight -= arrived;
            peer.credit = peer.credit.saturating_add(bytes);
        }
    }

    /// A move begins.
    pub fn add(&mut self, flow: Flow, peer: Conn, due: Option<Micros>) {
        self.flows.insert(flow, Queue { peer, due, next: 0, tag: 0 });
    }

    /// A move ends.
    pub fn remove(&mut self, flow: Flow) {
        self.ready(flow, 0);
        self.flows.remove(&flow);
    }

    /// The move's next chunk has so many bytes; 0: there is none to send.
    pub fn ready(&mut self, flow: Flow, bytes: u32) {
        let Some(queue) = self.flows.get_mut(&flow) else { return };
        let Some(peer) = self.peers.get_mut(&queue.peer) else { return };
        if let Some(due) = queue.due {
            peer.due.remove(&(due, flow));
        }
        peer.fair.remove(&(queue.tag, flow));
        queue.next = bytes;
        if bytes == 0 {
            return;
        }
        match queue.due {
            Some(due) => {
                peer.due.insert((due, flow));
            }
            None => {
                queue.tag = queue.tag.max(self.virtual_time);
                peer.fair.insert((queue.tag, flow));
            }
        }
    }

    /// Picks the move whose next chunk goes out, and counts it as on its way; its next one is named with
    /// [`Link::ready`].
    pub fn next(&mut self, now: Micros) -> Option<Flow> {
        self.too_late(now);
        let (due, fair) = (self.first(|p| &p.due), self.first(|p| &p.fair));
        let owed = self.due_run >= DUE_RUN;
        let (flow, by_time) = match (due, fair) {
            (Some((_, flow)), None) => (flow, true),
            (Some((_, flow)), Some(_)) if !owed => (flow, true),
            (_, Some((tag, flow))) => {
                self.virtual_time = tag;
                (flow, false)
            }
            (None, None) => return None,
        };
        self.due_run = if by_time { self.due_run + 1 } else { 0 };
        let queue = self.flows.get_mut(&flow)?;
        let peer = self.peers.get_mut(&queue.peer)?;
        let bytes = u64::from(queue.next);
        peer.credit -= bytes;
        peer.in_flight += bytes;
        self.in_flight += bytes;
        match (by_time, queue.due) {
            (true, Some(due)) => peer.due.remove(&(due, flow)),
            _ => peer.fair.remove(&(queue.tag, flow)),
        };
        queue.next = 0;
        queue.tag += bytes;
        Some(flow)
    }

    /// Moves whose time has passed share with the rest: they would only make others late too.
    fn too_late(&mut self, now: Micros) {
        for peer in self.peers.values_mut() {
            while let Some((due, flow)) = peer.due.first().copied().filter(|(due, _)| *due < now) {
                peer.due.remove(&(due, flow));
                if let Some(queue) = self.flows.get_mut(&flow) {
                    queue.due = None;
                    queue.tag = queue.tag.max(self.virtual_time);
                    peer.fair.insert((queue.tag, flow));
                }
            }
        }
    }

    /// The first of all peers' first ones that may be sent now.
    fn first(&self, order: impl Fn(&Peer) -> &BTreeSet<(u64, Flow)>) -> Option<(u64, Flow)> {
        let firsts = self.peers.values().filter_map(|p| {
            let first = order(p).first().copied()?;
            self.may(p, u64::from(self.flows.get(&first.1)?.next)).then_some(first)
        });
        firsts.min()
    }

    /// A peer may have as much in flight as is left for all others: so some is always left, however many
    /// take nothing.
    fn may(&self, peer: &Peer, bytes: u64) -> bool {
        let left = self.most.saturating_sub(self.in_flight);
        peer.credit >= bytes && (peer.in_flight == 0 || peer.in_flight + bytes <= left)
    }

    /// Bytes on their way.
    pub fn in_flight(&self) -> u64 {
        self.in_flight
    }
}
