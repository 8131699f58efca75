//! The platform front, client connections and the program itself, over loopback.

mod support;

use std::time::Duration;

use frosttrail_daemon::front::ClientTimeouts;
use frosttrail_membership::gossip::Role;
use frosttrail_membership::service::{Membership, MembershipConfig, MembershipView};
use frosttrail_membership::LeaseConfig;
use serde_json::{json, Value};
use support::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longer than any step here should take, and shorter than the timeouts that a step must not wait for.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);
const PATH: &str = "/v1/chat/completions";
const HEADERS: &str = "x-txn: t-1\r\nx-lane: book\r\nx-entity: s-1\r\nx-remaining: 4800m\r\n\
    x-labels: prefix=5c0f,prompt_len=5120,prefix_len=2048,max_out=800\r\n";

#[tokio::test]
async fn method_path_query_body_and_id_pass_unchanged() {
    let site = Site::start().await;
    let answer = exchange(site.platform, &post(&format!("{PATH}?a=b%20c"), HEADERS, "{\"x\": 1}")).await;
    assert_eq!((answer.status, answer.whole), (200, true));
    assert_eq!(
        answer.body,
        [EVENT, LAST, USAGE, DONE].concat(),
        "an event was lost, or the usage was filtered out"
    );
    for request in [site.prefill.posts(), site.decode.posts()].concat() {
        assert_eq!(request.line, format!("POST {PATH}?a=b%20c HTTP/1.1"));
        assert_eq!(request.body, "{\"x\": 1}");
        assert!(request.head.contains("x-txn: t-1") && request.head.contains("x-labels: prefix=5c0f"));
        assert!(!request.head.contains("connection:") && !request.head.contains("4800m"), "{}", request.head);
    }
}

#[tokio::test]
async fn bad_input_is_rejected_with_a_message_that_names_it() {
    let site = Site::start().await;
    let without = |name: &str| {
        let other_headers = HEADERS.split_inclusive("\r\n").filter(|header| !header.starts_with(name));
        post(PATH, &other_headers.collect::<String>(), "{}")
    };
    let with = |from: &str, to: &str| post(PATH, &HEADERS.replace(from, to), "{}");
    let cases = [
        (without("x-txn"), 400, "X-Txn"),
        (without("x-lane"), 400, "X-Lane"),
        (with("4800m", "4800"), 400, "X-Remaining"),
        (with("book", "nobody"), 400, "X-Lane"),
        (with("prompt_len=5120", "prompt_len=many"), 400, "X-Labels"),
        (with("x-entity", "x-txn: t-2\r\nx-entity"), 400, "X-Txn"),
        (with("x-entity: s-1", &format!("x-entity: {}", "s".repeat(1_025))), 400, "X-Entity"),
        (with("x-entity", "connection: x-txn\r\nx-entity"), 400, "Connection"),
        (with("prompt_len=5120", "prompt_len=99999999"), 400, "X-Labels"),
        (with("prompt_len=5120", "prompt_len=-1"), 400, "X-Labels"),
        (with("4800m", "NaNm"), 400, "X-Remaining"),
        (with("4800m", "-4800m"), 400, "X-Remaining"),
        (post(PATH, HEADERS, ""), 400, "body"),
        (post("/other", HEADERS, "{}"), 404, "path"),
        (format!("PUT {PATH} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"), 405, "POST"),
        (post(PATH, HEADERS, &"x".repeat(257 << 10)), 413, "256 KiB"),
    ];
    for (text, status, word) in cases {
        let answer = exchange(site.platform, &text).await;
        assert!(answer.status == status && answer.body.contains(word), "{answer:?}");
    }
    assert!(site.prefill.posts().is_empty());
}

/// A request with these header lines instead of a content length, followed by these bytes.
fn request_with_framing(framing: &str, rest: &str) -> String {
    format!("POST {PATH} HTTP/1.1\r\nhost: x\r\n{HEADERS}{framing}\r\n\r\n{rest}")
}

