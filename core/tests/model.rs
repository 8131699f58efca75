//! A model of one request's connection to the servers, against which random steps are checked: at any
//! moment at most one attempt is out, what may have run is not sent or refused again, the client gets
//! exactly one final answer, and no state stays behind. Time is paused, servers are a table in memory.

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
use support::{classes, paused, query, Fixed};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};

type Answered = Result<Answer<Stream>, CallError>;

/// An attempt as its server sees it.
struct Attempt {
    server: Id,
    reply: oneshot::Sender<AttemptReply<Stream>>,
}

#[derive(Default)]
struct World {
    /// Attempts out, by request: only the table's own count, not the conductor's.
    out: HashMap<Id, u32>,
    most_out: u32,
    attempts: Vec<Attempt>,
    sends: Vec<Id>,
    releases: u32,
    /// How long a server takes to let go,
    release_takes: Duration,
    /// and how long the end of an attempt is on its way to one.
    end_takes: Duration,
    streams_dropped: u32,
}

#[derive(Clone, Default)]
struct Table(Arc<Mutex<World>>);

impl Table {
    fn with<T>(&self, f: impl FnOnce(&mut World) -> T) -> T {
        f(&mut self.0.lock().unwrap())
    }
}

/// Counts an attempt as out until its server has ended it, or has heard that its future, or the stream it
/// became, was dropped.
struct Out {
    table: Table,
    id: Id,
    by_its_box: bool,
}

impl Out {
    fn new(table: &Table, id: &Id) -> Self {
        table.with(|w| {
            let out = w.out.entry(id.clone()).or_default();
            *out += 1;
            w.most_out = w.most_out.max(*out);
        });
        Out { table: table.clone(), id: id.clone(), by_its_box: false }
    }
}

impl Drop for Out {
    fn drop(&mut self) {
        let (table, id) = (self.table.clone(), self.id.clone());
        let takes = table.with(|w| w.end_takes);
        let over = move || table.with(|w| *w.out.get_mut(&id).unwrap() -= 1);
        match tokio::runtime::Handle::try_current() {
            Ok(runtime) if !self.by_its_box && !takes.is_zero() => drop(runtime.spawn(async move {
                // Within that time, that is.
                sleep(takes * 3 / 4).await;
                over();
            })),
            _ => over(),
        }
    }
}

struct Stream {
    steps: mpsc::UnboundedReceiver<StreamStep>,
    table: Table,
    _out: Option<Out>,
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.table.with(|w| w.streams_dropped += 1);
    }
}

impl EventStream for Stream {
    fn poll_step(&mut self, cx: &mut Context<'_>) -> Poll<StreamStep> {
        self.steps.poll_recv(cx).map(|step| step.unwrap_or(StreamStep::Broken(Outcome::ConnectionLost)))
    }
}

impl Upstream for Table {
    type Call = ();
    type Events = Stream;

    async fn attempt(
        &self,
        server: &Id,
        id: &Id,
        _: &(),
        wait: Duration,
        _: &SendPermit,
    ) -> AttemptReply<Stream> {
        let mut out = Out::new(self, id);
        let (reply, replied) = oneshot::channel();
        self.with(|w| {
            w.sends.push(server.clone());
            w.attempts.push(Attempt { server: server.clone(), reply });
        });
        let Ok(replied) = timeout(wait, replied).await else {
            return AttemptReply::Ended(Outcome::NoAnswer, None);
        };
        out.by_its_box = true;
        match replied {
            Ok(AttemptReply::Stream(mut stream)) => {
                stream._out = Some(out);
                AttemptReply::Stream(stream)
            }
            Ok(reply) => reply,
            Err(_) => AttemptReply::Ended(Outcome::ConnectionLost, None),
        }
    }

    fn cancellation_delay(&self, _: &Id) -> Duration {
        self.with(|w| w.end_takes)
    }

    async fn release(&self, _: &Id, _: &Id) -> bool {
        let takes = self.with(|w| w.release_takes);
        if !takes.is_zero() {
            sleep(takes).await;
        }
        self.with(|w| w.releases += 1);
        true
    }

    async fn probe(&self, _: &Id) -> (Outcome, Option<LoadReport>) {
        (Outcome::Served, None)
    }
}

/// What happens next, to whatever is there for it to happen to.
#[derive(Clone, Copy, Debug)]
enum Happens {
    ReadDone,
    TurnedAway,
    StateLost,
    NoConnection,
    Broke,
    Error,
    First,
    More,
    End,
    Wait(u8),
    ClientLeaves,
}

