//! Checks one request against a model of its connection to the servers, in random steps. At any moment at
//! most one attempt is in flight, what may have run is not sent or refused again, the client gets exactly
//! one final answer, and no KV cache stays behind. Time is paused, and the servers are a table in memory.

mod support;

use std::collections::HashMap;
use std::future::{poll_fn, Future};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use frosttrail::{Health, Id, ListUpdateKind, LoadReport, Outcome, Role, ServerEntry, Settings};
use frosttrail_core::{
    start, Answer, AttemptReply, Clock, Conductor, ConductorParts, EventStream, MembershipUpdate, Metrics,
    Upstream,
};
use frosttrail_core::{CallError, Request, SendPermit, StreamStep};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use support::{classes, query, run_paused, SingleUpdate};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};

type CallResult = Result<Answer<FakeStream>, CallError>;

/// An attempt as its server sees it.
struct Attempt {
    server: Id,
    reply: oneshot::Sender<AttemptReply<FakeStream>>,
}

#[derive(Default)]
struct Cluster {
    /// Attempts in flight, by request, as counted by the servers and not by the conductor.
    in_flight: HashMap<Id, u32>,
    max_in_flight: u32,
    attempts: Vec<Attempt>,
    sends: Vec<Id>,
    releases: u32,
    /// How long a server takes to release KV cache.
    release_delay: Duration,
    /// How long the end of an attempt takes to reach its server.
    cancellation_delay: Duration,
    streams_dropped: u32,
}

#[derive(Clone, Default)]
struct FakeServers(Arc<Mutex<Cluster>>);

impl FakeServers {
    fn with<T>(&self, f: impl FnOnce(&mut Cluster) -> T) -> T {
        f(&mut self.0.lock().unwrap())
    }
}

/// Counts an attempt as in flight until its server has ended it, or has learned that its future, or the
/// stream that followed, was dropped.
struct InFlight {
    servers: FakeServers,
    id: Id,
    ended_by_server: bool,
}

impl InFlight {
    fn new(servers: &FakeServers, id: &Id) -> Self {
        servers.with(|cluster| {
            let count = cluster.in_flight.entry(id.clone()).or_default();
            *count += 1;
            cluster.max_in_flight = cluster.max_in_flight.max(*count);
        });
        InFlight { servers: servers.clone(), id: id.clone(), ended_by_server: false }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let (servers, id) = (self.servers.clone(), self.id.clone());
        let delay = servers.with(|cluster| cluster.cancellation_delay);
        let finish = move || servers.with(|cluster| *cluster.in_flight.get_mut(&id).unwrap() -= 1);
        match tokio::runtime::Handle::try_current() {
            Ok(runtime) if !self.ended_by_server && !delay.is_zero() => drop(runtime.spawn(async move {
                // Arrives within that time.
                sleep(delay * 3 / 4).await;
                finish();
            })),
            _ => finish(),
        }
    }
}

struct FakeStream {
    steps: mpsc::UnboundedReceiver<StreamStep>,
    servers: FakeServers,
    _in_flight: Option<InFlight>,
}

impl Drop for FakeStream {
    fn drop(&mut self) {
        self.servers.with(|cluster| cluster.streams_dropped += 1);
    }
}

impl EventStream for FakeStream {
    fn poll_step(&mut self, cx: &mut Context<'_>) -> Poll<StreamStep> {
        self.steps.poll_recv(cx).map(|step| step.unwrap_or(StreamStep::Broken(Outcome::ConnectionLost)))
    }
}

impl Upstream for FakeServers {
    type Call = ();
    type Events = FakeStream;

