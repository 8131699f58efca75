//! Schedules the chunks of the transfers that share one outgoing link. Transfers with a deadline that has not
//! passed come first, earliest deadline first; the others share the link by bytes (start-time fair queueing).
//! Bytes in flight are bounded per peer and in total. No I/O, no clock.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::{ConnectionId, Micros};

/// Identifies a transfer on the link.
pub type FlowId = u64;

/// After this many consecutive chunks of transfers with a deadline, the next chunk goes to a transfer without
/// one, if one is waiting. This keeps deadlines from starving the rest.
const MAX_CONSECUTIVE_DEADLINE_CHUNKS: u64 = 7;

#[derive(Debug, Default)]
struct Peer {
    credit_bytes: u64,
    in_flight_bytes: u64,
    deadline_flows: BTreeSet<(Micros, FlowId)>,
    fair_flows: BTreeSet<(u64, FlowId)>,
}

#[derive(Debug)]
struct FlowState {
    peer: ConnectionId,
    deadline: Option<Micros>,
    /// Size of the next chunk; 0 while there is none.
    next_chunk_bytes: u32,
    /// Virtual start time in the fair queue.
    start_tag: u64,
}

/// Scheduler of a sender's outgoing link.
#[derive(Debug)]
pub struct LinkScheduler {
    max_in_flight_bytes: u64,
    in_flight_bytes: u64,
    peers: BTreeMap<ConnectionId, Peer>,
    flows: HashMap<FlowId, FlowState>,
    /// Start tag of the last chunk that was sent. A new flow starts here, so an idle flow accumulates no
    /// credit.
    virtual_time: u64,
    consecutive_deadline_chunks: u64,
}

impl LinkScheduler {
    /// `max_in_flight_bytes` bounds the bytes in flight in total. A peer with nothing in flight may always be
    /// sent one chunk, so that stalled peers cannot block the others; the actual bound is therefore
    /// `max_in_flight_bytes` plus one chunk for each peer.
    pub fn new(max_in_flight_bytes: u64) -> Self {
        LinkScheduler {
            max_in_flight_bytes,
            in_flight_bytes: 0,
            peers: BTreeMap::new(),
            flows: HashMap::new(),
            virtual_time: 0,
            consecutive_deadline_chunks: 0,
        }
    }

    /// Adds a peer with the flow-control window that it has granted.
    pub fn add_peer(&mut self, peer: ConnectionId, window_bytes: u64) {
        self.peers.insert(peer, Peer { credit_bytes: window_bytes, ..Peer::default() });
    }

    /// Removes a peer with its bytes in flight and its flows.
    pub fn remove_peer(&mut self, peer: ConnectionId) {
        if let Some(peer) = self.peers.remove(&peer) {
            self.in_flight_bytes -= peer.in_flight_bytes;
            for (_, flow) in peer.deadline_flows.iter().chain(&peer.fair_flows) {
                self.flows.remove(flow);
            }
        }
        self.flows.retain(|_, flow_state| flow_state.peer != peer);
    }

    /// Records that the peer has processed this many bytes and accepts as many more.
    pub fn add_credit(&mut self, peer: ConnectionId, bytes: u64) {
        if let Some(peer) = self.peers.get_mut(&peer) {
            let acknowledged = bytes.min(peer.in_flight_bytes);
            peer.in_flight_bytes -= acknowledged;
            self.in_flight_bytes -= acknowledged;
            peer.credit_bytes = peer.credit_bytes.saturating_add(bytes);
        }
    }

    /// Adds a flow.
    pub fn add_flow(&mut self, flow: FlowId, peer: ConnectionId, deadline: Option<Micros>) {
        self.flows.insert(flow, FlowState { peer, deadline, next_chunk_bytes: 0, start_tag: 0 });
    }

    /// Removes a flow.
    pub fn remove_flow(&mut self, flow: FlowId) {
        self.set_next_chunk(flow, 0);
        self.flows.remove(&flow);
    }

