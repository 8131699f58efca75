//! Tests the end of client connections: no response is lost to input that the client still sends, and a
//! request that arrives while its connection closes is answered or was never forwarded.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use frosttrail_daemon::front::ClientTimeouts;
use support::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout, Instant};

const HEALTH_REQUEST: &str = "GET /_health HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Connections that meet their close, in each round.
const CLIENTS: usize = 7;
/// Rounds that are always played, and the most until one request at least was in time and one was not.
const MIN_ROUNDS: usize = 6;
const MAX_ROUNDS: usize = 30;

fn request(id: &str) -> String {
    keep_alive(&chat(id, "ask", 7_000))
}

/// Reads until the connection ends. An error is a reset, which may have discarded data sent before it.
async fn read_to_end(stream: &mut TcpStream) -> std::io::Result<String> {
    let mut seen = Vec::new();
    timeout(TEST_TIMEOUT, stream.read_to_end(&mut seen))
        .await
        .expect("the connection was not closed in time")?;
    Ok(String::from_utf8(seen).unwrap())
}

/// A request is answered before all of it has arrived; the client keeps sending and reads the response later.
/// Closing over the unread input would reset the connection and discard the response.
#[tokio::test]
async fn a_response_survives_input_that_its_client_still_sends() {
    let site = Site::start().await;
    for (head, status) in [
        (request("large").replace("content-length: 2\r\n", "content-length: 400000\r\n"), "413"),
        (
            request("two").replace("content-length: 2\r\n", "content-length: 2\r\ncontent-length: 3\r\n"),
            "400",
        ),
        (request("none").replace("x-lane: ask\r\n", ""), "400"),
        (HEALTH_REQUEST.into(), "200"),
    ] {
        let mut client = send(site.platform, &head).await;
        // A reset shows in the writes as well; the socket reports each error only once.
        for _ in 0..6 {
            let sent = client.write_all("x".repeat(64 << 10).as_bytes()).await;
            sent.unwrap_or_else(|e| panic!("{status}: the connection was reset: {e}"));
            tokio::task::yield_now().await;
        }
        let answer =
            read_to_end(&mut client).await.unwrap_or_else(|e| panic!("{status}: the response was lost: {e}"));
        assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{status}: {answer:?}");
    }
}

/// Sends a request after a delay. Returns whether it was answered; checks that the response is whole or
/// empty.
async fn is_answered_after(mut client: TcpStream, id: String, delay: Duration) -> bool {
    sleep(delay).await;
    if client.write_all(request(&id).as_bytes()).await.is_err() {
        return false;
    }
    let answer = read_to_end(&mut client).await.unwrap_or_default();
    assert!(answer.is_empty() || answer.contains("data: [DONE]"), "{id}: incomplete response: {answer:?}");
    !answer.is_empty()
}

/// Opens a connection that stays idle after its first response.
async fn idle_connection(to: SocketAddr) -> TcpStream {
    let mut client = send(to, &keep_alive(HEALTH_REQUEST)).await;
    let mut seen = Vec::new();
    while !seen.ends_with(b"ready\n") {
        assert!(client.read_buf(&mut seen).await.unwrap() > 0);
    }
    client
}

#[tokio::test]
async fn a_request_that_meets_the_end_of_its_connection_is_answered_or_never_sent_on() {
    // Closed by the idle timeout, and by the conductor's shutdown.
    for is_shutdown in [false, true] {
        let (mut answered, mut forwarded) = (0, 0);
        for round in 0..12 {
            let idle = if is_shutdown { TEST_TIMEOUT } else { Duration::from_millis(40) };
            let site = Site::with_timeouts(ClientTimeouts { idle, ..CLIENT_TIMEOUTS }).await;
            let mut requests = JoinSet::new();
            for n in 0..7 {
                let client = idle_connection(site.platform).await;
                let delay = Duration::from_micros(if is_shutdown { 300 * n } else { 39_000 + 300 * n });
                requests.spawn(is_answered_after(client, format!("{round}-{n}"), delay));
            }
            if is_shutdown {
                sleep(Duration::from_micros(900)).await;
                timeout(TEST_TIMEOUT, site.listeners.close())
                    .await
                    .expect("the listeners did not close in time");
            }
            answered += requests.join_all().await.into_iter().filter(|answered| *answered).count();
            forwarded += site.decode.posts().len();
        }
        assert_eq!(
            answered, forwarded,
            "shutdown: {is_shutdown}: a request was forwarded, but its connection closed without a response"
        );
    }
}