impl Arbitrary for Happens {
    fn arbitrary(g: &mut Gen) -> Self {
        use Happens::*;
        // Reads and first events are likelier, so that walks get somewhere.
        let wait = Wait(u8::arbitrary(g));
        let all = [
            ReadDone,
            ReadDone,
            ReadDone,
            First,
            First,
            More,
            End,
            TurnedAway,
            StateLost,
            NoConnection,
            Broke,
            Error,
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

fn conductor(table: &Table) -> Conductor<Table> {
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
        metrics: Metrics::new().unwrap(),
        settings: settings(),
        seed: 7,
        clock: Clock::new(),
        upstream: Arc::new(table.clone()),
        members: Fixed(Some(MembershipUpdate { kind: ListUpdateKind::Full, entries })),
        log: slog::Logger::root(slog::Discard, slog::o!()),
    })
}

/// Where the request's connection stands.
#[derive(Default)]
struct Model {
    book: bool,
    /// A writer may have run it.
    ran: bool,
    /// A reader may hold state for it.
    held: bool,
    /// Releases when that state came about.
    released_before: u32,
    stream: Option<mpsc::UnboundedSender<StreamStep>>,
    answers: u32,
}

impl Model {
    /// Carries out a step if there is something to carry it out on.
    fn step(&mut self, table: &Table, what: Happens) {
        if let Some(stream) = &self.stream {
            let step = match what {
                Happens::More => StreamStep::Event(Bytes::from_static(b"data: x\n\n")),
                Happens::End => StreamStep::End,
                Happens::Broke => StreamStep::Broken(Outcome::ConnectionLost),
                _ => return,
            };
            let _ = stream.send(step);
            return;
        }
        let Some(attempt) = table.with(|w| w.attempts.pop()) else { return };
        let reads = attempt.server.starts_with('r');
        let ended = |outcome| Some(AttemptReply::Ended(outcome, None));
        let reply = match (what, reads) {
            (Happens::ReadDone, true) => {
                self.hold(table);
                Some(AttemptReply::PrefillDone { cached_tokens: 0, load: None })
            }
            (Happens::First, false) => {
                let (sender, steps) = mpsc::unbounded_channel();
                (self.stream, self.ran, self.held) = (Some(sender), true, false);
                Some(AttemptReply::Stream(Stream { steps, table: table.clone(), _out: None }))
            }
            (Happens::StateLost, false) => ended(Outcome::CacheMissing),
            (Happens::TurnedAway, _) => ended(Outcome::Rejected),
            (Happens::NoConnection, _) => ended(Outcome::NoConnection),
            (Happens::Broke, true) => {
                self.hold(table);
                ended(Outcome::ConnectionLost)
            }
            (Happens::Broke | Happens::Error, _) => {
                self.ran |= !reads;
                ended(Outcome::Failed)
            }
            _ => None,
        };
        match reply {
            Some(reply) => drop(attempt.reply.send(reply)),
            None => table.with(|w| w.attempts.push(attempt)),
        }
    }

    fn hold(&mut self, table: &Table) {
        (self.held, self.released_before) = (true, table.with(|w| w.releases));
    }

    /// Attempts that the conductor has given up on: a read may have finished, a writer may yet run.
    fn given_up(&mut self, table: &Table, releases_before: u32) {
        let mut over = Vec::new();
        table.with(|w| {
            let (closed, out) = w.attempts.drain(..).partition(|a| a.reply.is_closed());
            (over, w.attempts) = (closed, out);
        });
        for attempt in over {
            if attempt.server.starts_with('r') {
                (self.held, self.released_before) = (true, releases_before);
            } else {
                self.ran = true;
            }
        }
    }

    /// Sees to what has been sent.
    fn check(&mut self, table: &Table, sends_before: usize, ran_before: bool) {
        let sends = table.with(|w| w.sends.len());
        assert!(table.with(|w| w.most_out) <= 1, "two attempts out");
        assert!(self.stream.is_none() || sends == sends_before, "sent after the first event");
        let wrote = table.with(|w| w.sends[sends_before..].iter().any(|s| s.starts_with('w')));
        assert!(!(self.book && ran_before && wrote), "a book that may have run was sent again");
    }

