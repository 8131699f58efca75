//! Streams that a server spoils after their start, and slow ones that are sound: the client's connection ends
//! within 5 s of a spoilt one, and a sound one arrives whole.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use support::*;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout, Instant};

/// The head of a stream, with its first event.
const BEGINNING: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\
    \r\n9\r\ndata: 1\n\n\r\n";
/// The head of a stream alone.
const HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
/// A client may be left waiting for this long after the last sound event.
const MAX_WAIT: Duration = Duration::from_secs(5);
/// How long the final answer to a request whose stream is spoilt from the start may take.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);

/// The fronts and forms in which a client asks.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Form {
    Platform,
    ChatStream,
    ChatCollected,
}

const FORMS: [Form; 3] = [Form::Platform, Form::ChatStream, Form::ChatCollected];

impl Form {
    fn request(self, id: &str, class: &str) -> String {
        let is_stream = match self {
            Form::Platform => return chat(id, class, 7_000),
            Form::ChatStream => true,
            Form::ChatCollected => false,
        };
        let headers = format!("x-txn: {id}\r\nx-lane: {class}\r\nx-remaining: 7000m\r\n");
        let messages = "[{\"role\":\"user\",\"content\":\"a\"}]";
        let body = format!("{{\"model\":\"chat\",\"stream\":{is_stream},\"messages\":{messages}}}");
        post("/v1/chat/completions", &headers, &body)
    }

    fn address(self, site: &Site) -> SocketAddr {
        match self {
            Form::Platform => site.platform,
            Form::ChatStream | Form::ChatCollected => site.chat,
        }
    }
}

/// Has a server send `parts` at `interval`, the last one again and again until its connection ends. Returns
/// the client's answer, and how long after the first part its connection ended; `None` if it stayed open.
async fn play(
    form: Form,
    class: &str,
    parts: &'static [&'static str],
    interval: Duration,
    limit: Duration,
) -> Option<(Answer, Duration)> {
    let site = Site::start().await;
    site.decode.next(Behavior::SendsFromChannel);
    let output = site.decode.output.clone();
    let sending = tokio::spawn(async move {
        for part in parts.iter().chain(std::iter::repeat(&parts[parts.len() - 1])) {
            if output.send((*part).into()).is_err() {
                break;
            }
            sleep(interval).await;
        }
    });
    let begun_at = Instant::now();
    let answer = timeout(limit, exchange(form.address(&site), &form.request("spoilt", class))).await.ok();
    sending.abort();
    Some((answer?, begun_at.elapsed()))
}

/// Guards against a client that is left waiting because events inside a chunk that no answer has count as
/// progress.
#[tokio::test]
async fn a_stream_in_a_chunk_that_no_answer_has_ends_in_time() {
    const SIZES: [&[&str]; 4] = [
        &[BEGINNING, "c0000000\r\n", "data: 2\n\n"],
        &[BEGINNING, "fffffffffffffff\r\ndata: 2\n\n", "data: 2\n\n"],
        &[BEGINNING, "1000000;a=b\r\n", "data: 2\n\n"],
        &[BEGINNING, "0100001\r\n", "data: 2\n\n"],
    ];
    let mut plays = JoinSet::new();
    for form in FORMS {
        for (parts, interval_ms) in SIZES.into_iter().flat_map(|parts| [(parts, 200), (parts, 1_500)]) {
            plays.spawn(async move {
                let limit = MAX_WAIT + 2 * Duration::from_millis(interval_ms);
                let played = play(form, "book", parts, Duration::from_millis(interval_ms), limit).await;
                let context = format!("{form:?}, {:?} every {interval_ms} ms", parts[1]);
                let (answer, _) = played.unwrap_or_else(|| panic!("{context}: the connection stays open"));
                assert!(answer.status != 200 || !answer.whole, "{context}: a whole answer");
            });
        }
    }
    plays.join_all().await;
}

