//! Request ids that another process of the conductor may have open. Time is paused, and the claims of the
//! processes are a table in memory.

mod support;

use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use frosttrail::{Health, Id, ListUpdateKind, LoadReport, Outcome, Role, Settings};
use frosttrail_core::{
    start, AttemptReply, CallError, Clock, Conductor, ConductorParts, MembershipUpdate, Metrics, Request,
    SendPermit, SharedIdClaims, Upstream,
};
use support::{classes, entry, query, run_paused, ChannelSource, NoEvents};
use tokio::sync::mpsc;
use tokio::time::{sleep, Instant};

/// The time that the client of a test's request has.
const BUDGET: Duration = Duration::from_secs(3);
/// An id that another process keeps open is reported within this time.
const REJECTION_TIMEOUT: Duration = Duration::from_secs(3);

/// The ids that this process and another one have claimed.
#[derive(Default)]
struct ClaimTable {
    own: Mutex<HashSet<Id>>,
    foreign: Mutex<HashSet<Id>>,
}

impl SharedIdClaims for ClaimTable {
    fn claim(&self, id: &Id) -> bool {
        !self.foreign.lock().unwrap().contains(id) && self.own.lock().unwrap().insert(id.clone())
    }

    fn release(&self, id: &Id) {
        assert!(self.own.lock().unwrap().remove(id), "released without a claim");
    }
}

/// A prefill server that records the timeout of each attempt, and fails it.
#[derive(Clone, Default)]
struct Server(Arc<Mutex<Vec<Duration>>>);

impl Upstream for Server {
    type Call = ();
    type Events = NoEvents;

    async fn attempt(
        &self,
        _: &Id,
        _: &Id,
        _: &(),
        attempt_timeout: Duration,
        _: &SendPermit,
    ) -> AttemptReply<NoEvents> {
        self.0.lock().unwrap().push(attempt_timeout);
        AttemptReply::Ended(Outcome::Failed, None)
    }

    async fn release(&self, _: &Id, _: &Id) -> bool {
        true
    }

    async fn probe(&self, _: &Id) -> (Outcome, Option<LoadReport>) {
        (Outcome::Served, None)
    }
}

async fn conductor(server: &Server, claims: &Arc<ClaimTable>) -> Conductor<Server> {
    let (updates, received_updates) = mpsc::unbounded_channel();
    let settings = Settings {
        roles: vec![Role::Prefill, Role::Decode],
        memory_tokens: vec![200_000; 2],
        classes: classes().to_vec(),
        ..Settings::example()
    };
    let conductor = start(ConductorParts {
        excluded: Vec::new(),
        inherited: None,
        shared_id_claims: Some(claims.clone()),
        metrics: Metrics::new().unwrap(),
        settings,
        seed: 7,
        clock: Clock::new(),
        upstream: Arc::new(server.clone()),
        members: ChannelSource(received_updates),
        log: slog::Logger::root(slog::Discard, slog::o!()),
    });
    let entries = vec![entry("prefill", 0, Health::Up), entry("decode", 1, Health::Up)];
    updates.send(MembershipUpdate { kind: ListUpdateKind::Full, entries }).unwrap();
    sleep(Duration::from_millis(15)).await;
    conductor
}

fn request() -> Request<()> {
    let mut query = query("id-1", 1);
    query.budget = BUDGET.as_micros() as u64;
    Request { query, call: () }
}

/// Guards against a request that runs twice at once: at the process that is replaced, and at the new one.
#[test]
fn an_id_that_another_process_has_open_is_rejected_and_nothing_is_sent() {
    run_paused(async {
        let (server, claims) = (Server::default(), Arc::<ClaimTable>::default());
        claims.foreign.lock().unwrap().insert("id-1".into());
        let conductor = conductor(&server, &claims).await;
        let begin = Instant::now();
        let answer = conductor.call(request()).await;
        assert_eq!(answer.err(), Some(CallError::IdInUse));
        assert!(begin.elapsed() < REJECTION_TIMEOUT);
        assert_eq!(*server.0.lock().unwrap(), [], "sent while another process had the id open");
        // Nothing of the rejected request is left.
        claims.foreign.lock().unwrap().clear();
        assert!(conductor.call(request()).await.is_ok());
        assert!(claims.own.lock().unwrap().is_empty(), "an ended request keeps its claim");
    });
}

/// Guards against a deadline that grows by the time for which a request waited for its id.
#[test]
fn a_request_waits_for_its_id_on_its_clients_time() {
    const WAIT: Duration = Duration::from_millis(300);
    run_paused(async {
        let (server, claims) = (Server::default(), Arc::<ClaimTable>::default());
        claims.foreign.lock().unwrap().insert("id-1".into());
        let conductor = conductor(&server, &claims).await;
        let answer = tokio::spawn({
            let conductor = conductor.clone();
            async move { conductor.call(request()).await.is_ok() }
        });
        sleep(WAIT).await;
        claims.foreign.lock().unwrap().clear();
        assert!(answer.await.unwrap());
        let timeouts = server.0.lock().unwrap();
        assert!(timeouts[0] <= BUDGET - WAIT, "{timeouts:?}");
    });
}