#[tokio::test]
async fn an_ambiguous_head_smuggles_in_no_request() {
    let site = Site::start().await;
    let smuggled = request_with_framing("content-length: 2", "{}").replace("t-1", "t-2");
    let chunked_then_smuggled = format!("2\r\n{{}}\r\n0\r\n\r\n{smuggled}");
    let length = chunked_then_smuggled.len();
    for (framing, rest) in [
        (format!("content-length: {length}\r\ntransfer-encoding: chunked"), &chunked_then_smuggled),
        (format!("transfer-encoding: chunked\r\ncontent-length: {length}"), &chunked_then_smuggled),
        ("content-length: 2\r\ncontent-length: 2".into(), &format!("{{}}{smuggled}")),
        ("content-length: 2, 2".into(), &format!("{{}}{smuggled}")),
        ("content-length: +2".into(), &format!("{{}}{smuggled}")),
        ("content-length: 0x2".into(), &format!("{{}}{smuggled}")),
        ("content-length: 99999999999999999999".into(), &smuggled),
        ("content-length:".into(), &smuggled),
        ("transfer-encoding: chunked\r\ntransfer-encoding: chunked".into(), &chunked_then_smuggled),
        ("transfer-encoding: gzip, chunked".into(), &chunked_then_smuggled),
        ("transfer-encoding: identity".into(), &smuggled),
    ] {
        let answer = exchange(site.platform, &request_with_framing(&framing, rest)).await;
        assert_eq!((answer.status, answer.answers), (400, 1), "{framing}: {answer:?}");
    }
    assert!(site.prefill.posts().is_empty());
    // A chunked body alone is accepted, but its connection closes after the answer, so what follows it is not
    // served either.
    let answer =
        exchange(site.platform, &request_with_framing("transfer-encoding: chunked", &chunked_then_smuggled))
            .await;
    assert_eq!((answer.status, answer.answers, answer.header("connection")), (200, 1, Some("close")));
    let bodies: Vec<String> = site.decode.posts().into_iter().map(|request| request.body).collect();
    assert_eq!(bodies, ["{}"]);
}

#[tokio::test]
async fn pipelined_requests_are_served_up_to_the_first_malformed_one() {
    let site = Site::start().await;
    let get = "GET /_health HTTP/1.1\r\nhost: x\r\n\r\n";
    let bad = request_with_framing("content-length: 2\r\ntransfer-encoding: chunked", "0\r\n\r\n");
    let text = [get, get, &bad, get].concat();
    // Written in pieces that may end anywhere in a message.
    for piece_bytes in [1, 7, 50, text.len()] {
        let mut stream = TcpStream::connect(site.platform).await.unwrap();
        stream.set_nodelay(true).unwrap();
        let mut received = Vec::new();
        for bytes in text.as_bytes().chunks(piece_bytes) {
            let _ = stream.write_all(bytes).await;
            tokio::task::yield_now().await;
        }
        let _ = stream.read_to_end(&mut received).await;
        let response = String::from_utf8(received).unwrap();
        let statuses: Vec<&str> =
            response.split("HTTP/1.1 ").skip(1).map(|response| &response[..3]).collect();
        assert!(
            statuses.ends_with(&["400"]) && statuses.len() <= 3,
            "pieces of {piece_bytes} bytes: {statuses:?}"
        );
    }
    assert!(site.prefill.posts().is_empty());
}

