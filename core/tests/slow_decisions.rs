//! However slow the decisions are, what is promised to clients and servers holds: here each event takes them
//! 0.1 s, as the log that they write to is slow. Time is real.

mod support;

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use frosttrail::{Health, Id, ListUpdateKind, LoadReport, Outcome, Query, Role, Settings};
use frosttrail_core::{
    start, Answer, AttemptReply, CallError, Clock, Conductor, ConductorParts, MembershipUpdate, Metrics,
    Request, SendPermit, Upstream,
};
use slog::Drain;
use support::{classes, entry, query, NoEvents, Told};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// What one event takes the decisions.
const EVENT_TAKES: Duration = Duration::from_millis(100);
/// What this test's machine and one event that has just begun may add to any time.
const ADDED: Duration = Duration::from_millis(200);
/// A final answer may be later than its time by this much.
const LATE_SLACK: Duration = Duration::from_millis(500);
/// What the rule on what is held adds to the settings' time.
const HELD_ADDED: Duration = Duration::from_millis(300);
const BUDGET: Duration = Duration::from_millis(1_000);
const RELEASE: Duration = Duration::from_millis(600);
const DRAIN_GRACE: Duration = Duration::from_millis(100);
const READ_TAKES: Duration = Duration::from_millis(30);
const ASKED: usize = 25;

/// A log that holds up whoever hands it what the decisions are told.
struct SlowLog;

impl Drain for SlowLog {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &slog::Record, _: &slog::OwnedKVList) -> Result<(), slog::Never> {
        if matches!(record.msg().to_string().as_str(), "request" | "report") {
            std::thread::sleep(EVENT_TAKES);
        }
        Ok(())
    }
}

/// What servers have seen of a request.
#[derive(Default)]
struct Seen {
    began: Vec<(Id, Instant)>,
    held_since: Option<Instant>,
    held_longest: Duration,
}

impl Seen {
    fn taken(&mut self) {
        let held = self.held_since.take().map_or(Duration::ZERO, |since| since.elapsed());
        self.held_longest = self.held_longest.max(held);
    }
}

#[derive(Clone, Default)]
struct Servers(Arc<Mutex<HashMap<Id, Seen>>>);

impl Servers {
    fn of<T>(&self, request: &Id, then: impl FnOnce(&mut Seen) -> T) -> T {
        then(self.0.lock().unwrap().entry(request.clone()).or_default())
    }
}

impl Upstream for Servers {
    type Call = ();
    type Events = NoEvents;

    async fn attempt(
        &self,
        server: &Id,
        request: &Id,
        _: &(),
        wait: Duration,
        permit: &SendPermit,
    ) -> AttemptReply<NoEvents> {
        if permit.check().is_err() {
            return AttemptReply::Ended(Outcome::NotSent, None);
        }
        self.of(request, |seen| seen.began.push((server.clone(), Instant::now())));
        if server.starts_with('w') {
            self.of(request, Seen::taken);
            return AttemptReply::Stream(NoEvents);
        }
        if timeout(wait, sleep(READ_TAKES)).await.is_err() {
            return AttemptReply::Ended(Outcome::NoAnswer, None);
        }
        self.of(request, |seen| seen.held_since = Some(Instant::now()));
        AttemptReply::PrefillDone { cached_tokens: 0, load: None }
    }

    async fn release(&self, _: &Id, request: &Id) -> bool {
        self.of(request, Seen::taken);
        true
    }

    async fn probe(&self, _: &Id) -> (Outcome, Option<LoadReport>) {
        (Outcome::Served, None)
    }
}

async fn conductor(servers: &Servers) -> (Conductor<Servers>, mpsc::UnboundedSender<MembershipUpdate>) {
    let (news, told) = mpsc::unbounded_channel();
    let settings = Settings {
        roles: vec![Role::Prefill, Role::Decode],
        memory_tokens: vec![200_000; 2],
        classes: classes().to_vec(),
        cache_release_timeout: RELEASE.as_micros() as u64,
        drain_grace: DRAIN_GRACE.as_micros() as u64,
        ..Settings::example()
    };
    let conductor = start(ConductorParts {
        excluded: Vec::new(),
        inherited: None,
        metrics: Metrics::new().unwrap(),
        settings,
        seed: 7,
        clock: Clock::new(),
        upstream: Arc::new(servers.clone()),
        members: Told(told),
        log: slog::Logger::root(SlowLog.ignore_res(), slog::o!()),
    });
    let up = |name| entry(name, usize::from(str::starts_with(name, "w")), Health::Up);
    let entries = ["r1", "r2", "r3", "w1", "w2", "w3"].map(up).to_vec();
    news.send(MembershipUpdate { kind: ListUpdateKind::Full, entries }).unwrap();
    sleep(Duration::from_millis(50)).await;
    (conductor, news)
}