    /// Sees to what the client got.
    fn answered(&mut self, answer: &Answered) {
        self.answers += 1;
        let refused = matches!(answer, Ok(Answer::Refused { .. }));
        assert!(!(refused && self.book && self.ran), "a book that may have run was refused");
    }
}

/// Lets every task run that can.
async fn settle() {
    sleep(Duration::from_millis(15)).await;
}

async fn walk(book: bool, end_takes: Duration, steps: Vec<Happens>) {
    let table = Table::default();
    table.with(|w| w.end_takes = end_takes);
    let conductor = conductor(&table);
    settle().await;
    let mut model = Model { book, ..Model::default() };
    let request = Request { query: query("id-1", usize::from(book)), call: () };
    let mut call = Some(Box::pin(conductor.call(request)));
    let mut stream = None;
    let end = [Happens::Wait(255), Happens::Wait(255), Happens::Wait(255), Happens::Wait(255)];
    for what in steps.into_iter().chain(end) {
        let before = (table.with(|w| w.sends.len()), model.ran, table.with(|w| w.releases));
        match what {
            Happens::Wait(n) => sleep(Duration::from_millis(u64::from(n) * 10)).await,
            Happens::ClientLeaves => (call, stream) = (None, None),
            what => model.step(&table, what),
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
                model.answered(&answer);
                let served = matches!(answer, Ok(Answer::Served(_)));
                assert!(
                    served || table.with(|w| w.out.values().all(|n| *n == 0)),
                    "answered while one is out"
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
        model.given_up(&table, before.2);
        model.check(&table, before.0, before.1);
    }
    assert!(call.is_none(), "no final answer");
    assert!(model.answers <= 1, "more than one final answer");
    assert!(table.with(|w| w.out.values().all(|n| *n == 0)) || stream.is_some(), "an attempt is still out");
    let let_go = table.with(|w| w.releases) > model.released_before;
    assert!(!model.held || let_go, "state stayed behind");
}

#[test]
fn random_steps_keep_the_rules() {
    fn keeps(book: bool, far: bool, steps: Vec<Happens>) -> bool {
        // Where servers are far, the end of an attempt is later there than the next would be elsewhere.
        let end_takes = Duration::from_millis(if far { 20 } else { 0 });
        paused(walk(book, end_takes, steps));
        true
    }
    let gen = Gen::from_size_and_seed(24, 0x5eed);
    QuickCheck::new().rng(gen).tests(600).quickcheck(keeps as fn(bool, bool, Vec<Happens>) -> bool);
}

#[test]
fn the_handle_serves_as_a_plug_in_of_an_rpc_library() {
    /// What such a library asks of a client.
    async fn through<S>(mut service: S) -> S::Response
    where
        S: tower_service::Service<Request<()>, Error = CallError>,
    {
        poll_fn(|cx| service.poll_ready(cx)).await.unwrap();
        service.call(Request { query: query("id-1", 1), call: () }).await.unwrap()
    }
    paused(async {
        let table = Table::default();
        let answer = tokio::spawn(through(conductor(&table)));
        let mut model = Model::default();
        for what in [Happens::ReadDone, Happens::First] {
            settle().await;
            model.step(&table, what);
        }
        let Answer::Served(mut events) = answer.await.unwrap() else { panic!("not served") };
        model.step(&table, Happens::More);
        model.step(&table, Happens::End);
        let first = poll_fn(|cx| events.poll_next(cx)).await.unwrap().unwrap();
        assert_eq!(&first[..], b"data: x\n\n");
        assert!(poll_fn(|cx| events.poll_next(cx)).await.is_none());
        drop(events);
        settle().await;
        assert_eq!(table.with(|w| (w.sends.len(), w.out[&Id::from("id-1")], w.releases)), (2, 0, 0));
    });
}

#[test]
fn a_second_call_with_an_id_in_use_leaves_the_first_alone() {
    paused(async {
        let table = Table::default();
        let conductor = conductor(&table);
        let request = || Request { query: query("id-1", 1), call: () };
        let first = tokio::spawn({
            let conductor = conductor.clone();
            async move { conductor.call(request()).await }
        });
        settle().await;
        assert!(matches!(conductor.call(request()).await, Err(CallError::IdInUse)));
        settle().await;
        assert_eq!(table.with(|w| w.out[&Id::from("id-1")]), 1, "the first attempt is still out");
        let mut model = Model::default();
        for what in [Happens::ReadDone, Happens::First] {
            model.step(&table, what);
            settle().await;
        }
        assert!(matches!(first.await.unwrap(), Ok(Answer::Served(_))));
    });
}

/// Sends and releases of a request so long after its reads ended like this, and whether it is served in the
/// end; servers take so long to let go.
async fn read_anew(first: &[Happens], release_takes: u64, wait: u64) -> (usize, u32, bool) {
    let table = Table::default();
    table.with(|w| w.release_takes = Duration::from_millis(release_takes));
    let conductor = conductor(&table);
    let answer =
        tokio::spawn(async move { conductor.call(Request { query: query("id-1", 1), call: () }).await });
    let mut model = Model::default();
    settle().await;
    for what in first {
        model.step(&table, *what);
        settle().await;
    }
    sleep(Duration::from_millis(wait)).await;
    let counts = table.with(|w| (w.sends.len(), w.releases));
    sleep(Duration::from_secs(1)).await;
    let before = table.with(|w| w.releases);
    // A writer that is not heard of for longer may never have got the request: then a release is due.
    for (what, wait) in [(Happens::ReadDone, 300), (Happens::First, 1_000)] {
        model.step(&table, what);
        sleep(Duration::from_millis(wait)).await;
    }
    assert_eq!(table.with(|w| w.releases), before, "a release after the next read");
    (counts.0, counts.1, answer.is_finished())
}

#[test]
fn a_late_release_does_not_take_the_state_of_the_next_read() {
    paused(async {
        assert_eq!(read_anew(&[Happens::Broke], 40, 0).await, (2, 0, true), "it is read anew at once");
        // The next read may never arrive, so that what the first has left is let go beside it.
        assert_eq!(read_anew(&[Happens::Broke], 40, 100).await, (2, 1, true), "nothing was let go");
    });
}

#[test]
fn what_no_box_has_heard_of_for_a_while_is_let_go_before_it_is_read_anew() {
    use Happens::{Broke, NoConnection};
    paused(async {
        assert_eq!(read_anew(&[Broke, NoConnection], 40, 0).await, (2, 0, true), "waits for the release");
        assert_eq!(read_anew(&[Broke, NoConnection], 40, 40).await, (3, 1, true));
        // Where no server takes the release, the request does not wait for ever, and none comes later.
        assert_eq!(read_anew(&[Broke, NoConnection], 10_000, 300).await, (3, 0, true));
        assert_eq!(read_anew(&[NoConnection], 40, 0).await, (2, 0, true), "nothing is held");
    });
}

/// Both the decisions' last word and the reply of the attempt lie ready as the request is polled. What they
/// said stands: the client's answer, the attempt given up, its state let go.
async fn closing_meets(book: bool, replies: &[Happens]) -> (Answered, u32, u32) {
    let table = Table::default();
    table.with(|w| w.end_takes = Duration::from_millis(20));
    let conductor = conductor(&table);
    settle().await;
    let mut model = Model { book, ..Model::default() };
    let request = Request { query: query("id-1", usize::from(book)), call: () };
    let mut call = Box::pin(conductor.call(request));
    for (n, what) in replies.iter().enumerate() {
        for _ in 0..2 {
            assert!(poll_fn(|cx| Poll::Ready(call.as_mut().poll(cx))).await.is_pending());
            settle().await;
        }
        if n + 1 == replies.len() {
            conductor.close();
        }
        model.step(&table, *what);
        settle().await;
    }
    let answer = call.await;
    assert_eq!(table.with(|w| w.out[&Id::from("id-1")]), 0, "answered while its attempt is out");
    settle().await;
    (answer, table.with(|w| w.out[&Id::from("id-1")]), table.with(|w| w.releases))
}

#[test]
fn what_was_decided_stands_beside_a_reply_that_lies_ready() {
    use Happens::{Broke, First, ReadDone, TurnedAway};
    paused(async {
        for (book, replies) in [
            (false, &[ReadDone][..]),
            (true, &[ReadDone]),
            (true, &[TurnedAway]),
            (false, &[ReadDone, First]),
            (true, &[ReadDone, First]),
            (true, &[ReadDone, Broke]),
            (true, &[ReadDone, TurnedAway]),
        ] {
            let (answer, out, releases) = closing_meets(book, replies).await;
            let may_have_run = book && replies.len() == 2;
            match answer.unwrap() {
                Answer::Failed { .. } => assert!(may_have_run, "{book}, {replies:?}: never ran"),
                Answer::Refused { .. } => assert!(!may_have_run, "{book}, {replies:?}: may have run"),
                Answer::Served(_) => panic!("{book}, {replies:?}: it begins as the conductor ends"),
            }
            assert_eq!(out, 0, "{book}, {replies:?}: an attempt is out");
            assert!(releases >= 1, "{book}, {replies:?}: nothing was let go");
        }
    });
}
