//! Tests processes under resource exhaustion: idle clients that use every file descriptor while discovery is
//! silent, and many processes that start at once while discovery is down or slow.

mod support;

use std::time::{Duration, Instant};

use support::*;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Time within which the conductor has the list from discovery, once discovery can be reached.
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(6);
/// Limit on file descriptors; the program accepts no lower one.
const DESCRIPTOR_LIMIT: usize = 64;
const HEALTH_REQUEST: &str = "GET /_health HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
const EMPTY_MEMBER_LIST: &str = "{\"rev\":9,\"all\":true,\"targets\":[]}\n";

fn config(name: &str, discovery: &str, servers: &[(&str, &str, &StandIn)]) -> String {
    let servers: Vec<_> = servers.iter().map(|(uid, kind, at)| (*uid, *kind, at.address)).collect();
    config_json(name, discovery, DESCRIPTOR_LIMIT, &servers, &setup())
}

fn request(id: &str) -> String {
    chat(id, "ask", 7_000)
}

/// Opens an idle client: one that sends nothing, one complete request, or a part of a request head.
async fn idle_client(to: std::net::SocketAddr, n: usize) -> TcpStream {
    let kept_request = keep_alive(HEALTH_REQUEST);
    send(to, ["", &kept_request, "POST /v1/ch"][n % 3]).await
}

#[tokio::test]
async fn idle_clients_that_use_every_descriptor_do_not_block_others() {
    let (mut prefill, mut decode) =
        (StandIn::start(PREFILL_RESPONSE).await, StandIn::start(COMPLETE_STREAM).await);
    let agent = StandIn::start(Behavior::StallsAfter(&[EMPTY_MEMBER_LIST])).await;
    // Discovery falls silent: the first watch brings nothing, and hanging requests are never answered.
    (0..3).for_each(|_| agent.next(Behavior::StaysSilent));
    let servers = [("p", "prefill", &prefill), ("d", "decode", &decode)];
    let config = config("n1", &agent.address.to_string(), &servers);
    let running = DaemonProcess::start(program_with_descriptor_limit(DESCRIPTOR_LIMIT, "crowds", &config));
    let mut idle_clients = Vec::new();
    for n in 0..3 * DESCRIPTOR_LIMIT {
        idle_clients.push(idle_client(running.listen, n).await);
    }
    // Attempts and new clients get descriptors, and releases are sent while other requests run.
    for round in 0..6 {
        decode.next(Behavior::Responds(500, false, ""));
        let book = chat(&format!("book-{round}"), "book", 7_000);
        let failed =
            timeout(TEST_TIMEOUT, exchange(running.listen, &book)).await.expect("no response in time");
        assert_eq!(failed.status, 502, "a book request that may have run must fail");
        let asks = (0..4).map(|n| {
            let (to, text) = (running.listen, request(&format!("{round}-{n}")));
            tokio::spawn(async move {
                timeout(TEST_TIMEOUT, exchange(to, &text)).await.expect("no response in time").status
            })
        });
        for ask in asks.collect::<Vec<_>>() {
            assert_eq!(ask.await.unwrap(), 200, "round {round}");
        }
        let released = async {
            tokio::select! {
                _ = prefill.releases.recv() => {}
                _ = decode.releases.recv() => {}
            }
        };
        timeout(TEST_TIMEOUT, released).await.expect("the KV cache of a failed attempt was not released");
        for n in 0..20 {
            idle_clients.push(idle_client(running.listen, n).await);
        }
    }
    // The conductor hears from discovery in time once it is back, with the idle clients still connected.
    while agent.requests.lock().unwrap().len() < 4 {
        sleep(Duration::from_millis(5)).await;
    }
    let reachable_since = Instant::now();
    while exchange(running.listen, HEALTH_REQUEST).await.status == 200 {
        assert!(
            reachable_since.elapsed() < DISCOVERY_TIMEOUT,
            "the list from the recovered agent did not arrive"
        );
        sleep(Duration::from_millis(20)).await;
    }
    running.signal("-TERM");
    running.expect_clean_exit().await;
}

