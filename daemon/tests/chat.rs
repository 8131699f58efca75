//! Tests the chat front on loopback between test clients and test servers: every request gets exactly one
//! final response, and no `book` request runs twice.

mod support;

use std::time::Duration;

use serde_json::{json, Value};
use support::*;
use tokio::io::AsyncReadExt;

const COMPLETIONS_PATH: &str = "/v1/chat/completions";

fn chat_body(stream: bool) -> Value {
    json!({"model": "chat", "stream": stream, "messages": [
        {"role": "system", "content": "You book tables at restaurants."},
        {"role": "user", "content": "Two at eight."}]})
}

fn chat_request(headers: &str, stream: bool) -> String {
    post(COMPLETIONS_PATH, headers, &chat_body(stream).to_string())
}

#[tokio::test]
async fn events_are_forwarded_unchanged_to_a_streaming_client() {
    let site = Site::start().await;
    let mut body = chat_body(true);
    body["stream_options"] = json!({"include_usage": true});
    let answer = exchange(site.chat, &post(COMPLETIONS_PATH, "x-txn: t-1\r\n", &body.to_string())).await;
    assert_eq!((answer.status, answer.whole), (200, true));
    assert_eq!(answer.body, [EVENT, LAST, USAGE, DONE].concat());
    assert_eq!(answer.header("x-request-id"), Some("t-1"));
    let (prefill_requests, decode_requests) = (site.prefill.posts(), site.decode.posts());
    assert_eq!((prefill_requests.len(), decode_requests.len()), (1, 1));
    assert_eq!(decode_requests[0].body, body.to_string(), "the body was changed on the way to the server");
}

#[tokio::test]
async fn usage_is_omitted_unless_requested() {
    let site = Site::start().await;
    let answer = exchange(site.chat, &chat_request("", true)).await;
    assert_eq!(answer.body, [EVENT, LAST, DONE].concat());
}

#[tokio::test]
async fn a_non_streaming_client_gets_one_completion_object() {
    let site = Site::start().await;
    let answer = exchange(site.chat, &chat_request("", false)).await;
    let object = answer.json();
    assert_eq!(answer.status, 200);
    assert_eq!(object["object"], "chat.completion");
    assert_eq!(object["choices"][0]["message"], json!({"role": "assistant", "content": "Table booked"}));
    assert_eq!(object["choices"][0]["finish_reason"], "stop");
    assert_eq!(object["usage"]["total_tokens"], 14);
    let sent: Value = serde_json::from_str(&site.decode.posts()[0].body).unwrap();
    assert_eq!((&sent["stream"], &sent["stream_options"]["include_usage"]), (&json!(true), &json!(true)));
}

#[tokio::test]
async fn fields_that_a_request_does_not_state_are_derived() {
    let site = Site::start().await;
    exchange(site.chat, &chat_request("authorization: Bearer secret\r\n", true)).await;
    exchange(site.chat, &chat_request("x-lane: ask\r\nx-remaining: 4000m\r\n", true)).await;
    let got = site.prefill.posts();
    let value = |n: usize, name: &str| {
        let line = got[n].head.lines().find_map(|l| l.strip_prefix(name)).unwrap();
        line.trim_start_matches(": ").to_string()
    };
    assert_eq!((value(0, "x-lane"), value(1, "x-lane")), ("book".into(), "ask".into()));
    assert_eq!(
        value(0, "x-entity"),
        value(1, "x-entity"),
        "requests with the same first messages got different sessions"
    );
    assert_ne!(value(0, "x-txn"), value(1, "x-txn"));
    // 31 and 13 characters make 11 tokens, 7 of them in the system message.
    assert!(
        value(0, "x-labels").ends_with(",prompt_len=11,prefix_len=7,max_out=400"),
        "{}",
        value(0, "x-labels")
    );
    assert!(!got[0].head.contains("secret"), "the client's credentials were forwarded");
}

#[tokio::test]
async fn a_client_that_disconnects_during_a_book_response_cancels_its_only_attempt() {
    let mut site = Site::start().await;
    site.decode.next(Behavior::StallsAfter(&[EVENT]));
    let mut client = send(site.chat, &chat_request("x-lane: book\r\n", true)).await;
    let mut seen = Vec::new();
    while !String::from_utf8_lossy(&seen).contains("Table") {
        assert!(client.read_buf(&mut seen).await.unwrap() > 0);
    }
    drop(client);
    site.decode.aborts.recv().await.unwrap();
    // The conductor still serves, and the book request reached the decode server once.
    assert_eq!(exchange(site.chat, &chat_request("x-lane: ask\r\n", true)).await.status, 200);
    let books = site.decode.posts().iter().filter(|g| g.head.contains("x-lane: book")).count();
    assert_eq!(books, 1);
}

#[tokio::test]
async fn a_client_that_disconnects_before_the_response_begins_releases_the_kv_cache() {
    let mut site = Site::start().await;
    site.decode.next(Behavior::StaysSilent);
    let client = send(site.chat, &chat_request("x-lane: book\r\nx-txn: t-9\r\n", true)).await;
    while site.decode.posts().is_empty() {
        tokio::task::yield_now().await;
    }
    drop(client);
    site.decode.aborts.recv().await.unwrap();
    // The prefill server responded last, so the release goes there first; any server releases a KV cache,
    // wherever it is.
    let released = tokio::time::timeout(Duration::from_secs(30), site.prefill.releases.recv()).await;
    assert!(released.unwrap().is_some());
    let deletes = |g: &ReceivedRequest| g.line == "DELETE /state/t-9 HTTP/1.1";
    assert!(site.prefill.requests.lock().unwrap().iter().any(deletes));
    assert_eq!(site.decode.posts().len(), 1);
}

