//! Checks random steps against a model of the connections to one server: each attempt has the outcome that
//! the protocol's table gives it, reaches the server exactly once, and reuses an idle connection exactly if
//! one is usable.

mod support;

use std::time::{Duration, Instant};

use bytes::Bytes;
use frosttrail::{Id, Outcome};
use frosttrail_core::{AttemptReply, EventStream, SendPermit, StreamStep, Upstream};
use frosttrail_daemon::upstream::{Call, HttpUpstream};
use hyper::{HeaderMap, Method, Uri};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use support::*;
use tokio::time::sleep;

/// What happens next to the connections.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Scenario {
    Prefill,
    Served,
    Rejected,
    CacheMissing,
    UnmarkedGone,
    UnmarkedTimeout,
    ServerError,
    Reset,
    EmptyStream,
    BrokenStream,
    InvalidHead,
    EndlessHead,
    StalledHead,
    InvalidChunkSize,
    WrongChunkSize,
    HugeChunk,
    InvalidEvent,
    EarlyHints,
    InvalidLoadReport,
    InvalidFinalLoadReport,
    SecondResponse,
    Cancelled,
    ServerClosesIdle,
}

use Scenario::*;

/// The head of a stream.
macro_rules! stream_head {
    () => {
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
    };
}

/// The response of a prefill server, with additional headers.
macro_rules! prefill_response {
    ($headers:literal) => {
        concat!("HTTP/1.1 202 -\r\n", $headers, "content-length: 2\r\n\r\n{}")
    };
}

impl Arbitrary for Scenario {
    fn arbitrary(g: &mut Gen) -> Self {
        *g.choose(&[
            Prefill,
            Served,
            Rejected,
            CacheMissing,
            UnmarkedGone,
            UnmarkedTimeout,
            ServerError,
            Reset,
            EmptyStream,
            BrokenStream,
            InvalidHead,
            EndlessHead,
            StalledHead,
            InvalidChunkSize,
            WrongChunkSize,
            HugeChunk,
            InvalidEvent,
            EarlyHints,
            InvalidLoadReport,
            InvalidFinalLoadReport,
            SecondResponse,
            Cancelled,
            ServerClosesIdle,
        ])
        .unwrap()
    }
}

impl Scenario {
    fn behavior(self) -> Behavior {
        match self {
            Prefill => PREFILL_RESPONSE,
            Served => COMPLETE_STREAM,
            Rejected => Behavior::Responds(503, true, ""),
            CacheMissing => Behavior::Responds(410, true, "gone"),
            UnmarkedGone => Behavior::Responds(410, false, ""),
            UnmarkedTimeout => Behavior::Responds(504, false, ""),
            ServerError => Behavior::Responds(500, false, "{}"),
            Reset => Behavior::Disconnects,
            EmptyStream => Behavior::Streams(&[]),
            BrokenStream => Behavior::BreaksAfter(&[EVENT]),
            InvalidHead => Behavior::SendsRaw("\u{1}\u{2} of the sea\r\n\r\n"),
            EndlessHead => Behavior::RepeatsLastByte("HTTP/1.1 200 OK\r\nx-more: and more"),
            StalledHead => Behavior::SendsRaw("HTTP/1.1 200 OK\r\ntransfer-enc"),
            InvalidChunkSize => {
                Behavior::SendsRaw(concat!(stream_head!(), "10\r\ndata: Table {}\n\n\r\nzz\r\n"))
            }
            WrongChunkSize => Behavior::SendsRaw(concat!(
                stream_head!(),
                "12\r\ndata: Table {}\n\n\r\n10\r\ndata: booked\n\n"
            )),
            HugeChunk => {
                Behavior::RepeatsLastByte(concat!(stream_head!(), "c0000000\r\ndata: Table {}\n\ndata: x"))
            }
            InvalidEvent => Behavior::SendsRaw(concat!(stream_head!(), "10\r\nTable for two!\n\n\r\n")),
            EarlyHints => {
                Behavior::SendsRawResponse(concat!("HTTP/1.1 103 Early Hints\r\n\r\n", prefill_response!("")))
            }
            InvalidLoadReport => {
                Behavior::SendsRawResponse(prefill_response!("x-pressure: {\"inflight\":\r\n"))
            }
            InvalidFinalLoadReport => {
                Behavior::SendsRawResponse(concat!(stream_head!(), "11\r\n: X-Pressure: {\n\n\r\n0\r\n\r\n"))
            }
            SecondResponse => {
                Behavior::SendsRawResponse(concat!(prefill_response!(""), prefill_response!("")))
            }
            Cancelled | ServerClosesIdle => Behavior::StaysSilent,
        }
    }

