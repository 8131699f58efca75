//! A model of the connections to one server, against which random steps are checked: each attempt has the
//! outcome that the protocol's table gives it, reaches the server exactly once, and goes out on a kept
//! connection exactly where one is fit for use.

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

/// What happens to the connections next.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Happens {
    Read,
    Served,
    TurnedAway,
    StateGone,
    GoneUnmarked,
    Unmarked,
    Error,
    Resets,
    NoEvents,
    BreaksOff,
    Noise,
    EndlessHead,
    StalledHead,
    UnreadableSize,
    WrongSize,
    HugeChunk,
    NoEvent,
    Early,
    BadReport,
    BadReportAtEnd,
    SecondAnswer,
    GivenUp,
    BoxClosesIdle,
}

use Happens::*;

/// The head of a stream.
macro_rules! stream {
    () => {
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
    };
}

/// A reader's answer, with further headers.
macro_rules! answer {
    ($headers:literal) => {
        concat!("HTTP/1.1 202 -\r\n", $headers, "content-length: 2\r\n\r\n{}")
    };
}

impl Arbitrary for Happens {
    fn arbitrary(g: &mut Gen) -> Self {
        *g.choose(&[
            Read,
            Served,
            TurnedAway,
            StateGone,
            GoneUnmarked,
            Unmarked,
            Error,
            Resets,
            NoEvents,
            BreaksOff,
            Noise,
            EndlessHead,
            StalledHead,
            UnreadableSize,
            WrongSize,
            HugeChunk,
            NoEvent,
            Early,
            BadReport,
            BadReportAtEnd,
            SecondAnswer,
            GivenUp,
            BoxClosesIdle,
        ])
        .unwrap()
    }
}

impl Happens {
    fn does(self) -> Behavior {
        match self {
            Read => PREFILL_RESPONSE,
            Served => COMPLETE_STREAM,
            TurnedAway => Behavior::Responds(503, true, ""),
            StateGone => Behavior::Responds(410, true, "gone"),
            GoneUnmarked => Behavior::Responds(410, false, ""),
            Unmarked => Behavior::Responds(504, false, ""),
            Error => Behavior::Responds(500, false, "{}"),
            Resets => Behavior::Disconnects,
            NoEvents => Behavior::Streams(&[]),
            BreaksOff => Behavior::BreaksAfter(&[EVENT]),
            Noise => Behavior::SendsRaw("\u{1}\u{2} of the sea\r\n\r\n"),
            EndlessHead => Behavior::RepeatsLastByte("HTTP/1.1 200 OK\r\nx-more: and more"),
            StalledHead => Behavior::SendsRaw("HTTP/1.1 200 OK\r\ntransfer-enc"),
            UnreadableSize => Behavior::SendsRaw(concat!(stream!(), "10\r\ndata: Table {}\n\n\r\nzz\r\n")),
            WrongSize => {
                Behavior::SendsRaw(concat!(stream!(), "12\r\ndata: Table {}\n\n\r\n10\r\ndata: booked\n\n"))
            }
            HugeChunk => {
                Behavior::RepeatsLastByte(concat!(stream!(), "c0000000\r\ndata: Table {}\n\ndata: x"))
            }
            NoEvent => Behavior::SendsRaw(concat!(stream!(), "10\r\nTable for two!\n\n\r\n")),
            Early => Behavior::SendsRawResponse(concat!("HTTP/1.1 103 Early Hints\r\n\r\n", answer!(""))),
            BadReport => Behavior::SendsRawResponse(answer!("x-pressure: {\"inflight\":\r\n")),
            BadReportAtEnd => {
                Behavior::SendsRawResponse(concat!(stream!(), "11\r\n: X-Pressure: {\n\n\r\n0\r\n\r\n"))
            }
            SecondAnswer => Behavior::SendsRawResponse(concat!(answer!(""), answer!(""))),
            GivenUp | BoxClosesIdle => Behavior::StaysSilent,
        }
    }

    /// The table's word for it.
    fn outcome(self) -> Option<Outcome> {
        Some(match self {
            Read => Outcome::PrefillDone,
            Served => Outcome::Served,
            TurnedAway => Outcome::Rejected,
            StateGone => Outcome::CacheMissing,
            GoneUnmarked | Unmarked | Error => Outcome::Failed,
            Resets | NoEvents | BreaksOff => Outcome::ConnectionLost,
            Noise | EndlessHead | StalledHead | UnreadableSize | WrongSize | HugeChunk | NoEvent => {
                Outcome::Failed
            }
            Early | BadReport | SecondAnswer => Outcome::PrefillDone,
            BadReportAtEnd => Outcome::Served,
            GivenUp | BoxClosesIdle => return None,
        })
    }
}

/// How many connections wait for the next request, at least and at most: an answer's tail may still be
/// read beside the walk.
#[derive(Clone, Copy, Debug, Default)]
struct Kept {
    least: u32,
    most: u32,
}