#[tokio::test]
async fn a_stream_without_a_final_event_is_never_completed() {
    for behavior in [Behavior::Streams(&[EVENT, LAST]), Behavior::BreaksAfter(&[EVENT])] {
        let site = Site::start().await;
        site.decode.next(behavior.clone());
        let answer = exchange(site.chat, &chat_request("x-lane: book\r\n", true)).await;
        assert_eq!((answer.status, answer.whole), (200, false), "{behavior:?}");
        assert!(answer.body.starts_with(EVENT) && !answer.body.contains("[DONE]"));
        assert_eq!(site.decode.posts().len(), 1, "{behavior:?}");

        site.decode.next(behavior.clone());
        let answer = exchange(site.chat, &chat_request("x-lane: book\r\n", false)).await;
        assert_eq!((answer.status, &answer.json()["error"]["type"]), (502, &json!("server_error")));
        assert_eq!(answer.header("x-should-retry"), Some("false"));
        assert_eq!(site.decode.posts().len(), 2, "{behavior:?}");
    }
}

#[tokio::test]
async fn a_book_that_may_have_run_fails_and_an_ask_is_retried() {
    for behavior in [Behavior::Disconnects, Behavior::Responds(500, false, "{}"), Behavior::Streams(&[])] {
        let site = Site::start().await;
        site.decode.next(behavior.clone());
        let answer = exchange(site.chat, &chat_request("x-lane: book\r\n", true)).await;
        assert_eq!((answer.status, answer.header("retry-after")), (502, None), "{behavior:?}");
        assert_eq!(site.decode.posts().len(), 1, "{behavior:?}");

        site.decode.next(behavior.clone());
        assert_eq!(
            exchange(site.chat, &chat_request("x-lane: ask\r\n", true)).await.status,
            200,
            "{behavior:?}"
        );
        assert_eq!(site.decode.posts().len(), 3, "{behavior:?}");
    }
}

#[tokio::test]
async fn an_expired_deadline_gives_the_response_that_the_class_allows() {
    let mut site = Site::start().await;
    site.decode.next(Behavior::StaysSilent);
    let book = exchange(site.chat, &chat_request("x-lane: book\r\nx-remaining: 200m\r\n", true)).await;
    assert_eq!((book.status, &book.json()["error"]["code"]), (504, &json!("timeout")));
    assert_eq!(site.decode.posts().len(), 1);
    site.decode.aborts.recv().await.unwrap();

    site.prefill.next(Behavior::StaysSilent);
    let ask = exchange(site.chat, &chat_request("x-lane: ask\r\nx-remaining: 200m\r\n", true)).await;
    assert_eq!((ask.status, &ask.json()["error"]["code"]), (429, &json!("rate_limit_exceeded")));
    // The retry delay is at most 2 s by the settings; whole seconds are rounded up.
    let advice = |name| ask.header(name).unwrap().parse::<u64>().unwrap();
    let (seconds, ms) = (advice("retry-after"), advice("retry-after-ms"));
    assert!(ms > 0 && ms <= 2_000 && seconds == ms.div_ceil(1_000), "{ask:?}");
}

#[tokio::test]
async fn a_request_rejected_by_every_server_is_refused_with_a_retry_delay() {
    let site = Site::start().await;
    for _ in 0..4 {
        site.decode.next(Behavior::Responds(503, true, ""));
    }
    let answer = exchange(site.chat, &chat_request("x-lane: book\r\n", true)).await;
    assert_eq!((answer.status, answer.header("x-should-retry")), (429, Some("true")));
    assert!(answer.header("retry-after").is_some());
}

#[tokio::test]
async fn refusals_distinguish_unreachable_servers_from_full_ones() {
    let mut site = Site::start().await;
    site.prefill.refuse_all().await;
    let answer = exchange(site.chat, &chat_request("x-remaining: 200m\r\n", true)).await;
    assert_eq!((answer.status, &answer.json()["error"]["code"]), (503, &json!("service_unavailable")));
    assert!(answer.header("retry-after").is_some());
}

#[tokio::test]
async fn bad_input_gets_the_apis_error_object() {
    let site = Site::start().await;
    let with = |key: &str, value: Value| {
        let mut body = chat_body(true);
        body[key] = value;
        post(COMPLETIONS_PATH, "", &body.to_string())
    };
    let large = "x".repeat(300 << 10);
    let cases = [
        (post(COMPLETIONS_PATH, "", "not json"), 400, Value::Null),
        (with("messages", json!([])), 400, json!("messages")),
        (with("max_tokens", json!(0)), 400, json!("max_tokens")),
        (with("model", json!("other")), 404, json!("model")),
        (post(COMPLETIONS_PATH, "x-lane: nobody\r\n", &chat_body(true).to_string()), 400, Value::Null),
        (post(COMPLETIONS_PATH, "x-txn: a/b\r\n", &chat_body(true).to_string()), 400, Value::Null),
        (post(COMPLETIONS_PATH, "x-remaining: soon\r\n", &chat_body(true).to_string()), 400, Value::Null),
        (post("/v1/other", "", "{}"), 404, Value::Null),
        (
            format!("GET {COMPLETIONS_PATH} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"),
            405,
            Value::Null,
        ),
        (with("user", json!(large)), 413, Value::Null),
    ];
    for (text, status, param) in cases {
        let answer = exchange(site.chat, &text).await;
        let error = &answer.json()["error"];
        assert_eq!((answer.status, &error["param"]), (status, &param), "{answer:?}");
        assert_eq!(error["type"], "invalid_request_error");
        assert!(!error["message"].as_str().unwrap().is_empty());
    }
    assert!(site.prefill.posts().is_empty(), "invalid input reached a server");
}
