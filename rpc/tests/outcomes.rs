//! Attempts against a scripted server: for each way in which HTTP/2 and gRPC can end one, the outcome is that
//! of the table in the design note.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use frosttrail::{Id, Outcome, Role};
use frosttrail_core::{AttemptReply, EventStream, SendPermit, StreamStep, Upstream};
use frosttrail_rpc::proto::{never_ran::Why, Event, NeverRan, ReadDone, Request};
use frosttrail_rpc::upstream::{never_ran_header, AddressTable, EncodedRequest, GrpcAnswer, GrpcUpstream};
use h2::server::SendResponse;
use h2::{Reason, SendStream};
use http::{HeaderMap, Response};
use prost::Message;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::{timeout, Instant};

const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(300);
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// How the server responds to a request.
#[derive(Clone, Debug)]
enum Behavior {
    /// Answers as a prefill server.
    PrefillReply,
    /// Streams this many events, the last one marked, and a status of success.
    Stream(usize),
    /// Streams one event that is not marked as the last, and a status of success.
    StreamWithoutLast,
    /// Streams one event, and ends the stream without trailers.
    StreamWithoutTrailers,
    /// Streams one event, and resets the stream.
    ResetAfterEvent(Reason),
    Reset(Reason),
    /// Sends only a status, in the response head.
    Status(i32, Option<Why>),
    /// Sends a response head, and a status in trailers.
    StatusInTrailers(i32, Option<Why>),
    /// Sends a status of success without a message.
    NoMessage,
    HttpStatus(u16),
    NoContentType,
    /// Sends a message that can't be decoded.
    UndecodableMessage,
    /// Sends a message that is marked as compressed.
    CompressedMessage,
    /// Sends a message whose prefix declares more than the maximum length.
    OversizedMessage,
    NoResponse,
    /// Drops the connection after the whole request has arrived.
    DropConnection,
    /// Sends a GOAWAY that covers the stream, and drops the connection.
    GoawayThenDrop,
}

use Behavior::*;

fn encode_message(message: &[u8]) -> Bytes {
    let mut bytes = BytesMut::new();
    bytes.put_u8(0);
    bytes.put_u32(message.len() as u32);
    bytes.put_slice(message);
    bytes.freeze()
}

fn encoded_event(last: bool) -> Bytes {
    encode_message(&Event { body: b"token".to_vec(), last, load: None }.encode_to_vec())
}

fn response_head(code: Option<i32>, why: Option<Why>) -> Response<()> {
    let mut head = Response::builder().header("content-type", "application/grpc");
    if let Some(code) = code {
        head = head.header("grpc-status", code);
    }
    if let Some(why) = why {
        let detail = NeverRan { why: why.into(), load: None };
        head = head.header("grpc-status-details-bin", never_ran_header(14, "no", detail));
    }
    head.body(()).unwrap()
}

fn trailers(code: i32, why: Option<Why>) -> HeaderMap {
    response_head(Some(code), why).headers().clone()
}