#[tokio::test]
async fn an_incomplete_request_is_answered_or_its_connection_closed_in_time() {
    let site = Site::start().await;
    let head_start = format!("POST {PATH} HTTP/1.1\r\nhost: x\r\n{HEADERS}");
    let partial_length_body = format!("{head_start}content-length: 9\r\n\r\n{{");
    let partial_chunked_body = format!("{head_start}transfer-encoding: chunked\r\n\r\n5\r\n{{");
    for (text, status) in [
        ("", None),
        (&*head_start, None),
        (&partial_length_body, Some(408)),
        (&partial_chunked_body, Some(408)),
    ] {
        let mut stream = send(site.platform, text).await;
        let mut received = Vec::new();
        let read = tokio::time::timeout(STEP_TIMEOUT, stream.read_to_end(&mut received)).await;
        assert!(read.is_ok(), "{text:?}");
        let actual_status = String::from_utf8(received).unwrap().get(9..12).and_then(|s| s.parse().ok());
        assert_eq!(actual_status, status, "{text:?}");
    }
}

#[tokio::test]
async fn many_incomplete_requests_neither_shut_out_other_clients_nor_cut_off_answers() {
    let site =
        Site::with_timeouts(ClientTimeouts { request_arrival: 3 * STEP_TIMEOUT, ..CLIENT_TIMEOUTS }).await;
    site.decode.next(Behavior::StallsAfter(&[EVENT]));
    let mut served = send(site.platform, &post(PATH, HEADERS, "{}")).await;
    let mut received = Vec::new();
    while !String::from_utf8_lossy(&received).contains("Table") {
        assert!(served.read_buf(&mut received).await.unwrap() > 0);
    }
    let partial_request = format!("POST {PATH} HTTP/1.1\r\nhost: x\r\n{HEADERS}content-length: 9\r\n\r\n{{");
    let mut idle_clients = Vec::new();
    // Ten times as many as there is room for. A normal client connects after every eighth.
    for n in 0..80 {
        idle_clients.push(send(site.platform, if n % 2 == 0 { &partial_request } else { "" }).await);
        if n % 8 == 7 {
            let answer = tokio::time::timeout(STEP_TIMEOUT, exchange(site.platform, READY_REQUEST))
                .await
                .expect("a client was shut out");
            assert_eq!(answer.status, 200);
        }
    }
    assert!(
        tokio::time::timeout(Duration::from_millis(50), served.read_buf(&mut received)).await.is_err(),
        "the answer was cut off"
    );
}

#[tokio::test]
async fn a_request_id_in_use_is_rejected() {
    let mut site = Site::start().await;
    site.decode.next(Behavior::StaysSilent);
    let first = send(site.platform, &post(PATH, HEADERS, "{}")).await;
    while site.decode.posts().is_empty() {
        tokio::task::yield_now().await;
    }
    assert_eq!(exchange(site.platform, &post(PATH, HEADERS, "{}")).await.status, 409);
    drop(first);
    site.decode.aborts.recv().await.unwrap();
}

#[tokio::test]
async fn idle_connections_make_room_for_new_ones() {
    let site = Site::start().await;
    let ready = "GET /_health HTTP/1.1\r\nhost: x\r\n\r\n";
    let mut idle = Vec::new();
    // More connections than there is room for.
    for _ in 0..12 {
        let mut stream = send(site.platform, ready).await;
        let mut byte = [0];
        assert_eq!(stream.read(&mut byte).await.unwrap(), 1);
        idle.push(stream);
    }
    let mut rest = Vec::new();
    idle[0].read_to_end(&mut rest).await.unwrap();
    assert!(rest.ends_with(b"ready\n"), "the oldest was not closed after its answer");
}

#[tokio::test]
async fn an_idle_connection_is_closed_after_its_timeout() {
    let site =
        Site::with_timeouts(ClientTimeouts { idle: Duration::from_millis(30), ..CLIENT_TIMEOUTS }).await;
    let mut stream = send(site.platform, &READY_REQUEST.replace("connection: close\r\n", "")).await;
    let mut received = Vec::new();
    let read = tokio::time::timeout(STEP_TIMEOUT, stream.read_to_end(&mut received)).await;
    assert!(read.is_ok() && received.ends_with(b"ready\n"));
}

