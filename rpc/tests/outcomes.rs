//! Attempts against a scripted server: whatever HTTP/2 and gRPC can say, the outcome is the table's.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use frosttrail::{Id, Outcome, Role};
use frosttrail_core::{AttemptReply, EventStream, SendPermit, StreamStep, Upstream};
use frosttrail_rpc::proto::{never_ran::Why, Event, NeverRan, ReadDone, Request};
use frosttrail_rpc::upstream::{never_ran, AddressTable, Answer, Call, GrpcUpstream};
use h2::server::SendResponse;
use h2::{Reason, SendStream};
use http::{HeaderMap, Response};
use prost::Message;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::{timeout, Instant};

const WAIT: Duration = Duration::from_millis(300);
const LATEST: Duration = Duration::from_secs(20);

/// What the server does with a stream.
#[derive(Clone, Debug)]
enum Does {
    /// Answers with a reader's message.
    Reads,
    /// Streams so many events, the last marked, and a good status.
    Streams(usize),
    /// The same without the mark.
    NoLast,
    /// Streams one event, and then the stream ends without trailers.
    NoTrailers,
    /// Streams one event, then resets.
    ResetsAfter(Reason),
    Resets(Reason),
    /// A status at once, without messages.
    Status(i32, Option<Why>),
    /// A status in trailers, behind a head.
    Trailers(i32, Option<Why>),
    /// A good status and no message.
    Empty,
    Http(u16),
    NoType,
    /// A message that can't be read, is marked compressed, or has this length.
    Garbled,
    Compressed,
    Long,
    Silent,
    /// Drops the connection once it has all of the request.
    Drops,
    /// GOAWAY that covers the stream, then the connection is dropped.
    GoawayDrops,
}

use Does::*;

fn framed(message: &[u8]) -> Bytes {
    let mut bytes = BytesMut::new();
    bytes.put_u8(0);
    bytes.put_u32(message.len() as u32);
    bytes.put_slice(message);
    bytes.freeze()
}

fn event(last: bool) -> Bytes {
    framed(&Event { body: b"token".to_vec(), last, load: None }.encode_to_vec())
}

fn head(code: Option<i32>, why: Option<Why>) -> Response<()> {
    let mut head = Response::builder().header("content-type", "application/grpc");
    if let Some(code) = code {
        head = head.header("grpc-status", code);
    }
    if let Some(why) = why {
        let detail = NeverRan { why: why.into(), load: None };
        head = head.header("grpc-status-details-bin", never_ran(14, "no", detail));
    }
    head.body(()).unwrap()
}

fn trailers(code: i32, why: Option<Why>) -> HeaderMap {
    head(Some(code), why).headers().clone()
}

/// What it sends; the stream's handle is kept while it is to stay open.
fn answer(does: &Does, respond: &mut SendResponse<Bytes>) -> Option<SendStream<Bytes>> {
    let mut begin = || respond.send_response(head(None, None), false).unwrap();
    let whole = |mut stream: SendStream<Bytes>, data: Vec<Bytes>, code| {
        for piece in data {
            stream.send_data(piece, false).unwrap();
        }
        stream.send_trailers(trailers(code, None)).unwrap();
        None
    };
    match does {
        Reads => whole(begin(), vec![framed(&ReadDone { cached_tokens: 7, load: None }.encode_to_vec())], 0),
        Streams(n) => whole(begin(), (1..=*n).map(|i| event(i == *n)).collect(), 0),
        NoLast => whole(begin(), vec![event(false)], 0),
        Empty => whole(begin(), vec![], 0),
        Garbled => whole(begin(), vec![framed(&[255, 255, 255])], 0),
        Compressed => whole(begin(), vec![Bytes::from_static(&[1, 0, 0, 0, 0])], 0),
        Long => whole(begin(), vec![Bytes::from_static(&[0, 255, 0, 0, 0])], 0),
        Trailers(code, why) => {
            begin().send_trailers(trailers(*code, *why)).unwrap();
            None
        }
        NoTrailers => {
            begin().send_data(event(false), true).unwrap();
            None
        }
        ResetsAfter(reason) => {
            let mut stream = begin();
            stream.send_data(event(false), false).unwrap();
            let reason = *reason;
            tokio::spawn(async move {
                // The event is to arrive before the reset, which overtakes what is queued.
                tokio::time::sleep(Duration::from_millis(50)).await;
                stream.send_reset(reason);
            });
            None
        }
        Resets(reason) => {
            respond.send_reset(*reason);
            None
        }
        Status(code, why) => {
            respond.send_response(head(Some(*code), *why), true).unwrap();
            None
        }
        Http(status) => {
            let head = Response::builder().status(*status).body(()).unwrap();
            respond.send_response(head, true).unwrap();
            None
        }
        NoType => {
            respond.send_response(Response::new(()), true).unwrap();
            None
        }
        Silent | Drops | GoawayDrops => None,
    }
}

