//! Clients that send a request before the one ahead of it is answered, so that its head arrives in parts that
//! the front reads far apart.

mod support;

use std::time::Duration;

use frosttrail_daemon::front::ClientTimeouts;
use support::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

/// The time for a head, and for a connection without a request, is shorter than a request is open.
const TIMEOUTS: ClientTimeouts = ClientTimeouts {
    request_arrival: Duration::from_millis(150),
    idle: Duration::from_millis(200),
    ..CLIENT_TIMEOUTS
};
/// How long the request ahead is open. An attempt may take longer.
const OPEN_TIME: Duration = Duration::from_millis(400);
/// How long the clients wait.
const BUDGET: Duration = Duration::from_millis(1_300);
/// How much of that passes before a request can be sent on.
const WAIT: Duration = Duration::from_millis(900);
/// A server may be told of this much more time than its client has left.
const REMAINING_SLACK: Duration = Duration::from_millis(150);

/// The time that a server was told that the client has left.
fn told_remaining(request: &ReceivedRequest) -> Duration {
    let text = request.head.lines().find_map(|line| line.strip_prefix("x-remaining: ")?.strip_suffix('u'));
    Duration::from_micros(text.unwrap().parse().unwrap())
}

/// Sends a request and the first part of the head of the next one, all of which the front reads at once.
/// Returns the rest of the second request as well.
async fn send_one_and_a_half(site: &Site) -> (TcpStream, String) {
    let (first, second) = (keep_alive(&chat("first", "book", 4_000)), chat("second", "book", 4_000));
    let (head_start, rest) = second.split_at(second.len() / 2);
    (send(site.platform, &(first + head_start)).await, rest.to_string())
}

/// Reads until the connection ends.
async fn read_to_end(mut client: TcpStream) -> String {
    let mut received = String::new();
    client.read_to_string(&mut received).await.unwrap();
    received
}

/// Guards against an open request that loses its connection, as the head behind it is not read to its end.
#[tokio::test]
async fn an_open_request_keeps_its_connection_while_a_head_behind_it_is_incomplete() {
    let head = "HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n".to_string();
    let begin = head + "9\r\ndata: 1\n\n\r\n";
    let end = "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n".to_string();
    // The first answer begins late, or begins at once and ends late.
    for (at_once, late) in [(String::new(), begin.clone() + &end), (begin, end)] {
        let site = Site::with_timeouts(TIMEOUTS).await;
        site.decode.next(Behavior::SendsFromChannel);
        let (mut client, rest) = send_one_and_a_half(&site).await;
        site.decode.output.send(at_once.clone()).unwrap();
        sleep(OPEN_TIME / 2).await;
        client.write_all(rest.as_bytes()).await.unwrap();
        sleep(OPEN_TIME / 2).await;
        site.decode.output.send(late).unwrap();
        let received = read_to_end(client).await;
        let statuses: Vec<_> = received.split("HTTP/1.1 ").skip(1).map(|answer| &answer[..3]).collect();
        assert_eq!(statuses, ["200", "200"], "{at_once:?} sent at once: {received}");
        assert_eq!(received.matches("[DONE]").count(), 2, "an answer was cut off: {received}");
    }
}

/// Guards against a connection that stays open for ever: the time for the head runs once it is read again.
#[tokio::test]
async fn a_head_that_stays_incomplete_times_out_once_the_request_ahead_is_answered() {
    let site = Site::with_timeouts(TIMEOUTS).await;
    site.decode.next(Behavior::StreamsTimestamps(OPEN_TIME.as_millis() as usize / 10, 10));
    let begin = Instant::now();
    let (client, _) = send_one_and_a_half(&site).await;
    let received = timeout(Duration::from_secs(3), read_to_end(client)).await.expect("still open");
    assert!(begin.elapsed() >= OPEN_TIME + TIMEOUTS.request_arrival, "{:?}", begin.elapsed());
    assert!(received.ends_with("0\r\n\r\n") && received.matches("HTTP/1.1 ").count() == 1, "{received}");
}

/// Asserts that both servers were told of no more time than the client had left after `WAIT`.
fn assert_told_in_time(site: &Site, request: usize) {
    for server in [&site.prefill, &site.decode] {
        let told = told_remaining(&server.posts()[request]);
        assert!(told <= BUDGET - WAIT + REMAINING_SLACK, "a server was told {told:?}");
    }
}

/// Guards against a deadline that grows by the time for which the body was on its way.
#[tokio::test]
async fn a_slow_body_takes_time_that_its_client_no_longer_has() {
    let site = Site::with_timeouts(ClientTimeouts { request_arrival: 2 * WAIT, ..TIMEOUTS }).await;
    let request = chat("slow", "book", BUDGET.as_millis() as u64);
    let (head, body) = request.split_at(request.len() - 1);
    let mut client = send(site.platform, head).await;
    sleep(WAIT).await;
    client.write_all(body.as_bytes()).await.unwrap();
    assert!(read_to_end(client).await.contains("[DONE]"));
    assert_told_in_time(&site, 0);
}

/// Guards against a deadline that grows by the time for which a request waited behind another one.
#[tokio::test]
async fn a_request_behind_another_waits_on_its_clients_time() {
    // The second request is read together with the first, or while the first is open.
    for is_sent_at_once in [true, false] {
        let site = Site::with_timeouts(TIMEOUTS).await;
        site.decode.next(Behavior::StreamsTimestamps(WAIT.as_millis() as usize / 10 + 5, 10));
        let second = chat("second", "book", BUDGET.as_millis() as u64);
        let mut client = send(site.platform, &keep_alive(&chat("first", "book", 4_000))).await;
        if !is_sent_at_once {
            client.readable().await.unwrap();
        }
        client.write_all(second.as_bytes()).await.unwrap();
        assert_eq!(read_to_end(client).await.matches("[DONE]").count(), 2);
        assert_told_in_time(&site, 1);
    }
}
