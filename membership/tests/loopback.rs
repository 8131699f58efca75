//! Runs instances on loopback sockets: they discover each other, share the quota, and ignore packets that
//! were made without their key.

use std::net::SocketAddr;
use std::time::Duration;

use frosttrail_membership::gossip::Role;
use frosttrail_membership::service::{Membership, MembershipConfig};
use frosttrail_membership::LeaseConfig;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

const TIMEOUT: Duration = Duration::from_secs(20);

fn log() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Shorter durations than in production, to keep the tests fast.
fn lease_config() -> LeaseConfig {
    LeaseConfig {
        duration: 500_000,
        renewal_interval: 150_000,
        retry_interval: 40_000,
        max_clock_drift: 0.02,
        max_instances: 8,
    }
}

struct Cluster {
    acceptors: Vec<SocketAddr>,
    instances: Vec<Membership>,
    next_incarnation: u64,
}

impl Cluster {
    async fn start() -> Self {
        let mut sockets = Vec::new();
        for _ in 0..3 {
            sockets.push(UdpSocket::bind(any_port()).await.unwrap());
        }
        let acceptors: Vec<SocketAddr> = sockets.iter().map(|socket| socket.local_addr().unwrap()).collect();
        let mut cluster = Cluster { acceptors, instances: Vec::new(), next_incarnation: 1 };
        for socket in sockets {
            cluster.start_instance(socket, Role::Daemon, "key");
        }
        cluster
    }

    fn start_instance(&mut self, socket: UdpSocket, role: Role, key: &str) {
        let address = socket.local_addr().unwrap();
        let config = MembershipConfig {
            listen: address,
            acceptors: self.acceptors.clone(),
            key: key.into(),
            role,
            lease_config: lease_config(),
        };
        self.instances.push(Membership::with_socket(socket, address, config, self.next_incarnation, log()));
        self.next_incarnation += 1;
    }

    async fn start_plugin(&mut self, key: &str) {
        let socket = UdpSocket::bind(any_port()).await.unwrap();
        self.start_instance(socket, Role::Plugin, key);
    }

    fn quota_shares(&self) -> Vec<f64> {
        self.instances.iter().map(|instance| instance.view().borrow().quota_share).collect()
    }

    /// Waits until a condition holds, and checks meanwhile that the shares add up to at most 1.
    async fn wait_until(&self, condition: impl Fn(&Cluster) -> bool) {
        let polling = async {
            while !condition(self) {
                // No other task runs while the shares are read, so they are all of the same moment.
                let total_share: f64 = self.quota_shares().iter().sum();
                assert!(total_share <= 1.0 + 1e-9, "the shares add up to {total_share}");
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(TIMEOUT, polling).await.expect("the condition does not hold within the timeout");
    }
}

#[tokio::test]
async fn instances_discover_each_other_and_take_over_the_shares_of_departed_ones() {
    let mut cluster = Cluster::start().await;
    let uses_whole_quota = |cluster: &Cluster| cluster.quota_shares().iter().sum::<f64>() > 0.9;
    cluster.wait_until(uses_whole_quota).await;
    for _ in 0..2 {
        cluster.start_plugin("key").await;
    }
    let has_even_shares = |cluster: &Cluster| cluster.quota_shares().iter().all(|share| *share > 0.12);
    cluster.wait_until(has_even_shares).await;
    let knows_all_peers = |cluster: &Cluster| {
        cluster
            .instances
            .iter()
            .all(|instance| instance.view().borrow().peers.len() + 1 == cluster.instances.len())
    };
    cluster.wait_until(knows_all_peers).await;
    let plugins =
        cluster.instances[0].view().borrow().peers.iter().filter(|peer| peer.role == Role::Plugin).count();
    assert_eq!(plugins, 2);
    // One instance leaves, and another is killed.
    cluster.instances.pop().unwrap().leave().await;
    cluster.wait_until(uses_whole_quota).await;
    drop(cluster.instances.pop());
    cluster.wait_until(uses_whole_quota).await;
    cluster.wait_until(|cluster| cluster.instances[0].view().borrow().peers.len() == 2).await;
    // The leader is killed, and another instance replaces it.
    let leader = cluster.instances.iter().position(|instance| instance.view().borrow().is_leader).unwrap();
    drop(cluster.instances.remove(leader));
    cluster
        .wait_until(|cluster| cluster.instances.iter().any(|instance| instance.view().borrow().is_leader))
        .await;
    cluster.wait_until(uses_whole_quota).await;
}

#[tokio::test]
async fn an_instance_with_another_key_keeps_only_its_floor_and_noise_is_ignored() {
    let mut cluster = Cluster::start().await;
    cluster.start_plugin("another").await;
    let noise = UdpSocket::bind(any_port()).await.unwrap();
    cluster.wait_until(|cluster| cluster.quota_shares()[..3].iter().sum::<f64>() > 0.85).await;
    for length in [0, 1, 16, 17, 18, 400, 1_400] {
        for first in [0, 1, 2, 255] {
            let mut packet = vec![7; length];
            packet.iter_mut().take(1).for_each(|b| *b = first);
            for to in &cluster.acceptors {
                noise.send_to(&packet, to).await.unwrap();
            }
        }
    }
    sleep(Duration::from_millis(300)).await;
    cluster.wait_until(|cluster| cluster.quota_shares()[..3].iter().sum::<f64>() > 0.85).await;
    assert_eq!(cluster.quota_shares()[3], lease_config().floor_share());
    assert!(cluster.instances[3].view().borrow().peers.is_empty());
}
