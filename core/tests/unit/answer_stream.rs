//! A stream and the orders that cross its events.

use std::future::poll_fn;

use std::sync::{Arc, Mutex};

use frosttrail::{Id, Micros, Report};

use super::*;
use crate::cache_clock::CacheClock;
use crate::clock::Clock;
use crate::command::Command;
use crate::command_queue::{commands, CommandReceiver};
use crate::entry::IdClaim;
use crate::permit::SendPermit;
use crate::release::{Cleanup, Releaser};

/// A stream holds nothing.
struct NoReleases;

impl Releaser for NoReleases {
    fn release(&self, _: &Id, _: &Mutex<Cleanup>) {
        panic!("nothing is held");
    }

    fn release_at_end(&self, _: &Id, _: &Mutex<Cleanup>, _: bool) {
        panic!("nothing is held");
    }

    fn told(&self, _: &Id, _: Outcome, _: Micros) {}
}

/// Events that lie ready, or come later.
struct Told(mpsc::UnboundedReceiver<StreamStep>);

impl EventStream for Told {
    fn poll_step(&mut self, cx: &mut Context<'_>) -> Poll<StreamStep> {
        self.0.poll_recv(cx).map(|step| step.unwrap_or(StreamStep::End))
    }
}

struct Ends {
    orders: mpsc::UnboundedSender<Order>,
    events: mpsc::UnboundedSender<StreamStep>,
    reports: CommandReceiver,
}

fn stream() -> (AnswerStream<Told>, Ends) {
    let (orders, verdicts) = mpsc::unbounded_channel();
    let (events, told) = mpsc::unbounded_channel();
    let (commands, reports) = commands(Clock::new());
    let entry = Entry {
        id: "id".into(),
        ticket: 0,
        orders: verdicts,
        commands,
        account: crate::Metrics::new().unwrap().open("ask"),
        ended: Arc::default(),
        cleanup: Arc::default(),
        releaser: Arc::new(NoReleases),
        cache: CacheClock::default(),
        attempt_is_out: false,
        streams: true,
        _claim: IdClaim::new(&Arc::default(), &"id".into()).unwrap(),
    };
    (AnswerStream::new(entry, Told(told)), Ends { orders, events, reports })
}

fn order(verdict: Decision) -> Order {
    Order { verdict, after: None, permit: SendPermit::unconditional(), takes_effect: true }
}

fn event() -> StreamStep {
    StreamStep::Event(Bytes::from_static(b"data: x\n\n"))
}

fn outcomes(ends: &mut Ends) -> Vec<Outcome> {
    let mut all = Vec::new();
    let mut cx = Context::from_waker(std::task::Waker::noop());
    while let Poll::Ready(Some((command, taken))) = std::pin::pin!(ends.reports.recv()).poll(&mut cx) {
        taken.done(Duration::ZERO);
        if let Command::Report(_, _, Report::Ended { outcome, .. }) = command {
            all.push(outcome);
        }
    }
    all
}

/// In whichever order the two came, no event passes once the stream has been given to another.
#[tokio::test(start_paused = true)]
async fn a_stream_that_moves_ends_whatever_lies_ready() {
    for before in [0, 1, 3] {
        let (mut stream, mut ends) = stream();
        for _ in 0..before {
            ends.events.send(event()).unwrap();
            assert!(matches!(poll_fn(|cx| stream.poll_next(cx)).await, Some(Ok(_))));
        }
        ends.events.send(event()).unwrap();
        ends.orders.send(order(Decision::Move)).unwrap();
        ends.events.send(event()).unwrap();
        assert_eq!(poll_fn(|cx| stream.poll_next(cx)).await, Some(Err(StreamBroken)), "{before} before");
        assert!(stream.is_finished() && poll_fn(|cx| stream.poll_next(cx)).await.is_none());
        assert_eq!(outcomes(&mut ends), [Outcome::Cancelled], "told once");
    }
}

/// A final answer that crossed the first event changes nothing, and the move behind it still wakes the
/// stream.
#[tokio::test(start_paused = true)]
async fn an_answer_that_came_too_late_hides_no_move() {
    let (mut stream, ends) = stream();
    for late in [Decision::Refuse { retry_after: 0 }, Decision::Fail, Decision::Cancel] {
        ends.orders.send(order(late)).unwrap();
        ends.events.send(event()).unwrap();
        assert!(matches!(poll_fn(|cx| stream.poll_next(cx)).await, Some(Ok(_))));
    }
    ends.orders.send(order(Decision::Cancel)).unwrap();
    let waits = tokio::spawn(async move { poll_fn(|cx| stream.poll_next(cx)).await });
    tokio::task::yield_now().await;
    ends.orders.send(order(Decision::Move)).unwrap();
    let begin = Instant::now();
    assert_eq!(waits.await.unwrap(), Some(Err(StreamBroken)));
    assert_eq!(begin.elapsed(), Duration::ZERO, "it was not woken");
}

/// The client's own pause is no silence of the server: half an event may lie in its socket.
#[tokio::test(start_paused = true)]
async fn a_client_that_took_nothing_for_a_while_finds_its_stream_alive() {
    for pause in [1, 4, 5, 60] {
        let (mut stream, mut ends) = stream();
        ends.events.send(event()).unwrap();
        assert!(matches!(poll_fn(|cx| stream.poll_next(cx)).await, Some(Ok(_))));
        tokio::time::sleep(Duration::from_secs(pause)).await;
        let events = ends.events.clone();
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(100)).await;
            events.send(event()).unwrap();
        });
        assert!(matches!(poll_fn(|cx| stream.poll_next(cx)).await, Some(Ok(_))), "after {pause} s");
        assert_eq!(outcomes(&mut ends), []);
    }
}

#[tokio::test(start_paused = true)]
async fn a_server_that_says_nothing_is_given_up_within_the_time_of_a_waiting_client() {
    for pause in [0, 1_000, 4_400, 4_600] {
        let (mut stream, mut ends) = stream();
        ends.events.send(event()).unwrap();
        assert!(matches!(poll_fn(|cx| stream.poll_next(cx)).await, Some(Ok(_))));
        let begin = Instant::now();
        tokio::time::sleep(Duration::from_millis(pause)).await;
        assert_eq!(poll_fn(|cx| stream.poll_next(cx)).await, Some(Err(StreamBroken)));
        let all = begin.elapsed();
        assert!(all >= SILENCE && all < Duration::from_secs(5), "{pause} ms, then {all:?}");
        assert_eq!(outcomes(&mut ends), [Outcome::NoAnswer]);
    }
}