struct Stand {
    upstream: Arc<GrpcUpstream>,
    does: Arc<Mutex<Does>>,
    connections: Arc<Mutex<u32>>,
    /// Requests that came whole.
    runs: Arc<Mutex<u32>>,
}

impl Stand {
    async fn start(does: Does) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let at = listener.local_addr().unwrap();
        let does = Arc::new(Mutex::new(does));
        let (connections, runs) = <(Arc<Mutex<u32>>, Arc<Mutex<u32>>)>::default();
        let (script, counted, ran) = (does.clone(), connections.clone(), runs.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                *counted.lock().unwrap() += 1;
                tokio::spawn(serve(stream, script.clone(), ran.clone()));
            }
        });
        Stand { upstream: upstream(at), does, connections, runs }
    }

    fn will(&self, does: Does) {
        *self.does.lock().unwrap() = does;
    }

    async fn attempt(&self, server: &str) -> AttemptReply<Answer> {
        attempt(&self.upstream, server, LARGE).await
    }
}

fn upstream(at: SocketAddr) -> Arc<GrpcUpstream> {
    let book = Arc::new(AddressTable::default());
    book.set(Id::from("reader"), at, Role::Prefill);
    book.set(Id::from("writer"), at, Role::Decode);
    Arc::new(GrpcUpstream::new(book, Duration::from_millis(250)))
}

/// More than a server takes before it has opened its window.
const LARGE: usize = 100_000;

async fn attempt(upstream: &GrpcUpstream, server: &str, body: usize) -> AttemptReply<Answer> {
    let request = Request { id: "r-1".into(), body: vec![7; body], ..Request::default() };
    let call = Call::new(&request).unwrap();
    let (server, id) = (Id::from(server), Id::from("r-1"));
    let permit = SendPermit::unconditional();
    let attempt = upstream.attempt(&server, &id, &call, WAIT, &permit);
    timeout(LATEST, attempt).await.unwrap()
}

async fn serve(stream: tokio::net::TcpStream, script: Arc<Mutex<Does>>, runs: Arc<Mutex<u32>>) {
    let Ok(mut connection) = h2::server::handshake(stream).await else { return };
    let mut kept = Vec::new();
    let (tell, mut whole) = tokio::sync::mpsc::unbounded_channel();
    let mut ends = false;
    loop {
        tokio::select! {
            accepted = connection.accept() => {
                let Some(Ok((request, respond))) = accepted else { return };
                let mut body = request.into_body();
                let tell = tell.clone();
                tokio::spawn(async move {
                    while let Some(Ok(data)) = body.data().await {
                        let _ = body.flow_control().release_capacity(data.len());
                    }
                    let _ = tell.send((respond, body));
                });
            }
            Some((mut respond, body)) = whole.recv() => {
                *runs.lock().unwrap() += 1;
                let does = script.lock().unwrap().clone();
                match does {
                    Drops => return,
                    GoawayDrops => {
                        connection.abrupt_shutdown(Reason::NO_ERROR);
                        ends = true;
                    }
                    _ => kept.push((answer(&does, &mut respond), respond, body)),
                }
            }
        }
        if ends {
            // Until what was queued is written; then the connection goes.
            let _ = timeout(Duration::from_millis(50), std::future::poll_fn(|cx| connection.poll_closed(cx)))
                .await;
            return;
        }
    }
}

#[tokio::test]
async fn each_end_before_the_first_message_has_the_tables_outcome() {
    let both = [
        (Resets(Reason::REFUSED_STREAM), Outcome::Rejected),
        (Resets(Reason::CANCEL), Outcome::Failed),
        (Resets(Reason::INTERNAL_ERROR), Outcome::Failed),
        (Resets(Reason::NO_ERROR), Outcome::Failed),
        (Resets(Reason::ENHANCE_YOUR_CALM), Outcome::Failed),
        (Status(14, Some(Why::TurnedAway)), Outcome::Rejected),
        (Status(9, Some(Why::StateLost)), Outcome::CacheMissing),
        (Status(14, None), Outcome::Failed),
        (Status(14, Some(Why::Unspecified)), Outcome::Failed),
        (Status(0, None), Outcome::Failed),
        (Trailers(14, Some(Why::TurnedAway)), Outcome::Rejected),
        (Trailers(13, None), Outcome::Failed),
        (Empty, Outcome::Failed),
        (Http(503), Outcome::Failed),
        (NoType, Outcome::Failed),
        (Garbled, Outcome::Failed),
        (Compressed, Outcome::Failed),
        (Long, Outcome::Failed),
        (Silent, Outcome::NoAnswer),
        (Drops, Outcome::ConnectionLost),
        (GoawayDrops, Outcome::ConnectionLost),
    ];
    for (does, expected) in both {
        for server in ["reader", "writer"] {
            let stand = Stand::start(does.clone()).await;
            let reply = stand.attempt(server).await;
            assert!(
                matches!(reply, AttemptReply::Ended(outcome, _) if outcome == expected),
                "{does:?}: {reply:?}"
            );
            assert_eq!(*stand.runs.lock().unwrap(), 1, "{does:?}: never sent again by itself");
        }
    }
}

