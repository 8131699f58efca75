//! From SIGTERM to SIGKILL: how the settings divide that time, and what becomes of requests on every
//! connection that stays open.

mod support;

use std::time::Duration;

use frosttrail::setup::{settings, ConfiguredNames};
use frosttrail_daemon::ending::Ending;
use serde_json::{json, Value};
use support::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout, Instant};

const READY: &str = "GET /_health HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
const LATEST: Duration = Duration::from_secs(20);

fn with_deadline(ms: u64) -> Value {
    let mut setup = setup();
    for grade in setup["grades"].as_array_mut().unwrap() {
        grade["deadline"] = json!(ms * 1_000);
    }
    setup
}

fn killed_after(deadline: u64) -> Duration {
    Duration::from_millis(deadline.min(3_000) + 700)
}

#[test]
fn all_is_done_before_sigkill_whatever_the_deadlines() {
    for deadline in [1].into_iter().chain((50..=9_000).step_by(50)) {
        let setup = with_deadline(deadline);
        let Ending { notice, answer_all, last } =
            Ending::new(&settings(&setup, &ConfiguredNames::new(&setup).unwrap()).unwrap());
        assert!(notice <= answer_all && answer_all < last, "{deadline} ms");
        assert!(last + Duration::from_millis(250) <= killed_after(deadline), "{deadline} ms");
    }
    // No time at all is no deadline.
    let setup = with_deadline(0);
    assert!(settings(&setup, &ConfiguredNames::new(&setup).unwrap()).is_err());
}

fn request(id: &str, class: &str, remaining: u64) -> String {
    keep_alive(&chat(id, class, remaining))
}

/// What came back: nothing at all, or an answer's status and whether it was whole.
async fn rest(client: &mut TcpStream) -> Option<(u16, bool)> {
    let mut bytes = Vec::new();
    let _ = timeout(LATEST, client.read_to_end(&mut bytes)).await.expect("an end in time");
    let text = String::from_utf8(bytes).unwrap();
    let status = text.get(9..12)?.parse().ok()?;
    Some((status, status != 200 || text.ends_with("0\r\n\r\n")))
}

/// Rests on its connection and asks once, so long after SIGTERM. Some asked once before.
async fn asks(to: std::net::SocketAddr, id: String, at: Instant) -> (String, Option<(u16, bool)>) {
    let mut client = TcpStream::connect(to).await.unwrap();
    sleep_until(at).await;
    if client.write_all(request(&id, "ask", 1_000).as_bytes()).await.is_err() {
        return (id, None);
    }
    let answer = rest(&mut client).await;
    (id, answer)
}

/// The configuration of a process before these two.
fn config(prefill: &StandIn, decode: &StandIn, deadline: u64) -> String {
    let servers = [("p", "prefill", prefill.address), ("d", "decode", decode.address)];
    config_json("n1", "127.0.0.1:9", 512, &servers, &with_deadline(deadline))
}

/// Deadlines of 1 s, so that SIGKILL comes after 1.7 s: in between every request that was read is answered,
/// and a stream that its server has finished is passed to its end.
#[tokio::test]
async fn with_short_deadlines_nothing_that_was_read_is_lost_to_sigkill() {
    let (prefill, decode) = (StandIn::start(PREFILL_RESPONSE).await, StandIn::start(COMPLETE_STREAM).await);
    let running = DaemonProcess::start(program("short-deadlines", &config(&prefill, &decode, 1_000)));
    // Its stream takes 0.9 s.
    decode.next(Behavior::StreamsTimestamps(150, 5));
    let mut streams = send(running.listen, &request("streams", "ask", 1_000)).await;
    streams.readable().await.unwrap();
    let begin = Instant::now();
    let mut clients = JoinSet::new();
    for n in 0..34 {
        let at = begin + Duration::from_millis(20 + 50 * n);
        clients.spawn(asks(running.listen, format!("late-{n}"), at));
    }
    // They rest when the end is told. One server answers none of those that come late.
    sleep(Duration::from_millis(20)).await;
    running.signal("-TERM");
    sleep(Duration::from_millis(550)).await;
    (0..40).for_each(|_| decode.next(Behavior::StaysSilent));
    let streamed = rest(&mut streams).await;
    sleep_until(begin + Duration::from_millis(20) + killed_after(1_000)).await;
    running.signal("-KILL");
    assert!(streamed.is_some_and(|(_, whole)| whole), "a stream that its server had finished was cut");
    let answers = clients.join_all().await;
    for (id, answer) in &answers {
        let read = prefill.posts().iter().any(|got| got.head.contains(&format!("x-txn: {id}\r\n")));
        assert!(answer.is_some() || !read, "{id} was read and sent on, and got no answer");
        assert!(answer.is_none_or(|(_, whole)| whole), "{id} was cut");
    }
    let served = answers.iter().filter(|(_, answer)| answer.is_some_and(|(status, _)| status == 200)).count();
    assert!(served >= 4, "those that come at once are served: {served}");
    running.expect_clean_exit().await;
}

