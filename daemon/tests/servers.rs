//! Answers that are cut, spoilt, late or without end, by the effect of the request's class; and connections
//! that come up late or never.

mod support;

use std::time::{Duration, Instant};

use support::*;
use tokio::time::{sleep, timeout};

const LATEST: Duration = Duration::from_secs(20);
/// Half an event.
const HALF: &str = "data: {\"choices\":[{\"index\":0,";
const TWO_ANSWERS: &str = "HTTP/1.1 202 Accepted\r\ncontent-length: 19\r\n\r\n{\"cached_tokens\":0}\
    HTTP/1.1 202 Accepted\r\ncontent-length: 19\r\n\r\n{\"cached_tokens\":9}";

fn request(id: &str, class: &str) -> String {
    chat(id, class, 7_000)
}

/// Before the first event another attempt is possible, where the class may run twice or nothing has run.
#[tokio::test]
async fn what_ends_before_the_first_event_is_tried_again_or_failed_by_the_effect_of_its_class() {
    let may_have_run = [
        Behavior::Disconnects,
        Behavior::Streams(&[]),
        Behavior::BreaksAfter(&[HALF]),
        Behavior::StallsAfter(&[HALF]),
        Behavior::SendsRaw("HTTP/1.1 200 OK\r\ncontent-"),
        Behavior::RepeatsLastByte("\u{7}"),
        Behavior::Responds(500, false, ""),
    ];
    for does in may_have_run {
        for (class, status, attempts) in [("ask", 200, 2), ("book", 502, 1)] {
            let site = Site::start().await;
            site.decode.next(does.clone());
            let answer = exchange(site.platform, &request("t", class)).await;
            assert_eq!((answer.status, site.decode.posts().len()), (status, attempts), "{class}, {does:?}");
            assert!(answer.whole && answer.answers == 1, "{class}, {does:?}: {answer:?}");
        }
    }
    for class in ["ask", "book"] {
        let site = Site::start().await;
        site.decode.next(Behavior::Responds(503, true, ""));
        let answer = exchange(site.platform, &request("t", class)).await;
        assert_eq!((answer.status, site.decode.posts().len()), (200, 2), "{class}: it never ran");
    }
}

/// From the first event on the answer is the client's: it ends without its end, and nothing is sent again.
#[tokio::test]
async fn what_breaks_after_the_first_event_is_cut_and_never_sent_again() {
    for (does, most) in [
        (Behavior::BreaksAfter(&[EVENT]), Duration::from_secs(2)),
        (Behavior::BreaksAfter(&[EVENT, HALF]), Duration::from_secs(2)),
        (Behavior::StallsAfter(&[EVENT, HALF]), Duration::from_secs(5)),
    ] {
        for class in ["ask", "book"] {
            let site = Site::start().await;
            site.decode.next(does.clone());
            let begin = Instant::now();
            let answer =
                timeout(LATEST, exchange(site.platform, &request("t", class))).await.expect("an end");
            assert_eq!(
                (answer.status, answer.whole, &*answer.body),
                (200, false, EVENT),
                "{class}, {does:?}"
            );
            assert!(
                begin.elapsed() < most + Duration::from_secs(2),
                "{class}, {does:?}: {:?}",
                begin.elapsed()
            );
            assert_eq!((site.prefill.posts().len(), site.decode.posts().len()), (1, 1), "{class}, {does:?}");
        }
    }
}

/// An answer that runs on after its last event, and a second answer behind the first.
#[tokio::test]
async fn what_comes_behind_an_answer_spoils_no_other() {
    let site = Site::start().await;
    for n in 0..4 {
        site.prefill.next(Behavior::SendsRawResponse(TWO_ANSWERS));
        for m in 0..2 {
            let answer = exchange(site.platform, &request(&format!("{n}-{m}"), "book")).await;
            assert_eq!((answer.status, answer.whole), (200, true), "{n}-{m}: {answer:?}");
        }
    }
    assert_eq!((site.prefill.posts().len(), site.decode.posts().len()), (8, 8), "each went out once");
}

/// One server takes no connection: the request goes by the other, one attempt at a time, and nothing is sent
/// on what comes up when nobody waits for it any more.
#[tokio::test]
async fn a_connection_that_comes_up_late_or_never_carries_nothing() {
    for class in ["ask", "book"] {
        let (prefill, decode) =
            (StandIn::start(PREFILL_RESPONSE).await, StandIn::start(COMPLETE_STREAM).await);
        let (no_prefill, no_decode) = (FullBacklogServer::start().await, FullBacklogServer::start().await);
        let servers = [
            ("p1", 0, no_prefill.address),
            ("p2", 0, prefill.address),
            ("d1", 1, no_decode.address),
            ("d2", 1, decode.address),
        ];
        let site = TestConductor::start(&servers, CLIENT_TIMEOUTS);
        for n in 0..6 {
            let answer = exchange(site.platform, &request(&format!("{class}-{n}"), class)).await;
            assert_eq!((answer.status, answer.answers), (200, 1), "{class}-{n}");
        }
        assert_eq!(decode.posts().len(), 6, "{class}: each ran once");
        // Connections that were given up have gone; no server holds anything.
        site.conductor.wait_for_releases().await;
        let sent = tokio::join!(no_prefill.count_used_connections(), no_decode.count_used_connections());
        assert_eq!(sent, (0, 0), "{class}: something was sent late");
        sleep(Duration::from_millis(20)).await;
        assert_eq!((prefill.posts().len(), decode.posts().len()), (6, 6), "{class}");
    }
}

/// No server is known at all: each class is refused in time, with an answer, and told when to come back.
#[tokio::test]
async fn what_was_never_sent_is_refused_with_an_answer() {
    let site = TestConductor::start(&[], CLIENT_TIMEOUTS);
    for class in ["ask", "book"] {
        let text = chat(&format!("never-{class}"), class, 900);
        let begin = Instant::now();
        let answer = exchange(site.platform, &text).await;
        assert_eq!((answer.status, answer.answers), (503, 1), "{class}");
        assert!(answer.header("retry-after").is_some(), "{class}: {answer:?}");
        assert!(begin.elapsed() < Duration::from_millis(900 + 500), "{class}: {:?}", begin.elapsed());
    }
}
