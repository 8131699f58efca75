//! Shared fixtures of the socket tests: stand-in servers, clients and a conductor between them, all on
//! loopback.
#![allow(dead_code)]

pub mod chat;
pub mod operations;

use std::collections::VecDeque;
use std::io::{BufRead, BufReader, Lines, Write};
use std::net::SocketAddr;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use frosttrail::setup::{settings, ConfiguredNames};
use frosttrail::{Health, Id, ListUpdateKind, ServerEntry, Settings};
use frosttrail_core::{start, Clock, Conductor, ConductorParts, MembershipSource, MembershipUpdate, Metrics};
use frosttrail_daemon::buffer_budget::BufferBudget;
use frosttrail_daemon::config::ChatConfig;
use frosttrail_daemon::front::chat::ChatFront;
use frosttrail_daemon::front::platform::PlatformFront;
use frosttrail_daemon::front::{ClientListeners, ClientTimeouts};
use frosttrail_daemon::upstream::{AddressTable, ConnectionLimits, HttpUpstream, UpstreamObserver};
use serde_json::{json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// An event of a chat completion stream.
pub const EVENT: &str =
    "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"Table \"},\"finish_reason\":null}]}\n\n";
/// The event that ends the content, with its finish reason.
pub const LAST: &str =
    "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"booked\"},\"finish_reason\":\"stop\"}]}\n\n";
/// The event that reports the token usage.
pub const USAGE: &str =
    "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":12,\"completion_tokens\":2,\"total_tokens\":14}}\n\n";
/// The event that ends the stream.
pub const DONE: &str = "data: [DONE]\n\n";

/// What a stand-in server does with the next request.
#[derive(Clone, Debug)]
pub enum Behavior {
    /// Responds with this status, with the `x-turned-away` header or without it, and this body.
    Responds(u16, bool, &'static str),
    /// Streams these events and the final chunk.
    Streams(&'static [&'static str]),
    /// Streams these events, then closes the connection without the final chunk.
    BreaksAfter(&'static [&'static str]),
    /// Streams these events, then sends nothing more until the peer closes.
    StallsAfter(&'static [&'static str]),
    /// Sends these bytes unchecked, then nothing more until the peer closes.
    SendsRaw(&'static str),
    /// Sends these bytes, then repeats the last of them until a write fails.
    RepeatsLastByte(&'static str),
    /// Sends these bytes, then a newline every 100 ms.
    SendsNewlines(&'static str),
    /// Sends these bytes, which hold a complete response, and goes on to the next request.
    SendsRawResponse(&'static str),
    /// Streams one event that says `first`, and this many milliseconds later sends a second whole answer,
    /// whose event says `second`.
    AnswersTwice(u64),
    /// Streams this many events at this interval in milliseconds. Each holds the microseconds since the Unix
    /// epoch.
    StreamsTimestamps(usize, u64),
    /// Sends the bytes that the test passes through `StandIn::output`, as they come.
    SendsFromChannel,
    /// Streams events until a write fails.
    StreamsEndlessly,
    /// Closes the connection after it has read the whole request.
    Disconnects,
    /// Sends nothing until the peer closes.
    StaysSilent,
}

/// The timeouts that the fronts allow clients in these tests.
pub const CLIENT_TIMEOUTS: ClientTimeouts = ClientTimeouts {
    request_arrival: Duration::from_millis(300),
    idle: Duration::from_secs(60),
    write: Duration::from_millis(200),
};

/// A prefill server's response to a prefill that succeeded.
pub const PREFILL_RESPONSE: Behavior = Behavior::Responds(202, false, "{\"cached_tokens\":0}");
/// A decode server's complete response.
pub const COMPLETE_STREAM: Behavior = Behavior::Streams(&[EVENT, LAST, USAGE, DONE]);

/// A request as a stand-in server received it.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedRequest {
    pub line: String,
    pub head: String,
    pub body: String,
}

/// How a stand-in server handled a request. `sequence` orders the requests of all servers of a test, and
/// `behavior` is `None` for a release.
#[derive(Clone, Debug)]
pub struct HandledRequest {
    pub sequence: u64,
    pub id: String,
    pub behavior: Option<Behavior>,
}

static NEXT_SEQUENCE: AtomicU64 = AtomicU64::new(0);

/// A server that follows a script: each request takes the next behavior in it, or the default one once the
/// script is empty.
pub struct StandIn {
    pub address: SocketAddr,
    pub requests: Arc<Mutex<Vec<ReceivedRequest>>>,
    pub handled: Arc<Mutex<Vec<HandledRequest>>>,
    /// The number of connections accepted so far.
    pub accepted: Arc<Mutex<u32>>,
    script: Arc<Mutex<VecDeque<Behavior>>>,
    /// One message for each connection that the conductor closed before the response was complete.
    pub aborts: mpsc::UnboundedReceiver<()>,
    /// One message for each release of a KV cache.
    pub releases: mpsc::UnboundedReceiver<()>,
    /// The bytes that `Behavior::SendsFromChannel` sends.
    pub output: mpsc::UnboundedSender<String>,
    closing: Arc<Mutex<CancellationToken>>,
    connections: TaskTracker,
    accepting: Option<JoinHandle<()>>,
}

impl StandIn {
    /// Starts a server that has this default behavior and an empty script.
    pub async fn start(default_behavior: Behavior) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (abort_sender, aborts) = mpsc::unbounded_channel();
        let (release_sender, releases) = mpsc::unbounded_channel();
        let (output, output_receiver) = mpsc::unbounded_channel();
        let (requests, accepted, script) =
            <(Arc<Mutex<Vec<ReceivedRequest>>>, Arc<Mutex<u32>>, Arc<_>)>::default();
        let (closing, connections) = (Arc::new(Mutex::new(CancellationToken::new())), TaskTracker::new());
        let output_receiver = Arc::new(tokio::sync::Mutex::new(output_receiver));
        let handled = Arc::default();
        let shared = Shared {
            default_behavior,
            requests,
            handled,
            script,
            abort_sender,
            release_sender,
            output_receiver,
        };
        let mut stand_in = StandIn {
            address,
            requests: shared.requests.clone(),
            handled: shared.handled.clone(),
            accepted: accepted.clone(),
            script: shared.script.clone(),
            aborts,
            releases,
            output,
            closing: closing.clone(),
            connections: connections.clone(),
            accepting: None,
        };
        let accepting = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                *accepted.lock().unwrap() += 1;
                let (shared, closing) = (shared.clone(), closing.lock().unwrap().clone());
                connections.spawn(async move {
                    tokio::select! {
                        () = closing.cancelled() => {}
                        _ = shared.serve(stream) => {}
                    }
                });
            }
        });
        stand_in.accepting = Some(accepting);
        stand_in
    }

    /// Appends a behavior to the script.
    pub fn next(&self, behavior: Behavior) {
        self.script.lock().unwrap().push_back(behavior);
    }

    /// Stops listening, so that further connections are refused.
    pub async fn refuse_all(&mut self) {
        let accepting = self.accepting.take().unwrap();
        accepting.abort();
        let _ = accepting.await;
    }

    /// Closes all open connections.
    pub async fn close_all(&self) {
        std::mem::take(&mut *self.closing.lock().unwrap()).cancel();
        self.connections.close();
        self.connections.wait().await;
        self.connections.reopen();
    }

    /// All requests so far except releases.
    pub fn posts(&self) -> Vec<ReceivedRequest> {
        self.requests
            .lock()
            .unwrap()
            .iter()
            .filter(|request| request.line.starts_with("POST"))
            .cloned()
            .collect()
    }
}