/// Guards against the same before the first event: the attempt fails, and what may have run is not resent.
#[tokio::test]
async fn an_attempt_whose_first_chunk_no_answer_has_fails() {
    const PARTS: [&str; 3] = [HEAD, "c0000000\r\n", "data: 1\n\n"];
    for form in FORMS {
        let played = play(form, "book", &PARTS, Duration::from_millis(200), ANSWER_TIMEOUT).await;
        let (answer, _) = played.expect("a final answer");
        assert_eq!(answer.status, 502, "{form:?}: {answer:?}");
    }
}

/// Guards against a client that is left waiting because comments and blank lines count as progress.
#[tokio::test]
async fn a_stream_of_comments_alone_ends_in_time() {
    const NO_EVENTS: [&[&str]; 4] = [
        &[BEGINNING, "8\r\n: wait\n\n\r\n"],
        &[BEGINNING, "1\r\n\n\r\n"],
        &[BEGINNING, "a\r\nevent: a\n\n\r\n"],
        &[BEGINNING, "f\r\nid: 7\nretry: 1\n\n\r\n"],
    ];
    let mut plays = JoinSet::new();
    for (form, parts) in FORMS.into_iter().flat_map(|form| NO_EVENTS.map(|parts| (form, parts))) {
        plays.spawn(async move {
            let played = play(form, "book", parts, Duration::from_millis(200), MAX_WAIT).await;
            let (answer, _) =
                played.unwrap_or_else(|| panic!("{form:?}, {parts:?}: the connection stays open"));
            assert!(answer.status != 200 || !answer.whole, "{form:?}, {parts:?}: a whole answer");
        });
    }
    plays.join_all().await;
}

/// Comments ahead of the first event are passed on with it, and don't make the attempt the client's.
#[tokio::test]
async fn a_stream_that_breaks_after_comments_alone_may_be_sent_again() {
    const COMMENTS: Behavior = Behavior::BreaksAfter(&[": wait\n\n", "\n"]);
    const COMMENT_FIRST: Behavior = Behavior::Streams(&[": wait\n\n", EVENT, DONE]);
    let site = Site::start().await;
    site.decode.next(COMMENTS);
    site.decode.next(COMMENT_FIRST);
    let answer = exchange(site.platform, &chat("again", "ask", 7_000)).await;
    assert_eq!((answer.status, answer.whole), (200, true), "{answer:?}");
    assert_eq!(answer.body, format!(": wait\n\n{EVENT}{DONE}"));
    site.decode.next(COMMENTS);
    assert_eq!(exchange(site.platform, &chat("once", "book", 7_000)).await.status, 502);
}

/// Guards against limits on spoilt streams that cut a slow one which is sound.
#[tokio::test]
async fn a_slow_stream_that_is_sound_arrives_whole() {
    const ONE_CHUNK: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1b\r\ndata: 1\n\n";
    const END: &str = "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n";
    /// The pause between parts in milliseconds, and the parts. Events are less than 5 s apart.
    const SOUND: [(u64, &[&str]); 3] = [
        // Events far apart.
        (3_500, &[BEGINNING, "9\r\ndata: 2\n\n\r\n", END]),
        // One chunk of several events.
        (3_500, &[ONE_CHUNK, "data: 2\n\n", "data: 3\n\n\r\n", END]),
        // An event that is written slowly.
        (1_500, &[BEGINNING, "9\r\ndat", "a: 2\n\n\r\n", END]),
    ];
    let mut plays = JoinSet::new();
    // A collected answer would have to be made of completion chunks.
    for form in [Form::Platform, Form::ChatStream] {
        for (pause_ms, parts) in SOUND {
            plays.spawn(async move {
                let pause = Duration::from_millis(pause_ms);
                let played = play(form, "book", parts, pause, pause * 6).await;
                let (answer, _) = played.expect("an answer");
                assert!(answer.status == 200 && answer.whole, "{form:?}, {parts:?}: {answer:?}");
            });
        }
    }
    plays.join_all().await;
}