    async fn attempt(
        &self,
        server: &Id,
        id: &Id,
        _: &(),
        wait: Duration,
        _: &SendPermit,
    ) -> AttemptReply<FakeStream> {
        let mut in_flight = InFlight::new(self, id);
        let (reply, replied) = oneshot::channel();
        self.with(|cluster| {
            cluster.sends.push(server.clone());
            cluster.attempts.push(Attempt { server: server.clone(), reply });
        });
        let Ok(replied) = timeout(wait, replied).await else {
            return AttemptReply::Ended(Outcome::NoAnswer, None);
        };
        in_flight.ended_by_server = true;
        match replied {
            Ok(AttemptReply::Stream(mut stream)) => {
                stream._in_flight = Some(in_flight);
                AttemptReply::Stream(stream)
            }
            Ok(reply) => reply,
            Err(_) => AttemptReply::Ended(Outcome::ConnectionLost, None),
        }
    }

    fn cancellation_delay(&self, _: &Id) -> Duration {
        self.with(|cluster| cluster.cancellation_delay)
    }

    async fn release(&self, _: &Id, _: &Id) -> bool {
        let delay = self.with(|cluster| cluster.release_delay);
        if !delay.is_zero() {
            sleep(delay).await;
        }
        self.with(|cluster| cluster.releases += 1);
        true
    }

    async fn probe(&self, _: &Id) -> (Outcome, Option<LoadReport>) {
        (Outcome::Served, None)
    }
}

/// What happens next, to whatever attempt or stream it applies to.
#[derive(Clone, Copy, Debug)]
enum Step {
    PrefillDone,
    Rejected,
    CacheMissing,
    NoConnection,
    ConnectionBroke,
    ServerError,
    FirstEvent,
    NextEvent,
    StreamEnd,
    Wait(u8),
    ClientLeaves,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        use Step::*;
        // Prefills and first events are likelier, so that the sequences reach the later steps.
        let wait = Wait(u8::arbitrary(g));
        let all = [
            PrefillDone,
            PrefillDone,
            PrefillDone,
            FirstEvent,
            FirstEvent,
            NextEvent,
            StreamEnd,
            Rejected,
            CacheMissing,
            NoConnection,
            ConnectionBroke,
            ServerError,
            wait,
            ClientLeaves,
        ];
        *g.choose(&all).unwrap()
    }
}

fn settings() -> Settings {
    Settings {
        roles: vec![Role::Prefill, Role::Decode],
        memory_tokens: vec![200_000; 2],
        classes: classes().to_vec(),
        max_retry_after: 500_000,
        ..Settings::example()
    }
}

fn conductor(servers: &FakeServers) -> Conductor<FakeServers> {
    let entry = |name: &str, kind| ServerEntry {
        server: name.into(),
        rack: 0,
        kind,
        zone: 0,
        started: 0,
        health: Health::Up,
    };
    let entries = vec![entry("r1", 0), entry("r2", 0), entry("w1", 1), entry("w2", 1)];
    start(ConductorParts {
        excluded: Vec::new(),
        inherited: None,
        shared_id_claims: None,
        metrics: Metrics::new().unwrap(),
        settings: settings(),
        seed: 7,
        clock: Clock::new(),
        upstream: Arc::new(servers.clone()),
        members: SingleUpdate(Some(MembershipUpdate { kind: ListUpdateKind::Full, entries })),
        log: slog::Logger::root(slog::Discard, slog::o!()),
    })
}

/// The state of the request at the servers.
#[derive(Default)]
struct Model {
    is_unsafe: bool,
    /// A decode server may have run it.
    may_have_run: bool,
    /// A prefill server may hold KV cache for it.
    may_hold_cache: bool,
    /// How many releases there had been when that cache was left.
    releases_before_hold: u32,
    stream: Option<mpsc::UnboundedSender<StreamStep>>,
    answers: u32,
}