/// What the connections of a stand-in server share.
#[derive(Clone)]
struct Shared {
    default_behavior: Behavior,
    requests: Arc<Mutex<Vec<ReceivedRequest>>>,
    handled: Arc<Mutex<Vec<HandledRequest>>>,
    script: Arc<Mutex<VecDeque<Behavior>>>,
    abort_sender: mpsc::UnboundedSender<()>,
    release_sender: mpsc::UnboundedSender<()>,
    output_receiver: Arc<tokio::sync::Mutex<mpsc::UnboundedReceiver<String>>>,
}

impl Shared {
    fn record(&self, id: &str, behavior: Option<&Behavior>) {
        let sequence = NEXT_SEQUENCE.fetch_add(1, Ordering::Relaxed);
        self.handled.lock().unwrap().push(HandledRequest {
            sequence,
            id: id.into(),
            behavior: behavior.cloned(),
        });
    }

    async fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut buffer = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut buffer).await? {
            let released_id = request
                .line
                .strip_prefix("DELETE /state/")
                .map(|rest| rest.split(' ').next().unwrap().to_string());
            let id = request
                .head
                .lines()
                .find_map(|line| line.strip_prefix("x-txn: "))
                .unwrap_or_default()
                .to_string();
            self.requests.lock().unwrap().push(request);
            if let Some(id) = released_id {
                self.record(&id, None);
                let _ = self.release_sender.send(());
                stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").await?;
                continue;
            }
            let behavior =
                self.script.lock().unwrap().pop_front().unwrap_or_else(|| self.default_behavior.clone());
            self.record(&id, Some(&behavior));
            match behavior {
                Behavior::Responds(status, turned_away, body) => {
                    let header = if turned_away { "x-turned-away: 1\r\n" } else { "" };
                    let length = body.len();
                    let response =
                        format!("HTTP/1.1 {status} -\r\n{header}content-length: {length}\r\n\r\n{body}");
                    stream.write_all(response.as_bytes()).await?;
                }
                Behavior::Streams(events) => {
                    send_chunked(&mut stream, events).await?;
                    stream.write_all(b"0\r\n\r\n").await?;
                }
                Behavior::BreaksAfter(events) => return send_chunked(&mut stream, events).await,
                Behavior::StallsAfter(events) => {
                    send_chunked(&mut stream, events).await?;
                    return self.wait_for_close(stream).await;
                }
                Behavior::SendsRaw(bytes) => {
                    stream.write_all(bytes.as_bytes()).await?;
                    return self.wait_for_close(stream).await;
                }
                Behavior::RepeatsLastByte(bytes) => {
                    stream.write_all(bytes.as_bytes()).await?;
                    let repeated = bytes[bytes.len() - 1..].repeat(4096);
                    while stream.write_all(repeated.as_bytes()).await.is_ok() {}
                    let _ = self.abort_sender.send(());
                    return Ok(());
                }
                Behavior::SendsNewlines(bytes) => {
                    stream.write_all(bytes.as_bytes()).await?;
                    while stream.write_all(b"\n").await.is_ok() {
                        tokio::time::sleep(Duration::from_millis(100)).await;
                    }
                    let _ = self.abort_sender.send(());
                    return Ok(());
                }
                Behavior::SendsRawResponse(bytes) => stream.write_all(bytes.as_bytes()).await?,
                Behavior::AnswersTwice(delay_ms) => {
                    for event in ["data: first\n\n", "data: second\n\n"] {
                        send_chunked(&mut stream, &[event, DONE]).await?;
                        stream.write_all(b"0\r\n\r\n").await?;
                        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                    }
                }
                Behavior::StreamsTimestamps(events, interval_ms) => {
                    send_chunked(&mut stream, &[]).await?;
                    for _ in 0..events {
                        send_chunk(&mut stream, &format!("data: {{\"at\":{}}}\n\n", unix_micros())).await?;
                        tokio::time::sleep(Duration::from_millis(interval_ms)).await;
                    }
                    send_chunk(&mut stream, DONE).await?;
                    stream.write_all(b"0\r\n\r\n").await?;
                }
                Behavior::SendsFromChannel => {
                    let mut output = self.output_receiver.lock().await;
                    while let Some(bytes) = output.recv().await {
                        stream.write_all(bytes.as_bytes()).await?;
                    }
                }
                Behavior::StreamsEndlessly => {
                    send_chunked(&mut stream, &[]).await?;
                    while send_chunk(&mut stream, EVENT).await.is_ok() {}
                    let _ = self.abort_sender.send(());
                    return Ok(());
                }
                Behavior::Disconnects => return Ok(()),
                Behavior::StaysSilent => return self.wait_for_close(stream).await,
            }
        }
        Ok(())
    }

    async fn wait_for_close(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut byte = [0];
        let _ = stream.read(&mut byte).await;
        let _ = self.abort_sender.send(());
        Ok(())
    }
}