#[tokio::test]
async fn a_client_that_reads_nothing_counts_as_disconnected() {
    let mut site = Site::start().await;
    site.decode.next(Behavior::StreamsEndlessly);
    let _unread = send(site.platform, &post(PATH, HEADERS, "{}")).await;
    site.decode.aborts.recv().await.unwrap();
}

#[tokio::test]
async fn closing_answers_pending_requests_and_refuses_none_that_may_have_run() {
    let mut site = Site::start().await;
    site.decode.next(Behavior::StaysSilent);
    let book = tokio::spawn({
        let (to, text) = (site.platform, post(PATH, HEADERS, "{}"));
        async move { exchange(to, &text).await }
    });
    while site.decode.posts().is_empty() {
        tokio::task::yield_now().await;
    }
    site.listeners.end_keep_alive();
    site.conductor.close();
    assert_eq!(book.await.unwrap().status, 502);
    site.decode.aborts.recv().await.unwrap();
    let ready = "GET /_health HTTP/1.1\r\nhost: x\r\n\r\n";
    let answer = exchange(site.platform, ready).await;
    assert_eq!(
        (answer.status, answer.header("connection")),
        (200, Some("close")),
        "not served, or not asked to close"
    );
    site.listeners.close().await;
    site.conductor.wait_for_releases().await;
    assert!(
        site.prefill.releases.try_recv().is_ok(),
        "the release did not go first to the server that answered last"
    );
}

