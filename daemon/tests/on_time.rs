//! Tests the forwarding of events: each on its own, in order and without delay, under any other load.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use support::*;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Limit on the delay of an event between its server and its client.
const MAX_LAG_US: u64 = 300_000;
const STREAM_COUNT: usize = 500;
const BACKLOG_REQUEST_COUNT: usize = 1_000;
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Sends a request and returns the delay of each event of the response, or `None` if it was refused.
async fn event_lags(to: SocketAddr, id: String) -> Option<Vec<u64>> {
    let mut client = send(to, &chat(&id, "ask", 7_000)).await;
    let (mut seen, mut lags, mut bytes) = (String::new(), Vec::new(), [0; 8 << 10]);
    loop {
        let read = timeout(TEST_TIMEOUT, client.read(&mut bytes))
            .await
            .expect("no event arrived in time")
            .unwrap_or(0);
        if read == 0 {
            break;
        }
        let now = unix_micros();
        seen.push_str(std::str::from_utf8(&bytes[..read]).unwrap());
        let times: Vec<u64> =
            seen.split("{\"at\":").skip(1).filter_map(|t| t.split_once('}')?.0.parse().ok()).collect();
        assert!(times.is_sorted(), "{id}: events out of order");
        lags.extend(times[lags.len()..].iter().map(|at| now.saturating_sub(*at)));
    }
    seen.starts_with("HTTP/1.1 200").then(|| {
        assert!(seen.ends_with("0\r\n\r\n"), "{id}: incomplete stream");
        lags
    })
}

/// Hundreds of streams run during a backlog of requests that can't be sent, each of which the decisions
/// examine again and again.
#[tokio::test]
async fn events_are_on_time_during_a_backlog_of_decisions() {
    let (mut servers, mut stand_ins) = (Vec::new(), Vec::new());
    for n in 0..8 {
        for (kind, usual) in [("prefill", PREFILL_RESPONSE), ("decode", Behavior::StreamsTimestamps(80, 100))]
        {
            let stand_in = StandIn::start(usual).await;
            servers.push((format!("{kind}-{n}"), kind, stand_in.address));
            stand_ins.push(stand_in);
        }
    }
    let servers: Vec<_> = servers.iter().map(|(uid, kind, at)| (uid.as_str(), *kind, *at)).collect();
    let config = config_json("n1", "127.0.0.1:9", 8_192, &servers, &setup());
    let running = DaemonProcess::start(program("on-time", &config));
    let mut clients = JoinSet::new();
    for n in 0..STREAM_COUNT {
        clients.spawn(event_lags(running.listen, format!("stream-{n}")));
        // Spreads the requests out so that all are served within their deadline.
        sleep(Duration::from_millis(4)).await;
    }
    for n in 0..BACKLOG_REQUEST_COUNT {
        clients.spawn(event_lags(running.listen, format!("backlog-{n}")));
    }
    let answers = clients.join_all().await;
    let served = answers.iter().flatten().count();
    assert!(served >= STREAM_COUNT, "{served} served");
    let mut all: Vec<u64> = answers.into_iter().flatten().flatten().collect();
    all.sort_unstable();
    let late = all.iter().filter(|lag| **lag > MAX_LAG_US).count();
    let longest = all[all.len() - 1];
    assert!(
        late * 100 <= all.len() && longest < 3 * MAX_LAG_US,
        "{late} of {} late, up to {longest} us",
        all.len()
    );
    running.signal("-TERM");
    running.expect_clean_exit().await;
}

/// Slow clients don't delay the events of others.
#[tokio::test]
async fn events_are_on_time_beside_clients_that_read_nothing() {
    let site = Site::start().await;
    let mut slow = Vec::new();
    for n in 0..3 {
        site.decode.next(Behavior::StreamsEndlessly);
        slow.push(send(site.platform, &chat(&format!("slow-{n}"), "ask", 7_000)).await);
        while site.decode.posts().len() <= n {
            sleep(Duration::from_millis(2)).await;
        }
    }
    site.decode.next(Behavior::StreamsTimestamps(60, 5));
    let lags = event_lags(site.platform, "quick".into()).await.expect("the request was refused");
    assert_eq!(lags.len(), 60);
    assert!(lags.iter().all(|lag| *lag < MAX_LAG_US), "{lags:?}");
}

/// Returns the chunks that the client has received, once there are at least `min_count`, or once none arrives
/// for some time.
async fn read_chunks(client: &mut TcpStream, seen: &mut Vec<u8>, min_count: usize) -> Vec<String> {
    loop {
        let text = String::from_utf8(seen.clone()).unwrap();
        let mut rest = text.split_once("\r\n\r\n").map_or("", |(_, rest)| rest);
        let mut chunks = Vec::new();
        while let Some((size, more)) = rest.split_once("\r\n") {
            let size = usize::from_str_radix(size, 16).unwrap();
            let Some(chunk) = more.get(..size + 2) else { break };
            chunks.push(chunk[..size].to_string());
            rest = &more[size + 2..];
        }
        if chunks.len() >= min_count {
            return chunks;
        }
        // `usize::MAX` stands for all chunks that arrive now: the wait is short, as none may follow.
        match timeout(
            Duration::from_millis(if min_count == usize::MAX { 50 } else { 20_000 }),
            client.read_buf(seen),
        )
        .await
        {
            Ok(read) => assert!(read.unwrap() > 0, "the connection was closed"),
            Err(_) => return chunks,
        }
    }
}

/// Events arrive in pieces, or several in one chunk: each is forwarded on its own once it is complete.
#[tokio::test]
async fn each_event_is_forwarded_whole_and_alone_however_it_arrives() {
    let site = Site::start().await;
    let output = site.decode.output.clone();
    site.decode.next(Behavior::SendsFromChannel);
    let mut client = send(site.platform, &chat("pieces", "ask", 7_000)).await;
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
    let (first, second) = EVENT.split_at(20);
    let mut seen = Vec::new();
    let none: [&str; 0] = [];
    // Half an event in a chunk of its own: the response does not start.
    output.send(format!("{head}{}", chunk(first))).unwrap();
    assert_eq!(read_chunks(&mut client, &mut seen, usize::MAX).await, none);
    assert!(seen.is_empty(), "the answer has begun without an event");
    // The rest, and half of a chunk that contains half of the next event.
    let half = chunk(&LAST[..30]);
    let (start, end) = half.split_at(9);
    output.send(format!("{}{start}", chunk(second))).unwrap();
    assert_eq!(read_chunks(&mut client, &mut seen, 1).await, [EVENT]);
    assert_eq!(read_chunks(&mut client, &mut seen, usize::MAX).await, [EVENT]);
    // The rest of that chunk, and then a chunk with the end of its event and three more.
    output.send(end.into()).unwrap();
    assert_eq!(read_chunks(&mut client, &mut seen, usize::MAX).await, [EVENT]);
    output.send(chunk(&format!("{}{USAGE}{EVENT}{DONE}", &LAST[30..]))).unwrap();
    assert_eq!(read_chunks(&mut client, &mut seen, 5).await, [EVENT, LAST, USAGE, EVENT, DONE]);
    // The last chunk is forwarded when it arrives.
    output.send("0\r\n\r\n".into()).unwrap();
    assert_eq!(read_chunks(&mut client, &mut seen, 6).await, [EVENT, LAST, USAGE, EVENT, DONE, ""]);
}