/// A server that accepts no connection, because its backlog in the kernel is full.
pub struct FullBacklogServer {
    pub address: SocketAddr,
    listener: TcpListener,
    queued: Vec<TcpStream>,
}

impl FullBacklogServer {
    pub async fn start() -> Self {
        let socket = tokio::net::TcpSocket::new_v4().unwrap();
        socket.bind(any_port()).unwrap();
        let listener = socket.listen(1).unwrap();
        let (address, mut queued) = (listener.local_addr().unwrap(), Vec::new());
        while let Ok(stream) =
            tokio::time::timeout(Duration::from_millis(100), TcpStream::connect(address)).await
        {
            queued.push(stream.unwrap());
        }
        FullBacklogServer { address, listener, queued }
    }

    /// Empties the backlog; returns the head of the first request that arrives then, and its time.
    pub async fn first_request(self) -> (String, Instant) {
        let FullBacklogServer { listener, queued, .. } = self;
        drop(queued);
        loop {
            let (mut stream, mut buffer) = (listener.accept().await.unwrap().0, Vec::new());
            if let Ok(Some(request)) = read_request(&mut stream, &mut buffer).await {
                return (request.head, Instant::now());
            }
        }
    }

    /// Empties the backlog and accepts every connection that follows within the time of a SYN retransmission;
    /// counts those on which something was sent.
    pub async fn count_used_connections(self) -> usize {
        let FullBacklogServer { listener, queued, .. } = self;
        let queued_count = queued.len();
        drop(queued);
        let (mut accepted_count, mut used_count) = (0, 0);
        while let Ok(accepted) = tokio::time::timeout(Duration::from_millis(1_500), listener.accept()).await {
            let (mut stream, mut byte) = (accepted.unwrap().0, [0]);
            accepted_count += 1;
            let read = tokio::time::timeout(Duration::from_millis(50), stream.read(&mut byte)).await;
            used_count += usize::from(matches!(read, Ok(Ok(1))));
        }
        assert!(accepted_count >= queued_count, "the connections that filled the backlog were not accepted");
        used_count
    }
}

