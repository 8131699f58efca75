//! The platform's front, connections of clients, and the program itself, on loopback.

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

/// Longer than anything here should take, and shorter than what must not be waited for.
const LATEST: Duration = Duration::from_secs(20);
const PATH: &str = "/v1/chat/completions";
const HEADERS: &str = "x-txn: t-1\r\nx-lane: book\r\nx-entity: s-1\r\nx-remaining: 4800m\r\n\
    x-labels: prefix=5c0f,prompt_len=5120,prefix_len=2048,max_out=800\r\n";

#[tokio::test]
async fn method_path_query_body_and_id_pass_unchanged() {
    let site = Site::start().await;
    let answer = exchange(site.platform, &post(&format!("{PATH}?a=b%20c"), HEADERS, "{\"x\": 1}")).await;
    assert_eq!((answer.status, answer.whole), (200, true));
    assert_eq!(answer.body, [EVENT, LAST, USAGE, DONE].concat(), "all events, those of usage too");
    for got in [site.prefill.posts(), site.decode.posts()].concat() {
        assert_eq!(got.line, format!("POST {PATH}?a=b%20c HTTP/1.1"));
        assert_eq!(got.body, "{\"x\": 1}");
        assert!(got.head.contains("x-txn: t-1") && got.head.contains("x-labels: prefix=5c0f"));
        assert!(!got.head.contains("connection:") && !got.head.contains("4800m"), "{}", got.head);
    }
}

