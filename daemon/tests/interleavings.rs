//! Ends that cross each other, drawn by a seed: clients that leave in every way, servers that answer, refuse,
//! break and spoil, members that drain and come back. What the protocol owes is counted at the servers and at
//! the clients.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use frosttrail::{Health, ListUpdateKind};
use frosttrail_core::MembershipUpdate;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use support::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

const LATEST: Duration = Duration::from_secs(30);
const REQUESTS: usize = 120;
const AT_ONCE: usize = 6;

/// Mostly well; the rest in every way.
fn prefill_does(draws: &mut SmallRng) -> Behavior {
    match draws.random_range(0..20) {
        0 => Behavior::Responds(503, true, ""),
        1 => Behavior::Responds(500, false, "{}"),
        2 => Behavior::Disconnects,
        3 => Behavior::SendsRaw("\u{1}\u{2} of the sea\r\n\r\n"),
        4 => Behavior::Responds(504, true, ""),
        _ => PREFILL_RESPONSE,
    }
}

fn decode_does(draws: &mut SmallRng) -> Behavior {
    match draws.random_range(0..20) {
        0 | 1 => Behavior::Responds(503, true, ""),
        2 => Behavior::Responds(410, true, "gone"),
        3 => Behavior::Responds(500, false, "{}"),
        4 => Behavior::Disconnects,
        5 => Behavior::BreaksAfter(&[EVENT]),
        6 => Behavior::Streams(&[]),
        7 => Behavior::SendsRaw(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n10\r\nTable for two!\n\n\r\n",
        ),
        8 => Behavior::StreamsTimestamps(10, 3),
        _ => COMPLETE_STREAM,
    }
}

/// Proof that an attempt never ran.
fn never_ran(does: &Behavior) -> bool {
    matches!(does, Behavior::Responds(503 | 504 | 410, true, _))
}

/// How a client ends its connection, and after so long.
#[derive(Clone, Copy, Debug)]
enum Leaves {
    Stays,
    Closes(u64),
    HalfCloses(u64),
    Resets(u64),
    Behind(u64, usize),
}

impl Leaves {
    fn draw(draws: &mut SmallRng) -> Self {
        let after = draws.random_range(0..12);
        match draws.random_range(0..12) {
            0 => Leaves::Closes(after),
            1 => Leaves::HalfCloses(after),
            2 => Leaves::Resets(after),
            3 => Leaves::Behind(after, draws.random_range(1..200_000)),
            _ => Leaves::Stays,
        }
    }
}

/// What it got, if it stayed.
async fn client(to: std::net::SocketAddr, text: String, leaves: Leaves) -> Option<Answer> {
    let mut stream = send(to, &text).await;
    match leaves {
        Leaves::Stays => return Some(timeout(LATEST, read_answer(stream)).await.expect("an answer in time")),
        Leaves::Closes(after) => sleep(Duration::from_millis(after)).await,
        Leaves::Resets(after) => {
            sleep(Duration::from_millis(after)).await;
            socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
        }
        Leaves::Behind(after, bytes) => {
            sleep(Duration::from_millis(after)).await;
            let _ = stream.write_all("x".repeat(bytes).as_bytes()).await;
        }
        Leaves::HalfCloses(after) => {
            sleep(Duration::from_millis(after)).await;
            let _ = stream.shutdown().await;
            let _ = timeout(LATEST, stream.read_to_end(&mut Vec::new())).await.expect("it is ended");
        }
    }
    None
}

