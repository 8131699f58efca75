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
const MAX_PACKET_BYTES: usize = 1_500;
/// Of the keyed hash.
const TAG_BYTES: usize = 16;
/// What a packet is.
const GOSSIP_PACKET: u8 = 1;
const QUOTA_PACKET: u8 = 2;
/// Names the use of the key.
const KEY_CONTEXT: &str = "frosttrail membership 1 packets";
/// Made known to the voters again, as long as nobody is there.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// Traffic is counted over this time.
const TRAFFIC_INTERVAL: Duration = Duration::from_secs(2);

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
        let is_reachable = !self.listen.ip().is_unspecified();
        let checks = [
            (!acceptors.is_empty(), ConfigError::NoAcceptors),
            (acceptors.len() == self.acceptors.len(), ConfigError::DuplicateAcceptor),
            (self.key.len() >= 16, ConfigError::KeyTooShort),
            (self.lease_config.max_instances as usize >= acceptors.len(), ConfigError::TooManyAcceptors),
            (is_reachable, ConfigError::UnspecifiedListenAddress),
        ];
        checks.into_iter().find(|(is_valid, _)| !is_valid).map_or(Ok(()), |(_, error)| Err(error))
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
    leave_requests: mpsc::Sender<oneshot::Sender<()>>,
    _task: AbortOnDropHandle<()>,
}

impl Membership {
    /// Takes part from now on. `process`: drawn anew at each start.
    pub async fn start(
        config: MembershipConfig,
        incarnation: Incarnation,
        log: Logger,
    ) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(config.listen).await?;
        let address = socket.local_addr()?;
        Ok(Membership::with_socket(socket, address, config, incarnation, log))
    }

    /// The same on a socket that is there already.
    pub fn with_socket(
        socket: UdpSocket,
        address: SocketAddr,
        config: MembershipConfig,
        incarnation: Incarnation,
        log: Logger,
    ) -> Self {
        let initial_view = MembershipView {
            quota_share: config.lease_config.floor_share(),
            is_leader: false,
            peers: Arc::default(),
        };
        let (view_sender, view) = watch::channel(initial_view);
        let (leave_requests, leave_receiver) = mpsc::channel(1);
        let request_counter = RequestCounter::default();
        let task = run(
            socket,
            address,
            config,
            incarnation,
            view_sender,
            request_counter.clone(),
            leave_receiver,
            log,
        );
        Membership {
            address,
            view,
            request_counter,
            leave_requests,
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
        let (done_sender, done) = oneshot::channel();
        if self.leave_requests.send(done_sender).await.is_ok() {
            let _ = done.await;
        }
    }
}

struct PacketSocket {
    socket: UdpSocket,
    key: [u8; 32],
    log: Logger,
}

impl PacketSocket {
    fn tag(&self, body: &[u8]) -> [u8; TAG_BYTES] {
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&blake3::keyed_hash(&self.key, body).as_bytes()[..TAG_BYTES]);
        tag
    }

    /// Sends, and does not wait: what is lost is said again.
    fn send(&self, to: SocketAddr, kind: u8, body: &[u8]) {
        let mut packet = Vec::with_capacity(1 + body.len() + TAG_BYTES);
        packet.push(kind);
        packet.extend_from_slice(body);
        let tag = self.tag(&packet);
        packet.extend_from_slice(&tag);
        if let Err(e) = self.socket.try_send_to(&packet, to) {
            debug!(self.log, "a packet was not sent"; "to" => to, "why" => %e);
        }
    }

    /// The kind and the body of a packet that is one of ours.
    fn verify<'a>(&self, packet: &'a [u8]) -> Option<(u8, &'a [u8])> {
        let (authenticated, tag) = packet.split_at_checked(packet.len().checked_sub(TAG_BYTES)?)?;
        let (kind, body) = authenticated.split_first()?;
        // Of equal length, and compared in a time that does not depend on where they differ.
        let difference = self.tag(authenticated).iter().zip(tag).fold(0, |d, (a, b)| d | (a ^ b));
        (difference == 0).then_some((*kind, body))
    }
}

