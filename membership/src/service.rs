//! An instance on a socket: one UDP port for gossip and for parts. Each packet carries a keyed hash, so that
//! what comes from another site, or from nobody that should know the key, is passed over.

use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use slog::{debug, info, warn, Logger};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{sleep, sleep_until, Instant};
use tokio_util::task::AbortOnDropHandle;

use crate::gossip::{Gossip, GossipOutput, Peer, PeerChange, Role};
use crate::instance::Instance;
use crate::message::Message;
use crate::{Incarnation, LeaseConfig, Micros};

/// Longer packets are never sent.
const PACKET: usize = 1_500;
/// Of the keyed hash.
const TAG: usize = 16;
/// What a packet is.
const GOSSIP: u8 = 1;
const PARTS: u8 = 2;
/// Names the use of the key.
const CONTEXT: &str = "frosttrail membership 1 packets";
/// Made known to the voters again, as long as nobody is there.
const ANNOUNCE: Duration = Duration::from_secs(1);
/// Traffic is counted over this time.
const COUNT: Duration = Duration::from_secs(2);

/// How an instance takes part.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// Its port; others reach it at this address.
    pub listen: SocketAddr,
    /// Those that vote, on which all instances of the site must agree: an odd number of lasting ones.
    pub acceptors: Vec<SocketAddr>,
    /// What the site shares, so that no other's packets count.
    pub key: String,
    /// What it is.
    pub role: Role,
    /// How long leases last.
    pub lease_config: LeaseConfig,
}

/// Settings that do not fit together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// No keeper could ever be elected.
    #[error("voters: at least one is needed")]
    NoAcceptors,
    /// One that is named twice would have two votes.
    #[error("voters: one is named twice")]
    DuplicateAcceptor,
    /// Packets of anybody would count.
    #[error("key: at least 16 characters are needed")]
    KeyTooShort,
    /// Floors would add up to more than is set aside.
    #[error("most: at least as many as there are voters")]
    TooManyAcceptors,
    /// The others could not reach it.
    #[error("listen: an address at which the others reach this instance is needed")]
    UnspecifiedListenAddress,
}

impl MembershipConfig {
    /// Whether the settings fit together.
    pub fn validate(&self) -> Result<(), ConfigError> {
        let mut acceptors = self.acceptors.clone();
        acceptors.sort();
        acceptors.dedup();
        // The others learn of a port that the system chose; a voter's stands in their files.
        let reached = !self.listen.ip().is_unspecified();
        let checks = [
            (!acceptors.is_empty(), ConfigError::NoAcceptors),
            (acceptors.len() == self.acceptors.len(), ConfigError::DuplicateAcceptor),
            (self.key.len() >= 16, ConfigError::KeyTooShort),
            (self.lease_config.max_instances as usize >= acceptors.len(), ConfigError::TooManyAcceptors),
            (reached, ConfigError::UnspecifiedListenAddress),
        ];
        checks.into_iter().find(|(fits, _)| !fits).map_or(Ok(()), |(_, error)| Err(error))
    }
}

/// What it may take, and who is there.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipView {
    /// Its part of the whole.
    pub quota_share: f64,
    /// Whether it is the keeper.
    pub is_leader: bool,
    /// The others.
    pub peers: Arc<[Peer]>,
}

/// Counts requests, from which an instance's share of the traffic is measured.
#[derive(Clone, Debug, Default)]
pub struct RequestCounter(Arc<AtomicU64>);

impl RequestCounter {
    /// So many have come.
    pub fn add(&self, requests: u64) {
        self.0.fetch_add(requests, Ordering::Relaxed);
    }
}

/// An instance that takes part. Dropping it ends it as a kill would; [`Membership::leave`] is better.
pub struct Membership {
    /// Where it is.
    pub address: SocketAddr,
    view: watch::Receiver<MembershipView>,
    request_counter: RequestCounter,
    leave: mpsc::Sender<oneshot::Sender<()>>,
    _task: AbortOnDropHandle<()>,
}

impl Membership {
    /// Takes part from now on. `process`: drawn anew at each start.
    pub async fn start(config: MembershipConfig, process: Incarnation, log: Logger) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(config.listen).await?;
        let at = socket.local_addr()?;
        Ok(Membership::with_socket(socket, at, config, process, log))
    }

    /// The same on a socket that is there already.
    pub fn with_socket(
        socket: UdpSocket,
        at: SocketAddr,
        config: MembershipConfig,
        process: Incarnation,
        log: Logger,
    ) -> Self {
        let first = MembershipView {
            quota_share: config.lease_config.floor_share(),
            is_leader: false,
            peers: Arc::default(),
        };
        let (tell, view) = watch::channel(first);
        let (leave, leaving) = mpsc::channel(1);
        let request_counter = RequestCounter::default();
        let task = run(socket, at, config, process, tell, request_counter.clone(), leaving, log);
        Membership {
            address: at,
            view,
            request_counter,
            leave,
            _task: AbortOnDropHandle::new(tokio::spawn(task)),
        }
    }

    /// What it may take; changes as it does. A part that ends is news too.
    pub fn view(&self) -> watch::Receiver<MembershipView> {
        self.view.clone()
    }

    /// Where to count requests.
    pub fn request_counter(&self) -> RequestCounter {
        self.request_counter.clone()
    }

    /// Takes nothing from now on, and says so. What it had is the others' at once.
    pub async fn leave(self) {
        let (tell, told) = oneshot::channel();
        if self.leave.send(tell).await.is_ok() {
            let _ = told.await;
        }
    }
}

struct Post {
    socket: UdpSocket,
    key: [u8; 32],
    log: Logger,
}

