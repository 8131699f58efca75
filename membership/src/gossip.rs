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
    pub at: SocketAddr,
    /// Its process.
    pub process: Incarnation,
    /// Later lives at an address have later starts: milliseconds of the wall clock, of no other use.
    pub started: u64,
    /// Counts the names that it has taken after others took it for dead.
    pub renewed: u32,
    /// What it is.
    pub role: Role,
}

impl foca::Identity for Peer {
    type Addr = SocketAddr;

    fn renew(&self) -> Option<Self> {
        Some(Peer { renewed: self.renewed.wrapping_add(1), ..self.clone() })
    }

    fn addr(&self) -> SocketAddr {
        self.at
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        let key = |p: &Peer| (p.started, p.process, p.renewed);
        key(self) > key(other)
    }
}

/// What has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// An instance has turned up.
    Up(Peer),
    /// One has left, or is not heard of.
    Down(Peer),
}

/// What comes of a call: packets to send, timers to hand back, changes.
#[derive(Debug, Default)]
pub struct Said {
    /// To whom, and what.
    pub packets: Vec<(SocketAddr, Vec<u8>)>,
    /// After how long, and what to hand to [`Gossip::timer`].
    pub timers: Vec<(Duration, Timer<Peer>)>,
    /// News.
    pub changes: Vec<Change>,
}

/// One instance's part in the gossip.
pub struct Gossip {
    foca: Foca<Peer, PostcardCodec, SmallRng, foca::NoCustomBroadcast>,
    peers: BTreeMap<SocketAddr, Peer>,
}

impl Gossip {
    /// An instance that knows nobody, at a site of up to about so many.
    pub fn new(me: Peer, most: NonZeroU32) -> Self {
        let rng = SmallRng::seed_from_u64(me.process);
        let mut config = foca::Config::new_lan(most);
        config.notify_down_members = true;
        Gossip { foca: Foca::new(me, config, rng, PostcardCodec), peers: BTreeMap::new() }
    }

    /// Makes itself known to whoever is at an address.
    pub fn announce(&mut self, at: SocketAddr) -> Said {
        // Who is there is not known yet; only the address counts.
        let there = Peer { at, process: 0, started: 0, renewed: 0, role: Role::Daemon };
        self.run(|foca, runtime| foca.announce(there, runtime))
    }

    /// A packet has come. What is none is passed over.
    pub fn packet(&mut self, bytes: &[u8]) -> Said {
        self.run(|foca, runtime| foca.handle_data(bytes, runtime))
    }

    /// A timer that was asked for.
    pub fn timer(&mut self, timer: Timer<Peer>) -> Said {
        self.run(|foca, runtime| foca.handle_timer(timer, runtime))
    }

    /// Says goodbye.
    pub fn leave(&mut self) -> Said {
        self.run(|foca, runtime| foca.leave_cluster(runtime))
    }

    /// Who is there, by address; itself not counted.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    fn run(
        &mut self,
        call: impl FnOnce(
            &mut Foca<Peer, PostcardCodec, SmallRng, foca::NoCustomBroadcast>,
            &mut AccumulatingRuntime<Peer>,
        ) -> Result<(), foca::Error>,
    ) -> Said {
        let mut runtime = AccumulatingRuntime::new();
        // An error is a packet that makes no sense, or one too many of a goodbye: nothing to act on.
        let _ = call(&mut self.foca, &mut runtime);
        let mut said = Said::default();
        while let Some((to, bytes)) = runtime.to_send() {
            said.packets.push((to.at, bytes.to_vec()));
        }
        while let Some(timer) = runtime.to_schedule() {
            said.timers.push(timer);
        }
        while let Some(news) = runtime.to_notify() {
            self.note(news, &mut said.changes);
        }
        said
    }

    fn note(&mut self, news: OwnedNotification<Peer>, changes: &mut Vec<Change>) {
        match news {
            OwnedNotification::MemberUp(peer) => {
                self.peers.insert(peer.at, peer.clone());
                changes.push(Change::Up(peer));
            }
            OwnedNotification::MemberDown(peer) => {
                // A later life at the same address may have taken its place already.
                if self.peers.get(&peer.at) == Some(&peer) {
                    self.peers.remove(&peer.at);
                }
                changes.push(Change::Down(peer));
            }
            OwnedNotification::Rename(before, peer) if self.peers.get(&before.at) == Some(&before) => {
                self.peers.insert(peer.at, peer);
            }
            _ => {}
        }
    }
}