/// Sends the head of a chunked response and these events.
async fn send_chunked(stream: &mut TcpStream, events: &[&str]) -> std::io::Result<()> {
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
    stream.write_all(head.as_bytes()).await?;
    for event in events {
        send_chunk(stream, event).await?;
    }
    Ok(())
}

async fn send_chunk(stream: &mut TcpStream, event: &str) -> std::io::Result<()> {
    stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).await
}

/// Reads one request; returns `None` at the end of the connection.
pub async fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> std::io::Result<Option<ReceivedRequest>> {
    loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let length =
                head.lines().find_map(|l| l.strip_prefix("content-length: ")?.parse().ok()).unwrap_or(0);
            if buffer.len() >= end + 4 + length {
                let rest = buffer.split_off(end + 4 + length);
                let body = String::from_utf8_lossy(&buffer[end + 4..]).into_owned();
                *buffer = rest;
                let (line, head) = head.split_once("\r\n").unwrap_or((&head, ""));
                return Ok(Some(ReceivedRequest { line: line.into(), head: head.into(), body }));
            }
        }
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
}

/// A server list whose updates come from the test.
struct ChannelMembership(mpsc::UnboundedReceiver<MembershipUpdate>);

impl MembershipSource for ChannelMembership {
    async fn next(&mut self) -> Option<MembershipUpdate> {
        self.0.recv().await
    }
}

/// Settings with a class that may be retried, `ask`, and one that must never run twice, `book`.
pub fn setup() -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "slo": 3_000_000, "deadline": 8_000_000, "effect": effect, "late-share": 0.2,
            "points": 1.0, "dedup-scope": "all", "dedup-window": 0})
    };
    json!({"balancers": 1, "grades": [class("ask", "retryable"), class("book", "fragile")],
        "kinds": ["prefill", "decode"], "zones": ["z"], "zone": "z", "tenants": [], "tick": 2_000,
        "limits": {"cancel": true, "max-attempts": 4, "parallel-tries": false, "may-probe": true,
            "retry-after": true, "max-retry-after": 2_000_000, "connect-timeout": 250_000},
        "membership-mode": "push", "over-share-worth": 0.1,
        "rules": {"cold-from": 0.25, "drain-grace": 1_000_000, "fall": 2_000_000, "fall-multiple": 3.0,
            "grace-to-answer": 8_000, "warm-within": 10_000_000},
        "specifics": {"aim-us-per-1000-prompt-tokens": [40_000.0, 40_000.0], "holds-allowed": false,
            "kind-role": ["read", "write"], "kv-tokens": [200_000, 150_000], "release": 1_000_000,
            "resume": true, "self-prefill": false, "token-aim": [60_000.0, 80_000.0]}})
}

