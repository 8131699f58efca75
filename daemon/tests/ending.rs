//! Shutdown between SIGTERM and SIGKILL: how the settings divide that time, and how requests on connections
//! that stay open are answered.

mod support;

use std::time::Duration;

use frosttrail::setup::{settings, ConfiguredNames};
use frosttrail_daemon::shutdown::ShutdownSchedule;
use serde_json::{json, Value};
use support::chat::start_with_chat;
use support::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout, Instant};

const READY_REQUEST: &str = "GET /_health HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
/// The longest time to wait for any single step.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);

/// Settings whose classes all have this deadline.
fn settings_with_deadline(deadline_ms: u64) -> Value {
    let mut setup = setup();
    for class in setup["grades"].as_array_mut().unwrap() {
        class["deadline"] = json!(deadline_ms * 1_000);
    }
    setup
}

/// The time from SIGTERM to SIGKILL with this deadline.
fn time_until_sigkill(deadline_ms: u64) -> Duration {
    Duration::from_millis(deadline_ms.min(3_000) + 700)
}

#[test]
fn shutdown_ends_before_sigkill_whatever_the_deadlines() {
    for deadline_ms in [1].into_iter().chain((50..=9_000).step_by(50)) {
        let setup = settings_with_deadline(deadline_ms);
        let ShutdownSchedule {
            close_listeners_after,
            answer_all_after,
            demand_answers_after,
            exit_after,
            cuts_streams,
        } = ShutdownSchedule::new(&settings(&setup, &ConfiguredNames::new(&setup).unwrap()).unwrap());
        assert!(cuts_streams, "{deadline_ms} ms");
        assert!(
            close_listeners_after <= answer_all_after && answer_all_after < exit_after,
            "{deadline_ms} ms"
        );
        assert!(
            answer_all_after < demand_answers_after && demand_answers_after < exit_after,
            "{deadline_ms} ms"
        );
        assert!(
            exit_after + Duration::from_millis(250) <= time_until_sigkill(deadline_ms),
            "{deadline_ms} ms"
        );
    }
    // A deadline of zero is rejected.
    let setup = settings_with_deadline(0);
    assert!(settings(&setup, &ConfiguredNames::new(&setup).unwrap()).is_err());
}

/// Settings whose classes all have this deadline, of a site whose clients can't resume a stream.
fn settings_without_resume(deadline_ms: u64) -> Value {
    let mut setup = settings_with_deadline(deadline_ms);
    setup["specifics"]["resume"] = json!(false);
    setup
}

/// Guards against streams that are taken so late that SIGKILL may lose them: what is complete over 0.7 s
/// after SIGTERM has no stream, even if the process was held up for 0.15 s.
#[test]
fn where_streams_run_on_none_is_taken_within_a_delay_of_the_last_moment() {
    let last_moment = Duration::from_millis(700);
    let admission_grace = Duration::from_millis(30);
    let delay = Duration::from_millis(150);
    for deadline_ms in [1].into_iter().chain((50..=9_000).step_by(50)) {
        let setup = settings_without_resume(deadline_ms);
        let schedule =
            ShutdownSchedule::new(&settings(&setup, &ConfiguredNames::new(&setup).unwrap()).unwrap());
        assert!(!schedule.cuts_streams, "{deadline_ms} ms");
        assert!(schedule.close_listeners_after + admission_grace + delay <= last_moment, "{deadline_ms} ms");
        assert!(schedule.exit_after < time_until_sigkill(deadline_ms), "{deadline_ms} ms");
    }
}

fn request(id: &str, class: &str, remaining_ms: u64) -> String {
    keep_alive(&chat(id, class, remaining_ms))
}

/// Reads until the connection ends. Returns the status and whether the answer was whole, or `None` if no
/// answer came.
async fn read_outcome(client: &mut TcpStream) -> Option<(u16, bool)> {
    let mut bytes = Vec::new();
    let _ = timeout(STEP_TIMEOUT, client.read_to_end(&mut bytes)).await.expect("an end in time");
    let text = String::from_utf8(bytes).unwrap();
    let status = text.get(9..12)?.parse().ok()?;
    Some((status, status != 200 || text.ends_with("0\r\n\r\n")))
}

/// Opens a connection and sends its only request at this time.
async fn request_at(to: std::net::SocketAddr, id: String, at: Instant) -> (String, Option<(u16, bool)>) {
    let mut client = TcpStream::connect(to).await.unwrap();
    sleep_until(at).await;
    if client.write_all(request(&id, "ask", 1_000).as_bytes()).await.is_err() {
        return (id, None);
    }
    let answer = read_outcome(&mut client).await;
    (id, answer)
}

