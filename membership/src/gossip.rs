//! Discovery of instances by SWIM gossip, on a library (foca) that uses no sockets either. It does not affect
//! quota shares: it shows operators which instances run, and tells instances each other's roles and
//! addresses.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::time::Duration;

use foca::{AccumulatingRuntime, Foca, OwnedNotification, PostcardCodec, Timer};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use serde::{Deserialize, Serialize};

use crate::Incarnation;

/// The kind of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// A conductor that clients reach over the network.
    Daemon,
    /// A conductor within a client's own process.
    Plugin,
}

/// The identity of an instance as the others know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Address at which it is reached.
    pub address: SocketAddr,
    /// Identifies the run of its process.
    pub incarnation: Incarnation,
    /// Start of the process by the wall clock, in milliseconds since the Unix epoch. It serves only to prefer
    /// the latest of several processes that ran at one address.
    pub started_unix_ms: u64,
    /// How often it has taken a new identity because others had declared it dead.
    pub renewals: u32,
    /// Its kind.
    pub role: Role,
}

impl foca::Identity for Peer {
    type Addr = SocketAddr;

    fn renew(&self) -> Option<Self> {
        Some(Peer { renewals: self.renewals.wrapping_add(1), ..self.clone() })
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        let key = |p: &Peer| (p.started_unix_ms, p.incarnation, p.renewals);
        key(self) > key(other)
    }
}

/// A change among the known instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerChange {
    /// An instance was discovered.
    Up(Peer),
    /// An instance has left or no longer responds.
    Down(Peer),
}

/// The result of a call: packets to send, timers to schedule, and changes among the known instances.
#[derive(Debug, Default)]
pub struct GossipOutput {
    /// Destinations and contents.
    pub packets: Vec<(SocketAddr, Vec<u8>)>,
    /// Delays, and what to pass to [`Gossip::handle_timer`] after them.
    pub timers: Vec<(Duration, Timer<Peer>)>,
    /// Changes, in the order in which they were learned.
    pub changes: Vec<PeerChange>,
}

/// The gossip state of one instance.
pub struct Gossip {
    foca: Foca<Peer, PostcardCodec, SmallRng, foca::NoCustomBroadcast>,
    peers: BTreeMap<SocketAddr, Peer>,
}

impl Gossip {
    /// Creates an instance that knows no other, tuned for clusters of up to about this many.
    pub fn new(own_identity: Peer, max_instances: NonZeroU32) -> Self {
        let rng = SmallRng::seed_from_u64(own_identity.incarnation);
        let mut config = foca::Config::new_lan(max_instances);
        config.notify_down_members = true;
        Gossip { foca: Foca::new(own_identity, config, rng, PostcardCodec), peers: BTreeMap::new() }
    }

    /// Announces the instance to the one at an address.
    pub fn announce(&mut self, address: SocketAddr) -> GossipOutput {
        // The identity of that instance is not known yet, and only the address is used.
        let destination =
            Peer { address, incarnation: 0, started_unix_ms: 0, renewals: 0, role: Role::Daemon };
        self.run(|foca, runtime| foca.announce(destination, runtime))
    }

    /// Handles a packet. Ignores one that is invalid.
    pub fn handle_packet(&mut self, bytes: &[u8]) -> GossipOutput {
        self.run(|foca, runtime| foca.handle_data(bytes, runtime))
    }

    /// Handles a timer of an earlier [`GossipOutput`] that has expired.
    pub fn handle_timer(&mut self, timer: Timer<Peer>) -> GossipOutput {
        self.run(|foca, runtime| foca.handle_timer(timer, runtime))
    }

    /// Tells the others that the instance leaves.
    pub fn leave(&mut self) -> GossipOutput {
        self.run(|foca, runtime| foca.leave_cluster(runtime))
    }

    /// Returns the known instances other than this one, in the order of their addresses.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    fn run(
        &mut self,
        operation: impl FnOnce(
            &mut Foca<Peer, PostcardCodec, SmallRng, foca::NoCustomBroadcast>,
            &mut AccumulatingRuntime<Peer>,
        ) -> Result<(), foca::Error>,
    ) -> GossipOutput {
        let mut runtime = AccumulatingRuntime::new();
        // Errors stand for invalid packets, or for a second departure, and need no reaction.
        let _ = operation(&mut self.foca, &mut runtime);
        let mut output = GossipOutput::default();
        while let Some((to, bytes)) = runtime.to_send() {
            output.packets.push((to.address, bytes.to_vec()));
        }
        while let Some(timer) = runtime.to_schedule() {
            output.timers.push(timer);
        }
        while let Some(notification) = runtime.to_notify() {
            self.apply_notification(notification, &mut output.changes);
        }
        output
    }

    fn apply_notification(&mut self, notification: OwnedNotification<Peer>, changes: &mut Vec<PeerChange>) {
        match notification {
            OwnedNotification::MemberUp(peer) => {
                self.peers.insert(peer.address, peer.clone());
                changes.push(PeerChange::Up(peer));
            }
            OwnedNotification::MemberDown(peer) => {
                // A later process at the same address may have replaced it already.
                if self.peers.get(&peer.address) == Some(&peer) {
                    self.peers.remove(&peer.address);
                }
                changes.push(PeerChange::Down(peer));
            }
            OwnedNotification::Rename(previous, peer)
                if self.peers.get(&previous.address) == Some(&previous) =>
            {
                self.peers.insert(peer.address, peer);
            }
            _ => {}
        }
    }
}