/// A conductor that listens on both fronts, platform and chat.
pub struct TestConductor {
    pub platform: SocketAddr,
    pub chat: SocketAddr,
    pub conductor: Conductor<HttpUpstream>,
    pub listeners: ClientListeners,
    pub membership: mpsc::UnboundedSender<MembershipUpdate>,
    /// The addresses of the servers.
    pub addresses: Arc<AddressTable>,
}

impl TestConductor {
    /// Starts a conductor for these servers, given by name, kind and address.
    pub fn start(servers: &[(&str, usize, SocketAddr)], timeouts: ClientTimeouts) -> Self {
        let names = ConfiguredNames::new(&setup()).unwrap();
        let settings = settings(&setup(), &names).unwrap();
        let (membership, conductor, addresses) = conductor(&settings, servers);
        let closes = Metrics::new().unwrap().client_closes;
        let listeners = ClientListeners::new(8, timeouts, closes, discarding_log());
        let config = ChatConfig {
            listen: any_port(),
            models: vec!["chat".into()],
            class: "book".into(),
            max_tokens: 400,
        };
        let platform = PlatformFront::new(conductor.clone());
        let chat = ChatFront::new(conductor.clone(), config);
        let (platform, chat) =
            (listeners.open(any_port(), platform).unwrap(), listeners.open(any_port(), chat).unwrap());
        TestConductor { platform, chat, conductor, listeners, membership, addresses }
    }
}

/// A conductor with one stand-in prefill server and one stand-in decode server.
pub struct Site {
    pub platform: SocketAddr,
    pub chat: SocketAddr,
    pub prefill: StandIn,
    pub decode: StandIn,
    pub conductor: Conductor<HttpUpstream>,
    pub listeners: ClientListeners,
    pub membership: mpsc::UnboundedSender<MembershipUpdate>,
}

impl Site {
    pub async fn start() -> Self {
        Site::with_timeouts(CLIENT_TIMEOUTS).await
    }

    pub async fn with_timeouts(timeouts: ClientTimeouts) -> Self {
        let (prefill, decode) =
            (StandIn::start(PREFILL_RESPONSE).await, StandIn::start(COMPLETE_STREAM).await);
        let servers = [("reader", 0, prefill.address), ("writer", 1, decode.address)];
        let TestConductor { platform, chat, conductor, listeners, membership, .. } =
            TestConductor::start(&servers, timeouts);
        Site { platform, chat, prefill, decode, conductor, listeners, membership }
    }
}

/// A loopback address at any free port.
fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// A log that nobody reads.
fn discarding_log() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

/// An observer for upstreams whose metrics and log are not checked.
fn observer() -> UpstreamObserver {
    UpstreamObserver::new(&Metrics::new().unwrap(), discarding_log())
}

pub fn upstream(servers: &[(&str, usize, SocketAddr)]) -> HttpUpstream {
    upstream_with_settle_time(servers, Duration::ZERO)
}

/// An upstream that reuses a connection no sooner than this long after a response.
pub fn upstream_with_settle_time(
    servers: &[(&str, usize, SocketAddr)],
    settle_time: Duration,
) -> HttpUpstream {
    HttpUpstream::new(address_table(servers), limits(settle_time), observer(), BufferBudget::unlimited())
}

/// An upstream and the address table of its servers.
pub fn upstream_and_addresses(servers: &[(&str, usize, SocketAddr)]) -> (HttpUpstream, Arc<AddressTable>) {
    let addresses = address_table(servers);
    (
        HttpUpstream::new(addresses.clone(), limits(Duration::ZERO), observer(), BufferBudget::unlimited()),
        addresses,
    )
}

/// An upstream with this connect timeout.
pub fn upstream_with_connect_timeout(
    servers: &[(&str, usize, SocketAddr)],
    timeout: Duration,
) -> HttpUpstream {
    HttpUpstream::new(
        address_table(servers),
        ConnectionLimits { connect_timeout: timeout, ..limits(Duration::ZERO) },
        observer(),
        BufferBudget::unlimited(),
    )
}

fn address_table(servers: &[(&str, usize, SocketAddr)]) -> Arc<AddressTable> {
    let addresses = Arc::new(AddressTable::default());
    for (name, _, address) in servers {
        addresses.set(Id::from(*name), *address);
    }
    addresses
}