impl Model {
    /// Carries out a step if there is an attempt or a stream that it applies to.
    fn step(&mut self, servers: &FakeServers, step: Step) {
        if let Some(stream) = &self.stream {
            let event = match step {
                Step::NextEvent => StreamStep::Event(Bytes::from_static(b"data: x\n\n")),
                Step::StreamEnd => StreamStep::End,
                Step::ConnectionBroke => StreamStep::Broken(Outcome::ConnectionLost),
                _ => return,
            };
            let _ = stream.send(event);
            return;
        }
        let Some(attempt) = servers.with(|cluster| cluster.attempts.pop()) else { return };
        let is_prefill = attempt.server.starts_with('r');
        let ended = |outcome| Some(AttemptReply::Ended(outcome, None));
        let reply = match (step, is_prefill) {
            (Step::PrefillDone, true) => {
                self.record_cache(servers);
                Some(AttemptReply::PrefillDone { cached_tokens: 0, load: None })
            }
            (Step::FirstEvent, false) => {
                let (sender, steps) = mpsc::unbounded_channel();
                (self.stream, self.may_have_run, self.may_hold_cache) = (Some(sender), true, false);
                Some(AttemptReply::Stream(FakeStream { steps, servers: servers.clone(), _in_flight: None }))
            }
            (Step::CacheMissing, false) => ended(Outcome::CacheMissing),
            (Step::Rejected, _) => ended(Outcome::Rejected),
            (Step::NoConnection, _) => ended(Outcome::NoConnection),
            (Step::ConnectionBroke, true) => {
                self.record_cache(servers);
                ended(Outcome::ConnectionLost)
            }
            (Step::ConnectionBroke | Step::ServerError, _) => {
                self.may_have_run |= !is_prefill;
                ended(Outcome::Failed)
            }
            _ => None,
        };
        match reply {
            Some(reply) => drop(attempt.reply.send(reply)),
            None => servers.with(|cluster| cluster.attempts.push(attempt)),
        }
    }

    fn record_cache(&mut self, servers: &FakeServers) {
        (self.may_hold_cache, self.releases_before_hold) = (true, servers.with(|cluster| cluster.releases));
    }

    /// Attempts that the conductor has cancelled: a prefill may have finished, and a decode may yet run.
    fn record_cancelled(&mut self, servers: &FakeServers, releases_before: u32) {
        let mut cancelled = Vec::new();
        servers.with(|cluster| {
            let (closed, open) = cluster.attempts.drain(..).partition(|a| a.reply.is_closed());
            (cancelled, cluster.attempts) = (closed, open);
        });
        for attempt in cancelled {
            if attempt.server.starts_with('r') {
                (self.may_hold_cache, self.releases_before_hold) = (true, releases_before);
            } else {
                self.may_have_run = true;
            }
        }
    }

    /// Checks what has been sent.
    fn check_sends(&mut self, servers: &FakeServers, sends_before: usize, may_have_run_before: bool) {
        let sends = servers.with(|cluster| cluster.sends.len());
        assert!(servers.with(|cluster| cluster.max_in_flight) <= 1, "two attempts in flight");
        assert!(self.stream.is_none() || sends == sends_before, "sent after the first event");
        let sent_to_decode =
            servers.with(|cluster| cluster.sends[sends_before..].iter().any(|s| s.starts_with('w')));
        assert!(
            !(self.is_unsafe && may_have_run_before && sent_to_decode),
            "an unsafe request that may have run was sent again"
        );
    }

    /// Checks the client's answer.
    fn check_answer(&mut self, answer: &CallResult) {
        self.answers += 1;
        let refused = matches!(answer, Ok(Answer::Refused { .. }));
        assert!(
            !(refused && self.is_unsafe && self.may_have_run),
            "an unsafe request that may have run was refused"
        );
    }
}

/// Lets every task run that is ready.
async fn settle() {
    sleep(Duration::from_millis(15)).await;
}

