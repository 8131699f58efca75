//! Whatever servers do not answer: a state that was read is taken by an attempt that reaches a server, or a
//! release has reached one that runs, within the settings' time and what sockets add to it. Truth is
//! counted at the servers; time is paused.

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
use support::{paused, query, Fixed};
use tokio::time::{sleep, timeout, Instant};

/// What sockets add to the settings' time, and a little for the calls themselves.
const ADDED: Duration = Duration::from_millis(300);
const CONNECT: Duration = Duration::from_millis(250);
/// A connection that fell silent breaks after this time, where it does.
const SILENT_FOR: Duration = Duration::from_millis(300);
const NAMES: [&str; 8] = ["r1", "r2", "r3", "r4", "w1", "w2", "w3", "w4"];

/// How a server is.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Is {
    Well,
    /// Takes a state, then turns the request away.
    Full,
    /// New connections never come up.
    Gone,
    /// New connections are refused.
    Down,
    /// Takes requests and answers none.
    Mute,
    /// Its open connections fell silent: what is written to one never arrives, and no error tells so.
    Silent,
    /// The same, and the connection breaks after a while.
    SilentThenReset,
    /// Reads the prompt; its connection breaks before the answer.
    Cut,
}

impl Arbitrary for Is {
    fn arbitrary(g: &mut Gen) -> Self {
        let silent = [Is::Silent, Is::SilentThenReset, Is::Cut];
        let all = [Is::Well, Is::Full, Is::Gone, Is::Gone, Is::Gone, Is::Down, Is::Mute];
        *g.choose(&[&all[..], &silent].concat()).unwrap()
    }
}

#[derive(Default)]
struct World {
    are: HashMap<Id, Is>,
    /// Since when a state waits that no attempt has.
    held: Option<Instant>,
    worst: Duration,
    reads: u32,
}

impl World {
    /// A prompt has been read; what was held before has waited until now.
    fn read(&mut self) {
        self.taken();
        (self.held, self.reads) = (Some(Instant::now()), self.reads + 1);
    }

    fn taken(&mut self) -> bool {
        let since = self.held.take();
        self.worst = self.worst.max(since.map_or(Duration::ZERO, |at| at.elapsed()));
        since.is_some()
    }
}

#[derive(Clone, Default)]
struct Table(Arc<Mutex<World>>);

impl Table {
    fn with<T>(&self, f: impl FnOnce(&mut World) -> T) -> T {
        f(&mut self.0.lock().unwrap())
    }

    fn is(&self, server: &Id) -> Is {
        self.with(|w| w.are[server])
    }
}

struct Over;

impl EventStream for Over {
    fn poll_step(&mut self, _: &mut Context<'_>) -> Poll<StreamStep> {
        Poll::Ready(StreamStep::End)
    }
}

impl Upstream for Table {
    type Call = ();
    type Events = Over;

    async fn attempt(
        &self,
        server: &Id,
        _: &Id,
        _: &(),
        wait: Duration,
        _: &SendPermit,
    ) -> AttemptReply<Over> {
        let (is, reads) = (self.is(server), server.starts_with('r'));
        let ended = |outcome| AttemptReply::Ended(outcome, None);
        match is {
            Is::Gone => {
                sleep(CONNECT.min(wait)).await;
                return ended(Outcome::NoConnection);
            }
            Is::Down => return ended(Outcome::NoConnection),
            Is::Mute => {
                self.with(World::taken);
                sleep(wait).await;
                // A writer that never began still leaves the state where it was.
                self.with(|w| w.held = w.reads.gt(&0).then(Instant::now));
                return ended(Outcome::NoAnswer);
            }
            Is::Silent => {
                sleep(wait).await;
                return ended(Outcome::NoAnswer);
            }
            Is::SilentThenReset => {
                sleep(SILENT_FOR.min(wait)).await;
                return ended(Outcome::ConnectionLost);
            }
            Is::Cut if reads => {
                sleep(Duration::from_millis(30)).await;
                self.with(World::read);
                return ended(Outcome::ConnectionLost);
            }
            Is::Well | Is::Full | Is::Cut => {}
        }
        if reads {
            sleep(Duration::from_millis(30)).await;
            self.with(World::read);
            return AttemptReply::PrefillDone { cached_tokens: 0, load: None };
        }
        if !self.with(World::taken) {
            return ended(Outcome::CacheMissing);
        }
        sleep(Duration::from_millis(5)).await;
        if is == Is::Full {
            self.with(|w| w.held = Some(Instant::now()));
            return ended(Outcome::Rejected);
        }
        AttemptReply::Stream(Over)
    }

