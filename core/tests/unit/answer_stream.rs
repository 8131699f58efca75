//! A stream, and instructions that arrive while it sends events.

use std::future::poll_fn;

use std::sync::{Arc, Mutex};

use frosttrail::{Id, Micros, Report};

use super::*;
use crate::cache_clock::CacheClock;
use crate::clock::Clock;
use crate::command::Command;
use crate::command_queue::{command_queue, CommandReceiver};
use crate::id_claim::{IdClaim, IdRegistry};
use crate::permit::SendPermit;
use crate::release::{ReleaseState, Releaser};

/// For streams, which have no KV cache to release.
struct NoReleases;

impl Releaser for NoReleases {
    fn release(&self, _: &Id, _: &Mutex<ReleaseState>) {
        panic!("a stream has nothing to release");
    }

    fn release_at_end(&self, _: &Id, _: &Mutex<ReleaseState>, _: bool) {
        panic!("a stream has nothing to release");
    }

    fn release_claim(&self, _: IdClaim, _: &Mutex<ReleaseState>, _: bool) {}

    fn record_outcome(&self, _: &Id, _: Outcome, _: Micros) {}
}

/// Events that are ready or come later.
struct ChannelEvents(mpsc::UnboundedReceiver<StreamStep>);

impl EventStream for ChannelEvents {
    fn poll_step(&mut self, cx: &mut Context<'_>) -> Poll<StreamStep> {
        self.0.poll_recv(cx).map(|step| step.unwrap_or(StreamStep::End))
    }
}

struct StreamHandles {
    instructions: mpsc::UnboundedSender<Instruction>,
    events: mpsc::UnboundedSender<StreamStep>,
    reports: CommandReceiver,
}

async fn stream() -> (AnswerStream<ChannelEvents>, StreamHandles) {
    let (instructions, received_instructions) = mpsc::unbounded_channel();
    let (events, received_events) = mpsc::unbounded_channel();
    let (commands, reports) = command_queue(Clock::new());
    let registration = Registration {
        id: "id".into(),
        call_id: 0,
        instructions: received_instructions,
        commands,
        metrics: crate::Metrics::new().unwrap().open_request("ask"),
        has_ended: Arc::default(),
        release_state: Arc::default(),
        releaser: Arc::new(NoReleases),
        cache_clock: CacheClock::default(),
        has_attempt_in_flight: false,
        is_streaming: true,
        may_repeat: true,
        claim: Some(IdRegistry::default().claim(&"id".into()).await.unwrap()),
    };
    let log = Logger::root(slog::Discard, slog::o!());
    let cuts = crate::Metrics::new().unwrap().streams_cut;
    let observer = StreamObserver::new("server".into(), cuts, log);
    (
        AnswerStream::new(registration, ChannelEvents(received_events), observer),
        StreamHandles { instructions, events, reports },
    )
}

fn instruction(decision: Decision) -> Instruction {
    Instruction {
        decision,
        previous_release: None,
        permit: SendPermit::unconditional(),
        may_take_effect: true,
    }
}

fn event() -> StreamStep {
    StreamStep::Event(Bytes::from_static(b"data: x\n\n"))
}

fn outcomes(handles: &mut StreamHandles) -> Vec<Outcome> {
    let mut all = Vec::new();
    let mut cx = Context::from_waker(std::task::Waker::noop());
    while let Poll::Ready(Some((command, in_progress))) = std::pin::pin!(handles.reports.recv()).poll(&mut cx)
    {
        in_progress.finish(Duration::ZERO);
        if let Command::Report(_, _, Report::Ended { outcome, .. }) = command {
            all.push(outcome);
        }
    }
    all
}

/// In whichever order the two came, no event passes once the stream has been moved.
#[tokio::test(start_paused = true)]
async fn a_moved_stream_ends_even_if_events_are_ready() {
    for before in [0, 1, 3] {
        let (mut stream, mut handles) = stream().await;
        for _ in 0..before {
            handles.events.send(event()).unwrap();
            assert!(matches!(poll_fn(|cx| stream.poll_next(cx)).await, Some(Ok(_))));
        }
        handles.events.send(event()).unwrap();
        handles.instructions.send(instruction(Decision::Move)).unwrap();
        handles.events.send(event()).unwrap();
        assert_eq!(poll_fn(|cx| stream.poll_next(cx)).await, Some(Err(StreamBroken)), "{before} before");
        assert!(stream.is_finished() && poll_fn(|cx| stream.poll_next(cx)).await.is_none());
        assert_eq!(outcomes(&mut handles), [Outcome::Cancelled], "reported once");
    }
}

