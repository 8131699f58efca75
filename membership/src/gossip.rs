//! Who is there: SWIM gossip, on a library that knows no sockets either. What it says decides nothing about
//! parts; it shows operators the site, and instances each other's roles and addresses.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::time::Duration;

use foca::{AccumulatingRuntime, Foca, OwnedNotification, PostcardCodec, Timer};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use serde::{Deserialize, Serialize};

use crate::Incarnation;

/// What an instance is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// A conductor that clients reach over a network.
    Daemon,
    /// One in a client's own process.
    Plugin,
}

/// An instance, as the others know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its process.
    pub incarnation: Incarnation,
    /// Later lives at an address have later starts: milliseconds of the wall clock, of no other use.
    pub started_unix_ms: u64,
    /// Counts the names that it has taken after others took it for dead.
    pub renewals: u32,
    /// What it is.
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

/// What has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerChange {
    /// An instance has turned up.
    Up(Peer),
    /// One has left, or is not heard of.
    Down(Peer),
}

/// What comes of a call: packets to send, timers to hand back, changes.
#[derive(Debug, Default)]
pub struct GossipOutput {
    /// To whom, and what.
    pub packets: Vec<(SocketAddr, Vec<u8>)>,
    /// After how long, and what to hand to [`Gossip::handle_timer`].
    pub timers: Vec<(Duration, Timer<Peer>)>,
    /// News.
    pub changes: Vec<PeerChange>,
}

/// One instance's part in the gossip.
pub struct Gossip {
    foca: Foca<Peer, PostcardCodec, SmallRng, foca::NoCustomBroadcast>,
    peers: BTreeMap<SocketAddr, Peer>,
}

impl Gossip {
    /// An instance that knows nobody, at a site of up to about so many.
    pub fn new(own_identity: Peer, max_instances: NonZeroU32) -> Self {
        let rng = SmallRng::seed_from_u64(own_identity.incarnation);
        let mut config = foca::Config::new_lan(max_instances);
        config.notify_down_members = true;
        Gossip { foca: Foca::new(own_identity, config, rng, PostcardCodec), peers: BTreeMap::new() }
    }

    /// Makes itself known to whoever is at an address.
    pub fn announce(&mut self, address: SocketAddr) -> GossipOutput {
        // Who is there is not known yet; only the address counts.
        let destination =
            Peer { address, incarnation: 0, started_unix_ms: 0, renewals: 0, role: Role::Daemon };
        self.run(|foca, runtime| foca.announce(destination, runtime))
    }

    /// A packet has come. What is none is passed over.
    pub fn handle_packet(&mut self, bytes: &[u8]) -> GossipOutput {
        self.run(|foca, runtime| foca.handle_data(bytes, runtime))
    }

    /// A timer that was asked for.
    pub fn handle_timer(&mut self, timer: Timer<Peer>) -> GossipOutput {
        self.run(|foca, runtime| foca.handle_timer(timer, runtime))
    }

    /// Says goodbye.
    pub fn leave(&mut self) -> GossipOutput {
        self.run(|foca, runtime| foca.leave_cluster(runtime))
    }

    /// Who is there, by address; itself not counted.
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
        // An error is a packet that makes no sense, or one too many of a goodbye: nothing to act on.
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
                // A later life at the same address may have taken its place already.
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