#[allow(clippy::too_many_arguments)]
async fn run(
    socket: UdpSocket,
    address: SocketAddr,
    config: MembershipConfig,
    incarnation: Incarnation,
    view_sender: watch::Sender<MembershipView>,
    request_counter: RequestCounter,
    mut leave_receiver: mpsc::Receiver<oneshot::Sender<()>>,
    log: Logger,
) {
    let start = Instant::now();
    let now = || start.elapsed().as_micros() as Micros;
    let packet_socket = PacketSocket {
        socket,
        key: blake3::derive_key(KEY_CONTEXT, config.key.as_bytes()),
        log: log.clone(),
    };
    let since_unix_epoch =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    let own_identity = Peer {
        address,
        incarnation,
        started_unix_ms: since_unix_epoch.as_millis() as u64,
        renewals: 0,
        role: config.role,
    };
    let max_instances = NonZeroU32::new(config.lease_config.max_instances).unwrap_or(NonZeroU32::MIN);
    let mut gossip = Gossip::new(own_identity, max_instances);
    let mut instance =
        Instance::new(now(), incarnation, address, config.acceptors.clone(), config.lease_config);
    let (timer_sender, mut timer_receiver) = mpsc::unbounded_channel();
    let mut packet = vec![0; MAX_PACKET_BYTES + 1];
    let (mut next_tick, mut next_announcement, mut next_traffic_sample) =
        (start, start, start + TRAFFIC_INTERVAL);
    let handle_gossip_output = |output: GossipOutput| {
        for (to, bytes) in output.packets {
            packet_socket.send(to, GOSSIP_PACKET, &bytes);
        }
        for (after, timer) in output.timers {
            let timer_sender = timer_sender.clone();
            tokio::spawn(async move {
                sleep(after).await;
                let _ = timer_sender.send(timer);
            });
        }
        let has_peer_changes = !output.changes.is_empty();
        for change in output.changes {
            match change {
                PeerChange::Up(peer) => {
                    info!(log, "an instance has come"; "at" => peer.address, "role" => ?peer.role)
                }
                PeerChange::Down(peer) => {
                    info!(log, "an instance has gone"; "at" => peer.address, "role" => ?peer.role)
                }
            }
        }
        has_peer_changes
    };
    let mut peers: Arc<[Peer]> = Arc::default();
    loop {
        let (mut outgoing, mut has_peer_changes) = (Vec::new(), false);
        tokio::select! {
            received = packet_socket.socket.recv_from(&mut packet) => match received {
                Ok((length, from)) => match packet_socket.verify(&packet[..length]) {
                    Some((GOSSIP_PACKET, body)) => {
                        has_peer_changes = handle_gossip_output(gossip.handle_packet(body));
                    }
                    Some((QUOTA_PACKET, body)) => {
                        if let Ok(message) = postcard::from_bytes::<Message>(body) {
                            instance.handle_message(now(), from, message, &mut outgoing);
                            next_tick = Instant::now();
                        }
                    }
                    _ => debug!(log, "a packet was passed over"; "from" => from, "bytes" => length),
                },
                Err(e) => {
                    warn!(log, "nothing can be received"; "why" => %e);
                    sleep(Duration::from_millis(10)).await;
                }
            },
            Some(timer) = timer_receiver.recv() => {
                has_peer_changes = handle_gossip_output(gossip.handle_timer(timer));
            }
            () = sleep_until(next_tick) => {
                let next = instance.tick(now(), &mut outgoing);
                next_tick = start + Duration::from_micros(next.min(now() + 1_000_000));
            }
            () = sleep_until(next_announcement) => {
                next_announcement = Instant::now() + ANNOUNCE_INTERVAL;
                if gossip.peers().next().is_none() {
                    for acceptor in config.acceptors.iter().filter(|acceptor| **acceptor != address) {
                        handle_gossip_output(gossip.announce(*acceptor));
                    }
                }
            }
            () = sleep_until(next_traffic_sample) => {
                next_traffic_sample += TRAFFIC_INTERVAL;
                let requests = request_counter.0.swap(0, Ordering::Relaxed);
                instance.set_request_rate(requests as f64 / TRAFFIC_INTERVAL.as_secs_f64());
            }
            Some(done_sender) = leave_receiver.recv() => {
                instance.leave(now(), &mut outgoing);
                handle_gossip_output(gossip.leave());
                send_messages(&packet_socket, outgoing);
                let _ = done_sender.send(());
                return;
            }
        }
        send_messages(&packet_socket, outgoing);
        if has_peer_changes {
            peers = gossip.peers().cloned().collect();
        }
        let view = MembershipView {
            quota_share: instance.quota_share(now()),
            is_leader: instance.is_leader(now()),
            peers: peers.clone(),
        };
        view_sender.send_if_modified(|current| std::mem::replace(current, view.clone()) != view);
    }
}

fn send_messages(packet_socket: &PacketSocket, outgoing: Vec<(SocketAddr, Message)>) {
    for (to, message) in outgoing {
        match postcard::to_stdvec(&message) {
            Ok(body) => packet_socket.send(to, QUOTA_PACKET, &body),
            Err(e) => warn!(packet_socket.log, "a message can't be written"; "why" => %e),
        }
    }
}
