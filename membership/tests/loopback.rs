//! Instances on sockets: they find each other, share the whole, and pass over what is not theirs.

use std::net::SocketAddr;
use std::time::Duration;

use frosttrail_membership::gossip::Role;
use frosttrail_membership::service::{Membership, MembershipConfig};
use frosttrail_membership::LeaseConfig;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

const LATEST: Duration = Duration::from_secs(20);

fn log() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Quicker than usual, so that the test is.
fn lease_config() -> LeaseConfig {
    LeaseConfig {
        duration: 500_000,
        renewal_interval: 150_000,
        retry_interval: 40_000,
        max_clock_drift: 0.02,
        max_instances: 8,
    }
}

struct Site {
    voters: Vec<SocketAddr>,
    here: Vec<Membership>,
    next: u64,
}

impl Site {
    async fn start() -> Self {
        let mut sockets = Vec::new();
        for _ in 0..3 {
            sockets.push(UdpSocket::bind(any()).await.unwrap());
        }
        let voters: Vec<SocketAddr> = sockets.iter().map(|s| s.local_addr().unwrap()).collect();
        let mut site = Site { voters, here: Vec::new(), next: 1 };
        for socket in sockets {
            site.on(socket, Role::Daemon, "key");
        }
        site
    }

    fn on(&mut self, socket: UdpSocket, role: Role, key: &str) {
        let at = socket.local_addr().unwrap();
        let config = MembershipConfig {
            listen: at,
            acceptors: self.voters.clone(),
            key: key.into(),
            role,
            lease_config: lease_config(),
        };
        self.here.push(Membership::with_socket(socket, at, config, self.next, log()));
        self.next += 1;
    }

    async fn plugin(&mut self, key: &str) {
        let socket = UdpSocket::bind(any()).await.unwrap();
        self.on(socket, Role::Plugin, key);
    }

    fn parts(&self) -> Vec<f64> {
        self.here.iter().map(|m| m.view().borrow().quota_share).collect()
    }

    /// Waits until it is so; all the while the parts are at most the whole.
    async fn until(&self, so: impl Fn(&Site) -> bool) {
        let wait = async {
            while !so(self) {
                // Read one after another: a reading is of one moment, as no task runs between.
                let sum: f64 = self.parts().iter().sum();
                assert!(sum <= 1.0 + 1e-9, "all parts together are {sum}");
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(LATEST, wait).await.expect("it never comes to that");
    }
}

#[tokio::test]
async fn instances_find_each_other_share_the_whole_and_take_over_from_what_has_gone() {
    let mut site = Site::start().await;
    let all = |s: &Site| s.parts().iter().sum::<f64>() > 0.9;
    site.until(all).await;
    for _ in 0..2 {
        site.plugin("key").await;
    }
    let even = |s: &Site| s.parts().iter().all(|p| *p > 0.12);
    site.until(even).await;
    let peers = |s: &Site| s.here.iter().all(|m| m.view().borrow().peers.len() + 1 == s.here.len());
    site.until(peers).await;
    let plugins = site.here[0].view().borrow().peers.iter().filter(|p| p.role == Role::Plugin).count();
    assert_eq!(plugins, 2);
    // One leaves, one is killed.
    site.here.pop().unwrap().leave().await;
    site.until(all).await;
    drop(site.here.pop());
    site.until(all).await;
    site.until(|s| s.here[0].view().borrow().peers.len() == 2).await;
    // The keeper is killed: another takes its place.
    let keeper = site.here.iter().position(|m| m.view().borrow().is_leader).unwrap();
    drop(site.here.remove(keeper));
    site.until(|s| s.here.iter().any(|m| m.view().borrow().is_leader)).await;
    site.until(all).await;
}

#[tokio::test]
async fn who_does_not_know_the_key_gets_its_floor_and_noise_gets_nothing() {
    let mut site = Site::start().await;
    site.plugin("another").await;
    let noise = UdpSocket::bind(any()).await.unwrap();
    site.until(|s| s.parts()[..3].iter().sum::<f64>() > 0.85).await;
    for length in [0, 1, 16, 17, 18, 400, 1_400] {
        for first in [0, 1, 2, 255] {
            let mut packet = vec![7; length];
            packet.iter_mut().take(1).for_each(|b| *b = first);
            for to in &site.voters {
                noise.send_to(&packet, to).await.unwrap();
            }
        }
    }
    sleep(Duration::from_millis(300)).await;
    site.until(|s| s.parts()[..3].iter().sum::<f64>() > 0.85).await;
    assert_eq!(site.parts()[3], lease_config().floor_share());
    assert!(site.here[3].view().borrow().peers.is_empty());
}