async fn run_steps(is_unsafe: bool, cancellation_delay: Duration, steps: Vec<Step>) {
    let servers = FakeServers::default();
    servers.with(|cluster| cluster.cancellation_delay = cancellation_delay);
    let conductor = conductor(&servers);
    settle().await;
    let mut model = Model { is_unsafe, ..Model::default() };
    let request = Request { query: query("id-1", usize::from(is_unsafe)), call: () };
    let mut call = Some(Box::pin(conductor.call(request)));
    let mut stream = None;
    let end = [Step::Wait(255), Step::Wait(255), Step::Wait(255), Step::Wait(255)];
    for step in steps.into_iter().chain(end) {
        let before = (
            servers.with(|cluster| cluster.sends.len()),
            model.may_have_run,
            servers.with(|cluster| cluster.releases),
        );
        match step {
            Step::Wait(n) => sleep(Duration::from_millis(u64::from(n) * 10)).await,
            Step::ClientLeaves => (call, stream) = (None, None),
            step => model.step(&servers, step),
        }
        if let Some(waiting) = &mut call {
            let polled = poll_fn(|cx| Poll::Ready(waiting.as_mut().poll(cx))).await;
            settle().await;
            let polled = match polled {
                Poll::Ready(answer) => Some(answer),
                Poll::Pending => match poll_fn(|cx| Poll::Ready(waiting.as_mut().poll(cx))).await {
                    Poll::Ready(answer) => Some(answer),
                    Poll::Pending => None,
                },
            };
            if let Some(answer) = polled {
                model.check_answer(&answer);
                let served = matches!(answer, Ok(Answer::Served(_)));
                assert!(
                    served || servers.with(|cluster| cluster.in_flight.values().all(|n| *n == 0)),
                    "answered while an attempt is in flight"
                );
                call = None;
                if let Ok(Answer::Served(events)) = answer {
                    stream = Some(events);
                }
            }
        } else if let Some(events) = &mut stream {
            while let Poll::Ready(Some(Ok(_))) = poll_fn(|cx| Poll::Ready(events.poll_next(cx))).await {}
            if events.is_finished() {
                stream = None;
            }
        }
        settle().await;
        model.record_cancelled(&servers, before.2);
        model.check_sends(&servers, before.0, before.1);
    }
    assert!(call.is_none(), "no final answer");
    assert!(model.answers <= 1, "more than one final answer");
    assert!(
        servers.with(|cluster| cluster.in_flight.values().all(|n| *n == 0)) || stream.is_some(),
        "an attempt is still in flight"
    );
    let was_released = servers.with(|cluster| cluster.releases) > model.releases_before_hold;
    assert!(!model.may_hold_cache || was_released, "KV cache stayed behind");
}

#[test]
fn random_steps_keep_the_rules() {
    fn keeps(is_unsafe: bool, far: bool, steps: Vec<Step>) -> bool {
        // With distant servers, the end of an attempt arrives later there than the next attempt does
        // elsewhere.
        let cancellation_delay = Duration::from_millis(if far { 20 } else { 0 });
        run_paused(run_steps(is_unsafe, cancellation_delay, steps));
        true
    }
    let gen = Gen::from_size_and_seed(24, 0x5eed);
    QuickCheck::new().rng(gen).tests(600).quickcheck(keeps as fn(bool, bool, Vec<Step>) -> bool);
}

#[test]
fn the_handle_serves_as_a_plug_in_of_an_rpc_library() {
    /// Uses the handle as an RPC library uses a client.
    async fn through<S>(mut service: S) -> S::Response
    where
        S: tower_service::Service<Request<()>, Error = CallError>,
    {
        poll_fn(|cx| service.poll_ready(cx)).await.unwrap();
        service.call(Request { query: query("id-1", 1), call: () }).await.unwrap()
    }
    run_paused(async {
        let servers = FakeServers::default();
        let answer = tokio::spawn(through(conductor(&servers)));
        let mut model = Model::default();
        for step in [Step::PrefillDone, Step::FirstEvent] {
            settle().await;
            model.step(&servers, step);
        }
        let Answer::Served(mut events) = answer.await.unwrap() else { panic!("not served") };
        model.step(&servers, Step::NextEvent);
        model.step(&servers, Step::StreamEnd);
        let first = poll_fn(|cx| events.poll_next(cx)).await.unwrap().unwrap();
        assert_eq!(&first[..], b"data: x\n\n");
        assert!(poll_fn(|cx| events.poll_next(cx)).await.is_none());
        drop(events);
        settle().await;
        assert_eq!(
            servers.with(|cluster| (
                cluster.sends.len(),
                cluster.in_flight[&Id::from("id-1")],
                cluster.releases
            )),
            (2, 0, 0)
        );
    });
}