/// Responds to a request. Returns the handle of the stream if that is to stay open.
fn respond(behavior: &Behavior, sender: &mut SendResponse<Bytes>) -> Option<SendStream<Bytes>> {
    let mut send_head = || sender.send_response(response_head(None, None), false).unwrap();
    let respond_with = |mut stream: SendStream<Bytes>, data: Vec<Bytes>, code| {
        for chunk in data {
            stream.send_data(chunk, false).unwrap();
        }
        stream.send_trailers(trailers(code, None)).unwrap();
        None
    };
    match behavior {
        PrefillReply => respond_with(
            send_head(),
            vec![encode_message(&ReadDone { cached_tokens: 7, load: None }.encode_to_vec())],
            0,
        ),
        Stream(n) => respond_with(send_head(), (1..=*n).map(|i| encoded_event(i == *n)).collect(), 0),
        StreamWithoutLast => respond_with(send_head(), vec![encoded_event(false)], 0),
        NoMessage => respond_with(send_head(), vec![], 0),
        UndecodableMessage => respond_with(send_head(), vec![encode_message(&[255, 255, 255])], 0),
        CompressedMessage => respond_with(send_head(), vec![Bytes::from_static(&[1, 0, 0, 0, 0])], 0),
        OversizedMessage => respond_with(send_head(), vec![Bytes::from_static(&[0, 255, 0, 0, 0])], 0),
        StatusInTrailers(code, why) => {
            send_head().send_trailers(trailers(*code, *why)).unwrap();
            None
        }
        StreamWithoutTrailers => {
            send_head().send_data(encoded_event(false), true).unwrap();
            None
        }
        ResetAfterEvent(reason) => {
            let mut stream = send_head();
            stream.send_data(encoded_event(false), false).unwrap();
            let reason = *reason;
            tokio::spawn(async move {
                // A reset overtakes queued data, so it is delayed until the event has arrived.
                tokio::time::sleep(Duration::from_millis(50)).await;
                stream.send_reset(reason);
            });
            None
        }
        Reset(reason) => {
            sender.send_reset(*reason);
            None
        }
        Status(code, why) => {
            sender.send_response(response_head(Some(*code), *why), true).unwrap();
            None
        }
        HttpStatus(status) => {
            let head = Response::builder().status(*status).body(()).unwrap();
            sender.send_response(head, true).unwrap();
            None
        }
        NoContentType => {
            sender.send_response(Response::new(()), true).unwrap();
            None
        }
        NoResponse | DropConnection | GoawayThenDrop => None,
    }
}

struct ScriptedServer {
    upstream: Arc<GrpcUpstream>,
    behavior: Arc<Mutex<Behavior>>,
    connections: Arc<Mutex<u32>>,
    /// Requests that arrived completely.
    request_count: Arc<Mutex<u32>>,
}

impl ScriptedServer {
    async fn start(behavior: Behavior) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let behavior = Arc::new(Mutex::new(behavior));
        let (connections, request_count) = <(Arc<Mutex<u32>>, Arc<Mutex<u32>>)>::default();
        let (shared_behavior, connection_count, counter) =
            (behavior.clone(), connections.clone(), request_count.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                *connection_count.lock().unwrap() += 1;
                tokio::spawn(serve(stream, shared_behavior.clone(), counter.clone()));
            }
        });
        ScriptedServer { upstream: upstream_to(address), behavior, connections, request_count }
    }

    fn set_behavior(&self, behavior: Behavior) {
        *self.behavior.lock().unwrap() = behavior;
    }

    async fn attempt(&self, server: &str) -> AttemptReply<GrpcAnswer> {
        attempt(&self.upstream, server, LARGE_BODY_BYTES).await
    }
}

fn upstream_to(address: SocketAddr) -> Arc<GrpcUpstream> {
    let addresses = Arc::new(AddressTable::default());
    addresses.set(Id::from("prefill"), address, Role::Prefill);
    addresses.set(Id::from("decode"), address, Role::Decode);
    Arc::new(GrpcUpstream::new(addresses, Duration::from_millis(250)))
}

/// More than a server accepts before it has extended its flow-control window.
const LARGE_BODY_BYTES: usize = 100_000;

async fn attempt(upstream: &GrpcUpstream, server: &str, body: usize) -> AttemptReply<GrpcAnswer> {
    let request = Request { id: "r-1".into(), body: vec![7; body], ..Request::default() };
    let call = EncodedRequest::new(&request).unwrap();
    let (server, id) = (Id::from(server), Id::from("r-1"));
    let permit = SendPermit::unconditional();
    let attempt = upstream.attempt(&server, &id, &call, ATTEMPT_TIMEOUT, &permit);
    timeout(TEST_TIMEOUT, attempt).await.unwrap()
}

