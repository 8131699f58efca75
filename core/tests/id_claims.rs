//! Request ids that another process of the conductor may have open. Time is paused, and the claims of the
//! processes are a table in memory.

mod support;

use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use frosttrail::{Health, Id, ListUpdateKind, LoadReport, Outcome, Role, Settings};
use frosttrail_core::{
    start, Answer, AttemptReply, CallError, Clock, Conductor, ConductorParts, MembershipUpdate, Metrics,
    Request, SendPermit, SharedIdClaims, Upstream,
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
    used: Mutex<HashSet<Id>>,
}

impl SharedIdClaims for ClaimTable {
    fn claim(&self, id: &Id) -> bool {
        !self.foreign.lock().unwrap().contains(id) && self.own.lock().unwrap().insert(id.clone())
    }

    fn release(&self, id: &Id) {
        assert!(self.own.lock().unwrap().remove(id), "released without a claim");
    }

    fn record_used(&self, id: &Id) {
        assert!(self.own.lock().unwrap().contains(id), "recorded without a claim");
        self.used.lock().unwrap().insert(id.clone());
    }

    fn is_used(&self, id: &Id) -> bool {
        self.used.lock().unwrap().contains(id)
    }
}

/// Servers that record the timeout of each attempt; the decode server fails it.
#[derive(Clone, Default)]
struct Server(Arc<Mutex<Vec<Duration>>>);

impl Upstream for Server {
    type Call = ();
    type Events = NoEvents;

    async fn attempt(
        &self,
        server: &Id,
        _: &Id,
        _: &(),
        attempt_timeout: Duration,
        _: &SendPermit,
    ) -> AttemptReply<NoEvents> {
        self.0.lock().unwrap().push(attempt_timeout);
        match &**server {
            "prefill" => AttemptReply::PrefillDone { cached_tokens: 0, load: None },
            _ => AttemptReply::Ended(Outcome::Failed, None),
        }
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

/// Guards against a request that runs a second time, at the process that replaces the one that ran it.
#[test]
fn an_id_that_another_process_has_used_is_rejected_and_nothing_is_sent() {
    run_paused(async {
        let (server, claims) = (Server::default(), Arc::<ClaimTable>::default());
        claims.used.lock().unwrap().insert("id-1".into());
        let conductor = conductor(&server, &claims).await;
        assert_eq!(conductor.call(request()).await.err(), Some(CallError::IdUsed));
        assert_eq!(*server.0.lock().unwrap(), [], "sent though another process had used the id");
        assert!(claims.own.lock().unwrap().is_empty(), "a rejected request keeps its claim");
    });
}

/// What may have taken effect does not run again; what may be repeated, or was refused, may come again.
#[test]
fn only_the_id_of_a_request_that_may_have_taken_effect_is_remembered() {
    run_paused(async {
        let (server, claims) = (Server::default(), Arc::<ClaimTable>::default());
        let conductor = conductor(&server, &claims).await;
        let call = |id: &'static str, class: usize, budget: Duration| {
            let mut query = query(id, class);
            query.budget = budget.as_micros() as u64;
            let conductor = conductor.clone();
            async move { conductor.call(Request { query, call: () }).await }
        };
        assert!(matches!(call("unsafe", 1, BUDGET).await, Ok(Answer::Failed { .. })));
        let sent = server.0.lock().unwrap().len();
        for class in [0, 1] {
            assert_eq!(call("unsafe", class, BUDGET).await.err(), Some(CallError::IdUsed));
        }
        assert_eq!(server.0.lock().unwrap().len(), sent, "sent again");
        assert!(call("safe", 0, BUDGET).await.is_ok());
        assert!(matches!(call("refused", 1, Duration::ZERO).await, Ok(Answer::Refused { .. })));
        assert_eq!(*claims.used.lock().unwrap(), HashSet::from(["unsafe".into()]));
        assert!(call("safe", 0, BUDGET).await.is_ok());
        assert!(call("refused", 1, BUDGET).await.is_ok());
    });
}