#[tokio::test]
async fn bad_input_gets_a_plain_message() {
    let site = Site::start().await;
    let without = |name: &str| {
        let kept = HEADERS.split_inclusive("\r\n").filter(|h| !h.starts_with(name));
        post(PATH, &kept.collect::<String>(), "{}")
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

/// A head with these lines in place of its length, and all that follows.
fn framed(lines: &str, rest: &str) -> String {
    format!("POST {PATH} HTTP/1.1\r\nhost: x\r\n{HEADERS}{lines}\r\n\r\n{rest}")
}

#[tokio::test]
async fn a_head_that_can_be_read_in_two_ways_conceals_no_request() {
    let site = Site::start().await;
    let hidden = framed("content-length: 2", "{}").replace("t-1", "t-2");
    let both = format!("2\r\n{{}}\r\n0\r\n\r\n{hidden}");
    let length = both.len();
    for (lines, rest) in [
        (format!("content-length: {length}\r\ntransfer-encoding: chunked"), &both),
        (format!("transfer-encoding: chunked\r\ncontent-length: {length}"), &both),
        ("content-length: 2\r\ncontent-length: 2".into(), &format!("{{}}{hidden}")),
        ("content-length: 2, 2".into(), &format!("{{}}{hidden}")),
        ("content-length: +2".into(), &format!("{{}}{hidden}")),
        ("content-length: 0x2".into(), &format!("{{}}{hidden}")),
        ("content-length: 99999999999999999999".into(), &hidden),
        ("content-length:".into(), &hidden),
        ("transfer-encoding: chunked\r\ntransfer-encoding: chunked".into(), &both),
        ("transfer-encoding: gzip, chunked".into(), &both),
        ("transfer-encoding: identity".into(), &hidden),
    ] {
        let answer = exchange(site.platform, &framed(&lines, rest)).await;
        assert_eq!((answer.status, answer.answers), (400, 1), "{lines}: {answer:?}");
    }
    assert!(site.prefill.posts().is_empty());
    // A body in chunks is fine by itself, and ends its connection: what follows is no request either.
    let answer = exchange(site.platform, &framed("transfer-encoding: chunked", &both)).await;
    assert_eq!((answer.status, answer.answers, answer.header("connection")), (200, 1, Some("close")));
    let bodies: Vec<String> = site.decode.posts().into_iter().map(|got| got.body).collect();
    assert_eq!(bodies, ["{}"]);
}

#[tokio::test]
async fn requests_behind_one_another_are_served_up_to_the_first_that_is_none() {
    let site = Site::start().await;
    let get = "GET /_health HTTP/1.1\r\nhost: x\r\n\r\n";
    let bad = framed("content-length: 2\r\ntransfer-encoding: chunked", "0\r\n\r\n");
    let text = [get, get, &bad, get].concat();
    // In pieces that end anywhere.
    for piece in [1, 7, 50, text.len()] {
        let mut stream = TcpStream::connect(site.platform).await.unwrap();
        stream.set_nodelay(true).unwrap();
        let mut seen = Vec::new();
        for bytes in text.as_bytes().chunks(piece) {
            let _ = stream.write_all(bytes).await;
            tokio::task::yield_now().await;
        }
        let _ = stream.read_to_end(&mut seen).await;
        let seen = String::from_utf8(seen).unwrap();
        let statuses: Vec<&str> = seen.split("HTTP/1.1 ").skip(1).map(|a| &a[..3]).collect();
        assert!(statuses.ends_with(&["400"]) && statuses.len() <= 3, "{piece}: {statuses:?}");
    }
    assert!(site.prefill.posts().is_empty());
}

#[tokio::test]
async fn who_sends_no_whole_request_is_answered_or_closed_in_time() {
    let site = Site::start().await;
    let half = format!("POST {PATH} HTTP/1.1\r\nhost: x\r\n{HEADERS}");
    let stalls = format!("{half}content-length: 9\r\n\r\n{{");
    let chunks = format!("{half}transfer-encoding: chunked\r\n\r\n5\r\n{{");
    for (text, status) in [("", None), (&*half, None), (&stalls, Some(408)), (&chunks, Some(408))] {
        let mut stream = send(site.platform, text).await;
        let mut seen = Vec::new();
        let read = tokio::time::timeout(LATEST, stream.read_to_end(&mut seen)).await;
        assert!(read.is_ok(), "{text:?}");
        let told = String::from_utf8(seen).unwrap().get(9..12).and_then(|s| s.parse().ok());
        assert_eq!(told, status, "{text:?}");
    }
}

#[tokio::test]
async fn a_crowd_that_sends_no_whole_request_keeps_nobody_out_and_ends_nobodys_answer() {
    let site = Site::with_timeouts(ClientTimeouts { arrive: 3 * LATEST, ..CLIENT_TIMEOUTS }).await;
    site.decode.next(Behavior::StallsAfter(&[EVENT]));
    let mut served = send(site.platform, &post(PATH, HEADERS, "{}")).await;
    let mut seen = Vec::new();
    while !String::from_utf8_lossy(&seen).contains("Table") {
        assert!(served.read_buf(&mut seen).await.unwrap() > 0);
    }
    let stalls = format!("POST {PATH} HTTP/1.1\r\nhost: x\r\n{HEADERS}content-length: 9\r\n\r\n{{");
    let mut crowd = Vec::new();
    // Ten times as many as there is room for, between each few of which a usual client comes.
    for n in 0..80 {
        crowd.push(send(site.platform, if n % 2 == 0 { &stalls } else { "" }).await);
        if n % 8 == 7 {
            let answer =
                tokio::time::timeout(LATEST, exchange(site.platform, READY)).await.expect("crowded out");
            assert_eq!(answer.status, 200);
        }
    }
    assert!(
        tokio::time::timeout(Duration::from_millis(50), served.read_buf(&mut seen)).await.is_err(),
        "cut off"
    );
}

#[tokio::test]
async fn an_id_that_is_in_use_is_turned_down() {
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
    // More than there is room for.
    for _ in 0..12 {
        let mut stream = send(site.platform, ready).await;
        let mut byte = [0];
        assert_eq!(stream.read(&mut byte).await.unwrap(), 1);
        idle.push(stream);
    }
    let mut rest = Vec::new();
    idle[0].read_to_end(&mut rest).await.unwrap();
    assert!(rest.ends_with(b"ready\n"), "the oldest was closed after its answer");
}

#[tokio::test]
async fn a_client_that_keeps_its_connection_and_asks_no_more_is_closed() {
    let site =
        Site::with_timeouts(ClientTimeouts { idle: Duration::from_millis(30), ..CLIENT_TIMEOUTS }).await;
    let mut stream = send(site.platform, &READY.replace("connection: close\r\n", "")).await;
    let mut seen = Vec::new();
    let read = tokio::time::timeout(LATEST, stream.read_to_end(&mut seen)).await;
    assert!(read.is_ok() && seen.ends_with(b"ready\n"));
}

#[tokio::test]
async fn a_client_that_takes_nothing_is_as_good_as_gone() {
    let mut site = Site::start().await;
    site.decode.next(Behavior::StreamsEndlessly);
    let _reads_nothing = send(site.platform, &post(PATH, HEADERS, "{}")).await;
    site.decode.aborts.recv().await.unwrap();
}

#[tokio::test]
async fn closing_answers_what_has_not_begun_and_refuses_nothing_that_may_have_run() {
    let mut site = Site::start().await;
    site.decode.next(Behavior::StaysSilent);
    let book = tokio::spawn({
        let (to, text) = (site.platform, post(PATH, HEADERS, "{}"));
        async move { exchange(to, &text).await }
    });
    while site.decode.posts().is_empty() {
        tokio::task::yield_now().await;
    }
    site.listeners.leave();
    site.conductor.close();
    assert_eq!(book.await.unwrap().status, 502);
    site.decode.aborts.recv().await.unwrap();
    let ready = "GET /_health HTTP/1.1\r\nhost: x\r\n\r\n";
    let last = exchange(site.platform, ready).await;
    assert_eq!((last.status, last.header("connection")), (200, Some("close")), "served, and told to go");
    site.listeners.close().await;
    site.conductor.wait_for_releases().await;
    assert!(site.prefill.releases.try_recv().is_ok(), "the box that was heard last is asked first");
}

fn config(listen: &str, discovery: &str) -> Value {
    let target = json!({"uid": "s-1", "endpoint": "127.0.0.1:9", "az": "z", "model": "prefill",
        "pod_group": 0, "state": "active", "capacity_hint": 1.0, "boot_ms": 0});
    json!({"name": "n1", "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"rev": 1, "all": true, "targets": [target]}, "settings": setup()})
}

#[test]
fn bad_configuration_is_one_line_and_exit_2() {
    let good = config("127.0.0.1:1", "127.0.0.1:9");
    let without = |key: &str| {
        let mut config = good.clone();
        config.as_object_mut().unwrap().remove(key);
        config
    };
    let mut few = good.clone();
    few["limits"]["sockets"] = json!(10);
    let mut unset = good.clone();
    unset["settings"]["rules"].as_object_mut().unwrap().remove("fall");
    let mut half = good.clone();
    half["known"]["targets"][0].as_object_mut().unwrap().remove("endpoint");
    let cases = [
        (without("listen"), "listen"),
        (few, "limits.sockets"),
        (unset, "rules.fall"),
        (half, "known.targets: s-1: missing field `endpoint`"),
        (json!(7), "struct"),
    ];
    for (at, (config, word)) in cases.into_iter().enumerate() {
        let output = program(&format!("bad-{at}"), &config.to_string()).output().unwrap();
        let text = String::from_utf8(output.stderr).unwrap();
        assert_eq!((output.status.code(), text.lines().count()), (Some(2), 1), "{text}");
        assert!(text.starts_with("frosttrail: ") && text.contains(word), "{text}");
    }
    let usage = program("usage", "{}").arg("--what").output().unwrap();
    assert_eq!(usage.status.code(), Some(2));
}

const READY: &str = "GET /_health HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";

#[tokio::test]
async fn sigterm_is_followed_by_new_connections_served_and_a_clean_end() {
    // Any free port; its log tells which. The discovery that it names answers nothing.
    let config = config("127.0.0.1:0", "127.0.0.1:9").to_string();
    let running = DaemonProcess::start(program("term", &config));
    assert_eq!(exchange(running.listen, READY).await.status, 200);
    running.signal("-TERM");
    assert_eq!(exchange(running.listen, READY).await.status, 200, "new connections are served for a while");
    running.expect_clean_exit().await;
}

#[tokio::test]
async fn a_daemon_shares_with_the_membership_that_its_file_names_and_leaves_in_order() {
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
    let shared = MembershipConfig {
        listen: voter,
        acceptors: vec![voter],
        key: key.clone(),
        role: Role::Plugin,
        lease_config,
    };
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let here = Membership::with_socket(socket, voter, shared, 1, log);
    let mut view = here.view();
    let file = std::env::temp_dir().join(format!("frosttrail-membership-{}.json", std::process::id()));
    let text = json!({"listen": "127.0.0.1:0", "voters": [voter], "key": key, "most": 64});
    std::fs::write(&file, text.to_string()).unwrap();
    let mut command = program("member", &config("127.0.0.1:0", "127.0.0.1:9").to_string());
    command.arg("--membership").arg(&file);
    let running = DaemonProcess::start(command);
    let both = |v: &MembershipView| {
        v.peers.len() == 1 && v.peers[0].role == Role::Daemon && (0.2..0.8).contains(&v.quota_share)
    };
    timeout(LATEST, view.wait_for(both)).await.unwrap().unwrap();
    running.signal("-TERM");
    timeout(LATEST, view.wait_for(|v| v.peers.is_empty() && v.quota_share > 0.85)).await.unwrap().unwrap();
    running.expect_clean_exit().await;
    // What is wrong with the file is said on one line.
    for (key, value) in
        [("key", json!("short")), ("voters", json!([])), ("most", json!(0)), ("what", json!(1))]
    {
        let mut bad = text.clone();
        bad[key] = value;
        std::fs::write(&file, bad.to_string()).unwrap();
        let mut command = program("bad-member", &config("127.0.0.1:0", "127.0.0.1:9").to_string());
        let output = command.arg("--membership").arg(&file).output().unwrap();
        let said = String::from_utf8(output.stderr).unwrap();
        assert_eq!((output.status.code(), said.lines().count()), (Some(2), 1), "{said}");
        assert!(said.contains(key), "{said}");
    }
}

#[tokio::test]
async fn sighup_rereads_the_configuration_and_a_bad_file_changes_nothing() {
    let moved =
        StandIn::start(Behavior::Responds(200, false, "{\"rev\":2,\"all\":true,\"targets\":[]}")).await;
    let first = config("127.0.0.1:0", "127.0.0.1:9").to_string();
    let mut running = DaemonProcess::start(program("hup", &first));
    program("hup", "{\"name\": \"half a fi");
    running.signal("-HUP");
    running.wait_for_log("the old configuration stays in force");
    assert_eq!(exchange(running.listen, READY).await.status, 200, "the list that was known is still held");
    let mut second = config("127.0.0.1:1", &moved.address.to_string());
    second["settings"]["balancers"] = json!(2);
    program("hup", &second.to_string());
    running.signal("-HUP");
    assert!(running.wait_for_log("configuration read").contains("at restart: listen"));
    while exchange(running.listen, READY).await.status == 200 {}
    assert_eq!(moved.requests.lock().unwrap()[0].line, "GET /catalog/members HTTP/1.1");
    running.signal("-TERM");
    running.wait_for_log("SIGTERM");
    running.signal("-HUP");
    running.expect_clean_exit().await;
}