async fn serve(
    stream: tokio::net::TcpStream,
    behavior: Arc<Mutex<Behavior>>,
    request_count: Arc<Mutex<u32>>,
) {
    let Ok(mut connection) = h2::server::handshake(stream).await else { return };
    let mut open_responses = Vec::new();
    let (completed_sender, mut completed) = tokio::sync::mpsc::unbounded_channel();
    let mut closes_connection = false;
    loop {
        tokio::select! {
            accepted = connection.accept() => {
                let Some(Ok((request, sender))) = accepted else { return };
                let mut body = request.into_body();
                let completed_sender = completed_sender.clone();
                tokio::spawn(async move {
                    while let Some(Ok(data)) = body.data().await {
                        let _ = body.flow_control().release_capacity(data.len());
                    }
                    let _ = completed_sender.send((sender, body));
                });
            }
            Some((mut sender, body)) = completed.recv() => {
                *request_count.lock().unwrap() += 1;
                let behavior = behavior.lock().unwrap().clone();
                match behavior {
                    DropConnection => return,
                    GoawayThenDrop => {
                        connection.abrupt_shutdown(Reason::NO_ERROR);
                        closes_connection = true;
                    }
                    _ => open_responses.push((respond(&behavior, &mut sender), sender, body)),
                }
            }
        }
        if closes_connection {
            // Writes what is queued, and then drops the connection.
            let _ = timeout(Duration::from_millis(50), std::future::poll_fn(|cx| connection.poll_closed(cx)))
                .await;
            return;
        }
    }
}

#[tokio::test]
async fn each_end_before_the_first_message_has_the_outcome_of_the_table() {
    let cases = [
        (Reset(Reason::REFUSED_STREAM), Outcome::Rejected),
        (Reset(Reason::CANCEL), Outcome::Failed),
        (Reset(Reason::INTERNAL_ERROR), Outcome::Failed),
        (Reset(Reason::NO_ERROR), Outcome::Failed),
        (Reset(Reason::ENHANCE_YOUR_CALM), Outcome::Failed),
        (Status(14, Some(Why::TurnedAway)), Outcome::Rejected),
        (Status(9, Some(Why::StateLost)), Outcome::CacheMissing),
        (Status(14, None), Outcome::Failed),
        (Status(14, Some(Why::Unspecified)), Outcome::Failed),
        (Status(0, None), Outcome::Failed),
        (StatusInTrailers(14, Some(Why::TurnedAway)), Outcome::Rejected),
        (StatusInTrailers(13, None), Outcome::Failed),
        (NoMessage, Outcome::Failed),
        (HttpStatus(503), Outcome::Failed),
        (NoContentType, Outcome::Failed),
        (UndecodableMessage, Outcome::Failed),
        (CompressedMessage, Outcome::Failed),
        (OversizedMessage, Outcome::Failed),
        (NoResponse, Outcome::NoAnswer),
        (DropConnection, Outcome::ConnectionLost),
        (GoawayThenDrop, Outcome::ConnectionLost),
    ];
    for (behavior, expected) in cases {
        for server in ["prefill", "decode"] {
            let scripted_server = ScriptedServer::start(behavior.clone()).await;
            let reply = scripted_server.attempt(server).await;
            assert!(
                matches!(reply, AttemptReply::Ended(outcome, _) if outcome == expected),
                "{behavior:?}: {reply:?}"
            );
            assert_eq!(
                *scripted_server.request_count.lock().unwrap(),
                1,
                "{behavior:?}: the request is sent exactly once"
            );
        }
    }
}

#[tokio::test]
async fn prefill_replies_and_streams_arrive_unchanged_over_one_connection_per_server() {
    let scripted_server = ScriptedServer::start(PrefillReply).await;
    assert!(matches!(
        scripted_server.attempt("prefill").await,
        AttemptReply::PrefillDone { cached_tokens: 7, .. }
    ));
    let ends = [
        (Stream(3), 3, StreamStep::End),
        (Stream(1), 1, StreamStep::End),
        (StreamWithoutLast, 1, StreamStep::Broken(Outcome::Failed)),
        (StreamWithoutTrailers, 1, StreamStep::Broken(Outcome::Failed)),
        (ResetAfterEvent(Reason::CANCEL), 1, StreamStep::Broken(Outcome::Failed)),
    ];
    for (behavior, events, end) in ends {
        scripted_server.set_behavior(behavior.clone());
        let AttemptReply::Stream(mut answer) = scripted_server.attempt("decode").await else {
            panic!("{behavior:?}")
        };
        for _ in 0..events {
            assert_eq!(
                next_step(&mut answer).await,
                StreamStep::Event(Bytes::from_static(b"token")),
                "{behavior:?}"
            );
        }
        assert_eq!(next_step(&mut answer).await, end, "{behavior:?}");
    }
    // The prefill and the decode server count as two servers, with one connection each.
    assert_eq!(*scripted_server.connections.lock().unwrap(), 2);
}