/// Its first half came before the doors closed, the rest after the last answers: it is taken all the same, so
/// it is answered, and before the end. Signals that come again, and SIGHUP, change nothing of that.
#[tokio::test]
async fn a_request_that_is_whole_only_after_the_last_answers_is_answered_too() {
    let (prefill, decode) =
        (StandIn::start(Behavior::StaysSilent).await, StandIn::start(COMPLETE_STREAM).await);
    // The doors close after 0.65 s, the last answers go at 2.4 s, the end is at 2.9 s.
    let running = DaemonProcess::start(program("halves", &config(&prefill, &decode, 2_500)));
    let mut open = send(running.listen, &request("open", "book", 8_000)).await;
    let mut halves = Vec::new();
    for n in 0..4 {
        let text = request(&format!("half-{n}"), ["ask", "book"][n % 2], 8_000);
        let (first, rest) = text.split_at(text.len() - 1);
        let mut client = send(running.listen, &keep_alive(READY)).await;
        let mut seen = Vec::new();
        while !seen.ends_with(b"ready\n") {
            assert!(client.read_buf(&mut seen).await.unwrap() > 0);
        }
        halves.push((client, first.to_string(), rest.to_string()));
    }
    let told = Instant::now();
    running.signal("-TERM");
    // Late, yet before the doors close: what is left may still come when the last answers have gone.
    sleep(Duration::from_millis(550)).await;
    for (client, first, _) in &mut halves {
        client.write_all(first.as_bytes()).await.unwrap();
    }
    // The first request's answer is the last of the planned end.
    let (status, _) = rest(&mut open).await.expect("an answer");
    assert_eq!(status, 503, "nothing had run");
    running.signal("-TERM");
    running.signal("-HUP");
    for (n, (mut client, _, last)) in halves.into_iter().enumerate() {
        client.write_all(last.as_bytes()).await.unwrap();
        let answer = rest(&mut client).await;
        assert_eq!(answer.map(|(status, _)| status), Some(503), "half-{n} was taken");
    }
    assert!(told.elapsed() < killed_after(2_500), "{:?}", told.elapsed());
    running.expect_clean_exit().await;
}

/// Its last byte comes more than 0.7 s after SIGTERM, and its stream would run into SIGKILL: it is refused,
/// as its client loses nothing by asking elsewhere, and is never sent on.
#[tokio::test]
async fn a_request_that_is_whole_after_the_doors_have_closed_begins_no_stream() {
    let (prefill, decode) =
        (StandIn::start(PREFILL_RESPONSE).await, StandIn::start(Behavior::StreamsTimestamps(100, 60)).await);
    let running = DaemonProcess::start(program("whole-late", &config(&prefill, &decode, 3_000)));
    let text = request("late", "ask", 3_000);
    let (first, last) = text.split_at(text.len() - 1);
    let mut client = send(running.listen, &keep_alive(READY)).await;
    let mut seen = Vec::new();
    while !seen.ends_with(b"ready\n") {
        assert!(client.read_buf(&mut seen).await.unwrap() > 0);
    }
    running.signal("-TERM");
    sleep(Duration::from_millis(400)).await;
    client.write_all(first.as_bytes()).await.unwrap();
    sleep(Duration::from_millis(500)).await;
    client.write_all(last.as_bytes()).await.unwrap();
    assert_eq!(rest(&mut client).await, Some((503, true)));
    assert!(prefill.posts().is_empty(), "it was sent on");
    running.expect_clean_exit().await;
}
