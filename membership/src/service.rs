//! Runs an instance on one UDP socket, for gossip and for quota leases. Each packet carries a keyed hash, so
//! that packets of other clusters, and of senders that do not know the key, are dropped.

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

/// No instance sends longer packets.
const MAX_PACKET_BYTES: usize = 1_500;
/// Length of the keyed hash.
const TAG_BYTES: usize = 16;
/// Packet kinds, in the first byte of a packet.
const GOSSIP_PACKET: u8 = 1;
const QUOTA_PACKET: u8 = 2;
/// Context string of the key derivation.
const KEY_CONTEXT: &str = "frosttrail membership 1 packets";
/// Interval of announcements to the acceptors while no other instance is known.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// Period over which the request rate is measured.
const TRAFFIC_INTERVAL: Duration = Duration::from_secs(2);

/// The settings of an instance.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// Address to listen on, at which the others reach the instance.
    pub listen: SocketAddr,
    /// The acceptors (`voters` in the settings file), an odd number of long-lived instances. All instances of
    /// the cluster must have the same list.
    pub acceptors: Vec<SocketAddr>,
    /// Secret that the instances of the cluster share. Packets that were made with another key are dropped.
    pub key: String,
    /// The kind of the instance.
    pub role: Role,
    /// Durations and bounds of the lease protocol.
    pub lease_config: LeaseConfig,
}

/// A reason why settings are rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// Without acceptors, no leader can be elected.
    #[error("voters: the list is empty; name at least one instance")]
    NoAcceptors,
    /// An acceptor that is listed twice would have two votes.
    #[error("voters: an address is listed twice; list each instance once")]
    DuplicateAcceptor,
    /// Packets of any sender could be accepted.
    #[error("key: at least 16 characters are required")]
    KeyTooShort,
    /// The floor shares would add up to more than is set aside for them.
    #[error("most: must be at least the number of voters")]
    TooManyAcceptors,
    /// Other instances could not reach this one.
    #[error("listen: must be an address at which the other instances can reach this one")]
    UnspecifiedListenAddress,
}

impl MembershipConfig {
    /// Checks that the settings are complete and consistent.
    pub fn validate(&self) -> Result<(), ConfigError> {
        let mut acceptors = self.acceptors.clone();
        acceptors.sort();
        acceptors.dedup();
        // Port 0 is allowed: the others learn the port that the system chose. An acceptor needs a fixed port,
        // as the settings of the others name it.
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

/// The state of the cluster as an instance sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipView {
    /// Share of the quota that the instance may use.
    pub quota_share: f64,
    /// Whether the instance is the leader.
    pub is_leader: bool,
    /// The other instances.
    pub peers: Arc<[Peer]>,
}

/// Counts the requests that arrive, from which the request rate of the instance is measured.
#[derive(Clone, Debug, Default)]
pub struct RequestCounter(Arc<AtomicU64>);

impl RequestCounter {
    /// Adds requests that have arrived.
    pub fn add(&self, requests: u64) {
        self.0.fetch_add(requests, Ordering::Relaxed);
    }
}

/// A running instance. Dropping it stops the instance as a kill would, and its share stays unused until the
/// lease expires; [`Membership::leave`] frees the share at once.
pub struct Membership {
    /// The address of the socket.
    pub address: SocketAddr,
    view: watch::Receiver<MembershipView>,
    request_counter: RequestCounter,
    leave_requests: mpsc::Sender<oneshot::Sender<()>>,
    _task: AbortOnDropHandle<()>,
}

impl Membership {
    /// Starts an instance. `incarnation` must be a new value at each start of the process.
    pub async fn start(
        config: MembershipConfig,
        incarnation: Incarnation,
        log: Logger,
    ) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(config.listen).await?;
        let address = socket.local_addr()?;
        Ok(Membership::with_socket(socket, address, config, incarnation, log))
    }

    /// Starts an instance on a socket that is already bound.
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

    /// Returns a receiver of the instance's view. It is notified of each change, also when a lease expires.
    pub fn view(&self) -> watch::Receiver<MembershipView> {
        self.view.clone()
    }

    /// Returns the counter of arriving requests.
    pub fn request_counter(&self) -> RequestCounter {
        self.request_counter.clone()
    }

    /// Gives up the instance's share, and tells the others, which can use it at once.
    pub async fn leave(self) {
        let (done_sender, done) = oneshot::channel();
        if self.leave_requests.send(done_sender).await.is_ok() {
            let _ = done.await;
        }
    }
}

/// A UDP socket whose packets are authenticated with a keyed hash.
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

    /// Sends a packet without waiting for the socket. If it is lost, the protocol sends the message again.
    fn send(&self, to: SocketAddr, kind: u8, body: &[u8]) {
        let mut packet = Vec::with_capacity(1 + body.len() + TAG_BYTES);
        packet.push(kind);
        packet.extend_from_slice(body);
        let tag = self.tag(&packet);
        packet.extend_from_slice(&tag);
        if let Err(e) = self.socket.try_send_to(&packet, to) {
            debug!(self.log, "packet not sent"; "to" => to, "why" => %e);
        }
    }

    /// Returns the kind and the body of a packet if its tag is valid.
    fn verify<'a>(&self, packet: &'a [u8]) -> Option<(u8, &'a [u8])> {
        let (authenticated, tag) = packet.split_at_checked(packet.len().checked_sub(TAG_BYTES)?)?;
        let (kind, body) = authenticated.split_first()?;
        // The tags have the same length, and the time to compare them does not depend on where they differ.
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
                    info!(log, "instance is up"; "at" => peer.address, "role" => ?peer.role)
                }
                PeerChange::Down(peer) => {
                    info!(log, "instance is down"; "at" => peer.address, "role" => ?peer.role)
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
                    _ => debug!(log, "invalid packet dropped"; "from" => from, "bytes" => length),
                },
                Err(e) => {
                    warn!(log, "receiving from the socket failed"; "why" => %e);
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
            Err(e) => warn!(packet_socket.log, "message can't be encoded"; "why" => %e),
        }
    }
}
