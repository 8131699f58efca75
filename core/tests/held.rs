//! KV cache that a prefill has left is fetched by an attempt that reaches a server, or released at a
//! running server, within the release timeout and what sockets add to it, whichever servers do not answer.
//! The wait is measured at the servers; time is paused.

mod support;

use std::collections::HashMap;
use std::future::{pending, poll_fn};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

use frosttrail::{Health, Id, ListUpdateKind, LoadReport, Outcome, Role, ServerEntry, Settings};
use frosttrail_core::{
    start, Answer, AttemptReply, Clock, ConductorParts, EventStream, MembershipUpdate, Metrics, Request,
    SendPermit, StreamStep, Upstream,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use support::{query, run_paused, SingleUpdate};
use tokio::time::{sleep, timeout, Instant};

/// What sockets add to the release timeout, and a little for the calls themselves.
const ALLOWANCE: Duration = Duration::from_millis(300);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// A silent connection that breaks does so after this time.
const RESET_DELAY: Duration = Duration::from_millis(300);
const SERVER_NAMES: [&str; 8] = ["r1", "r2", "r3", "r4", "w1", "w2", "w3", "w4"];

/// How a server behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ServerState {
    Healthy,
    /// Fetches the KV cache, then rejects the request.
    RejectsAfterFetch,
    /// New connections time out.
    Unreachable,
    RefusesConnections,
    /// Accepts requests and never answers.
    NeverAnswers,
    /// Its open connections are silent: what is written to one never arrives, and no error is returned.
    Silent,
    /// Like `Silent`, and the connection breaks after a while.
    SilentThenReset,
    /// Prefills the prompt; its connection breaks before the reply.
    BreaksAfterPrefill,
}

impl Arbitrary for ServerState {
    fn arbitrary(g: &mut Gen) -> Self {
        let silent = [ServerState::Silent, ServerState::SilentThenReset, ServerState::BreaksAfterPrefill];
        let all = [
            ServerState::Healthy,
            ServerState::RejectsAfterFetch,
            ServerState::Unreachable,
            ServerState::Unreachable,
            ServerState::Unreachable,
            ServerState::RefusesConnections,
            ServerState::NeverAnswers,
        ];
        *g.choose(&[&all[..], &silent].concat()).unwrap()
    }
}

#[derive(Default)]
struct Cluster {
    states: HashMap<Id, ServerState>,
    /// Since when KV cache waits that no attempt has fetched.
    waiting_since: Option<Instant>,
    longest_wait: Duration,
    prefills: u32,
}

impl Cluster {
    /// A prompt has been prefilled; KV cache that was held before has waited until now.
    fn record_prefill(&mut self) {
        self.record_fetch();
        (self.waiting_since, self.prefills) = (Some(Instant::now()), self.prefills + 1);
    }

    fn record_fetch(&mut self) -> bool {
        let since = self.waiting_since.take();
        self.longest_wait = self.longest_wait.max(since.map_or(Duration::ZERO, |at| at.elapsed()));
        since.is_some()
    }
}

#[derive(Clone, Default)]
struct FakeServers(Arc<Mutex<Cluster>>);

impl FakeServers {
    fn with<T>(&self, f: impl FnOnce(&mut Cluster) -> T) -> T {
        f(&mut self.0.lock().unwrap())
    }

    fn state(&self, server: &Id) -> ServerState {
        self.with(|cluster| cluster.states[server])
    }
}

struct EmptyStream;

impl EventStream for EmptyStream {
    fn poll_step(&mut self, _: &mut Context<'_>) -> Poll<StreamStep> {
        Poll::Ready(StreamStep::End)
    }
}

impl Upstream for FakeServers {
    type Call = ();
    type Events = EmptyStream;

    async fn attempt(
        &self,
        server: &Id,
        _: &Id,
        _: &(),
        wait: Duration,
        _: &SendPermit,
    ) -> AttemptReply<EmptyStream> {
        let (state, is_prefill) = (self.state(server), server.starts_with('r'));
        let ended = |outcome| AttemptReply::Ended(outcome, None);
        match state {
            ServerState::Unreachable => {
                sleep(CONNECT_TIMEOUT.min(wait)).await;
                return ended(Outcome::NoConnection);
            }
            ServerState::RefusesConnections => return ended(Outcome::NoConnection),
            ServerState::NeverAnswers => {
                self.with(Cluster::record_fetch);
                sleep(wait).await;
                // A decode server that never began leaves the KV cache where it was.
                self.with(|cluster| cluster.waiting_since = cluster.prefills.gt(&0).then(Instant::now));
                return ended(Outcome::NoAnswer);
            }
            ServerState::Silent => {
                sleep(wait).await;
                return ended(Outcome::NoAnswer);
            }
            ServerState::SilentThenReset => {
                sleep(RESET_DELAY.min(wait)).await;
                return ended(Outcome::ConnectionLost);
            }
            ServerState::BreaksAfterPrefill if is_prefill => {
                sleep(Duration::from_millis(30)).await;
                self.with(Cluster::record_prefill);
                return ended(Outcome::ConnectionLost);
            }
            ServerState::Healthy | ServerState::RejectsAfterFetch | ServerState::BreaksAfterPrefill => {}
        }
        if is_prefill {
            sleep(Duration::from_millis(30)).await;
            self.with(Cluster::record_prefill);
            return AttemptReply::PrefillDone { cached_tokens: 0, load: None };
        }
        if !self.with(Cluster::record_fetch) {
            return ended(Outcome::CacheMissing);
        }
        sleep(Duration::from_millis(5)).await;
        if state == ServerState::RejectsAfterFetch {
            self.with(|cluster| cluster.waiting_since = Some(Instant::now()));
            return ended(Outcome::Rejected);
        }
        AttemptReply::Stream(EmptyStream)
    }