fn limits(settle_time: Duration) -> ConnectionLimits {
    ConnectionLimits {
        max_connections: 16,
        connect_timeout: Duration::from_millis(250),
        server_idle_timeout: Duration::from_secs(30),
        settle_time,
        stale_reset_window: Duration::from_secs(5),
    }
}

/// An entry of the server list.
pub fn entry(name: &str, kind: usize, health: Health) -> ServerEntry {
    ServerEntry { server: Id::from(name), rack: 0, kind, zone: 0, started: 0, health }
}

/// Starts a conductor; returns the sender of its server list, the conductor and its address table.
fn conductor(
    settings: &Settings,
    servers: &[(&str, usize, SocketAddr)],
) -> (mpsc::UnboundedSender<MembershipUpdate>, Conductor<HttpUpstream>, Arc<AddressTable>) {
    let addresses = address_table(servers);
    let entries = servers.iter().map(|(name, kind, _)| entry(name, *kind, Health::Up)).collect();
    let (membership, updates) = mpsc::unbounded_channel();
    let _ = membership.send(MembershipUpdate { kind: ListUpdateKind::Full, entries });
    let conductor = start(ConductorParts {
        excluded: Vec::new(),
        inherited: None,
        shared_id_claims: None,
        metrics: Metrics::new().unwrap(),
        settings: settings.clone(),
        seed: 7,
        clock: Clock::new(),
        upstream: Arc::new(HttpUpstream::new(
            addresses.clone(),
            limits(Duration::ZERO),
            observer(),
            BufferBudget::unlimited(),
        )),
        members: ChannelMembership(updates),
        log: discarding_log(),
    });
    (membership, conductor, addresses)
}

/// Microseconds since the Unix epoch.
pub fn unix_micros() -> u64 {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_micros() as u64
}

/// What a client received. `whole` tells whether the body was complete, `answers` how many responses there
/// were.
#[derive(Debug)]
pub struct Answer {
    pub answers: usize,
    pub status: u16,
    pub head: String,
    pub body: String,
    pub whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
    }

    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap()
    }
}

pub async fn send(to: SocketAddr, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(to).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    stream
}

pub fn post(path: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    let head = format!("POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{headers}");
    format!("{head}content-length: {length}\r\n\r\n{body}")
}

/// A request to the platform front whose client waits this many milliseconds.
pub fn chat(id: &str, class: &str, remaining_ms: u64) -> String {
    let labels = "x-labels: prompt_len=600,max_out=100\r\n";
    let headers = format!(
        "x-txn: {id}\r\nx-lane: {class}\r\nx-entity: s-{id}\r\nx-remaining: {remaining_ms}m\r\n{labels}"
    );
    post("/v1/chat/completions", &headers, "{}")
}

/// The same request on a connection that the client keeps open.
pub fn keep_alive(text: &str) -> String {
    text.replace("connection: close\r\n", "")
}

/// Sends a request on a new connection and reads the answer until the connection ends.
pub async fn exchange(to: SocketAddr, text: &str) -> Answer {
    read_answer(send(to, text).await).await
}

/// Reads the answer to a request that has been sent, until the connection ends.
pub async fn read_answer(stream: TcpStream) -> Answer {
    try_read_answer(stream).await.expect("an answer")
}

/// Like `read_answer`, but returns `None` if the connection ended without a byte.
pub async fn try_read_answer(mut stream: TcpStream) -> Option<Answer> {
    let mut bytes = Vec::new();
    // An error is a reset; the bytes received before it still count.
    let _ = stream.read_to_end(&mut bytes).await;
    (!bytes.is_empty()).then(|| parse_answer(&String::from_utf8(bytes).unwrap()))
}

fn parse_answer(text: &str) -> Answer {
    let (head, raw) = text.split_once("\r\n\r\n").unwrap_or_else(|| panic!("no head in {text:?}"));
    let head = head.to_ascii_lowercase();
    let status = head.split(' ').nth(1).unwrap().parse().unwrap();
    let chunked = head.contains("transfer-encoding: chunked");
    let (body, whole) = if chunked { decode_chunked(raw) } else { (raw.to_string(), true) };
    let answers = text.matches("HTTP/1.1 ").count();
    Answer { answers, status, head, body, whole }
}