/// Guards against Nagle's algorithm, which holds small writes back until the client acknowledges earlier
/// ones: half of the events must arrive within a few milliseconds.
#[tokio::test]
async fn small_events_are_forwarded_without_delay() {
    let site = Site::start().await;
    site.decode.next(Behavior::StreamsTimestamps(80, 5));
    let mut client = send(site.platform, &request("ticks")).await;
    let (mut seen, mut lags) = (String::new(), Vec::new());
    while !seen.contains("[DONE]") {
        let mut bytes = [0; 4096];
        // Delays acknowledgements, for which writes that are held back would wait.
        socket2::SockRef::from(&client).set_tcp_quickack(false).unwrap();
        let read =
            timeout(TEST_TIMEOUT, client.read(&mut bytes)).await.expect("no event arrived in time").unwrap();
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

/// Sends a request at a set time. Returns whether it was answered, like `is_answered_after`.
async fn is_answered_at(client: TcpStream, id: String, at: Instant) -> bool {
    is_answered_after(client, id, at.saturating_duration_since(Instant::now())).await
}

/// Opens connections whose time for a first request expires, and sends a request on each at about that time.
fn meet_time_outs(site: &Site, round: usize, requests: &mut JoinSet<bool>) {
    let platform = site.platform;
    for n in 0..CLIENTS as u64 {
        requests.spawn(async move {
            let client = send(platform, "").await;
            is_answered_after(
                client,
                format!("time-out-{round}-{n}"),
                Duration::from_micros(598_000 + 500 * n),
            )
            .await
        });
    }
}

/// Fills all slots but one with connections that are idle after a response, and sends a request on each while
/// new clients evict them, later in each round. Those that are evicted first send last. Returns the new
/// clients.
async fn meet_evictions(site: &Site, round: usize, requests: &mut JoinSet<bool>) -> Vec<TcpStream> {
    let mut clients = Vec::new();
    for _ in 0..CLIENTS {
        clients.push(idle_connection(site.platform).await);
    }
    // Counted from here for all, however long the connections took to open on a busy machine.
    let begin = Instant::now() + Duration::from_millis(5);
    for (n, client) in clients.into_iter().enumerate() {
        let at = begin + Duration::from_micros((300 * (CLIENTS - n) + 500 * round) as u64);
        requests.spawn(is_answered_at(client, format!("eviction-{round}-{n}"), at));
    }
    sleep_until(begin).await;
    let new_clients: JoinSet<_> = (0..4).map(|_| idle_connection(site.platform)).collect();
    timeout(TEST_TIMEOUT, new_clients.join_all()).await.expect("no slot was freed in time")
}

/// A request arrives at the moment at which its connection is closed, because the time for a first request
/// has expired or because the connection is evicted: it is answered, or was never forwarded. Goes on until
/// some requests were in time and some were not.
#[tokio::test]
async fn a_request_that_meets_a_time_out_or_an_eviction_is_answered_or_never_sent_on() {
    for is_eviction in [false, true] {
        let (mut answered, mut forwarded, mut ended) = (0, 0, 0);
        for round in 0..MAX_ROUNDS {
            let site =
                Site::with_timeouts(ClientTimeouts { idle: Duration::from_secs(1), ..CLIENT_TIMEOUTS }).await;
            let mut requests = JoinSet::new();
            let _new_clients = match is_eviction {
                true => meet_evictions(&site, round, &mut requests).await,
                false => {
                    meet_time_outs(&site, round, &mut requests);
                    Vec::new()
                }
            };
            let all = requests.join_all().await;
            ended += all.iter().filter(|answered| !**answered).count();
            answered += all.iter().filter(|answered| **answered).count();
            forwarded += site.decode.posts().len();
            if round + 1 >= MIN_ROUNDS && answered > 0 && ended > 0 {
                break;
            }
        }
        assert_eq!(
            answered, forwarded,
            "eviction: {is_eviction}: a request was forwarded, but got no response"
        );
        assert!(
            answered > 0 && ended > 0,
            "eviction: {is_eviction}: {answered} answered, {ended} ended: none met the close"
        );
    }
}

/// A client that has had a response sends a part of its next head and stays connected. Its connection must
/// time out as soon as that of a new client, not only after the longer idle timeout.
#[tokio::test]
async fn an_incomplete_head_on_a_used_connection_times_out() {
    let site = Site::start().await;
    let mut client = idle_connection(site.platform).await;
    client.write_all(b"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n").await.unwrap();
    let within = CLIENT_TIMEOUTS.request_arrival + Duration::from_millis(700);
    let ended = timeout(within, client.read_to_end(&mut Vec::new())).await;
    assert!(ended.is_ok(), "the connection is still open after {within:?}");
}
