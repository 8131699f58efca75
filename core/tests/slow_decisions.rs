//! Whatever the speed of the decisions, the promises to clients and servers hold. Here each event takes the
//! decisions 0.1 s, as their logger is slow. Time is real.

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
use support::{classes, entry, query, ChannelSource, NoEvents};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// How long the decisions take for one event.
const EVENT_DELAY: Duration = Duration::from_millis(100);
/// What the machine and one event that has just begun may add to any time.
const TIMING_ALLOWANCE: Duration = Duration::from_millis(200);
/// How late a final answer may be.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// What the rule on held KV cache adds to the release timeout.
const RELEASE_SLACK: Duration = Duration::from_millis(300);
const BUDGET: Duration = Duration::from_millis(1_000);
const RELEASE_TIMEOUT: Duration = Duration::from_millis(600);
const DRAIN_GRACE: Duration = Duration::from_millis(100);
const PREFILL_DELAY: Duration = Duration::from_millis(30);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);
const REQUEST_COUNT: usize = 25;

/// A logger that stalls the thread that logs an event of the decisions.
struct SlowLog;

impl Drain for SlowLog {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &slog::Record, _: &slog::OwnedKVList) -> Result<(), slog::Never> {
        if matches!(record.msg().to_string().as_str(), "request" | "report") {
            std::thread::sleep(EVENT_DELAY);
        }
        Ok(())
    }
}

/// What servers have seen of a request.
#[derive(Default)]
struct RequestLog {
    sent: Vec<(Id, Instant)>,
    cached_since: Option<Instant>,
    longest_cached: Duration,
}

impl RequestLog {
    fn record_fetch(&mut self) {
        let cached_for = self.cached_since.take().map_or(Duration::ZERO, |since| since.elapsed());
        self.longest_cached = self.longest_cached.max(cached_for);
    }
}

#[derive(Clone, Default)]
struct Servers(Arc<Mutex<HashMap<Id, RequestLog>>>);

impl Servers {
    fn with_log<T>(&self, request: &Id, then: impl FnOnce(&mut RequestLog) -> T) -> T {
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
        self.with_log(request, |request_log| request_log.sent.push((server.clone(), Instant::now())));
        if server.starts_with('w') {
            self.with_log(request, RequestLog::record_fetch);
            return AttemptReply::Stream(NoEvents);
        }
        if timeout(wait, sleep(PREFILL_DELAY)).await.is_err() {
            return AttemptReply::Ended(Outcome::NoAnswer, None);
        }
        self.with_log(request, |request_log| request_log.cached_since = Some(Instant::now()));
        AttemptReply::PrefillDone { cached_tokens: 0, load: None }
    }

    async fn release(&self, _: &Id, request: &Id) -> bool {
        self.with_log(request, RequestLog::record_fetch);
        true
    }

    async fn probe(&self, _: &Id) -> (Outcome, Option<LoadReport>) {
        (Outcome::Served, None)
    }
}

async fn conductor(servers: &Servers) -> (Conductor<Servers>, mpsc::UnboundedSender<MembershipUpdate>) {
    let (updates, received_updates) = mpsc::unbounded_channel();
    let settings = Settings {
        roles: vec![Role::Prefill, Role::Decode],
        memory_tokens: vec![200_000; 2],
        classes: classes().to_vec(),
        cache_release_timeout: RELEASE_TIMEOUT.as_micros() as u64,
        drain_grace: DRAIN_GRACE.as_micros() as u64,
        max_retry_after: MAX_RETRY_AFTER.as_micros() as u64,
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
        log: slog::Logger::root(SlowLog.ignore_res(), slog::o!()),
    });
    let up = |name| entry(name, usize::from(str::starts_with(name, "w")), Health::Up);
    let entries = ["r1", "r2", "r3", "w1", "w2", "w3"].map(up).to_vec();
    updates.send(MembershipUpdate { kind: ListUpdateKind::Full, entries }).unwrap();
    sleep(Duration::from_millis(50)).await;
    (conductor, updates)
}

fn numbered_query(nth: usize, class: usize) -> Query {
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
        let (conductor, _updates) = conductor(&servers).await;
        let mut calls = JoinSet::new();
        for nth in 0..REQUEST_COUNT {
            let conductor = conductor.clone();
            calls.spawn(async move {
                let begin = Instant::now();
                let answer = conductor.call(Request { query: numbered_query(nth, nth % 2), call: () }).await;
                (nth, matches!(answer, Ok(Answer::Refused { .. })), begin.elapsed())
            });
            sleep(Duration::from_millis(10)).await;
        }
        for (nth, refused, took) in calls.join_all().await {
            assert!(took <= BUDGET + ANSWER_SLACK, "q{nth} was answered after {took:?}");
            let at_decode = |request_log: &mut RequestLog| {
                request_log.sent.iter().any(|(server, _)| server.starts_with('w'))
            };
            let ran = servers.with_log(&format!("q{nth}").as_str().into(), at_decode);
            assert!(!(refused && ran && nth % 2 == 1), "q{nth} may have run, and was refused");
        }
        sleep(RELEASE_TIMEOUT + RELEASE_SLACK).await;
        for (id, request_log) in servers.0.lock().unwrap().iter_mut() {
            request_log.record_fetch();
            let cached_for = request_log.longest_cached;
            assert!(
                cached_for <= RELEASE_TIMEOUT + RELEASE_SLACK + TIMING_ALLOWANCE,
                "{id}: KV cache held for {cached_for:?}"
            );
        }
    });
}