    /// The outcome that the protocol's table gives, or `None` if there is no response.
    fn expected_outcome(self) -> Option<Outcome> {
        Some(match self {
            Prefill => Outcome::PrefillDone,
            Served => Outcome::Served,
            Rejected => Outcome::Rejected,
            CacheMissing => Outcome::CacheMissing,
            UnmarkedGone | UnmarkedTimeout | ServerError => Outcome::Failed,
            Reset | EmptyStream | BrokenStream => Outcome::ConnectionLost,
            InvalidHead | EndlessHead | StalledHead | InvalidChunkSize | WrongChunkSize | HugeChunk
            | InvalidEvent => Outcome::Failed,
            EarlyHints | InvalidLoadReport | SecondResponse => Outcome::PrefillDone,
            InvalidFinalLoadReport => Outcome::Served,
            Cancelled | ServerClosesIdle => return None,
        })
    }
}

/// The smallest and largest possible number of idle connections. It is a range because the rest of a response
/// may still be read while the steps go on.
#[derive(Clone, Copy, Debug, Default)]
struct IdleConnections {
    min: u32,
    max: u32,
}

impl IdleConnections {
    /// Returns the range after an attempt that opened this number of new connections.
    fn after(self, opened: u32, scenario: Scenario) -> Self {
        let used = 1 - opened;
        let (min, max) = match scenario {
            // A stream without an event is a failure, but its connection stays usable.
            Prefill | Served | EmptyStream => (1, 1),
            Rejected | CacheMissing | UnmarkedGone | UnmarkedTimeout | ServerError => (0, 1),
            // The response is invalid, or more bytes follow it.
            _ => (0, 0),
        };
        IdleConnections { min: self.min.saturating_sub(used) + min, max: self.max.saturating_sub(used) + max }
    }
}

fn call() -> Call {
    let target = Uri::from_static("/v1/chat/completions");
    Call { method: Method::POST, target, headers: HeaderMap::new(), body: Bytes::from_static(b"{}") }
}

/// Makes an attempt and reads its stream to the end, if it became one.
async fn attempt(upstream: &HttpUpstream) -> Outcome {
    attempt_at(upstream, "server").await
}

/// Like [`attempt`], at the named server.
async fn attempt_at(upstream: &HttpUpstream, server: &str) -> Outcome {
    let (server, id, wait) = (Id::from(server), Id::from("id"), Duration::from_secs(5));
    let reply = upstream.attempt(&server, &id, &call(), wait, &SendPermit::unconditional()).await;
    match reply {
        AttemptReply::PrefillDone { .. } => Outcome::PrefillDone,
        AttemptReply::Ended(outcome, _) => outcome,
        AttemptReply::Stream(mut events) => loop {
            match std::future::poll_fn(|cx| events.poll_step(cx)).await {
                StreamStep::Event(_) | StreamStep::Comment(_) => {}
                StreamStep::End => return Outcome::Served,
                StreamStep::Broken(outcome) => return outcome,
            }
        },
    }
}

