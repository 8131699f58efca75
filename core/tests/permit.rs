//! A decided attempt may wait, for a release or for its connection. If an exclusion, a restart or a drain
//! forbids it meanwhile, it is never sent. Time is paused, and the servers are a table in memory.

mod support;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use frosttrail::{Health, Id, ListUpdateKind, LoadReport, Outcome, Role, ServerEntry, Settings};
use frosttrail_core::{
    start, AttemptReply, Clock, Conductor, ConductorParts, MembershipUpdate, Metrics, Request, SendPermit,
    Upstream,
};
use support::{classes, entry, query, run_paused, ChannelSource, NoEvents};
use tokio::sync::mpsc;
use tokio::time::{sleep, Instant};

/// How long a release takes, which the next attempt after a failed connection waits for.
const RELEASE_DELAY: Duration = Duration::from_millis(400);
/// How long a connection takes to come up.
const CONNECT_DELAY: Duration = Duration::from_millis(10);
/// After a drain is reported, nothing is sent later than this.
const DRAIN_GRACE: Duration = Duration::from_millis(100);

/// Prefill servers: the first attempt loses its connection, and the second gets none.
#[derive(Default)]
struct Cluster {
    attempts: u32,
    /// When each attempt was sent, and its server.
    sent: Vec<(Id, Instant)>,
}

#[derive(Clone, Default)]
struct Servers(Arc<Mutex<Cluster>>);

impl Upstream for Servers {
    type Call = ();
    type Events = NoEvents;

    async fn attempt(
        &self,
        server: &Id,
        _: &Id,
        _: &(),
        _: Duration,
        permit: &SendPermit,
    ) -> AttemptReply<NoEvents> {
        let nth = {
            let mut cluster = self.0.lock().unwrap();
            cluster.attempts += 1;
            cluster.attempts
        };
        sleep(CONNECT_DELAY).await;
        if permit.check().is_err() {
            return AttemptReply::Ended(Outcome::NotSent, None);
        }
        self.0.lock().unwrap().sent.push((server.clone(), Instant::now()));
        match nth {
            1 => AttemptReply::Ended(Outcome::ConnectionLost, None),
            2 => AttemptReply::Ended(Outcome::NoConnection, None),
            _ => AttemptReply::PrefillDone { cached_tokens: 0, load: None },
        }
    }

    async fn release(&self, _: &Id, _: &Id) -> bool {
        sleep(RELEASE_DELAY).await;
        true
    }

    async fn probe(&self, _: &Id) -> (Outcome, Option<LoadReport>) {
        (Outcome::Served, None)
    }
}

fn conductor(servers: &Servers) -> (Conductor<Servers>, mpsc::UnboundedSender<MembershipUpdate>) {
    let (updates, received_updates) = mpsc::unbounded_channel();
    let settings = Settings {
        roles: vec![Role::Prefill, Role::Decode],
        memory_tokens: vec![200_000; 2],
        classes: classes().to_vec(),
        cache_release_timeout: 1_000_000,
        drain_grace: DRAIN_GRACE.as_micros() as u64,
        ..Settings::example()
    };
    let conductor = start(ConductorParts {
        excluded: Vec::new(),
        inherited: None,
        shared_id_claims: None,
        metrics: Metrics::new().unwrap(),
        settings,
        seed: 7,
        clock: Clock::new(),
        upstream: Arc::new(servers.clone()),
        members: ChannelSource(received_updates),
        log: slog::Logger::root(slog::Discard, slog::o!()),
    });
    (conductor, updates)
}

/// Lists three servers and sends one request.
async fn send_request(
    conductor: &Conductor<Servers>,
    updates: &mpsc::UnboundedSender<MembershipUpdate>,
) -> tokio::task::JoinHandle<()> {
    let entries = vec![entry("r1", 0, Health::Up), entry("r2", 0, Health::Up), entry("w", 1, Health::Up)];
    updates.send(MembershipUpdate { kind: ListUpdateKind::Full, entries }).unwrap();
    sleep(Duration::from_millis(15)).await;
    let conductor = conductor.clone();
    tokio::spawn(async move {
        let answer = conductor.call(Request { query: query("id-1", 0), call: () }).await;
        assert!(answer.is_ok());
    })
}

#[test]
fn no_attempt_is_sent_after_an_exclusion_is_confirmed() {
    run_paused(async {
        let servers = Servers::default();
        let (conductor, updates) = conductor(&servers);
        let answer = send_request(&conductor, &updates).await;
        // Its connection comes up while the instances are excluded.
        sleep(CONNECT_DELAY / 2).await;
        for server in ["r1", "r2"] {
            conductor.exclude(&server.into()).unwrap();
        }
        sleep(Duration::from_secs(6)).await;
        assert!(answer.is_finished());
        assert_eq!(servers.0.lock().unwrap().sent, [], "sent after the exclusion was confirmed");
    });
}

#[test]
fn no_attempt_is_sent_to_a_server_that_restarted_since_the_decision() {
    run_paused(async {
        let servers = Servers::default();
        let (conductor, updates) = conductor(&servers);
        let answer = send_request(&conductor, &updates).await;
        sleep(CONNECT_DELAY / 2).await;
        let restarted = |name| ServerEntry { started: 3_600_000_000, ..entry(name, 0, Health::Up) };
        updates
            .send(MembershipUpdate {
                kind: ListUpdateKind::Changes,
                entries: vec![restarted("r1"), restarted("r2")],
            })
            .unwrap();
        sleep(CONNECT_DELAY).await;
        assert_eq!(servers.0.lock().unwrap().sent, [], "sent outside of the budget of its slow start");
        sleep(Duration::from_secs(6)).await;
        assert!(answer.is_finished());
    });
}

#[test]
fn no_attempt_is_sent_to_a_server_that_began_to_drain_while_it_waited() {
    run_paused(async {
        let servers = Servers::default();
        let (conductor, updates) = conductor(&servers);
        let answer = send_request(&conductor, &updates).await;
        // The third attempt has been decided, and waits for the release.
        sleep(Duration::from_millis(30)).await;
        let drained_at = Instant::now();
        let entries = vec![entry("r1", 0, Health::Draining), entry("r2", 0, Health::Draining)];
        updates.send(MembershipUpdate { kind: ListUpdateKind::Changes, entries }).unwrap();
        sleep(Duration::from_secs(6)).await;
        assert!(answer.is_finished());
        let sent = servers.0.lock().unwrap().sent.clone();
        let drains = |server: &Id| server.starts_with('r');
        let late = |at: Instant| at > drained_at + DRAIN_GRACE;
        let late: Vec<_> = sent.iter().filter(|(server, at)| drains(server) && late(*at)).collect();
        assert!(late.is_empty(), "sent after the grace period: {late:?}");
    });
}