#[test]
fn a_second_call_with_an_id_in_use_leaves_the_first_alone() {
    run_paused(async {
        let servers = FakeServers::default();
        let conductor = conductor(&servers);
        let request = || Request { query: query("id-1", 1), call: () };
        let first = tokio::spawn({
            let conductor = conductor.clone();
            async move { conductor.call(request()).await }
        });
        settle().await;
        assert!(matches!(conductor.call(request()).await, Err(CallError::IdInUse)));
        settle().await;
        assert_eq!(
            servers.with(|cluster| cluster.in_flight[&Id::from("id-1")]),
            1,
            "the first attempt is still in flight"
        );
        let mut model = Model::default();
        for step in [Step::PrefillDone, Step::FirstEvent] {
            model.step(&servers, step);
            settle().await;
        }
        assert!(matches!(first.await.unwrap(), Ok(Answer::Served(_))));
    });
}

/// Returns the sends and releases of a request at a time `wait` after its first steps, and whether it is
/// served in the end, with servers that take `release_delay` to release.
async fn prefill_again(first: &[Step], release_delay: u64, wait: u64) -> (usize, u32, bool) {
    let servers = FakeServers::default();
    servers.with(|cluster| cluster.release_delay = Duration::from_millis(release_delay));
    let conductor = conductor(&servers);
    let answer =
        tokio::spawn(async move { conductor.call(Request { query: query("id-1", 1), call: () }).await });
    let mut model = Model::default();
    settle().await;
    for step in first {
        model.step(&servers, *step);
        settle().await;
    }
    sleep(Duration::from_millis(wait)).await;
    let counts = servers.with(|cluster| (cluster.sends.len(), cluster.releases));
    sleep(Duration::from_secs(1)).await;
    let before = servers.with(|cluster| cluster.releases);
    // A decode server that stays silent for longer may never have got the request, so that a release is
    // due.
    for (step, wait) in [(Step::PrefillDone, 300), (Step::FirstEvent, 1_000)] {
        model.step(&servers, step);
        sleep(Duration::from_millis(wait)).await;
    }
    assert_eq!(servers.with(|cluster| cluster.releases), before, "a release after the next prefill");
    (counts.0, counts.1, answer.is_finished())
}

#[test]
fn a_late_release_does_not_free_the_cache_of_the_next_prefill() {
    run_paused(async {
        assert_eq!(
            prefill_again(&[Step::ConnectionBroke], 40, 0).await,
            (2, 0, true),
            "the next prefill starts at once"
        );
        // The next prefill may never arrive, so that the first one's KV cache is released meanwhile.
        assert_eq!(
            prefill_again(&[Step::ConnectionBroke], 40, 100).await,
            (2, 1, true),
            "nothing was released"
        );
    });
}

#[test]
fn a_cache_is_released_before_the_next_prefill_if_no_server_was_reached() {
    use Step::{ConnectionBroke, NoConnection};
    run_paused(async {
        assert_eq!(
            prefill_again(&[ConnectionBroke, NoConnection], 40, 0).await,
            (2, 0, true),
            "the next prefill waits for the release"
        );
        assert_eq!(prefill_again(&[ConnectionBroke, NoConnection], 40, 40).await, (3, 1, true));
        // If no server accepts the release, the request does not wait for ever, and no release comes later.
        assert_eq!(prefill_again(&[ConnectionBroke, NoConnection], 10_000, 300).await, (3, 0, true));
        assert_eq!(prefill_again(&[NoConnection], 40, 0).await, (2, 0, true), "nothing is held");
    });
}