/// The configuration of a process with these two servers.
fn config(prefill: &StandIn, decode: &StandIn, deadline_ms: u64) -> String {
    let servers = [("p", "prefill", prefill.address), ("d", "decode", decode.address)];
    config_json("n1", "127.0.0.1:9", 512, &servers, &settings_with_deadline(deadline_ms))
}

/// With deadlines of 1 s, SIGKILL follows 1.7 s after SIGTERM. Until then every request that was read must be
/// answered, and a stream that its server has finished must reach the client whole.
#[tokio::test]
async fn with_short_deadlines_every_request_read_is_answered_before_sigkill() {
    let (prefill, decode) = (StandIn::start(PREFILL_RESPONSE).await, StandIn::start(COMPLETE_STREAM).await);
    let process = DaemonProcess::start(program("short-deadlines", &config(&prefill, &decode, 1_000)));
    // This stream takes 0.9 s.
    decode.next(Behavior::StreamsTimestamps(150, 5));
    let mut streams = send(process.listen, &request("streams", "ask", 1_000)).await;
    streams.readable().await.unwrap();
    let start = Instant::now();
    let mut clients = JoinSet::new();
    for n in 0..34 {
        let at = start + Duration::from_millis(20 + 50 * n);
        clients.spawn(request_at(process.listen, format!("late-{n}"), at));
    }
    // The clients are connected and idle when SIGTERM comes. The decode server answers no late request.
    sleep(Duration::from_millis(20)).await;
    process.signal("-TERM");
    sleep(Duration::from_millis(550)).await;
    (0..40).for_each(|_| decode.next(Behavior::StaysSilent));
    let stream_outcome = read_outcome(&mut streams).await;
    sleep_until(start + Duration::from_millis(20) + time_until_sigkill(1_000)).await;
    process.signal("-KILL");
    assert!(
        stream_outcome.is_some_and(|(_, whole)| whole),
        "a stream that its server had finished was cut off"
    );
    let answers = clients.join_all().await;
    for (id, answer) in &answers {
        let read = prefill.posts().iter().any(|request| request.head.contains(&format!("x-txn: {id}\r\n")));
        assert!(answer.is_some() || !read, "{id} was read and sent on, and got no answer");
        assert!(answer.is_none_or(|(_, whole)| whole), "{id} was cut off");
    }
    let served = answers.iter().filter(|(_, answer)| answer.is_some_and(|(status, _)| status == 200)).count();
    assert!(served >= 4, "too few of the early requests were served: {served}");
    process.expect_clean_exit().await;
}

/// A request whose first part arrives before the listeners close, and whose rest arrives after the last
/// answers, is accepted all the same, so it must be answered before the process ends. Repeated signals and
/// SIGHUP do not change that.
#[tokio::test]
async fn a_request_completed_after_the_last_answers_is_still_answered() {
    let (prefill, decode) =
        (StandIn::start(Behavior::StaysSilent).await, StandIn::start(COMPLETE_STREAM).await);
    // The listeners close after 0.65 s, the last answers are sent at 2.4 s, and the process ends at 2.9 s.
    let process = DaemonProcess::start(program("halves", &config(&prefill, &decode, 2_500)));
    let mut open = send(process.listen, &request("open", "book", 8_000)).await;
    let mut partial_requests = Vec::new();
    for n in 0..4 {
        let text = request(&format!("half-{n}"), ["ask", "book"][n % 2], 8_000);
        let (first, rest) = text.split_at(text.len() - 1);
        let mut client = send(process.listen, &keep_alive(READY_REQUEST)).await;
        let mut seen = Vec::new();
        while !seen.ends_with(b"ready\n") {
            assert!(client.read_buf(&mut seen).await.unwrap() > 0);
        }
        partial_requests.push((client, first.to_string(), rest.to_string()));
    }
    let sigterm_sent = Instant::now();
    process.signal("-TERM");
    // Just before the listeners close, so that the rest may still arrive after the last answers.
    sleep(Duration::from_millis(550)).await;
    for (client, first, _) in &mut partial_requests {
        client.write_all(first.as_bytes()).await.unwrap();
    }
    // The open request gets one of the last answers of the planned shutdown.
    let (status, _) = read_outcome(&mut open).await.expect("an answer");
    assert_eq!(status, 503, "the request had not run");
    process.signal("-TERM");
    process.signal("-HUP");
    for (n, (mut client, _, last)) in partial_requests.into_iter().enumerate() {
        client.write_all(last.as_bytes()).await.unwrap();
        let answer = read_outcome(&mut client).await;
        assert_eq!(
            answer.map(|(status, _)| status),
            Some(503),
            "half-{n} was accepted but got another answer or none"
        );
    }
    assert!(sigterm_sent.elapsed() < time_until_sigkill(2_500), "{:?}", sigterm_sent.elapsed());
    process.expect_clean_exit().await;
}