    async fn release(&self, server: &Id, _: &Id) -> bool {
        match self.state(server) {
            ServerState::Healthy | ServerState::RejectsAfterFetch | ServerState::BreaksAfterPrefill => {
                sleep(Duration::from_millis(1)).await;
                self.with(Cluster::record_fetch);
                true
            }
            ServerState::RefusesConnections => false,
            ServerState::Unreachable
            | ServerState::NeverAnswers
            | ServerState::Silent
            | ServerState::SilentThenReset => pending().await,
        }
    }

    async fn probe(&self, _: &Id) -> (Outcome, Option<LoadReport>) {
        (Outcome::Served, None)
    }
}

/// Runs one request against servers in these states, and returns the longest time that its KV cache waited.
async fn longest_wait(states: [ServerState; 8], release_timeout: Duration) -> Duration {
    let servers = FakeServers::default();
    servers.with(|cluster| cluster.states = SERVER_NAMES.iter().map(|n| Id::from(*n)).zip(states).collect());
    let settings = Settings {
        roles: vec![Role::Prefill, Role::Decode],
        memory_tokens: vec![200_000; 2],
        cache_release_timeout: release_timeout.as_micros() as u64,
        ..Settings::example()
    };
    let entry = |(n, name): (usize, &&str)| ServerEntry {
        server: (*name).into(),
        rack: n as u64 % 2,
        kind: n / 4,
        zone: n % 2,
        started: 0,
        health: Health::Up,
    };
    let entries = SERVER_NAMES.iter().enumerate().map(entry).collect();
    let conductor = start(ConductorParts {
        excluded: Vec::new(),
        inherited: None,
        shared_id_claims: None,
        metrics: Metrics::new().unwrap(),
        settings,
        seed: 7,
        clock: Clock::new(),
        upstream: Arc::new(servers.clone()),
        members: SingleUpdate(Some(MembershipUpdate { kind: ListUpdateKind::Full, entries })),
        log: slog::Logger::root(slog::Discard, slog::o!()),
    });
    sleep(Duration::from_millis(15)).await;
    let answer =
        timeout(Duration::from_secs(6), conductor.call(Request { query: query("id-1", 0), call: () })).await;
    if let Answer::Served(mut events) = answer.expect("an answer in time").unwrap() {
        while poll_fn(|cx| events.poll_next(cx)).await.is_some() {}
    }
    sleep(Duration::from_secs(2)).await;
    servers.with(|cluster| {
        cluster.record_fetch();
        cluster.longest_wait
    })
}

fn assert_released_in_time(states: [ServerState; 8], release_ms: u64) {
    // Without a running server, no server can accept the release.
    if !states.iter().any(|state| {
        matches!(
            state,
            ServerState::Healthy | ServerState::RejectsAfterFetch | ServerState::BreaksAfterPrefill
        )
    }) {
        return;
    }
    let release_timeout = Duration::from_millis(release_ms);
    let longest_wait = run_paused(longest_wait(states, release_timeout));
    assert!(
        longest_wait <= release_timeout + ALLOWANCE,
        "held for {longest_wait:?} of {release_timeout:?}: {states:?}"
    );
}

#[test]
fn a_cache_is_fetched_or_released_in_time_whichever_servers_are_silent() {
    fn holds(
        first: (ServerState, ServerState, ServerState, ServerState),
        then: (ServerState, ServerState, ServerState, ServerState),
        short: bool,
    ) -> bool {
        let states = [first.0, first.1, first.2, first.3, then.0, then.1, then.2, then.3];
        assert_released_in_time(states, if short { 300 } else { 1_000 });
        true
    }
    type Four = (ServerState, ServerState, ServerState, ServerState);
    let gen = Gen::from_size_and_seed(24, 0x4e1d);
    QuickCheck::new().rng(gen).tests(1_500).quickcheck(holds as fn(Four, Four, bool) -> bool);
}

#[test]
fn a_lost_zone_does_not_use_up_the_release_timeout() {
    use ServerState::{Healthy, Unreachable};
    // Both decode servers of one zone, then that whole zone but the prefill server that holds the cache,
    // then every decode server.
    for states in [
        [Healthy, Healthy, Healthy, Healthy, Unreachable, Healthy, Unreachable, Healthy],
        [Healthy, Unreachable, Healthy, Unreachable, Unreachable, Unreachable, Unreachable, Unreachable],
        [Healthy, Healthy, Healthy, Healthy, Unreachable, Unreachable, Unreachable, Unreachable],
    ] {
        for release_ms in [300, 1_000] {
            assert_released_in_time(states, release_ms);
        }
    }
}

/// A send that has not arrived does not count as in flight: the KV cache goes on waiting.
#[test]
fn a_send_that_never_arrives_does_not_stop_the_release_timer() {
    use ServerState::{BreaksAfterPrefill, Healthy, Silent, SilentThenReset};
    for states in [
        [Healthy, Healthy, Healthy, Healthy, Silent, Silent, Silent, Silent],
        [
            Healthy,
            Healthy,
            Healthy,
            Healthy,
            SilentThenReset,
            SilentThenReset,
            SilentThenReset,
            SilentThenReset,
        ],
        [Healthy, Healthy, Healthy, Healthy, SilentThenReset, Silent, Silent, SilentThenReset],
        [BreaksAfterPrefill, Silent, Silent, Silent, Healthy, Healthy, Healthy, Healthy],
        [BreaksAfterPrefill, SilentThenReset, BreaksAfterPrefill, Silent, Silent, Healthy, Silent, Healthy],
    ] {
        for release_ms in [300, 1_000] {
            assert_released_in_time(states, release_ms);
        }
    }
}