fn asked(nth: usize, class: usize) -> Query {
    let budget = BUDGET.as_micros() as u64;
    Query { budget, session: format!("s{nth}").as_str().into(), ..query(&format!("q{nth}"), class) }
}

/// Runs on one thread, as the program does.
fn run<T>(test: impl std::future::Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(test)
}

#[test]
fn every_request_gets_its_final_answer_in_time() {
    run(async {
        let servers = Servers::default();
        let (conductor, _news) = conductor(&servers).await;
        let mut asking = JoinSet::new();
        for nth in 0..ASKED {
            let conductor = conductor.clone();
            asking.spawn(async move {
                let begin = Instant::now();
                let answer = conductor.call(Request { query: asked(nth, nth % 2), call: () }).await;
                (nth, matches!(answer, Ok(Answer::Refused { .. })), begin.elapsed())
            });
            sleep(Duration::from_millis(10)).await;
        }
        for (nth, refused, took) in asking.join_all().await {
            assert!(took <= BUDGET + LATE_SLACK, "q{nth} was answered after {took:?}");
            let at_decode = |seen: &mut Seen| seen.began.iter().any(|(server, _)| server.starts_with('w'));
            let ran = servers.of(&format!("q{nth}").as_str().into(), at_decode);
            assert!(!(refused && ran && nth % 2 == 1), "q{nth} may have run, and was refused");
        }
        sleep(RELEASE + HELD_ADDED).await;
        for (id, seen) in servers.0.lock().unwrap().iter_mut() {
            seen.taken();
            let held = seen.held_longest;
            assert!(held <= RELEASE + HELD_ADDED + ADDED, "{id}: held for {held:?}");
        }
    });
}

#[test]
fn nothing_begins_for_a_client_that_has_gone_or_whose_time_is_over() {
    run(async {
        let servers = Servers::default();
        let (conductor, _news) = conductor(&servers).await;
        let mut left = Vec::new();
        let mut asking = JoinSet::new();
        for nth in 0..ASKED {
            let conductor = conductor.clone();
            asking.spawn(async move {
                let call = conductor.call(Request { query: asked(nth, 0), call: () });
                // Every other client leaves.
                let stays = if nth % 2 == 0 { BUDGET / 5 } else { BUDGET * 2 };
                let _ = timeout(stays, call).await;
                (nth, Instant::now())
            });
        }
        while let Some(Ok(ended)) = asking.join_next().await {
            left.push(ended);
        }
        sleep(BUDGET).await;
        for (nth, at) in left {
            let id: Id = format!("q{nth}").as_str().into();
            let began = servers.of(&id, |seen| std::mem::take(&mut seen.began));
            let late: Vec<_> = began.iter().filter(|(_, began)| *began > at + EVENT_TAKES).collect();
            assert!(late.is_empty(), "{id} began after its end: {late:?}");
        }
    });
}

/// A refusal would promise that nothing of it has run, also where it comes before any decision.
#[test]
fn an_id_that_is_in_use_is_turned_down_and_not_refused() {
    run(async {
        let servers = Servers::default();
        let (conductor, _news) = conductor(&servers).await;
        let mut asking = JoinSet::new();
        for nth in 0..ASKED {
            let conductor = conductor.clone();
            asking.spawn(async move {
                // What comes of these is other tests' matter.
                let _ = conductor.call(Request { query: asked(nth, 1), call: () }).await;
            });
        }
        sleep(Duration::from_millis(5)).await;
        for nth in [0, ASKED / 2, ASKED - 1] {
            let again = conductor.call(Request { query: asked(nth, 1), call: () }).await;
            assert!(matches!(again, Err(CallError::IdInUse)), "q{nth}");
        }
    });
}

#[test]
fn nothing_begins_at_a_server_that_drains() {
    run(async {
        let servers = Servers::default();
        let (conductor, news) = conductor(&servers).await;
        let mut asking = JoinSet::new();
        for nth in 0..ASKED {
            let conductor = conductor.clone();
            asking.spawn(async move {
                // What comes of it is another test's matter.
                let _ = conductor.call(Request { query: asked(nth, 0), call: () }).await;
            });
        }
        sleep(Duration::from_millis(5)).await;
        let entries = vec![entry("r1", 0, Health::Draining), entry("w1", 1, Health::Draining)];
        news.send(MembershipUpdate { kind: ListUpdateKind::Changes, entries }).unwrap();
        let told = Instant::now();
        asking.join_all().await;
        for (id, seen) in servers.0.lock().unwrap().iter() {
            let drains = |server: &Id| matches!(&**server, "r1" | "w1");
            let late = |at: Instant| at > told + DRAIN_GRACE + ADDED;
            let late: Vec<_> = seen.began.iter().filter(|(server, at)| drains(server) && late(*at)).collect();
            assert!(late.is_empty(), "{id}: {late:?}, told at {told:?}");
        }
    });
}
