//! Requests that come again under an id that has been used: what may have run does not run again.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

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