/// Has both the conductor's close and the attempt's reply ready when the request is polled. The decision
/// takes precedence: the client gets its answer, the attempt is cancelled and its KV cache is released.
async fn close_during_reply(is_unsafe: bool, replies: &[Step]) -> (CallResult, u32, u32) {
    let servers = FakeServers::default();
    servers.with(|cluster| cluster.cancellation_delay = Duration::from_millis(20));
    let conductor = conductor(&servers);
    settle().await;
    let mut model = Model { is_unsafe, ..Model::default() };
    let request = Request { query: query("id-1", usize::from(is_unsafe)), call: () };
    let mut call = Box::pin(conductor.call(request));
    for (n, step) in replies.iter().enumerate() {
        for _ in 0..2 {
            assert!(poll_fn(|cx| Poll::Ready(call.as_mut().poll(cx))).await.is_pending());
            settle().await;
        }
        if n + 1 == replies.len() {
            conductor.close();
        }
        model.step(&servers, *step);
        settle().await;
    }
    let answer = call.await;
    assert_eq!(
        servers.with(|cluster| cluster.in_flight[&Id::from("id-1")]),
        0,
        "answered while its attempt is in flight"
    );
    settle().await;
    (
        answer,
        servers.with(|cluster| cluster.in_flight[&Id::from("id-1")]),
        servers.with(|cluster| cluster.releases),
    )
}

#[test]
fn a_decision_stands_against_a_reply_that_is_ready() {
    use Step::{ConnectionBroke, FirstEvent, PrefillDone, Rejected};
    run_paused(async {
        for (is_unsafe, replies) in [
            (false, &[PrefillDone][..]),
            (true, &[PrefillDone]),
            (true, &[Rejected]),
            (false, &[PrefillDone, FirstEvent]),
            (true, &[PrefillDone, FirstEvent]),
            (true, &[PrefillDone, ConnectionBroke]),
            (true, &[PrefillDone, Rejected]),
        ] {
            let (answer, in_flight, releases) = close_during_reply(is_unsafe, replies).await;
            let may_have_run = is_unsafe && replies.len() == 2;
            match answer.unwrap() {
                Answer::Failed { .. } => assert!(may_have_run, "{is_unsafe}, {replies:?}: never ran"),
                Answer::Refused { .. } => assert!(!may_have_run, "{is_unsafe}, {replies:?}: may have run"),
                Answer::Served(_) => panic!("{is_unsafe}, {replies:?}: served while the conductor closes"),
            }
            assert_eq!(in_flight, 0, "{is_unsafe}, {replies:?}: an attempt is in flight");
            assert!(releases >= 1, "{is_unsafe}, {replies:?}: nothing was released");
        }
    });
}

/// Guards against a planned end that overtakes the end of an attempt at a far server: the final answer that
/// is due does not wait for it, and does not promise that the request has not run.
#[test]
fn an_answer_that_is_due_does_not_wait_for_the_end_of_an_attempt() {
    run_paused(async {
        for (is_unsafe, replies) in
            [(true, &[][..]), (true, &[Step::PrefillDone]), (false, &[]), (false, &[Step::PrefillDone])]
        {
            let servers = FakeServers::default();
            servers.with(|cluster| cluster.cancellation_delay = Duration::from_millis(500));
            let conductor = conductor(&servers);
            settle().await;
            let mut model = Model { is_unsafe, ..Model::default() };
            let request = Request { query: query("id-1", usize::from(is_unsafe)), call: () };
            let mut call = Box::pin(conductor.call(request));
            for step in replies.iter().map(Some).chain([None]) {
                for _ in 0..2 {
                    assert!(poll_fn(|cx| Poll::Ready(call.as_mut().poll(cx))).await.is_pending());
                    settle().await;
                }
                if let Some(step) = step {
                    model.step(&servers, *step);
                    settle().await;
                }
            }
            conductor.close();
            settle().await;
            assert!(poll_fn(|cx| Poll::Ready(call.as_mut().poll(cx))).await.is_pending(), "no attempt ends");
            conductor.demand_final_answers();
            let answer = timeout(Duration::from_millis(50), call).await.expect("an answer in time").unwrap();
            match answer {
                Answer::Failed { .. } => assert!(is_unsafe, "{replies:?}: a retry is harmless"),
                Answer::Refused { .. } => assert!(!is_unsafe, "{replies:?}: an attempt may be under way"),
                Answer::Served(_) => panic!("{is_unsafe}, {replies:?}: served while the conductor closes"),
            }
        }
    });
}
