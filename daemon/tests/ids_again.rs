//! Requests that come again under an id that has been used: what may have run does not run again.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use support::operations::{deployment_with_shared_address, request};
use support::*;
use tokio::time::{sleep, timeout};

const TEST_TIMEOUT: Duration = Duration::from_secs(10);
/// An answer that streams for longer than a client stays.
const LONG_STREAM: Behavior = Behavior::StreamsTimestamps(20, 100);

/// The front that a client uses, and what it sends to it.
fn fronts(site: &Site, id: &str, class: &str) -> [(&'static str, SocketAddr, String); 2] {
    let headers = format!("x-txn: {id}\r\nx-lane: {class}\r\nx-remaining: 7000m\r\n");
    let body = "{\"model\":\"chat\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"a\"}]}";
    [
        ("platform", site.platform, chat(id, class, 7_000)),
        ("chat", site.chat, post("/v1/chat/completions", &headers, body)),
    ]
}

async fn wait_for_posts(of: &StandIn, count: usize) {
    let reached = async {
        while of.posts().len() < count {
            sleep(Duration::from_millis(2)).await;
        }
    };
    timeout(TEST_TIMEOUT, reached).await.expect("the attempt did not reach its server");
}

/// Guards against a `book` that runs twice: its client leaves, and it comes again with the same id.
#[tokio::test]
async fn an_unsafe_request_whose_client_left_does_not_run_again() {
    for (stage, prefill, decode) in [
        ("in the prefill", Behavior::StaysSilent, COMPLETE_STREAM),
        ("before the first event", PREFILL_RESPONSE, Behavior::StaysSilent),
        ("in the stream", PREFILL_RESPONSE, LONG_STREAM),
    ] {
        for front in 0..2 {
            let site = Site::start().await;
            site.prefill.next(prefill.clone());
            site.decode.next(decode.clone());
            let (name, address, text) = fronts(&site, "again", "book")[front].clone();
            let client = send(address, &text).await;
            let is_prefilling = stage == "in the prefill";
            wait_for_posts(if is_prefilling { &site.prefill } else { &site.decode }, 1).await;
            sleep(Duration::from_millis(50)).await;
            drop(client);
            for pause_ms in [0, 300] {
                sleep(Duration::from_millis(pause_ms)).await;
                let answer = timeout(TEST_TIMEOUT, exchange(address, &text)).await.expect("an answer");
                assert_eq!(answer.status, 409, "{name}, {stage}, {pause_ms} ms later: {answer:?}");
            }
            let attempts = (site.prefill.posts().len(), site.decode.posts().len());
            assert_eq!(attempts, (1, usize::from(!is_prefilling)), "{name}, {stage}: sent again");
        }
    }
}

/// Guards against the same after an answer: a whole one, one that broke off, and a failure.
#[tokio::test]
async fn an_unsafe_request_that_was_answered_does_not_run_again() {
    for (decode, status) in [
        (COMPLETE_STREAM, 200),
        (Behavior::BreaksAfter(&[EVENT]), 200),
        (Behavior::Disconnects, 502),
        (Behavior::Responds(500, false, ""), 502),
    ] {
        for front in 0..2 {
            let site = Site::start().await;
            site.decode.next(decode.clone());
            let (name, address, text) = fronts(&site, "again", "book")[front].clone();
            let answer = exchange(address, &text).await;
            assert_eq!(answer.status, status, "{name}, {decode:?}: {answer:?}");
            assert_eq!(exchange(address, &text).await.status, 409, "{name}, {decode:?}");
            assert_eq!(site.decode.posts().len(), 1, "{name}, {decode:?}: sent again");
        }
    }
}

/// A refusal says that trying again is harmless, and a safe request may be repeated.
#[tokio::test]
async fn a_refused_and_a_safe_request_may_come_again() {
    let site = Site::start().await;
    let [(_, address, text), _] = fronts(&site, "refused", "book");
    for _ in 0..8 {
        site.decode.next(Behavior::Responds(503, true, ""));
    }
    assert_eq!(exchange(address, &text.replace("7000m", "300m")).await.status, 503);
    let served = async {
        while exchange(address, &text).await.status == 503 {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(TEST_TIMEOUT, served).await.expect("a refused request is not served when it comes again");
    // Another one, as the decode server of the first has rejected so much.
    let site = Site::start().await;
    let [(_, address, text), _] = fronts(&site, "safe", "ask");
    for _ in 0..2 {
        assert_eq!(exchange(address, &text).await.status, 200);
    }
}

/// Guards against an id that is forgotten with the process that ran it, while the state folder lasts.
#[tokio::test]
async fn an_unsafe_request_does_not_run_again_after_an_upgrade_or_a_kill() {
    let (deployment, _reserved) = deployment_with_shared_address("again-upgrade").await;
    let (old, _) = deployment.start("again-upgrade").await;
    let [_, decode] = &deployment.servers;
    let unsafe_request = |id: &str| request(id).replace("x-lane: ask", "x-lane: book");
    assert_eq!(exchange(old.listen, &unsafe_request("served")).await.status, 200);
    decode.next(Behavior::StaysSilent);
    let client = send(old.listen, &unsafe_request("left")).await;
    wait_for_posts(decode, 2).await;
    drop(client);
    sleep(Duration::from_millis(100)).await;
    let (new, _) = deployment.start("again-upgrade-new").await;
    old.signal("-TERM");
    old.expect_clean_exit().await;
    for id in ["served", "left"] {
        assert_eq!(exchange(new.listen, &unsafe_request(id)).await.status, 409, "{id}");
    }
    drop(new);
    let (newest, _) = deployment.start("again-upgrade-newest").await;
    for id in ["served", "left"] {
        assert_eq!(exchange(newest.listen, &unsafe_request(id)).await.status, 409, "{id}, after a kill");
    }
    assert_eq!(exchange(newest.listen, &unsafe_request("other")).await.status, 200);
    assert_eq!(decode.posts().len(), 3, "sent again");
}

/// Guards against a refusal of what may have run: it would say that trying again is harmless. A front that
/// takes nothing new refuses requests by itself.
#[tokio::test]
async fn what_may_have_run_is_not_refused_while_the_conductor_closes() {
    for front in 0..2 {
        let site = Site::start().await;
        let (name, address, text) = fronts(&site, "again", "book")[front].clone();
        assert_eq!(exchange(address, &text).await.status, 200);
        site.listeners.plan_close(tokio::time::Instant::now());
        sleep(Duration::from_millis(100)).await;
        assert_eq!(exchange(address, &text).await.status, 409, "{name}");
        let (_, _, new) = fronts(&site, "new", "book")[front].clone();
        assert_eq!(exchange(address, &new).await.status, 503, "{name}");
        let (_, _, safe) = fronts(&site, "again", "ask")[front].clone();
        assert_eq!(exchange(address, &safe).await.status, 409, "{name}");
    }
}