async fn run_steps(steps: Vec<Scenario>) {
    let mut stand_in = StandIn::start(PREFILL_RESPONSE).await;
    let upstream = upstream(&[("server", 0, stand_in.address)]);
    let (mut idle, mut attempts, mut has_stale_reset) = (IdleConnections::default(), 0, false);
    for scenario in steps {
        if let ServerClosesIdle = scenario {
            stand_in.close_all().await;
            idle = IdleConnections::default();
            continue;
        }
        let accepted = *stand_in.accepted.lock().unwrap();
        stand_in.next(scenario.behavior());
        attempts += 1;
        match scenario.expected_outcome() {
            Some(outcome) => {
                let actual = attempt(&upstream).await;
                // A reused connection that is reset was stale; from then on the idle limit is low.
                let is_stale = scenario == Reset && *stand_in.accepted.lock().unwrap() == accepted;
                assert_eq!(actual, if is_stale { Outcome::StaleConnection } else { outcome }, "{scenario:?}");
                has_stale_reset |= is_stale;
            }
            None => {
                let result = tokio::time::timeout(Duration::from_millis(20), attempt(&upstream)).await;
                assert!(result.is_err(), "{scenario:?}");
                stand_in.aborts.recv().await.unwrap();
            }
        }
        assert_eq!(stand_in.posts().len(), attempts, "every attempt reaches the server once: {scenario:?}");
        let opened = *stand_in.accepted.lock().unwrap() - accepted;
        assert!(opened <= 1, "{scenario:?}");
        assert!(opened == 0 || idle.min == 0, "{scenario:?}: an idle connection was not used: {idle:?}");
        assert!(opened == 1 || idle.max > 0, "{scenario:?}: no connection was opened: {idle:?}");
        idle = idle.after(opened, scenario);
        if has_stale_reset {
            idle.min = 0;
        }
    }
}

#[test]
fn random_steps_have_the_outcomes_of_the_protocol() {
    fn holds(steps: Vec<Scenario>) -> bool {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(run_steps(steps));
        true
    }
    let gen = Gen::from_size_and_seed(16, 0xb0c5);
    QuickCheck::new().rng(gen).tests(60).quickcheck(holds as fn(Vec<Scenario>) -> bool);
}

#[tokio::test]
async fn connections_as_old_as_a_stale_one_are_not_reused() {
    let stand_in = StandIn::start(PREFILL_RESPONSE).await;
    let upstream = upstream(&[("server", 0, stand_in.address)]);
    let stay_idle = || tokio::time::sleep(Duration::from_millis(40));
    let mut outcomes = Vec::new();
    for behavior in [PREFILL_RESPONSE, Behavior::Disconnects, PREFILL_RESPONSE, PREFILL_RESPONSE] {
        stand_in.next(behavior);
        outcomes.push(attempt(&upstream).await);
        stay_idle().await;
    }
    use Outcome::{PrefillDone, StaleConnection};
    assert_eq!(outcomes, [PrefillDone, StaleConnection, PrefillDone, PrefillDone]);
    assert_eq!(*stand_in.accepted.lock().unwrap(), 3, "each has been idle for twice the learned limit");
}

#[tokio::test]
async fn a_refused_connection_is_reported_as_no_connection() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    assert_eq!(attempt(&upstream(&[("server", 0, address)])).await, Outcome::NoConnection);
    assert_eq!(attempt(&upstream(&[])).await, Outcome::NoConnection, "the address is unknown");
}

/// A probe returns the server's load, and the request that it was for reuses its connection at once. A second
/// connection would cost the server a handshake for each prefill, and servers accept few.
#[tokio::test]
async fn a_request_after_a_probe_reuses_the_connection_of_the_probe() {
    let stand_in = StandIn::start(PREFILL_RESPONSE).await;
    let upstream = upstream_with_settle_time(&[("server", 0, stand_in.address)], Duration::from_secs(5));
    stand_in.next(Behavior::Responds(200, false, "{\"inflight\":3,\"x0\":0.5}"));
    let (outcome, load) = upstream.probe(&Id::from("server")).await;
    assert_eq!((outcome, load.and_then(|l| l.outstanding)), (Outcome::Served, Some(3.0)));
    assert_eq!(attempt(&upstream).await, Outcome::PrefillDone);
    assert_eq!(*stand_in.accepted.lock().unwrap(), 1);
    assert_eq!(attempt(&upstream).await, Outcome::PrefillDone);
    assert_eq!(*stand_in.accepted.lock().unwrap(), 2, "a connection settles after a prefill response");
}