    /// Sets the size of the flow's next chunk; 0 if there is none to send.
    pub fn set_next_chunk(&mut self, flow: FlowId, bytes: u32) {
        let Some(flow_state) = self.flows.get_mut(&flow) else { return };
        let Some(peer) = self.peers.get_mut(&flow_state.peer) else { return };
        if let Some(deadline) = flow_state.deadline {
            peer.deadline_flows.remove(&(deadline, flow));
        }
        peer.fair_flows.remove(&(flow_state.start_tag, flow));
        flow_state.next_chunk_bytes = bytes;
        if bytes == 0 {
            return;
        }
        match flow_state.deadline {
            Some(deadline) => {
                peer.deadline_flows.insert((deadline, flow));
            }
            None => {
                flow_state.start_tag = flow_state.start_tag.max(self.virtual_time);
                peer.fair_flows.insert((flow_state.start_tag, flow));
            }
        }
    }

    /// Picks the flow whose next chunk is sent, and counts that chunk as in flight. The caller then sets the
    /// flow's following chunk with [`LinkScheduler::set_next_chunk`].
    pub fn pick_next(&mut self, now: Micros) -> Option<FlowId> {
        self.demote_overdue(now);
        let (by_deadline, by_share) =
            (self.first_sendable(|peer| &peer.deadline_flows), self.first_sendable(|peer| &peer.fair_flows));
        let is_share_owed = self.consecutive_deadline_chunks >= MAX_CONSECUTIVE_DEADLINE_CHUNKS;
        let (flow, has_deadline) = match (by_deadline, by_share) {
            (Some((_, flow)), None) => (flow, true),
            (Some((_, flow)), Some(_)) if !is_share_owed => (flow, true),
            (_, Some((tag, flow))) => {
                self.virtual_time = tag;
                (flow, false)
            }
            (None, None) => return None,
        };
        self.consecutive_deadline_chunks =
            if has_deadline { self.consecutive_deadline_chunks + 1 } else { 0 };
        let flow_state = self.flows.get_mut(&flow)?;
        let peer = self.peers.get_mut(&flow_state.peer)?;
        let bytes = u64::from(flow_state.next_chunk_bytes);
        peer.credit_bytes -= bytes;
        peer.in_flight_bytes += bytes;
        self.in_flight_bytes += bytes;
        match (has_deadline, flow_state.deadline) {
            (true, Some(deadline)) => peer.deadline_flows.remove(&(deadline, flow)),
            _ => peer.fair_flows.remove(&(flow_state.start_tag, flow)),
        };
        flow_state.next_chunk_bytes = 0;
        flow_state.start_tag += bytes;
        Some(flow)
    }

    /// Moves flows with a missed deadline to the fair queue: favouring them would only delay others past
    /// their deadlines too.
    fn demote_overdue(&mut self, now: Micros) {
        for peer in self.peers.values_mut() {
            while let Some((deadline, flow)) =
                peer.deadline_flows.first().copied().filter(|(deadline, _)| *deadline < now)
            {
                peer.deadline_flows.remove(&(deadline, flow));
                if let Some(flow_state) = self.flows.get_mut(&flow) {
                    flow_state.deadline = None;
                    flow_state.start_tag = flow_state.start_tag.max(self.virtual_time);
                    peer.fair_flows.insert((flow_state.start_tag, flow));
                }
            }
        }
    }

    /// The lowest entry among the heads of all peers' queues whose chunk may be sent now.
    fn first_sendable(&self, order: impl Fn(&Peer) -> &BTreeSet<(u64, FlowId)>) -> Option<(u64, FlowId)> {
        let firsts = self.peers.values().filter_map(|peer| {
            let first = order(peer).first().copied()?;
            self.may_send(peer, u64::from(self.flows.get(&first.1)?.next_chunk_bytes)).then_some(first)
        });
        firsts.min()
    }

    /// Whether a chunk may be sent to the peer. A peer may have at most as much in flight as remains for all
    /// others, so that capacity remains however many peers stall.
    fn may_send(&self, peer: &Peer, bytes: u64) -> bool {
        let remaining_bytes = self.max_in_flight_bytes.saturating_sub(self.in_flight_bytes);
        peer.credit_bytes >= bytes
            && (peer.in_flight_bytes == 0 || peer.in_flight_bytes + bytes <= remaining_bytes)
    }

    /// Bytes in flight in total.
    pub fn in_flight_bytes(&self) -> u64 {
        self.in_flight_bytes
    }
}