async fn next_step(answer: &mut GrpcAnswer) -> StreamStep {
    timeout(TEST_TIMEOUT, std::future::poll_fn(|cx| answer.poll_step(cx))).await.unwrap()
}

/// Starts a server that sends these raw frames on each connection, and then nothing more.
async fn start_raw_server(frames: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut bytes = vec![0; 1 << 20];
                // Reads the preface and the first frames, sends its own, and then only reads.
                let _ = stream.read(&mut bytes).await;
                let _ = stream.write_all(frames).await;
                while matches!(stream.read(&mut bytes).await, Ok(n) if n > 0) {}
            });
        }
    });
    address
}

/// Empty SETTINGS and their acknowledgement, and GOAWAY frames with the last streams 0 and 1.
const SETTINGS: [u8; 18] = [0, 0, 0, 4, 0, 0, 0, 0, 0, 0, 0, 0, 4, 1, 0, 0, 0, 0];
const GOAWAY_EXCLUDING_STREAM: [u8; 17] = [0, 0, 8, 7, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0];
const GOAWAY_COVERING_STREAM: [u8; 17] = [0, 0, 8, 7, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 0];

#[tokio::test]
async fn a_goaway_tells_whether_a_stream_may_have_run() {
    let excluding: &[u8] = [SETTINGS.as_slice(), &GOAWAY_EXCLUDING_STREAM].concat().leak();
    let covering: &[u8] = [SETTINGS.as_slice(), &GOAWAY_COVERING_STREAM].concat().leak();
    for (frames, expected) in [(excluding, Outcome::Rejected), (covering, Outcome::NoAnswer)] {
        let upstream = upstream_to(start_raw_server(frames).await);
        let reply = attempt(&upstream, "decode", 100).await;
        assert!(
            matches!(reply, AttemptReply::Ended(outcome, _) if outcome == expected),
            "{expected:?}: {reply:?}"
        );
    }
}

#[tokio::test]
async fn a_request_that_was_not_written_never_ran() {
    // Nothing listens at this address.
    let unused_address = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    // This server accepts connections but never extends the flow-control window beyond the first 64 KiB.
    let stalled_server = start_raw_server(&SETTINGS).await;
    // This server closes each connection at once.
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let closing_server = listener.local_addr().unwrap();
    tokio::spawn(async move { while listener.accept().await.is_ok() {} });
    for address in [unused_address, stalled_server, closing_server] {
        let upstream = upstream_to(address);
        let started_at = Instant::now();
        let reply = attempt(&upstream, "decode", LARGE_BODY_BYTES).await;
        assert!(matches!(reply, AttemptReply::Ended(Outcome::NoConnection, _)), "{address}: {reply:?}");
        assert!(started_at.elapsed() < ATTEMPT_TIMEOUT * 2);
    }
}

#[tokio::test]
async fn a_dropped_attempt_resets_its_stream_and_keeps_the_connection() {
    let scripted_server = ScriptedServer::start(NoResponse).await;
    for _ in 0..5 {
        let attempt = scripted_server.attempt("decode");
        assert!(timeout(Duration::from_millis(30), attempt).await.is_err());
    }
    scripted_server.set_behavior(Stream(1));
    assert!(matches!(scripted_server.attempt("decode").await, AttemptReply::Stream(_)));
    assert_eq!(*scripted_server.connections.lock().unwrap(), 1);
}