/// A final answer that crossed the first event changes nothing, and a move after it still wakes the stream.
#[tokio::test(start_paused = true)]
async fn a_late_answer_does_not_hide_a_move() {
    let (mut stream, handles) = stream().await;
    for late in [Decision::Refuse { retry_after: 0 }, Decision::Fail, Decision::Cancel] {
        handles.instructions.send(instruction(late)).unwrap();
        handles.events.send(event()).unwrap();
        assert!(matches!(poll_fn(|cx| stream.poll_next(cx)).await, Some(Ok(_))));
    }
    handles.instructions.send(instruction(Decision::Cancel)).unwrap();
    let waits = tokio::spawn(async move { poll_fn(|cx| stream.poll_next(cx)).await });
    tokio::task::yield_now().await;
    handles.instructions.send(instruction(Decision::Move)).unwrap();
    let begin = Instant::now();
    assert_eq!(waits.await.unwrap(), Some(Err(StreamBroken)));
    assert_eq!(begin.elapsed(), Duration::ZERO, "the stream was not woken");
}

/// A pause of the client does not count as silence of the server: half an event may lie in its socket.
#[tokio::test(start_paused = true)]
async fn a_client_that_paused_finds_its_stream_alive() {
    for pause in [1, 4, 5, 60] {
        let (mut stream, mut handles) = stream().await;
        handles.events.send(event()).unwrap();
        assert!(matches!(poll_fn(|cx| stream.poll_next(cx)).await, Some(Ok(_))));
        tokio::time::sleep(Duration::from_secs(pause)).await;
        let events = handles.events.clone();
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(100)).await;
            events.send(event()).unwrap();
        });
        assert!(matches!(poll_fn(|cx| stream.poll_next(cx)).await, Some(Ok(_))), "after {pause} s");
        assert_eq!(outcomes(&mut handles), []);
    }
}

#[tokio::test(start_paused = true)]
async fn a_silent_server_is_given_up_before_the_client_counts_as_abandoned() {
    for pause in [0, 1_000, 4_400, 4_600] {
        let (mut stream, mut handles) = stream().await;
        handles.events.send(event()).unwrap();
        assert!(matches!(poll_fn(|cx| stream.poll_next(cx)).await, Some(Ok(_))));
        let begin = Instant::now();
        tokio::time::sleep(Duration::from_millis(pause)).await;
        assert_eq!(poll_fn(|cx| stream.poll_next(cx)).await, Some(Err(StreamBroken)));
        let elapsed = begin.elapsed();
        assert!(
            elapsed >= SILENCE_TIMEOUT && elapsed < Duration::from_secs(5),
            "{pause} ms, then {elapsed:?}"
        );
        assert_eq!(outcomes(&mut handles), [Outcome::NoAnswer]);
    }
}

/// Guards against a client that is left waiting because a server's comments count as progress.
#[tokio::test(start_paused = true)]
async fn comments_do_not_prolong_the_wait_for_an_event() {
    for interval_ms in [10, 200, 1_000, 4_000] {
        let (mut stream, mut handles) = stream().await;
        handles.events.send(event()).unwrap();
        assert!(matches!(poll_fn(|cx| stream.poll_next(cx)).await, Some(Ok(_))));
        let events = handles.events.clone();
        let server = tokio::spawn(async move {
            while events.send(StreamStep::Comment(Bytes::from_static(b": wait\n\n"))).is_ok() {
                tokio::time::sleep(Duration::from_millis(interval_ms)).await;
            }
        });
        let begin = Instant::now();
        while let Some(Ok(bytes)) = poll_fn(|cx| stream.poll_next(cx)).await {
            assert_eq!(bytes, ": wait\n\n");
            assert!(begin.elapsed() < Duration::from_secs(5), "every {interval_ms} ms");
        }
        assert!(begin.elapsed() < Duration::from_secs(5), "every {interval_ms} ms");
        assert_eq!(outcomes(&mut handles), [Outcome::NoAnswer]);
        server.abort();
    }
}