impl Kept {
    /// An attempt that opened so many new connections, and what it leaves.
    fn after(self, opened: u32, what: Happens) -> Self {
        let used = 1 - opened;
        let (least, most) = match what {
            // A stream without an event is no answer, but its connection has ended well.
            Read | Served | NoEvents => (1, 1),
            TurnedAway | StateGone | GoneUnmarked | Unmarked | Error => (0, 1),
            // Spoilt, or with more on it than its answer.
            _ => (0, 0),
        };
        Kept { least: self.least.saturating_sub(used) + least, most: self.most.saturating_sub(used) + most }
    }
}

fn call() -> Call {
    let target = Uri::from_static("/v1/chat/completions");
    Call { method: Method::POST, target, headers: HeaderMap::new(), body: Bytes::from_static(b"{}") }
}

/// The attempt's whole way: up to the end of its stream, if it became one.
async fn attempt(upstream: &HttpUpstream) -> Outcome {
    attempt_at(upstream, "box").await
}

/// The same at a server of another name.
async fn attempt_at(upstream: &HttpUpstream, server: &str) -> Outcome {
    let (server, id, wait) = (Id::from(server), Id::from("id"), Duration::from_secs(5));
    let reply = upstream.attempt(&server, &id, &call(), wait, &SendPermit::unconditional()).await;
    match reply {
        AttemptReply::PrefillDone { .. } => Outcome::PrefillDone,
        AttemptReply::Ended(outcome, _) => outcome,
        AttemptReply::Stream(mut events) => loop {
            match std::future::poll_fn(|cx| events.poll_step(cx)).await {
                StreamStep::Event(_) => {}
                StreamStep::End => return Outcome::Served,
                StreamStep::Broken(outcome) => return outcome,
            }
        },
    }
}

async fn walk(steps: Vec<Happens>) {
    let mut stand_in = StandIn::start(PREFILL_RESPONSE).await;
    let upstream = upstream(&[("box", 0, stand_in.address)]);
    let (mut kept, mut attempts, mut distrusted) = (Kept::default(), 0, false);
    for what in steps {
        if let BoxClosesIdle = what {
            stand_in.close_all().await;
            kept = Kept::default();
            continue;
        }
        let accepted = *stand_in.accepted.lock().unwrap();
        stand_in.next(what.does());
        attempts += 1;
        match what.outcome() {
            Some(outcome) => {
                let came = attempt(&upstream).await;
                // A kept connection that is reset was dead; from then on few are trusted.
                let stale = what == Resets && *stand_in.accepted.lock().unwrap() == accepted;
                assert_eq!(came, if stale { Outcome::StaleConnection } else { outcome }, "{what:?}");
                distrusted |= stale;
            }
            None => {
                let waited = tokio::time::timeout(Duration::from_millis(20), attempt(&upstream)).await;
                assert!(waited.is_err(), "{what:?}");
                stand_in.aborts.recv().await.unwrap();
            }
        }
        assert_eq!(stand_in.posts().len(), attempts, "every attempt reaches the box once: {what:?}");
        let opened = *stand_in.accepted.lock().unwrap() - accepted;
        assert!(opened <= 1, "{what:?}");
        assert!(opened == 0 || kept.least == 0, "{what:?}: a kept connection was not used: {kept:?}");
        assert!(opened == 1 || kept.most > 0, "{what:?}: no connection was opened: {kept:?}");
        kept = kept.after(opened, what);
        if distrusted {
            kept.least = 0;
        }
    }
}

#[test]
fn random_steps_follow_the_protocols_table() {
    fn follows(steps: Vec<Happens>) -> bool {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(walk(steps));
        true
    }
    let gen = Gen::from_size_and_seed(16, 0xb0c5);
    QuickCheck::new().rng(gen).tests(60).quickcheck(follows as fn(Vec<Happens>) -> bool);
}

#[tokio::test]
async fn after_one_that_was_dead_connections_as_old_are_not_used() {
    let stand_in = StandIn::start(PREFILL_RESPONSE).await;
    let upstream = upstream(&[("box", 0, stand_in.address)]);
    let idle = || tokio::time::sleep(Duration::from_millis(40));
    let mut came = Vec::new();
    for what in [PREFILL_RESPONSE, Behavior::Disconnects, PREFILL_RESPONSE, PREFILL_RESPONSE] {
        stand_in.next(what);
        came.push(attempt(&upstream).await);
        idle().await;
    }
    use Outcome::{PrefillDone, StaleConnection};
    assert_eq!(came, [PrefillDone, StaleConnection, PrefillDone, PrefillDone]);
    assert_eq!(*stand_in.accepted.lock().unwrap(), 3, "each has been idle for twice what is trusted");
}