fn decode_chunked(mut raw: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((size, rest)) = raw.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).unwrap();
        if size == 0 {
            return (body, true);
        }
        let Some(chunk) = rest.get(..size) else { break };
        body.push_str(chunk);
        raw = rest.get(size + 2..).unwrap_or_default();
    }
    (body, false)
}

/// The configuration of a process: its discovery address, descriptor limit, servers by id and kind, and
/// settings.
pub fn config_json(
    name: &str,
    discovery: &str,
    sockets: usize,
    servers: &[(&str, &str, SocketAddr)],
    settings: &Value,
) -> String {
    let target = |(uid, model, address): &(&str, &str, SocketAddr)| -> Value {
        json!({"uid": uid, "endpoint": address, "az": "z", "model": model, "pod_group": 0, "state": "active",
            "capacity_hint": 1.0, "boot_ms": 0})
    };
    let targets: Vec<Value> = servers.iter().map(target).collect();
    json!({"name": name, "listen": "127.0.0.1:0", "discovery": discovery, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
        "known": {"rev": 1, "all": true, "targets": targets}, "settings": settings})
    .to_string()
}

/// The path of the configuration file of the process with this name.
pub fn config_file(name: &str) -> std::path::PathBuf {
    std::env::temp_dir().join(format!("frosttrail-{name}-{}.json", std::process::id()))
}

/// The program with this configuration, which is written to the file of this name.
pub fn program(name: &str, config: &str) -> Command {
    let file = config_file(name);
    std::fs::File::create(&file).unwrap().write_all(config.as_bytes()).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_frosttrail"));
    command.env("EDGE_CONFIG", file).stderr(Stdio::piped());
    command
}

/// The same with a limit on file descriptors.
pub fn program_with_descriptor_limit(descriptors: usize, name: &str, config: &str) -> Command {
    let program = program(name, config);
    let mut limited = Command::new("sh");
    limited.arg("-c").arg(format!("ulimit -n {descriptors}; exec \"$0\"")).arg(program.get_program());
    let envs = program.get_envs().filter_map(|(key, value)| Some((key, value?)));
    limited.envs(envs).stderr(Stdio::piped());
    limited
}

/// A running daemon; the address it listens at is read from its log.
pub struct DaemonProcess {
    child: Child,
    log: Lines<BufReader<ChildStderr>>,
    pub listen: SocketAddr,
}

impl DaemonProcess {
    /// Starts the daemon and waits until it listens.
    pub fn start(command: Command) -> Self {
        let mut process = DaemonProcess::spawn(command);
        process.wait_until_listening();
        process
    }

    /// Starts the daemon and returns before it listens.
    pub fn spawn(mut command: Command) -> Self {
        let mut child = command.spawn().unwrap();
        let log = BufReader::new(child.stderr.take().unwrap()).lines();
        DaemonProcess { child, log, listen: ([127, 0, 0, 1], 0).into() }
    }

    /// Waits until the daemon listens and stores its address in `listen`.
    pub fn wait_until_listening(&mut self) {
        let line = self.wait_for_log("listening, at: ");
        let address = line.split_once("at: ").unwrap().1.split(',').next().unwrap().trim();
        self.listen = address.parse().unwrap();
    }

    /// Waits for a log line that contains this text and returns it.
    pub fn wait_for_log(&mut self, text: &str) -> String {
        self.log.find_map(|line| line.ok().filter(|line| line.contains(text))).unwrap()
    }

    /// Sends a signal, named as an option of `kill`, such as `-TERM`.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([name, &self.child.id().to_string()]).status().unwrap();
        assert!(sent.success());
    }

    /// Resident memory in KiB.
    pub fn resident_kib(&self) -> u64 {
        self.memory_figure("VmRSS:")
    }

    /// The largest resident memory so far, in KiB.
    pub fn peak_memory_kib(&self) -> u64 {
        self.memory_figure("VmHWM:")
    }

    fn memory_figure(&self, name: &str) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix(name)).unwrap();
        line.trim().trim_end_matches(" kB").parse().unwrap()
    }

    /// Waits for the end of the process and checks that its exit code is 0.
    pub async fn expect_clean_exit(mut self) {
        let status = tokio::task::spawn_blocking(move || self.child.wait()).await.unwrap().unwrap();
        assert_eq!(status.code(), Some(0));
    }
}

/// Kills the process, so that a failed test leaves none behind.
impl Drop for DaemonProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