impl Post {
    fn tag(&self, body: &[u8]) -> [u8; TAG] {
        let mut tag = [0; TAG];
        tag.copy_from_slice(&blake3::keyed_hash(&self.key, body).as_bytes()[..TAG]);
        tag
    }

    /// Sends, and does not wait: what is lost is said again.
    fn send(&self, to: SocketAddr, kind: u8, body: &[u8]) {
        let mut packet = Vec::with_capacity(1 + body.len() + TAG);
        packet.push(kind);
        packet.extend_from_slice(body);
        let tag = self.tag(&packet);
        packet.extend_from_slice(&tag);
        if let Err(e) = self.socket.try_send_to(&packet, to) {
            debug!(self.log, "a packet was not sent"; "to" => to, "why" => %e);
        }
    }

    /// The kind and the body of a packet that is one of ours.
    fn open<'a>(&self, packet: &'a [u8]) -> Option<(u8, &'a [u8])> {
        let (signed, tag) = packet.split_at_checked(packet.len().checked_sub(TAG)?)?;
        let (kind, body) = signed.split_first()?;
        // Of equal length, and compared in a time that does not depend on where they differ.
        let differs = self.tag(signed).iter().zip(tag).fold(0, |d, (a, b)| d | (a ^ b));
        (differs == 0).then_some((*kind, body))
    }
}

#[allow(clippy::too_many_arguments)]
async fn run(
    socket: UdpSocket,
    at: SocketAddr,
    config: MembershipConfig,
    process: Incarnation,
    tell: watch::Sender<MembershipView>,
    request_counter: RequestCounter,
    mut leaving: mpsc::Receiver<oneshot::Sender<()>>,
    log: Logger,
) {
    let start = Instant::now();
    let now = || start.elapsed().as_micros() as Micros;
    let post = Post { socket, key: blake3::derive_key(CONTEXT, config.key.as_bytes()), log: log.clone() };
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    let me = Peer {
        address: at,
        incarnation: process,
        started_unix_ms: unix.as_millis() as u64,
        renewals: 0,
        role: config.role,
    };
    let most = NonZeroU32::new(config.lease_config.max_instances).unwrap_or(NonZeroU32::MIN);
    let mut gossip = Gossip::new(me, most);
    let mut instance = Instance::new(now(), process, at, config.acceptors.clone(), config.lease_config);
    let (hand, mut rung) = mpsc::unbounded_channel();
    let mut packet = vec![0; PACKET + 1];
    let (mut wake, mut announce, mut count) = (start, start, start + COUNT);
    let said = |said: GossipOutput| {
        for (to, bytes) in said.packets {
            post.send(to, GOSSIP, &bytes);
        }
        for (after, timer) in said.timers {
            let hand = hand.clone();
            tokio::spawn(async move {
                sleep(after).await;
                let _ = hand.send(timer);
            });
        }
        let changed = !said.changes.is_empty();
        for change in said.changes {
            match change {
                PeerChange::Up(peer) => {
                    info!(log, "an instance has come"; "at" => peer.address, "role" => ?peer.role)
                }
                PeerChange::Down(peer) => {
                    info!(log, "an instance has gone"; "at" => peer.address, "role" => ?peer.role)
                }
            }
        }
        changed
    };
    let mut peers: Arc<[Peer]> = Arc::default();
    loop {
        let (mut out, mut changed) = (Vec::new(), false);
        tokio::select! {
            got = post.socket.recv_from(&mut packet) => match got {
                Ok((length, from)) => match post.open(&packet[..length]) {
                    Some((GOSSIP, body)) => changed = said(gossip.handle_packet(body)),
                    Some((PARTS, body)) => {
                        if let Ok(message) = postcard::from_bytes::<Message>(body) {
                            instance.receive(now(), from, message, &mut out);
                            wake = Instant::now();
                        }
                    }
                    _ => debug!(log, "a packet was passed over"; "from" => from, "bytes" => length),
                },
                Err(e) => {
                    warn!(log, "nothing can be received"; "why" => %e);
                    sleep(Duration::from_millis(10)).await;
                }
            },
            Some(timer) = rung.recv() => changed = said(gossip.handle_timer(timer)),
            () = sleep_until(wake) => {
                let next = instance.tick(now(), &mut out);
                wake = start + Duration::from_micros(next.min(now() + 1_000_000));
            }
            () = sleep_until(announce) => {
                announce = Instant::now() + ANNOUNCE;
                if gossip.peers().next().is_none() {
                    for voter in config.acceptors.iter().filter(|v| **v != at) {
                        said(gossip.announce(*voter));
                    }
                }
            }
            () = sleep_until(count) => {
                count += COUNT;
                let requests = request_counter.0.swap(0, Ordering::Relaxed);
                instance.traffic(requests as f64 / COUNT.as_secs_f64());
            }
            Some(done) = leaving.recv() => {
                instance.leave(now(), &mut out);
                said(gossip.leave());
                deliver(&post, out);
                let _ = done.send(());
                return;
            }
        }
        deliver(&post, out);
        if changed {
            peers = gossip.peers().cloned().collect();
        }
        let view = MembershipView {
            quota_share: instance.quota_share(now()),
            is_leader: instance.is_leader(now()),
            peers: peers.clone(),
        };
        tell.send_if_modified(|old| std::mem::replace(old, view.clone()) != view);
    }
}

fn deliver(post: &Post, out: Vec<(SocketAddr, Message)>) {
    for (to, message) in out {
        match postcard::to_stdvec(&message) {
            Ok(body) => post.send(to, PARTS, &body),
            Err(e) => warn!(post.log, "a message can't be written"; "why" => %e),
        }
    }
}