/// The time that a connection takes to open is subtracted from the time that the server is given.
#[tokio::test]
async fn the_remaining_time_is_taken_when_the_head_is_written() {
    let wait = Duration::from_secs(8);
    let shut = FullBacklogServer::start().await;
    let upstream = upstream_with_connect_timeout(&[("decode", 1, shut.address)], Duration::from_secs(7));
    let started_at = Instant::now();
    let attempt = tokio::spawn(async move {
        let permit = SendPermit::unconditional();
        upstream.attempt(&"decode".into(), &"late".into(), &call(), wait, &permit).await
    });
    // The kernel retries the connection after a second.
    sleep(Duration::from_millis(300)).await;
    let (head, arrived_at) = shut.first_request().await;
    let arrived_after = arrived_at - started_at;
    assert!(arrived_after > Duration::from_millis(500), "the connection opened at once: {arrived_after:?}");
    let remaining = head.lines().find_map(|line| line.strip_prefix("x-remaining: ")?.strip_suffix('u'));
    let remaining = Duration::from_micros(remaining.unwrap().parse().unwrap());
    assert!(
        remaining + arrived_after < wait + Duration::from_millis(200),
        "remaining {remaining:?}, {arrived_after:?} after the attempt started"
    );
    attempt.abort();
}

/// The measured round trip belongs to the address of a server, not to its name.
#[tokio::test]
async fn the_round_trip_to_a_server_is_measured_when_connecting() {
    let (first, second) = (StandIn::start(PREFILL_RESPONSE).await, StandIn::start(PREFILL_RESPONSE).await);
    let (upstream, addresses) = upstream_and_addresses(&[("server", 0, first.address)]);
    let id = Id::from("server");
    assert_eq!(upstream.cancellation_delay(&id), Duration::ZERO, "no connection has opened");
    assert_eq!(attempt(&upstream).await, Outcome::PrefillDone);
    let delay = upstream.cancellation_delay(&id);
    assert!(delay > Duration::ZERO && delay < Duration::from_secs(1), "{delay:?}");
    addresses.set(id.clone(), first.address);
    assert_eq!(upstream.cancellation_delay(&id), delay, "setting the same address changes nothing");
    addresses.set(id.clone(), second.address);
    assert_eq!(upstream.cancellation_delay(&id), Duration::ZERO, "another address has another round trip");
    assert_eq!(upstream.cancellation_delay(&Id::from("unknown")), Duration::ZERO);
}

/// A server that returns at another address is reached there, even if a connection to the old one is idle.
#[tokio::test]
async fn an_idle_connection_is_not_reused_after_its_server_has_moved() {
    let (first, second) = (StandIn::start(PREFILL_RESPONSE).await, StandIn::start(PREFILL_RESPONSE).await);
    let (upstream, addresses) = upstream_and_addresses(&[("server", 0, first.address)]);
    for _ in 0..2 {
        assert_eq!(attempt(&upstream).await, Outcome::PrefillDone);
    }
    assert_eq!((first.posts().len(), *first.accepted.lock().unwrap()), (2, 1), "the connection is reused");
    addresses.set("server".into(), second.address);
    assert_eq!(attempt(&upstream).await, Outcome::PrefillDone);
    assert_eq!((first.posts().len(), second.posts().len()), (2, 1));
    addresses.set("server".into(), first.address);
    assert_eq!(attempt(&upstream).await, Outcome::PrefillDone);
    assert_eq!((first.posts().len(), second.posts().len()), (3, 1));
}

/// A connection that breaks right after its last response lowers the idle limit of its own server only.
#[tokio::test]
async fn a_reset_soon_after_a_response_keeps_the_connections_of_other_servers() {
    let (hasty, steady) = (StandIn::start(PREFILL_RESPONSE).await, StandIn::start(PREFILL_RESPONSE).await);
    let upstream = upstream(&[("hasty", 0, hasty.address), ("steady", 0, steady.address)]);
    assert_eq!(attempt_at(&upstream, "steady").await, Outcome::PrefillDone);
    assert_eq!(attempt_at(&upstream, "hasty").await, Outcome::PrefillDone);
    hasty.next(Behavior::Disconnects);
    assert_eq!(attempt_at(&upstream, "hasty").await, Outcome::StaleConnection);
    for _ in 0..5 {
        sleep(Duration::from_millis(40)).await;
        assert_eq!(attempt_at(&upstream, "steady").await, Outcome::PrefillDone);
    }
    assert_eq!(*steady.accepted.lock().unwrap(), 1, "idle connections to it are no longer reused");
}