#[tokio::test]
async fn a_connection_that_never_comes_up_is_no_attempt() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    assert_eq!(attempt(&upstream(&[("box", 0, address)])).await, Outcome::NoConnection);
    assert_eq!(attempt(&upstream(&[])).await, Outcome::NoConnection, "an address that was never told");
}

/// A probe tells what the server holds, and its connection serves the request that it was for at once: a
/// second one would cost the server a handshake for each read, and servers take few.
#[tokio::test]
async fn the_request_behind_a_probe_goes_out_on_the_probes_connection() {
    let stand_in = StandIn::start(PREFILL_RESPONSE).await;
    let upstream = upstream_with_settle_time(&[("box", 0, stand_in.address)], Duration::from_secs(5));
    stand_in.next(Behavior::Responds(200, false, "{\"inflight\":3,\"x0\":0.5}"));
    let (outcome, load) = upstream.probe(&Id::from("box")).await;
    assert_eq!((outcome, load.and_then(|l| l.outstanding)), (Outcome::Served, Some(3.0)));
    assert_eq!(attempt(&upstream).await, Outcome::PrefillDone);
    assert_eq!(*stand_in.accepted.lock().unwrap(), 1);
    assert_eq!(attempt(&upstream).await, Outcome::PrefillDone);
    assert_eq!(*stand_in.accepted.lock().unwrap(), 2, "a read's own answer is left alone first");
}

/// A connection that comes up late takes its time from what the server is told.
#[tokio::test]
async fn the_time_told_is_what_is_left_as_the_head_is_written() {
    let wait = Duration::from_secs(8);
    let shut = FullBacklogServer::start().await;
    let upstream = upstream_with_connect_timeout(&[("decode", 1, shut.address)], Duration::from_secs(7));
    let begin = Instant::now();
    let attempt = tokio::spawn(async move {
        let permit = SendPermit::unconditional();
        upstream.attempt(&"decode".into(), &"late".into(), &call(), wait, &permit).await
    });
    // The kernel tries again after a second.
    sleep(Duration::from_millis(300)).await;
    let (head, came) = shut.first_request().await;
    let came = came - begin;
    assert!(came > Duration::from_millis(500), "it came up at once: {came:?}");
    let told = head.lines().find_map(|line| line.strip_prefix("x-remaining: ")?.strip_suffix('u'));
    let told = Duration::from_micros(told.unwrap().parse().unwrap());
    assert!(told + came < wait + Duration::from_millis(200), "told {told:?}, {came:?} after it began");
    attempt.abort();
}

/// What is known of the way to a server goes with its address.
#[tokio::test]
async fn the_way_to_a_server_is_measured_by_the_connections_that_come_up() {
    let (first, second) = (StandIn::start(PREFILL_RESPONSE).await, StandIn::start(PREFILL_RESPONSE).await);
    let (upstream, book) = upstream_and_addresses(&[("box", 0, first.address)]);
    let id = Id::from("box");
    assert_eq!(upstream.cancellation_delay(&id), Duration::ZERO, "nothing has been heard of it");
    assert_eq!(attempt(&upstream).await, Outcome::PrefillDone);
    let takes = upstream.cancellation_delay(&id);
    assert!(takes > Duration::ZERO && takes < Duration::from_secs(1), "{takes:?}");
    book.set(id.clone(), first.address);
    assert_eq!(upstream.cancellation_delay(&id), takes, "a list that names it again changes nothing");
    book.set(id.clone(), second.address);
    assert_eq!(upstream.cancellation_delay(&id), Duration::ZERO, "the way to another address is another");
    assert_eq!(upstream.cancellation_delay(&Id::from("unknown")), Duration::ZERO);
}

/// A server that is back under another address is reached there, though a connection to the old one was kept.
#[tokio::test]
async fn a_kept_connection_is_left_when_its_server_has_moved() {
    let (first, second) = (StandIn::start(PREFILL_RESPONSE).await, StandIn::start(PREFILL_RESPONSE).await);
    let (upstream, book) = upstream_and_addresses(&[("box", 0, first.address)]);
    for _ in 0..2 {
        assert_eq!(attempt(&upstream).await, Outcome::PrefillDone);
    }
    assert_eq!((first.posts().len(), *first.accepted.lock().unwrap()), (2, 1), "it is kept");
    book.set("box".into(), second.address);
    assert_eq!(attempt(&upstream).await, Outcome::PrefillDone);
    assert_eq!((first.posts().len(), second.posts().len()), (2, 1));
    book.set("box".into(), first.address);
    assert_eq!(attempt(&upstream).await, Outcome::PrefillDone);
    assert_eq!((first.posts().len(), second.posts().len()), (3, 1));
}

/// A connection that breaks right after its last answer tells of its server, not of the age of all others.
#[tokio::test]
async fn a_reset_soon_after_an_answer_costs_no_other_server_its_connections() {
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
    assert_eq!(*steady.accepted.lock().unwrap(), 1, "a handshake for each request");
}