#[tokio::test]
async fn a_read_and_a_stream_pass_as_they_come_over_one_connection() {
    let stand = Stand::start(Reads).await;
    assert!(matches!(stand.attempt("reader").await, AttemptReply::PrefillDone { cached_tokens: 7, .. }));
    let ends = [
        (Streams(3), 3, StreamStep::End),
        (Streams(1), 1, StreamStep::End),
        (NoLast, 1, StreamStep::Broken(Outcome::Failed)),
        (NoTrailers, 1, StreamStep::Broken(Outcome::Failed)),
        (ResetsAfter(Reason::CANCEL), 1, StreamStep::Broken(Outcome::Failed)),
    ];
    for (does, events, end) in ends {
        stand.will(does.clone());
        let AttemptReply::Stream(mut answer) = stand.attempt("writer").await else { panic!("{does:?}") };
        for _ in 0..events {
            assert_eq!(step(&mut answer).await, StreamStep::Event(Bytes::from_static(b"token")), "{does:?}");
        }
        assert_eq!(step(&mut answer).await, end, "{does:?}");
    }
    // Reader and writer are two servers here, with a connection each.
    assert_eq!(*stand.connections.lock().unwrap(), 2);
}

async fn step(answer: &mut Answer) -> StreamStep {
    timeout(LATEST, std::future::poll_fn(|cx| answer.poll_step(cx))).await.unwrap()
}

/// A server that speaks frames by hand.
async fn by_hand(frames: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut bytes = vec![0; 1 << 20];
                // The preface and the first frames; then what was to be said, and silence.
                let _ = stream.read(&mut bytes).await;
                let _ = stream.write_all(frames).await;
                while matches!(stream.read(&mut bytes).await, Ok(n) if n > 0) {}
            });
        }
    });
    at
}

/// Empty settings, their acknowledgement, and GOAWAY with this last stream.
const SETTINGS: [u8; 18] = [0, 0, 0, 4, 0, 0, 0, 0, 0, 0, 0, 0, 4, 1, 0, 0, 0, 0];
const GOAWAY_ABOVE_NONE: [u8; 17] = [0, 0, 8, 7, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0];
const GOAWAY_COVERS: [u8; 17] = [0, 0, 8, 7, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 0];

#[tokio::test]
async fn a_goaway_says_of_each_stream_whether_it_was_worked_on() {
    let above: &[u8] = [SETTINGS.as_slice(), &GOAWAY_ABOVE_NONE].concat().leak();
    let covers: &[u8] = [SETTINGS.as_slice(), &GOAWAY_COVERS].concat().leak();
    for (frames, expected) in [(above, Outcome::Rejected), (covers, Outcome::NoAnswer)] {
        let upstream = upstream(by_hand(frames).await);
        let reply = attempt(&upstream, "writer", 100).await;
        assert!(
            matches!(reply, AttemptReply::Ended(outcome, _) if outcome == expected),
            "{expected:?}: {reply:?}"
        );
    }
}

#[tokio::test]
async fn what_was_not_written_never_ran() {
    // Nobody there.
    let nobody = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    // One who takes connections and reads nothing: the window is never opened beyond the first 64 KiB.
    let deaf = by_hand(&SETTINGS).await;
    // One who closes at once.
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let closes = listener.local_addr().unwrap();
    tokio::spawn(async move { while listener.accept().await.is_ok() {} });
    for at in [nobody, deaf, closes] {
        let upstream = upstream(at);
        let begin = Instant::now();
        let reply = attempt(&upstream, "writer", LARGE).await;
        assert!(matches!(reply, AttemptReply::Ended(Outcome::NoConnection, _)), "{at}: {reply:?}");
        assert!(begin.elapsed() < WAIT * 2);
    }
}

#[tokio::test]
async fn an_attempt_that_is_dropped_resets_its_stream_and_leaves_the_connection() {
    let stand = Stand::start(Silent).await;
    for _ in 0..5 {
        let attempt = stand.attempt("writer");
        assert!(timeout(Duration::from_millis(30), attempt).await.is_err());
    }
    stand.will(Streams(1));
    assert!(matches!(stand.attempt("writer").await, AttemptReply::Stream(_)));
    assert_eq!(*stand.connections.lock().unwrap(), 1);
}
