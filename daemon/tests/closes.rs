//! Ends of clients' connections, and what crosses them: no answer is destroyed by what its client still
//! sends, and a request that meets the end is answered or was never sent on.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use frosttrail_daemon::front::ClientTimeouts;
use support::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

const READY: &str = "GET /_health HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
const LATEST: Duration = Duration::from_secs(20);

fn request(id: &str) -> String {
    keep_alive(&chat(id, "ask", 7_000))
}

/// Reads all there is; an error is a reset, which may have destroyed what came before it.
async fn rest(stream: &mut TcpStream) -> std::io::Result<String> {
    let mut seen = Vec::new();
    timeout(LATEST, stream.read_to_end(&mut seen)).await.expect("it is closed in time")?;
    Ok(String::from_utf8(seen).unwrap())
}

/// Turned down before all of it had come: the client goes on sending, and reads the answer afterwards.
#[tokio::test]
async fn an_answer_outlives_what_its_client_still_sends() {
    let site = Site::start().await;
    for (head, status) in [
        (request("large").replace("content-length: 2\r\n", "content-length: 400000\r\n"), "413"),
        (
            request("two").replace("content-length: 2\r\n", "content-length: 2\r\ncontent-length: 3\r\n"),
            "400",
        ),
        (request("none").replace("x-lane: ask\r\n", ""), "400"),
        (READY.into(), "200"),
    ] {
        let mut client = send(site.platform, &head).await;
        // A reset shows in the writes as well; each error is told once.
        for _ in 0..6 {
            let sent = client.write_all("x".repeat(64 << 10).as_bytes()).await;
            sent.unwrap_or_else(|e| panic!("{status}: reset: {e}"));
            tokio::task::yield_now().await;
        }
        let answer = rest(&mut client).await.unwrap_or_else(|e| panic!("{status}: destroyed: {e}"));
        assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{status}: {answer:?}");
    }
}

/// An answer, or a clean end with nothing.
async fn asks_at_the_end(mut client: TcpStream, id: String, after: Duration) -> bool {
    sleep(after).await;
    if client.write_all(request(&id).as_bytes()).await.is_err() {
        return false;
    }
    let answer = rest(&mut client).await.unwrap_or_default();
    assert!(answer.is_empty() || answer.contains("data: [DONE]"), "{id}: half an answer: {answer:?}");
    !answer.is_empty()
}

async fn resting(to: SocketAddr) -> TcpStream {
    let mut client = send(to, &keep_alive(READY)).await;
    let mut seen = Vec::new();
    while !seen.ends_with(b"ready\n") {
        assert!(client.read_buf(&mut seen).await.unwrap() > 0);
    }
    client
}

#[tokio::test]
async fn a_request_that_meets_the_end_of_its_connection_is_answered_or_never_sent_on() {
    // Ended by the idle time, and by the end of the conductor.
    for closes in [false, true] {
        let (mut answered, mut sent_on) = (0, 0);
        for round in 0..12 {
            let idle = if closes { LATEST } else { Duration::from_millis(40) };
            let site = Site::with_timeouts(ClientTimeouts { idle, ..CLIENT_TIMEOUTS }).await;
            let mut asks = JoinSet::new();
            for n in 0..7 {
                let client = resting(site.platform).await;
                let after = Duration::from_micros(if closes { 300 * n } else { 39_000 + 300 * n });
                asks.spawn(asks_at_the_end(client, format!("{round}-{n}"), after));
            }
            if closes {
                sleep(Duration::from_micros(900)).await;
                timeout(LATEST, site.listeners.close()).await.expect("the end in time");
            }
            answered += asks.join_all().await.into_iter().filter(|answered| *answered).count();
            sent_on += site.decode.posts().len();
        }
        assert_eq!(
            answered, sent_on,
            "closes: {closes}: sent on, and its connection ended without the answer"
        );
    }
}

/// No small write is held back: half of the events arrive within a few milliseconds.
#[tokio::test]
async fn small_events_pass_as_they_come() {
    let site = Site::start().await;
    site.decode.next(Behavior::StreamsTimestamps(80, 5));
    let mut client = send(site.platform, &request("ticks")).await;
    let (mut seen, mut lags) = (String::new(), Vec::new());
    while !seen.contains("[DONE]") {
        let mut bytes = [0; 4096];
        // As where acknowledgements take their time, which is what writes that are held back wait for.
        socket2::SockRef::from(&client).set_tcp_quickack(false).unwrap();
        let read = timeout(LATEST, client.read(&mut bytes)).await.expect("events").unwrap();
        assert!(read > 0, "{seen:?}");
        seen.push_str(std::str::from_utf8(&bytes[..read]).unwrap());
        let now = unix_micros();
        let known = lags.len();
        let times =
            seen.split("{\"at\":").skip(1 + known).filter_map(|t| t.split_once('}')?.0.parse::<u64>().ok());
        lags.extend(times.map(|at| now.saturating_sub(at)));
    }
    let mut late = lags.split_off(40);
    late.sort();
    assert!(late.len() == 40 && late[20] < 15_000, "{late:?}");
}

/// The time for a first request runs out, or the connection has to make room, in the moment in which its
/// request comes: answered, or never sent on.
#[tokio::test]
async fn a_request_that_meets_a_time_out_or_an_eviction_is_answered_or_never_sent_on() {
    for evicts in [false, true] {
        let (mut answered, mut sent_on, mut ended) = (0, 0, 0);
        for round in 0..6u64 {
            let site =
                Site::with_timeouts(ClientTimeouts { idle: Duration::from_secs(1), ..CLIENT_TIMEOUTS }).await;
            let mut asks = JoinSet::new();
            for n in 0..7u64 {
                let id = format!("{evicts}-{round}-{n}");
                // All places but one are taken by such as rest after an answer, or have never asked.
                let client =
                    if evicts { resting(site.platform).await } else { send(site.platform, "").await };
                let at = if evicts { 30_000 + 300 * n } else { 598_000 + 500 * n };
                asks.spawn(asks_at_the_end(client, id, Duration::from_micros(at)));
            }
            if evicts {
                sleep(Duration::from_micros(29_500 + 100 * round)).await;
                let newcomers = (0..4).map(|_| resting(site.platform));
                let mut held = Vec::new();
                for newcomer in newcomers {
                    held.push(timeout(LATEST, newcomer).await.expect("there is room in time"));
                }
            }
            let all = asks.join_all().await;
            ended += all.iter().filter(|answered| !**answered).count();
            answered += all.iter().filter(|answered| **answered).count();
            sent_on += site.decode.posts().len();
        }
        assert_eq!(answered, sent_on, "evicts: {evicts}: sent on, and ended without the answer");
        assert!(
            answered > 0 && ended > 0,
            "evicts: {evicts}: {answered} answered, {ended} ended: none has crossed"
        );
    }
}

/// A client that has been answered sends a part of its next head, and stays: it is ended in the time that bad
/// clients are owed, as one is that has just connected.
#[tokio::test]
async fn half_a_head_on_a_used_connection_is_ended_in_time() {
    let site = Site::start().await;
    let mut client = resting(site.platform).await;
    client.write_all(b"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n").await.unwrap();
    let within = CLIENT_TIMEOUTS.arrive + Duration::from_millis(700);
    let ended = timeout(within, client.read_to_end(&mut Vec::new())).await;
    assert!(ended.is_ok(), "nothing after {within:?}");
}
