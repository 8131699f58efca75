//! What one release has learned about servers is used by the next.

use frosttrail::{Health, LoadReport};

use super::*;
use crate::permit::SendPermit;
use crate::traits::{AttemptReply, EventStream, StreamStep};

/// How long the end of an attempt takes to reach its server.
const CANCELLATION_DELAY: Duration = Duration::from_millis(30);

/// Servers of which those named `a…` never answer.
struct Servers;

struct NoEvents;

impl EventStream for NoEvents {
    fn poll_step(&mut self, _: &mut std::task::Context<'_>) -> std::task::Poll<StreamStep> {
        std::task::Poll::Ready(StreamStep::End)
    }
}

impl Upstream for Servers {
    type Call = ();
    type Events = NoEvents;

    async fn attempt(&self, _: &Id, _: &Id, _: &(), _: Duration, _: &SendPermit) -> AttemptReply<NoEvents> {
        AttemptReply::Ended(Outcome::NotSent, None)
    }

    fn cancellation_delay(&self, _: &Id) -> Duration {
        CANCELLATION_DELAY
    }

    async fn release(&self, server: &Id, _: &Id) -> bool {
        if server.starts_with('a') {
            std::future::pending().await
        }
        true
    }

    async fn probe(&self, _: &Id) -> (Outcome, Option<LoadReport>) {
        (Outcome::Served, None)
    }
}

fn releaser() -> UpstreamReleaser<Servers> {
    let log = Logger::root(slog::Discard, slog::o!());
    let releaser = UpstreamReleaser::new(Arc::new(Servers), Duration::from_secs(1), Clock::new(), log);
    let names = (0..8).map(|n| format!("a{n}")).chain(["b0".into()]);
    let entry = |name: String| {
        let (server, health) = (name.as_str().into(), Health::Up);
        ServerEntry { server, rack: 0, kind: 0, zone: 0, started: 0, health }
    };
    releaser.apply_update(ListUpdateKind::Full, &names.map(entry).collect::<Vec<_>>());
    releaser
}

/// How long a release takes until a server has accepted it.
async fn time_release(releaser: &UpstreamReleaser<Servers>, release_state: &Mutex<ReleaseState>) -> Duration {
    let begin = Instant::now();
    releaser.release(&"q".into(), release_state);
    let end = lock(release_state).take_release_end().expect("a release is running");
    // Resolves when the task drops its end of the channel.
    let _ = end.await;
    begin.elapsed()
}

#[tokio::test(start_paused = true)]
async fn a_server_that_missed_a_release_is_not_called_first_by_the_next() {
    let releaser = releaser();
    let first = time_release(&releaser, &Mutex::default()).await;
    let second = time_release(&releaser, &Mutex::default()).await;
    assert!(first >= Duration::from_millis(400), "{first:?}");
    assert!(second < Duration::from_millis(50), "{second:?}");
}

#[tokio::test(start_paused = true)]
async fn a_release_at_the_end_of_a_request_lets_the_previous_one_continue() {
    let (releaser, release_state) = (releaser(), Mutex::default());
    releaser.release(&"q".into(), &release_state);
    let before = lock(&release_state).take_release_end().expect("a release is running");
    lock(&release_state).mark_uncovered();
    releaser.release_at_end(&"q".into(), &release_state, false);
    let begin = Instant::now();
    let _ = before.await;
    assert!(begin.elapsed() >= Duration::from_millis(400), "aborted before a server had accepted it");
    // A release that covers all is not started again.
    releaser.release_at_end(&"q".into(), &release_state, false);
    assert_eq!(releaser.tasks().len(), 0);
}

/// The attempt of a client that leaves ends with its connection, and the release uses another connection.
/// If it arrived first, a prefill that ends in between would leave KV cache that is never released.
#[tokio::test(start_paused = true)]
async fn a_release_does_not_overtake_the_end_of_a_cancelled_attempt() {
    let releaser = releaser();
    // The server that answers is known after this.
    time_release(&releaser, &Mutex::default()).await;
    for was_cancelled in [true, false] {
        let release_state = Mutex::<ReleaseState>::default();
        lock(&release_state).record_send(&"b0".into());
        let begin = Instant::now();
        releaser.release_at_end(&"q".into(), &release_state, was_cancelled);
        let end = lock(&release_state).take_release_end().expect("a release is running");
        let _ = end.await;
        assert_eq!(begin.elapsed() >= CANCELLATION_DELAY, was_cancelled, "{:?}", begin.elapsed());
    }
}