/// Agents that refuse connections, hang or reset them: each process starts from its last known list.
#[tokio::test]
async fn processes_that_start_together_are_ready_in_time_whatever_discovery_does() {
    let (prefill, decode) = (StandIn::start(PREFILL_RESPONSE).await, StandIn::start(COMPLETE_STREAM).await);
    let (hangs, resets) =
        (StandIn::start(Behavior::StaysSilent).await, StandIn::start(Behavior::Disconnects).await);
    let agents = ["127.0.0.1:9".to_string(), hangs.address.to_string(), resets.address.to_string()];
    let begin = Instant::now();
    let mut starting = tokio::task::JoinSet::new();
    for n in 0..20 {
        let servers = [("p", "prefill", &prefill), ("d", "decode", &decode)];
        let config = config(&format!("n{n}"), &agents[n % 3], &servers);
        starting.spawn_blocking(move || {
            DaemonProcess::start(program_with_descriptor_limit(
                DESCRIPTOR_LIMIT,
                &format!("together-{n}"),
                &config,
            ))
        });
    }
    let mut all = Vec::new();
    while let Some(running) = starting.join_next().await {
        let running = running.unwrap();
        assert_eq!(exchange(running.listen, HEALTH_REQUEST).await.status, 200);
        // A process that is ready serves requests.
        let status =
            timeout(TEST_TIMEOUT, exchange(running.listen, &request(&format!("r{}", all.len())))).await;
        assert_eq!(status.expect("no response in time").status, 200);
        all.push(running);
    }
    assert!(begin.elapsed() < Duration::from_secs(10), "{:?}", begin.elapsed());
    for running in all {
        running.signal("-TERM");
        running.expect_clean_exit().await;
    }
}

/// Sends a request, and repeats it on a new connection if the connection closes without a response, as an
/// evicted connection may before its request has been read.
async fn exchange_with_retry(to: std::net::SocketAddr, text: &str, is_received: impl Fn() -> bool) -> Answer {
    loop {
        if let Some(answer) = try_read_answer(send(to, text).await).await {
            return answer;
        }
        assert!(!is_received(), "a connection was closed without a response to a request that had been read");
    }
}

/// Clients that send much at once and disconnect, or never read their responses: others are served, and
/// memory does not grow with the input.
#[tokio::test]
async fn floods_block_no_other_client_and_use_bounded_memory() {
    let (prefill, decode) = (StandIn::start(PREFILL_RESPONSE).await, StandIn::start(COMPLETE_STREAM).await);
    let servers = [("p", "prefill", &prefill), ("d", "decode", &decode)];
    let running = DaemonProcess::start(program_with_descriptor_limit(
        DESCRIPTOR_LIMIT,
        "floods",
        &config("n1", "127.0.0.1:9", &servers),
    ));
    let before = running.resident_kib();
    for round in 0..6 {
        let mut floods = Vec::new();
        for n in 0..12 {
            let (to, id) = (running.listen, format!("flood-{round}-{n}"));
            floods.push(tokio::spawn(async move {
                let mut client = send(to, "").await;
                let many = keep_alive(&request(&id)).repeat(400);
                let text = if n % 2 == 0 { many } else { "x".repeat(1 << 20) };
                let sent = tokio::io::AsyncWriteExt::write_all(&mut client, text.as_bytes());
                let _ = timeout(Duration::from_millis(400), sent).await;
                if n % 3 == 0 {
                    let mut some = [0; 64];
                    let _ = timeout(Duration::from_millis(50), client.read(&mut some)).await;
                }
            }));
        }
        let id = format!("good-{round}");
        let is_received = || prefill.posts().iter().any(|got| got.head.contains(&format!("x-txn: {id}\r\n")));
        let text = request(&id);
        let response = timeout(TEST_TIMEOUT, exchange_with_retry(running.listen, &text, is_received)).await;
        assert_eq!(response.expect("no response in time").status, 200);
        for flood in floods {
            flood.await.unwrap();
        }
    }
    let after = running.resident_kib();
    assert!(after < before + (24 << 10), "{before} KiB before, {after} KiB after 40 MiB of floods");
    running.signal("-TERM");
    running.expect_clean_exit().await;
}

/// DaemonProcess responses hold every connection slot: further requests are refused in time. A request on
/// a connection that the kernel has accepted must get a response.
#[tokio::test]
async fn a_request_beyond_the_connection_limit_is_refused_in_time() {
    let (prefill, decode) =
        (StandIn::start(PREFILL_RESPONSE).await, StandIn::start(Behavior::StreamsEndlessly).await);
    let servers = [("p", "prefill", &prefill), ("d", "decode", &decode)];
    let running = DaemonProcess::start(program_with_descriptor_limit(
        DESCRIPTOR_LIMIT,
        "places",
        &config("n1", "127.0.0.1:9", &servers),
    ));
    let mut streams = Vec::new();
    for n in 0..(DESCRIPTOR_LIMIT - 48) / 2 {
        let mut client = send(running.listen, &request(&format!("stream-{n}"))).await;
        assert!(client.read(&mut [0; 64]).await.unwrap() > 0, "stream {n} did not start");
        streams.push(client);
    }
    for n in 0..3 {
        let text = chat(&format!("beside-{n}"), "ask", 1_000);
        let response = timeout(Duration::from_millis(1_500), exchange(running.listen, &text));
        let answer = response.await.expect("no response within 1.5 s");
        assert_eq!(answer.status, 503);
    }
    assert!(
        prefill.posts().iter().all(|got| !got.head.contains("x-txn: beside")),
        "a refused request was forwarded"
    );
    drop(streams);
    running.signal("-TERM");
    running.expect_clean_exit().await;
}