    async fn release(&self, server: &Id, _: &Id) -> bool {
        match self.is(server) {
            Is::Well | Is::Full | Is::Cut => {
                sleep(Duration::from_millis(1)).await;
                self.with(World::taken);
                true
            }
            Is::Down => false,
            Is::Gone | Is::Mute | Is::Silent | Is::SilentThenReset => pending().await,
        }
    }

    async fn probe(&self, _: &Id) -> (Outcome, Option<LoadReport>) {
        (Outcome::Served, None)
    }
}

/// One request through a fleet of which each server is as it is; how long its state waited at worst.
async fn longest(are: [Is; 8], release: Duration) -> Duration {
    let table = Table::default();
    table.with(|w| w.are = NAMES.iter().map(|n| Id::from(*n)).zip(are).collect());
    let settings = Settings {
        roles: vec![Role::Prefill, Role::Decode],
        memory_tokens: vec![200_000; 2],
        cache_release_timeout: release.as_micros() as u64,
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
    let entries = NAMES.iter().enumerate().map(entry).collect();
    let conductor = start(ConductorParts {
        excluded: Vec::new(),
        inherited: None,
        metrics: Metrics::new().unwrap(),
        settings,
        seed: 7,
        clock: Clock::new(),
        upstream: Arc::new(table.clone()),
        members: Fixed(Some(MembershipUpdate { kind: ListUpdateKind::Full, entries })),
        log: slog::Logger::root(slog::Discard, slog::o!()),
    });
    sleep(Duration::from_millis(15)).await;
    let answer =
        timeout(Duration::from_secs(6), conductor.call(Request { query: query("id-1", 0), call: () })).await;
    if let Answer::Served(mut events) = answer.expect("an answer in time").unwrap() {
        while poll_fn(|cx| events.poll_next(cx)).await.is_some() {}
    }
    sleep(Duration::from_secs(2)).await;
    table.with(|w| {
        w.taken();
        w.worst
    })
}

fn in_time(are: [Is; 8], release_ms: u64) {
    // Where nothing runs, nothing can take the call.
    if !are.iter().any(|is| matches!(is, Is::Well | Is::Full | Is::Cut)) {
        return;
    }
    let release = Duration::from_millis(release_ms);
    let worst = paused(longest(are, release));
    assert!(worst <= release + ADDED, "held for {worst:?} of {release:?}: {are:?}");
}

#[test]
fn a_state_is_taken_or_released_in_time_whatever_is_silent() {
    fn holds(first: (Is, Is, Is, Is), then: (Is, Is, Is, Is), short: bool) -> bool {
        let are = [first.0, first.1, first.2, first.3, then.0, then.1, then.2, then.3];
        in_time(are, if short { 300 } else { 1_000 });
        true
    }
    type Four = (Is, Is, Is, Is);
    let gen = Gen::from_size_and_seed(24, 0x4e1d);
    QuickCheck::new().rng(gen).tests(1_500).quickcheck(holds as fn(Four, Four, bool) -> bool);
}

#[test]
fn a_lost_zone_does_not_use_up_the_time() {
    use Is::{Gone, Well};
    // Both writers of one zone, then all of it but the reader that holds the state, then all that write.
    for are in [
        [Well, Well, Well, Well, Gone, Well, Gone, Well],
        [Well, Gone, Well, Gone, Gone, Gone, Gone, Gone],
        [Well, Well, Well, Well, Gone, Gone, Gone, Gone],
    ] {
        for release in [300, 1_000] {
            in_time(are, release);
        }
    }
}

/// A send that has not arrived is not out: it does not stop the clock of what is held.
#[test]
fn a_send_that_never_arrives_does_not_stop_the_clock() {
    use Is::{Cut, Silent, SilentThenReset, Well};
    for are in [
        [Well, Well, Well, Well, Silent, Silent, Silent, Silent],
        [Well, Well, Well, Well, SilentThenReset, SilentThenReset, SilentThenReset, SilentThenReset],
        [Well, Well, Well, Well, SilentThenReset, Silent, Silent, SilentThenReset],
        [Cut, Silent, Silent, Silent, Well, Well, Well, Well],
        [Cut, SilentThenReset, Cut, Silent, Silent, Well, Silent, Well],
    ] {
        for release in [300, 1_000] {
            in_time(are, release);
        }
    }
}