/// Sends SIGTERM, then a request on a connection that has been used before: all but its last byte at the
/// first time after SIGTERM, the last byte at the second. Returns what `read_outcome` does.
async fn complete_after_sigterm(
    process: &DaemonProcess,
    first_at: Duration,
    last_at: Duration,
) -> Option<(u16, bool)> {
    let text = request("late", "ask", 3_000);
    let (first, last) = text.split_at(text.len() - 1);
    let mut client = send(process.listen, &keep_alive(READY_REQUEST)).await;
    let mut seen = Vec::new();
    while !seen.ends_with(b"ready\n") {
        assert!(client.read_buf(&mut seen).await.unwrap() > 0);
    }
    process.signal("-TERM");
    sleep(first_at).await;
    client.write_all(first.as_bytes()).await.unwrap();
    sleep(last_at - first_at).await;
    client.write_all(last.as_bytes()).await.unwrap();
    read_outcome(&mut client).await
}

/// A request whose last byte arrives more than 0.7 s after SIGTERM could still stream at SIGKILL. It must be
/// refused and never sent on, as its client loses nothing by retrying elsewhere.
#[tokio::test]
async fn a_request_completed_after_the_listeners_closed_starts_no_stream() {
    let (prefill, decode) =
        (StandIn::start(PREFILL_RESPONSE).await, StandIn::start(Behavior::StreamsTimestamps(100, 60)).await);
    let process = DaemonProcess::start(program("whole-late", &config(&prefill, &decode, 3_000)));
    let answer =
        complete_after_sigterm(&process, Duration::from_millis(400), Duration::from_millis(900)).await;
    assert_eq!(answer, Some((503, true)));
    assert!(prefill.posts().is_empty(), "the request was sent on");
    process.expect_clean_exit().await;
}

/// A request of the chat front whose client does not stream.
fn collected_request(id: &str, class: &str) -> String {
    let headers = format!("x-txn: {id}\r\nx-lane: {class}\r\n");
    let body = json!({"model": "chat", "messages": [{"role": "user", "content": "Two at eight."}]});
    keep_alive(&post("/v1/chat/completions", &headers, &body.to_string()))
}

/// Guards against a planned restart that leaves requests without an answer: a client that does not stream has
/// received nothing while its answer is collected, although the stream at the server has begun.
#[tokio::test]
async fn an_answer_that_is_still_collected_at_a_planned_end_fails_before_the_process_exits() {
    let (prefill, decode) = (StandIn::start(PREFILL_RESPONSE).await, StandIn::start(COMPLETE_STREAM).await);
    // The process ends 1.4 s after SIGTERM, and SIGKILL would follow at 1.7 s.
    let process = start_with_chat("collected", &config(&prefill, &decode, 1_000));
    let cases = [
        ("ends-in-time", Behavior::StreamsTimestamps(80, 10), 200),
        ("runs-on", Behavior::StreamsTimestamps(400, 10), 502),
        ("stalls", Behavior::StallsAfter(&[EVENT]), 502),
        ("sends-more", Behavior::StallsAfter(&[EVENT]), 502),
    ];
    let mut clients = Vec::new();
    for (id, behavior, expected_status) in cases {
        for class in ["ask", "book"] {
            decode.next(behavior.clone());
            let mut client = send(process.listen, &collected_request(&format!("{id}-{class}"), class)).await;
            while decode.posts().len() <= clients.len() {
                sleep(Duration::from_millis(1)).await;
            }
            if id == "sends-more" {
                // Input that the process leaves unread must not destroy the answer.
                client.write_all(b"POST /v1/chat/completions HTTP/1.1\r\n").await.unwrap();
            }
            clients.push((format!("{id}-{class}"), expected_status, client));
        }
    }
    let sigterm_sent = Instant::now();
    process.signal("-TERM");
    for (id, expected_status, client) in clients {
        let answer = timeout(STEP_TIMEOUT, try_read_answer(client)).await.expect("an end in time");
        assert_eq!(answer.map(|answer| answer.status), Some(expected_status), "{id}");
    }
    assert!(sigterm_sent.elapsed() < time_until_sigkill(1_000), "{:?}", sigterm_sent.elapsed());
    process.expect_clean_exit().await;
}

/// The configuration of a process with these two servers, at a site whose clients can't resume a stream.
fn config_without_resume(prefill: &StandIn, decode: &StandIn, deadline_ms: u64) -> String {
    let servers = [("p", "prefill", prefill.address), ("d", "decode", decode.address)];
    config_json("n1", "127.0.0.1:9", 512, &servers, &settings_without_resume(deadline_ms))
}

/// A request of the chat front whose client streams.
fn streamed_chat_request(id: &str, class: &str) -> String {
    let headers = format!("x-txn: {id}\r\nx-lane: {class}\r\n");
    let messages = json!([{"role": "user", "content": "Two at eight."}]);
    let body = json!({"model": "chat", "stream": true, "messages": messages});
    keep_alive(&post("/v1/chat/completions", &headers, &body.to_string()))
}

