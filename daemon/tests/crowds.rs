//! Processes whose surroundings use up what they have: idle clients that take every descriptor while
//! discovery is silent, many that start together while discovery is down or slow.

mod support;

use std::time::{Duration, Instant};

use support::*;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

const LATEST: Duration = Duration::from_secs(20);
/// What discovery has counts as told so long after it could be reached.
const TOLD: Duration = Duration::from_secs(6);
/// The program takes no fewer.
const DESCRIPTORS: usize = 64;
const READY: &str = "GET /_health HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
const NOBODY: &str = "{\"rev\":9,\"all\":true,\"targets\":[]}\n";

fn config(name: &str, discovery: &str, servers: &[(&str, &str, &StandIn)]) -> String {
    let servers: Vec<_> = servers.iter().map(|(uid, kind, at)| (*uid, *kind, at.address)).collect();
    config_json(name, discovery, DESCRIPTORS, &servers, &setup())
}

fn request(id: &str) -> String {
    chat(id, "ask", 7_000)
}

/// Idle clients: some have never asked, some once, some sent half a request.
async fn idle(to: std::net::SocketAddr, n: usize) -> TcpStream {
    let asked = keep_alive(READY);
    send(to, ["", &asked, "POST /v1/ch"][n % 3]).await
}

#[tokio::test]
async fn idle_clients_that_take_every_descriptor_keep_nobody_from_his_own() {
    let (mut prefill, mut decode) =
        (StandIn::start(PREFILL_RESPONSE).await, StandIn::start(COMPLETE_STREAM).await);
    let agent = StandIn::start(Behavior::StallsAfter(&[NOBODY])).await;
    // It falls silent: the first watch brings nothing, and what hangs is never answered.
    (0..3).for_each(|_| agent.next(Behavior::StaysSilent));
    let servers = [("p", "prefill", &prefill), ("d", "decode", &decode)];
    let config = config("n1", &agent.address.to_string(), &servers);
    let running = DaemonProcess::start(program_with_descriptor_limit(DESCRIPTORS, "crowds", &config));
    let mut crowd = Vec::new();
    for n in 0..3 * DESCRIPTORS {
        crowd.push(idle(running.listen, n).await);
    }
    // Attempts and new clients get theirs, and what is let go of finds its way while others ask.
    for round in 0..6 {
        decode.next(Behavior::Responds(500, false, ""));
        let book = chat(&format!("book-{round}"), "book", 7_000);
        let failed = timeout(LATEST, exchange(running.listen, &book)).await.expect("an answer in time");
        assert_eq!(failed.status, 502, "it may have run");
        let asks = (0..4).map(|n| {
            let (to, text) = (running.listen, request(&format!("{round}-{n}")));
            tokio::spawn(async move { timeout(LATEST, exchange(to, &text)).await.expect("an answer").status })
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
        timeout(LATEST, released).await.expect("what a failed attempt left is let go");
        for n in 0..20 {
            crowd.push(idle(running.listen, n).await);
        }
    }
    // Discovery is heard in time as it comes back, with the crowd still there.
    while agent.requests.lock().unwrap().len() < 4 {
        sleep(Duration::from_millis(5)).await;
    }
    let back = Instant::now();
    while exchange(running.listen, READY).await.status == 200 {
        assert!(back.elapsed() < TOLD, "the list of the agent that is back has not been heard");
        sleep(Duration::from_millis(20)).await;
    }
    running.signal("-TERM");
    running.expect_clean_exit().await;
}

/// An agent that refuses, one that hangs, one that is there late: who starts knows the list it had.
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
                DESCRIPTORS,
                &format!("together-{n}"),
                &config,
            ))
        });
    }
    let mut all = Vec::new();
    while let Some(running) = starting.join_next().await {
        let running = running.unwrap();
        assert_eq!(exchange(running.listen, READY).await.status, 200);
        // Ready means that it serves.
        let status = timeout(LATEST, exchange(running.listen, &request(&format!("r{}", all.len())))).await;
        assert_eq!(status.expect("an answer in time").status, 200);
        all.push(running);
    }
    assert!(begin.elapsed() < Duration::from_secs(10), "{:?}", begin.elapsed());
    for running in all {
        running.signal("-TERM");
        running.expect_clean_exit().await;
    }
}

/// Where its connection ends without an answer, as one that makes room for others may before its request has
/// been read, a client sends the request once more on a new one.
async fn asks_as_the_protocol_says(
    to: std::net::SocketAddr,
    text: &str,
    was_read: impl Fn() -> bool,
) -> Answer {
    loop {
        if let Some(answer) = try_read_answer(send(to, text).await).await {
            return answer;
        }
        assert!(!was_read(), "a request that had been read was closed without an answer");
    }
}

/// Clients that send much at once and go, and such that never read what they asked for: others are served,
/// and memory does not grow with what was sent.
#[tokio::test]
async fn floods_leave_others_served_and_memory_bounded() {
    let (prefill, decode) = (StandIn::start(PREFILL_RESPONSE).await, StandIn::start(COMPLETE_STREAM).await);
    let servers = [("p", "prefill", &prefill), ("d", "decode", &decode)];
    let running = DaemonProcess::start(program_with_descriptor_limit(
        DESCRIPTORS,
        "floods",
        &config("n1", "127.0.0.1:9", &servers),
    ));
    let before = running.resident_kib();
    for round in 0..6 {
        let mut bad = Vec::new();
        for n in 0..12 {
            let (to, id) = (running.listen, format!("flood-{round}-{n}"));
            bad.push(tokio::spawn(async move {
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
        let was_read = || prefill.posts().iter().any(|got| got.head.contains(&format!("x-txn: {id}\r\n")));
        let text = request(&id);
        let asked = timeout(LATEST, asks_as_the_protocol_says(running.listen, &text, was_read)).await;
        assert_eq!(asked.expect("an answer in time").status, 200);
        for flood in bad {
            flood.await.unwrap();
        }
    }
    let after = running.resident_kib();
    assert!(after < before + (24 << 10), "{before} KiB before, {after} KiB after 40 MiB of floods");
    running.signal("-TERM");
    running.expect_clean_exit().await;
}

/// Every place for clients is taken by an answer that runs: whoever comes then is told so in his time. What
/// is written to a connection that this machine has accepted is owed an answer.
#[tokio::test]
async fn a_request_beside_answers_that_take_every_place_gets_its_own() {
    let (prefill, decode) =
        (StandIn::start(PREFILL_RESPONSE).await, StandIn::start(Behavior::StreamsEndlessly).await);
    let servers = [("p", "prefill", &prefill), ("d", "decode", &decode)];
    let running = DaemonProcess::start(program_with_descriptor_limit(
        DESCRIPTORS,
        "places",
        &config("n1", "127.0.0.1:9", &servers),
    ));
    let mut streams = Vec::new();
    for n in 0..(DESCRIPTORS - 48) / 2 {
        let mut client = send(running.listen, &request(&format!("stream-{n}"))).await;
        assert!(client.read(&mut [0; 64]).await.unwrap() > 0, "stream {n} runs");
        streams.push(client);
    }
    for n in 0..3 {
        let text = chat(&format!("beside-{n}"), "ask", 1_000);
        let asked = timeout(Duration::from_millis(1_500), exchange(running.listen, &text));
        let answer = asked.await.expect("an answer in its time");
        assert_eq!(answer.status, 503);
    }
    assert!(prefill.posts().iter().all(|got| !got.head.contains("x-txn: beside")), "sent on");
    drop(streams);
    running.signal("-TERM");
    running.expect_clean_exit().await;
}