/// Guards against clients that return at once: a request that no decision reaches in time refuses itself, and
/// that refusal has to advise a delay like any other.
#[test]
fn a_refusal_without_a_decision_advises_a_delay() {
    run(async {
        let servers = Servers::default();
        let (conductor, _updates) = conductor(&servers).await;
        let mut calls = JoinSet::new();
        for nth in 0..REQUEST_COUNT {
            let conductor = conductor.clone();
            calls.spawn(
                async move { conductor.call(Request { query: numbered_query(nth, 0), call: () }).await },
            );
        }
        let mut delays = Vec::new();
        for answer in calls.join_all().await {
            if let Ok(Answer::Refused { retry_after, .. }) = answer {
                delays.push(retry_after);
            }
        }
        assert!(!delays.is_empty(), "no request was refused");
        assert!(delays.iter().all(|delay| !delay.is_zero() && *delay <= MAX_RETRY_AFTER), "{delays:?}");
    });
}

/// Guards against a planned end that leaves requests without an answer because the decisions are behind: once
/// the final answers are due, each request answers itself.
#[test]
fn every_request_is_answered_when_the_final_answers_are_due() {
    run(async {
        let servers = Servers::default();
        let (conductor, _updates) = conductor(&servers).await;
        let mut calls = JoinSet::new();
        for nth in 0..REQUEST_COUNT {
            let conductor = conductor.clone();
            let query = Query { budget: 20 * BUDGET.as_micros() as u64, ..numbered_query(nth, nth % 2) };
            calls.spawn(async move {
                let answer = conductor.call(Request { query, call: () }).await;
                (nth, matches!(answer, Ok(Answer::Refused { .. })), Instant::now())
            });
        }
        sleep(3 * EVENT_DELAY).await;
        conductor.close();
        sleep(EVENT_DELAY).await;
        conductor.demand_final_answers();
        let demanded_at = Instant::now();
        for (nth, is_refused, answered_at) in calls.join_all().await {
            let took = answered_at.saturating_duration_since(demanded_at);
            assert!(took <= EVENT_DELAY + TIMING_ALLOWANCE, "q{nth} was answered after {took:?}");
            let has_run = servers.with_log(&format!("q{nth}").as_str().into(), |request_log| {
                request_log.sent.iter().any(|(server, _)| server.starts_with('w'))
            });
            assert!(!(is_refused && has_run && nth % 2 == 1), "q{nth} may have run, and was refused");
        }
    });
}

#[test]
fn no_attempt_is_sent_for_a_client_that_left_or_timed_out() {
    run(async {
        let servers = Servers::default();
        let (conductor, _updates) = conductor(&servers).await;
        let mut ended_calls = Vec::new();
        let mut calls = JoinSet::new();
        for nth in 0..REQUEST_COUNT {
            let conductor = conductor.clone();
            calls.spawn(async move {
                let call = conductor.call(Request { query: numbered_query(nth, 0), call: () });
                // Every other client leaves.
                let stays = if nth % 2 == 0 { BUDGET / 5 } else { BUDGET * 2 };
                let _ = timeout(stays, call).await;
                (nth, Instant::now())
            });
        }
        while let Some(Ok(ended)) = calls.join_next().await {
            ended_calls.push(ended);
        }
        sleep(BUDGET).await;
        for (nth, ended_at) in ended_calls {
            let id: Id = format!("q{nth}").as_str().into();
            let sent = servers.with_log(&id, |request_log| std::mem::take(&mut request_log.sent));
            let late: Vec<_> = sent.iter().filter(|(_, sent_at)| *sent_at > ended_at + EVENT_DELAY).collect();
            assert!(late.is_empty(), "{id} was sent after its end: {late:?}");
        }
    });
}

/// A refusal would promise that nothing of the request has run, even a refusal before any decision.
#[test]
fn an_id_in_use_is_an_error_and_not_a_refusal() {
    run(async {
        let servers = Servers::default();
        let (conductor, _updates) = conductor(&servers).await;
        let mut calls = JoinSet::new();
        for nth in 0..REQUEST_COUNT {
            let conductor = conductor.clone();
            calls.spawn(async move {
                // Other tests check these answers.
                let _ = conductor.call(Request { query: numbered_query(nth, 1), call: () }).await;
            });
        }
        sleep(Duration::from_millis(5)).await;
        for nth in [0, REQUEST_COUNT / 2, REQUEST_COUNT - 1] {
            let again = conductor.call(Request { query: numbered_query(nth, 1), call: () }).await;
            assert!(matches!(again, Err(CallError::IdInUse)), "q{nth}");
        }
    });
}

#[test]
fn no_attempt_is_sent_to_a_draining_server() {
    run(async {
        let servers = Servers::default();
        let (conductor, updates) = conductor(&servers).await;
        let mut calls = JoinSet::new();
        for nth in 0..REQUEST_COUNT {
            let conductor = conductor.clone();
            calls.spawn(async move {
                // Another test checks the answer.
                let _ = conductor.call(Request { query: numbered_query(nth, 0), call: () }).await;
            });
        }
        sleep(Duration::from_millis(5)).await;
        let entries = vec![entry("r1", 0, Health::Draining), entry("w1", 1, Health::Draining)];
        updates.send(MembershipUpdate { kind: ListUpdateKind::Changes, entries }).unwrap();
        let drained_at = Instant::now();
        calls.join_all().await;
        for (id, request_log) in servers.0.lock().unwrap().iter() {
            let drains = |server: &Id| matches!(&**server, "r1" | "w1");
            let late = |at: Instant| at > drained_at + DRAIN_GRACE + TIMING_ALLOWANCE;
            let late: Vec<_> =
                request_log.sent.iter().filter(|(server, at)| drains(server) && late(*at)).collect();
            assert!(late.is_empty(), "{id}: {late:?}, drained at {drained_at:?}");
        }
    });
}