/// Starts two streams of 3 s, sends SIGTERM, and returns whether each was whole. The schedule is over 1.4 s
/// after SIGTERM. Checks that the process ends with the last stream.
async fn streams_over_a_planned_end(process: DaemonProcess, decode: &StandIn, text: &[String]) -> Vec<bool> {
    let mut clients = Vec::new();
    for text in text {
        decode.next(Behavior::StreamsTimestamps(300, 10));
        let client = send(process.listen, text).await;
        client.readable().await.unwrap();
        clients.push(client);
    }
    process.signal("-TERM");
    let mut outcomes = Vec::new();
    for mut client in clients {
        outcomes.push(read_outcome(&mut client).await == Some((200, true)));
    }
    timeout(Duration::from_secs(1), process.expect_clean_exit()).await.expect("an end with the last stream");
    outcomes
}

/// Guards against a planned end that cuts streams which their clients can't resume: each is lost, although
/// its server goes on writing.
#[tokio::test]
async fn streams_that_clients_can_not_resume_run_to_their_ends() {
    let (prefill, decode) = (StandIn::start(PREFILL_RESPONSE).await, StandIn::start(COMPLETE_STREAM).await);
    let requests = ["ask", "book"].map(|class| request(&format!("runs-on-{class}"), class, 1_000));
    let config_text = config_without_resume(&prefill, &decode, 1_000);
    let process = DaemonProcess::start(program("runs-on", &config_text));
    assert_eq!(streams_over_a_planned_end(process, &decode, &requests).await, [true, true]);
    let requests = ["ask", "book"].map(|class| streamed_chat_request(&format!("chat-{class}"), class));
    let process = start_with_chat("runs-on-chat", &config_text);
    assert_eq!(streams_over_a_planned_end(process, &decode, &requests).await, [true, true]);
    // Where clients resume streams, they are cut off in time for that.
    let requests = ["ask", "book"].map(|class| request(&format!("resumes-{class}"), class, 1_000));
    let process = DaemonProcess::start(program("resumes", &config(&prefill, &decode, 1_000)));
    assert_eq!(streams_over_a_planned_end(process, &decode, &requests).await, [false, false]);
}

/// Guards against a process that stays until SIGKILL although it owes nobody anything: a silent server, a
/// request that arrives in part, an idle client and a release that no server accepts don't keep it.
#[tokio::test]
async fn a_process_that_owes_no_stream_ends_before_sigkill_where_streams_run_on() {
    let (prefill, mut decode) =
        (StandIn::start(PREFILL_RESPONSE).await, StandIn::start(Behavior::StaysSilent).await);
    let process =
        DaemonProcess::start(program("owes-nothing", &config_without_resume(&prefill, &decode, 1_000)));
    let mut open = Vec::new();
    for class in ["ask", "book"] {
        open.push(send(process.listen, &request(&format!("open-{class}"), class, 8_000)).await);
    }
    while decode.posts().len() < 2 {
        sleep(Duration::from_millis(1)).await;
    }
    let _idle = TcpStream::connect(process.listen).await.unwrap();
    let sigterm_sent = Instant::now();
    process.signal("-TERM");
    sleep(Duration::from_millis(300)).await;
    let partial = request("partial", "ask", 8_000);
    let _partial = send(process.listen, &partial[..partial.len() - 1]).await;
    decode.refuse_all().await;
    for mut client in open {
        let answer = read_outcome(&mut client).await;
        assert!(answer.is_some_and(|(status, _)| status >= 500), "{answer:?}");
        assert!(sigterm_sent.elapsed() < time_until_sigkill(1_000), "{:?}", sigterm_sent.elapsed());
    }
    process.expect_clean_exit().await;
    assert!(sigterm_sent.elapsed() < time_until_sigkill(1_000), "{:?}", sigterm_sent.elapsed());
}

/// Guards against a stream that is taken late on a connection that stays open, and that SIGKILL may lose.
#[tokio::test]
async fn a_request_that_is_complete_after_the_close_is_refused_where_streams_run_on() {
    let (prefill, decode) =
        (StandIn::start(PREFILL_RESPONSE).await, StandIn::start(Behavior::StreamsTimestamps(100, 60)).await);
    let process =
        DaemonProcess::start(program("runs-on-late", &config_without_resume(&prefill, &decode, 3_000)));
    let answer =
        complete_after_sigterm(&process, Duration::from_millis(400), Duration::from_millis(600)).await;
    assert_eq!(answer, Some((503, true)));
    assert!(prefill.posts().is_empty(), "the request was sent on");
    process.expect_clean_exit().await;
}
