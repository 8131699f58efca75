//! Responses that are cut, invalid, late or endless, for a class that may run twice and one that may not, and
//! connections that open late or never.

mod support;

use std::time::{Duration, Instant};

use support::*;
use tokio::time::{sleep, timeout};

const LATEST: Duration = Duration::from_secs(20);
/// An incomplete event.
const PARTIAL_EVENT: &str = "data: {\"choices\":[{\"index\":0,";
const TWO_RESPONSES: &str = "HTTP/1.1 202 Accepted\r\ncontent-length: 19\r\n\r\n{\"cached_tokens\":0}\
    HTTP/1.1 202 Accepted\r\ncontent-length: 19\r\n\r\n{\"cached_tokens\":9}";

fn request(id: &str, class: &str) -> String {
    chat(id, class, 7_000)
}

/// Before the first event another attempt is possible if the class may run twice or the request has not run.
#[tokio::test]
async fn a_failure_before_the_first_event_is_retried_only_if_the_class_allows_it() {
    let may_have_run = [
        Behavior::Disconnects,
        Behavior::Streams(&[]),
        Behavior::BreaksAfter(&[PARTIAL_EVENT]),
        Behavior::StallsAfter(&[PARTIAL_EVENT]),
        Behavior::SendsRaw("HTTP/1.1 200 OK\r\ncontent-"),
        Behavior::RepeatsLastByte("\u{7}"),
        Behavior::Responds(500, false, ""),
    ];
    for behavior in may_have_run {
        for (class, status, attempts) in [("ask", 200, 2), ("book", 502, 1)] {
            let site = Site::start().await;
            site.decode.next(behavior.clone());
            let answer = exchange(site.platform, &request("t", class)).await;
            assert_eq!(
                (answer.status, site.decode.posts().len()),
                (status, attempts),
                "{class}, {behavior:?}"
            );
            assert!(answer.whole && answer.answers == 1, "{class}, {behavior:?}: {answer:?}");
        }
    }
    for class in ["ask", "book"] {
        let site = Site::start().await;
        site.decode.next(Behavior::Responds(503, true, ""));
        let answer = exchange(site.platform, &request("t", class)).await;
        assert_eq!(
            (answer.status, site.decode.posts().len()),
            (200, 2),
            "{class}: the rejected request never ran"
        );
    }
}

/// After the first event the response belongs to the client: it is cut without its final chunk, and nothing
/// is sent again.
#[tokio::test]
async fn a_stream_that_breaks_after_the_first_event_is_cut_and_not_retried() {
    for (behavior, max_duration) in [
        (Behavior::BreaksAfter(&[EVENT]), Duration::from_secs(2)),
        (Behavior::BreaksAfter(&[EVENT, PARTIAL_EVENT]), Duration::from_secs(2)),
        (Behavior::StallsAfter(&[EVENT, PARTIAL_EVENT]), Duration::from_secs(5)),
    ] {
        for class in ["ask", "book"] {
            let site = Site::start().await;
            site.decode.next(behavior.clone());
            let started_at = Instant::now();
            let answer = timeout(LATEST, exchange(site.platform, &request("t", class)))
                .await
                .expect("the response ends");
            assert_eq!(
                (answer.status, answer.whole, &*answer.body),
                (200, false, EVENT),
                "{class}, {behavior:?}"
            );
            assert!(
                started_at.elapsed() < max_duration + Duration::from_secs(2),
                "{class}, {behavior:?}: {:?}",
                started_at.elapsed()
            );
            assert_eq!(
                (site.prefill.posts().len(), site.decode.posts().len()),
                (1, 1),
                "{class}, {behavior:?}"
            );
        }
    }
}

/// Sends a second response right after the first, which must not be taken for that of the next request.
#[tokio::test]
async fn bytes_after_a_response_do_not_reach_the_next_request() {
    let site = Site::start().await;
    for n in 0..4 {
        site.prefill.next(Behavior::SendsRawResponse(TWO_RESPONSES));
        for m in 0..2 {
            let answer = exchange(site.platform, &request(&format!("{n}-{m}"), "book")).await;
            assert_eq!((answer.status, answer.whole), (200, true), "{n}-{m}: {answer:?}");
        }
    }
    assert_eq!((site.prefill.posts().len(), site.decode.posts().len()), (8, 8), "each request was sent once");
}

/// Guards against a connection that stays one answer behind: a client would get the answer to another one's
/// request.
#[tokio::test]
async fn a_second_answer_some_milliseconds_late_is_no_answer_to_the_next_request() {
    let (prefill, decode) =
        (StandIn::start(PREFILL_RESPONSE).await, StandIn::start(Behavior::AnswersTwice(40)).await);
    let servers = [("p", "prefill", prefill.address), ("d", "decode", decode.address)];
    let config = config_json("late-answer", "127.0.0.1:9", 512, &servers, &setup());
    let process = DaemonProcess::start(program("late-answer", &config));
    for n in 0..50 {
        let answer = exchange(process.listen, &request(&format!("t-{n}"), "ask")).await;
        assert_eq!(answer.status, 200);
        assert!(answer.body.starts_with("data: first"), "request {n} got another answer: {}", answer.body);
    }
}

/// One server of each role accepts no connection. Requests go to the other, one attempt at a time, and
/// nothing is sent on a connection that opens after its attempt has ended.
#[tokio::test]
async fn a_connection_that_opens_late_or_never_carries_no_request() {
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
        assert_eq!(decode.posts().len(), 6, "{class}: each request ran once");
        // Cancelled connections are closed, and no server keeps a KV cache.
        site.conductor.wait_for_releases().await;
        let sent = tokio::join!(no_prefill.count_used_connections(), no_decode.count_used_connections());
        assert_eq!(sent, (0, 0), "{class}: nothing is sent on a late connection");
        sleep(Duration::from_millis(20)).await;
        assert_eq!((prefill.posts().len(), decode.posts().len()), (6, 6), "{class}");
    }
}

/// No server is known. A request of each class is rejected in time with a response that says when to retry.
#[tokio::test]
async fn a_request_without_any_server_is_rejected_in_time() {
    let site = TestConductor::start(&[], CLIENT_TIMEOUTS);
    for class in ["ask", "book"] {
        let request_text = chat(&format!("never-{class}"), class, 900);
        let started_at = Instant::now();
        let answer = exchange(site.platform, &request_text).await;
        assert_eq!((answer.status, answer.answers), (503, 1), "{class}");
        assert!(answer.header("retry-after").is_some(), "{class}: {answer:?}");
        assert!(
            started_at.elapsed() < Duration::from_millis(900 + 500),
            "{class}: {:?}",
            started_at.elapsed()
        );
    }
}