async fn day(seed: u64) {
    let mut draws = SmallRng::seed_from_u64(seed);
    let prefill = [StandIn::start(PREFILL_RESPONSE).await, StandIn::start(PREFILL_RESPONSE).await];
    let decode = [StandIn::start(COMPLETE_STREAM).await, StandIn::start(COMPLETE_STREAM).await];
    let servers = [
        ("p0", 0, prefill[0].address),
        ("p1", 0, prefill[1].address),
        ("d0", 1, decode[0].address),
        ("d1", 1, decode[1].address),
    ];
    let site = TestConductor::start(&servers, CLIENT_TIMEOUTS);
    let mut clients = JoinSet::new();
    let mut answers = BTreeMap::new();
    for n in 0..REQUESTS {
        if clients.len() == AT_ONCE {
            let (id, answer): (String, Option<Answer>) = clients.join_next().await.unwrap().unwrap();
            answers.insert(id, answer);
        }
        prefill[draws.random_range(0..2)].next(prefill_does(&mut draws));
        decode[draws.random_range(0..2)].next(decode_does(&mut draws));
        if draws.random_range(0..15) == 0 {
            let (name, kind, _) = servers[draws.random_range(0..4)];
            for health in [Health::Draining, Health::Up] {
                let news = MembershipUpdate {
                    kind: ListUpdateKind::Changes,
                    entries: vec![entry(name, kind, health)],
                };
                site.membership.send(news).unwrap();
                tokio::task::yield_now().await;
            }
        }
        let (class, leaves) = (["ask", "book"][draws.random_range(0..2)], Leaves::draw(&mut draws));
        let (id, to) = (format!("{class}-{seed}-{n}"), site.platform);
        let text = chat(&id, class, 3_000);
        clients.spawn(async move { (id, client(to, text, leaves).await) });
        sleep(Duration::from_micros(draws.random_range(0..4_000))).await;
    }
    answers.extend(clients.join_all().await);
    timeout(LATEST, site.conductor.wait_for_releases()).await.expect("what is held is let go");
    sleep(Duration::from_millis(50)).await;
    let all = |of: &[StandIn]| {
        of.iter().flat_map(|s| s.handled.lock().unwrap().clone()).collect::<Vec<HandledRequest>>()
    };
    let (read, written) = (all(&prefill), all(&decode));
    for (id, answer) in &answers {
        let of = |did: &[HandledRequest]| {
            let mut of: Vec<HandledRequest> = did.iter().filter(|d| d.id == *id).cloned().collect();
            of.sort_by_key(|d| d.sequence);
            of
        };
        let (reads, writes) = (of(&read), of(&written));
        let attempts: Vec<&HandledRequest> = writes.iter().filter(|d| d.behavior.is_some()).collect();
        let ran = attempts.iter().position(|d| !never_ran(d.behavior.as_ref().unwrap()));
        let story = format!("seed {seed}, {id}: {answer:?}, read {reads:?}, written {writes:?}");
        assert!(
            !id.starts_with("book") || ran.is_none_or(|nth| nth + 1 == attempts.len()),
            "repeated: {story}"
        );
        let last_read = reads.iter().rev().find(|d| matches!(d.behavior, Some(Behavior::Responds(202, ..))));
        if let Some(last_read) = last_read {
            let taken = attempts.iter().any(|d| d.sequence > last_read.sequence);
            let released =
                reads.iter().chain(&writes).any(|d| d.behavior.is_none() && d.sequence > last_read.sequence);
            assert!(taken || released, "left behind: {story}");
        }
        let Some(answer) = answer else { continue };
        assert_eq!(answer.answers, 1, "{story}");
        match answer.status {
            200 => assert!(ran.is_some(), "{story}"),
            503 => assert!(!id.starts_with("book") || ran.is_none(), "refused: {story}"),
            502 => assert!(id.starts_with("book") && ran.is_some(), "failed: {story}"),
            other => panic!("{other}: {story}"),
        }
        // A cut stream was broken by its server; a whole one was whole there.
        let broke = attempts.last().is_some_and(|d| matches!(d.behavior, Some(Behavior::BreaksAfter(_))));
        assert!(answer.status != 200 || answer.whole != broke, "{story}");
    }
    let served = answers.values().flatten().filter(|a| a.status == 200 && a.whole).count();
    assert!(served * 3 > REQUESTS, "seed {seed}: {served} served");
}

#[tokio::test]
async fn ends_that_cross_in_any_order_break_no_rule() {
    for seed in [41, 42, 43, 44] {
        day(seed).await;
    }
}