fn config(listen: &str, discovery: &str) -> Value {
    let target = json!({"uid": "s-1", "endpoint": "127.0.0.1:9", "az": "z", "model": "prefill",
        "pod_group": 0, "state": "active", "capacity_hint": 1.0, "boot_ms": 0});
    json!({"name": "n1", "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"rev": 1, "all": true, "targets": [target]}, "settings": setup()})
}

#[test]
fn a_bad_configuration_prints_one_line_and_exits_with_2() {
    let good = config("127.0.0.1:1", "127.0.0.1:9");
    let without = |key: &str| {
        let mut config = good.clone();
        config.as_object_mut().unwrap().remove(key);
        config
    };
    let mut too_little_memory = good.clone();
    too_little_memory["limits"]["memory_mb"] = json!(31.9);
    let mut too_few_sockets = good.clone();
    too_few_sockets["limits"]["sockets"] = json!(10);
    let mut missing_rule = good.clone();
    missing_rule["settings"]["rules"].as_object_mut().unwrap().remove("fall");
    let mut missing_endpoint = good.clone();
    missing_endpoint["known"]["targets"][0].as_object_mut().unwrap().remove("endpoint");
    let cases = [
        (without("listen"), "listen"),
        (too_few_sockets, "limits.sockets"),
        (too_little_memory, "limits.memory_mb"),
        (missing_rule, "rules.fall"),
        (missing_endpoint, "known.targets: s-1: missing field `endpoint`"),
        (json!(7), "struct"),
    ];
    for (index, (config, word)) in cases.into_iter().enumerate() {
        let output = program(&format!("bad-{index}"), &config.to_string()).output().unwrap();
        let text = String::from_utf8(output.stderr).unwrap();
        assert_eq!((output.status.code(), text.lines().count()), (Some(2), 1), "{text}");
        assert!(text.starts_with("frosttrail: ") && text.contains(word), "{text}");
    }
    let usage = program("usage", "{}").arg("--what").output().unwrap();
    assert_eq!(usage.status.code(), Some(2));
}

const READY_REQUEST: &str = "GET /_health HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";

#[tokio::test]
async fn after_sigterm_new_connections_are_served_for_a_while_and_the_process_exits_cleanly() {
    // Listens at any free port and logs which. Nothing answers at its discovery address.
    let config = config("127.0.0.1:0", "127.0.0.1:9").to_string();
    let process = DaemonProcess::start(program("term", &config));
    assert_eq!(exchange(process.listen, READY_REQUEST).await.status, 200);
    process.signal("-TERM");
    assert_eq!(
        exchange(process.listen, READY_REQUEST).await.status,
        200,
        "a new connection was not served right after SIGTERM"
    );
    process.expect_clean_exit().await;
}

#[tokio::test]
async fn a_daemon_joins_the_membership_of_its_file_and_leaves_it_at_sigterm() {
    let socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let voter = socket.local_addr().unwrap();
    let key = "what this test shares".to_string();
    let lease_config = LeaseConfig {
        duration: 600_000,
        renewal_interval: 200_000,
        retry_interval: 50_000,
        max_clock_drift: 0.02,
        max_instances: 64,
    };
    let membership_config = MembershipConfig {
        listen: voter,
        acceptors: vec![voter],
        key: key.clone(),
        role: Role::Plugin,
        lease_config,
    };
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let membership = Membership::with_socket(socket, voter, membership_config, 1, log);
    let mut view = membership.view();
    let file = std::env::temp_dir().join(format!("frosttrail-membership-{}.json", std::process::id()));
    let text = json!({"listen": "127.0.0.1:0", "voters": [voter], "key": key, "most": 64});
    std::fs::write(&file, text.to_string()).unwrap();
    let mut command = program("member", &config("127.0.0.1:0", "127.0.0.1:9").to_string());
    command.arg("--membership").arg(&file);
    let process = DaemonProcess::start(command);
    let daemon_has_joined = |view: &MembershipView| {
        view.peers.len() == 1 && view.peers[0].role == Role::Daemon && (0.2..0.8).contains(&view.quota_share)
    };
    timeout(STEP_TIMEOUT, view.wait_for(daemon_has_joined)).await.unwrap().unwrap();
    process.signal("-TERM");
    timeout(STEP_TIMEOUT, view.wait_for(|view| view.peers.is_empty() && view.quota_share > 0.85))
        .await
        .unwrap()
        .unwrap();
    process.expect_clean_exit().await;
    // An error in the file is reported in one line.
    for (key, value) in
        [("key", json!("short")), ("voters", json!([])), ("most", json!(0)), ("what", json!(1))]
    {
        let mut bad = text.clone();
        bad[key] = value;
        std::fs::write(&file, bad.to_string()).unwrap();
        let mut command = program("bad-member", &config("127.0.0.1:0", "127.0.0.1:9").to_string());
        let output = command.arg("--membership").arg(&file).output().unwrap();
        let message = String::from_utf8(output.stderr).unwrap();
        assert_eq!((output.status.code(), message.lines().count()), (Some(2), 1), "{message}");
        assert!(message.contains(key), "{message}");
    }
}

#[tokio::test]
async fn sighup_reloads_the_configuration_and_a_bad_file_changes_nothing() {
    let new_discovery =
        StandIn::start(Behavior::Responds(200, false, "{\"rev\":2,\"all\":true,\"targets\":[]}")).await;
    let first_config = config("127.0.0.1:0", "127.0.0.1:9").to_string();
    let mut process = DaemonProcess::start(program("hup", &first_config));
    program("hup", "{\"name\": \"half a fi");
    process.signal("-HUP");
    process.wait_for_log("the old configuration stays in force");
    assert_eq!(exchange(process.listen, READY_REQUEST).await.status, 200, "the server list was dropped");
    let mut second_config = config("127.0.0.1:1", &new_discovery.address.to_string());
    second_config["settings"]["balancers"] = json!(2);
    program("hup", &second_config.to_string());
    process.signal("-HUP");
    assert!(process.wait_for_log("configuration read").contains("at restart: listen"));
    while exchange(process.listen, READY_REQUEST).await.status == 200 {}
    assert_eq!(new_discovery.requests.lock().unwrap()[0].line, "GET /catalog/members HTTP/1.1");
    process.signal("-TERM");
    process.wait_for_log("SIGTERM");
    process.signal("-HUP");
    process.expect_clean_exit().await;
}
