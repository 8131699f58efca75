//! What the socket tests share: stand-in servers, clients and a conductor between them, all on loopback.
#![allow(dead_code)]

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
use frosttrail_daemon::config::ChatConfig;
use frosttrail_daemon::front::chat::ChatFront;
use frosttrail_daemon::front::platform::PlatformFront;
use frosttrail_daemon::front::{ClientListeners, ClientTimeouts};
use frosttrail_daemon::upstream::{AddressTable, ConnectionLimits, HttpUpstream};
use serde_json::{json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

pub const EVENT: &str =
    "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"Table \"},\"finish_reason\":null}]}\n\n";
pub const LAST: &str =
    "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"booked\"},\"finish_reason\":\"stop\"}]}\n\n";
pub const USAGE: &str =
    "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":12,\"completion_tokens\":2,\"total_tokens\":14}}\n\n";
pub const DONE: &str = "data: [DONE]\n\n";

/// What a stand-in server does with the next request.
#[derive(Clone, Debug)]
pub enum Does {
    /// Answers with this status, marked as turned away or not, and a body.
    Says(u16, bool, &'static str),
    /// Streams these events and the last chunk.
    Streams(&'static [&'static str]),
    /// Streams these events, then ends the connection without the last chunk.
    BreaksAfter(&'static [&'static str]),
    /// Streams these events, then says nothing more until the other side has closed.
    StallsAfter(&'static [&'static str]),
    /// Sends these bytes, whatever they are, then says nothing more until the other side has closed.
    Raw(&'static str),
    /// Sends these bytes, and then the last of them again and again.
    RawOn(&'static str),
    /// Sends these bytes, and then an empty line every 100 ms.
    Pulses(&'static str),
    /// Sends these bytes, which hold a whole answer, and goes on to the next request.
    RawWhole(&'static str),
    /// Streams so many events, one every so many milliseconds, whose content is the time since the epoch in
    /// microseconds.
    Ticks(usize, u64),
    /// Sends the bytes that the test tells it, as it tells them.
    Told,
    /// Streams without end.
    StreamsOn,
    /// Ends the connection once it has all of the request.
    Resets,
    /// Says nothing until the other side has closed.
    Silent,
}

/// How long clients may take.
pub const CLIENT_TIMEOUTS: ClientTimeouts = ClientTimeouts {
    request_arrival: Duration::from_millis(300),
    idle: Duration::from_secs(60),
    write: Duration::from_millis(200),
};

pub const READ: Does = Does::Says(202, false, "{\"cached_tokens\":0}");
pub const WHOLE: Does = Does::Streams(&[EVENT, LAST, USAGE, DONE]);

/// A request as a server got it.
#[derive(Clone, Debug, PartialEq)]
pub struct Got {
    pub line: String,
    pub head: String,
    pub body: String,
}

/// What a server did with a request, or `None` for a release, in the order in which all servers of a test got
/// them.
#[derive(Clone, Debug)]
pub struct Did {
    pub nth: u64,
    pub id: String,
    pub does: Option<Does>,
}

static NTH: AtomicU64 = AtomicU64::new(0);

/// A server whose answers are told beforehand; past them it repeats its usual one.
pub struct StandIn {
    pub address: SocketAddr,
    pub got: Arc<Mutex<Vec<Got>>>,
    pub did: Arc<Mutex<Vec<Did>>>,
    pub accepted: Arc<Mutex<u32>>,
    script: Arc<Mutex<VecDeque<Does>>>,
    /// One message for each connection that the conductor closed in the midst of an answer.
    pub given_up: mpsc::UnboundedReceiver<()>,
    /// One message for each state that was let go of.
    pub released: mpsc::UnboundedReceiver<()>,
    /// What it sends where it does as it is told.
    pub told: mpsc::UnboundedSender<String>,
    closing: Arc<Mutex<CancellationToken>>,
    connections: TaskTracker,
    accepting: Option<JoinHandle<()>>,
}

impl StandIn {
    pub async fn start(usual: Does) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (gave_up, given_up) = mpsc::unbounded_channel();
        let (release, released) = mpsc::unbounded_channel();
        let (told, as_told) = mpsc::unbounded_channel();
        let (got, accepted, script) = <(Arc<Mutex<Vec<Got>>>, Arc<Mutex<u32>>, Arc<_>)>::default();
        let (closing, connections) = (Arc::new(Mutex::new(CancellationToken::new())), TaskTracker::new());
        let as_told = Arc::new(tokio::sync::Mutex::new(as_told));
        let did = Arc::default();
        let shared = Shared { usual, got, did, script, gave_up, release, told: as_told };
        let mut stand_in = StandIn {
            address,
            got: shared.got.clone(),
            did: shared.did.clone(),
            accepted: accepted.clone(),
            script: shared.script.clone(),
            given_up,
            released,
            told,
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

    pub fn next(&self, does: Does) {
        self.script.lock().unwrap().push_back(does);
    }

    /// Ends the listening: further connections are refused.
    pub async fn refuse_all(&mut self) {
        let accepting = self.accepting.take().unwrap();
        accepting.abort();
        let _ = accepting.await;
    }

    /// Closes every connection there is.
    pub async fn close_all(&self) {
        std::mem::take(&mut *self.closing.lock().unwrap()).cancel();
        self.connections.close();
        self.connections.wait().await;
        self.connections.reopen();
    }

    /// Requests, releases not counted.
    pub fn posts(&self) -> Vec<Got> {
        self.got.lock().unwrap().iter().filter(|g| g.line.starts_with("POST")).cloned().collect()
    }
}

#[derive(Clone)]
struct Shared {
    usual: Does,
    got: Arc<Mutex<Vec<Got>>>,
    did: Arc<Mutex<Vec<Did>>>,
    script: Arc<Mutex<VecDeque<Does>>>,
    gave_up: mpsc::UnboundedSender<()>,
    release: mpsc::UnboundedSender<()>,
    told: Arc<tokio::sync::Mutex<mpsc::UnboundedReceiver<String>>>,
}

impl Shared {
    fn note(&self, id: &str, does: Option<&Does>) {
        let nth = NTH.fetch_add(1, Ordering::Relaxed);
        self.did.lock().unwrap().push(Did { nth, id: id.into(), does: does.cloned() });
    }

    async fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut held = Vec::new();
        while let Some(got) = request(&mut stream, &mut held).await? {
            let deletes = got
                .line
                .strip_prefix("DELETE /state/")
                .map(|rest| rest.split(' ').next().unwrap().to_string());
            let id = got
                .head
                .lines()
                .find_map(|line| line.strip_prefix("x-txn: "))
                .unwrap_or_default()
                .to_string();
            self.got.lock().unwrap().push(got);
            if let Some(id) = deletes {
                self.note(&id, None);
                let _ = self.release.send(());
                stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").await?;
                continue;
            }
            let does = self.script.lock().unwrap().pop_front().unwrap_or_else(|| self.usual.clone());
            self.note(&id, Some(&does));
            match does {
                Does::Says(status, turned_away, body) => {
                    let mark = if turned_away { "x-turned-away: 1\r\n" } else { "" };
                    let length = body.len();
                    let text = format!("HTTP/1.1 {status} -\r\n{mark}content-length: {length}\r\n\r\n{body}");
                    stream.write_all(text.as_bytes()).await?;
                }
                Does::Streams(events) => {
                    chunks(&mut stream, events).await?;
                    stream.write_all(b"0\r\n\r\n").await?;
                }
                Does::BreaksAfter(events) => return chunks(&mut stream, events).await,
                Does::StallsAfter(events) => {
                    chunks(&mut stream, events).await?;
                    return self.until_closed(stream).await;
                }
                Does::Raw(bytes) => {
                    stream.write_all(bytes.as_bytes()).await?;
                    return self.until_closed(stream).await;
                }
                Does::RawOn(bytes) => {
                    stream.write_all(bytes.as_bytes()).await?;
                    let again = bytes[bytes.len() - 1..].repeat(4096);
                    while stream.write_all(again.as_bytes()).await.is_ok() {}
                    let _ = self.gave_up.send(());
                    return Ok(());
                }
                Does::Pulses(bytes) => {
                    stream.write_all(bytes.as_bytes()).await?;
                    while stream.write_all(b"\n").await.is_ok() {
                        tokio::time::sleep(Duration::from_millis(100)).await;
                    }
                    let _ = self.gave_up.send(());
                    return Ok(());
                }
                Does::RawWhole(bytes) => stream.write_all(bytes.as_bytes()).await?,
                Does::Ticks(events, every) => {
                    chunks(&mut stream, &[]).await?;
                    for _ in 0..events {
                        chunk(&mut stream, &format!("data: {{\"at\":{}}}\n\n", micros())).await?;
                        tokio::time::sleep(Duration::from_millis(every)).await;
                    }
                    chunk(&mut stream, DONE).await?;
                    stream.write_all(b"0\r\n\r\n").await?;
                }
                Does::Told => {
                    let mut told = self.told.lock().await;
                    while let Some(bytes) = told.recv().await {
                        stream.write_all(bytes.as_bytes()).await?;
                    }
                }
                Does::StreamsOn => {
                    chunks(&mut stream, &[]).await?;
                    while chunk(&mut stream, EVENT).await.is_ok() {}
                    let _ = self.gave_up.send(());
                    return Ok(());
                }
                Does::Resets => return Ok(()),
                Does::Silent => return self.until_closed(stream).await,
            }
        }
        Ok(())
    }

    async fn until_closed(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut byte = [0];
        let _ = stream.read(&mut byte).await;
        let _ = self.gave_up.send(());
        Ok(())
    }
}

/// A server that takes no connection: those that fill the kernel's queue are in front.
pub struct Shut {
    pub address: SocketAddr,
    listener: TcpListener,
    in_front: Vec<TcpStream>,
}

impl Shut {
    pub async fn start() -> Self {
        let socket = tokio::net::TcpSocket::new_v4().unwrap();
        socket.bind(any()).unwrap();
        let listener = socket.listen(1).unwrap();
        let (address, mut in_front) = (listener.local_addr().unwrap(), Vec::new());
        while let Ok(stream) =
            tokio::time::timeout(Duration::from_millis(100), TcpStream::connect(address)).await
        {
            in_front.push(stream.unwrap());
        }
        Shut { address, listener, in_front }
    }

    /// The head of the first request that comes once there is room, and when it came.
    pub async fn first_request(self) -> (String, Instant) {
        let Shut { listener, in_front, .. } = self;
        drop(in_front);
        loop {
            let (mut stream, mut held) = (listener.accept().await.unwrap().0, Vec::new());
            if let Ok(Some(got)) = request(&mut stream, &mut held).await {
                return (got.head, Instant::now());
            }
        }
    }

    /// Takes every connection that comes up within the time in which one is tried anew, and counts those on
    /// which something was sent.
    pub async fn opened_and_sent(self) -> usize {
        let Shut { listener, in_front, .. } = self;
        let queued = in_front.len();
        drop(in_front);
        let (mut taken, mut sent) = (0, 0);
        while let Ok(accepted) = tokio::time::timeout(Duration::from_millis(1_500), listener.accept()).await {
            let (mut stream, mut byte) = (accepted.unwrap().0, [0]);
            taken += 1;
            let read = tokio::time::timeout(Duration::from_millis(50), stream.read(&mut byte)).await;
            sent += usize::from(matches!(read, Ok(Ok(1))));
        }
        assert!(taken >= queued, "those in front");
        sent
    }
}

async fn chunks(stream: &mut TcpStream, events: &[&str]) -> std::io::Result<()> {
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
    stream.write_all(head.as_bytes()).await?;
    for event in events {
        chunk(stream, event).await?;
    }
    Ok(())
}

async fn chunk(stream: &mut TcpStream, event: &str) -> std::io::Result<()> {
    stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).await
}

/// Reads one request; `None` at the connection's end.
async fn request(stream: &mut TcpStream, held: &mut Vec<u8>) -> std::io::Result<Option<Got>> {
    loop {
        if let Some(end) = held.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&held[..end]).into_owned();
            let length =
                head.lines().find_map(|l| l.strip_prefix("content-length: ")?.parse().ok()).unwrap_or(0);
            if held.len() >= end + 4 + length {
                let rest = held.split_off(end + 4 + length);
                let body = String::from_utf8_lossy(&held[end + 4..]).into_owned();
                *held = rest;
                let (line, head) = head.split_once("\r\n").unwrap_or((&head, ""));
                return Ok(Some(Got { line: line.into(), head: head.into(), body }));
            }
        }
        if stream.read_buf(held).await? == 0 {
            return Ok(None);
        }
    }
}

/// The list as the test tells it.
struct Told(mpsc::UnboundedReceiver<MembershipUpdate>);

impl MembershipSource for Told {
    async fn next(&mut self) -> Option<MembershipUpdate> {
        self.0.recv().await
    }
}

/// The settings of a site with a repeatable class and one that must never run twice.
pub fn setup() -> Value {
    let grade = |name: &str, effect: &str| {
        json!({"name": name, "slo": 3_000_000, "deadline": 8_000_000, "effect": effect, "late-share": 0.2,
            "points": 1.0, "dedup-scope": "all", "dedup-window": 0})
    };
    json!({"balancers": 1, "grades": [grade("ask", "retryable"), grade("book", "fragile")],
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

/// A conductor with both fronts open.
pub struct Open {
    pub platform: SocketAddr,
    pub chat: SocketAddr,
    pub conductor: Conductor<HttpUpstream>,
    pub doors: ClientListeners,
    pub news: mpsc::UnboundedSender<MembershipUpdate>,
    /// Where the servers are.
    pub book: Arc<AddressTable>,
}

impl Open {
    /// Before these servers: name, kind and address.
    pub fn before(servers: &[(&str, usize, SocketAddr)], patience: ClientTimeouts) -> Self {
        let names = ConfiguredNames::new(&setup()).unwrap();
        let settings = settings(&setup(), &names).unwrap();
        let (news, conductor, book) = conductor(&settings, servers);
        let doors = ClientListeners::new(8, patience, slog::Logger::root(slog::Discard, slog::o!()));
        let config =
            ChatConfig { listen: any(), models: vec!["chat".into()], class: "book".into(), max_tokens: 400 };
        let platform = PlatformFront::new(conductor.clone());
        let chat = ChatFront::new(conductor.clone(), config);
        let (platform, chat) = (doors.open(any(), platform).unwrap(), doors.open(any(), chat).unwrap());
        Open { platform, chat, conductor, doors, news, book }
    }
}

/// A conductor between stand-ins.
pub struct Site {
    pub platform: SocketAddr,
    pub chat: SocketAddr,
    pub reader: StandIn,
    pub writer: StandIn,
    pub conductor: Conductor<HttpUpstream>,
    pub doors: ClientListeners,
    pub news: mpsc::UnboundedSender<MembershipUpdate>,
}

impl Site {
    pub async fn start() -> Self {
        Site::with(CLIENT_TIMEOUTS).await
    }

    pub async fn with(patience: ClientTimeouts) -> Self {
        let (reader, writer) = (StandIn::start(READ).await, StandIn::start(WHOLE).await);
        let servers = [("reader", 0, reader.address), ("writer", 1, writer.address)];
        let Open { platform, chat, conductor, doors, news, .. } = Open::before(&servers, patience);
        Site { platform, chat, reader, writer, conductor, doors, news }
    }
}

fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// A counter that nobody reads.
pub fn sends() -> prometheus::IntCounter {
    prometheus::IntCounter::new("sends", "Attempts").unwrap()
}

pub fn upstream(servers: &[(&str, usize, SocketAddr)]) -> HttpUpstream {
    upstream_that_settles(servers, Duration::ZERO)
}

/// One that leaves connections alone for so long after an answer.
pub fn upstream_that_settles(servers: &[(&str, usize, SocketAddr)], settle_time: Duration) -> HttpUpstream {
    HttpUpstream::new(book(servers), limits(settle_time), sends())
}

/// One, and where its servers are.
pub fn upstream_and_book(servers: &[(&str, usize, SocketAddr)]) -> (HttpUpstream, Arc<AddressTable>) {
    let book = book(servers);
    (HttpUpstream::new(book.clone(), limits(Duration::ZERO), sends()), book)
}

/// One that waits so long for a connection to come up.
pub fn upstream_that_connects_within(servers: &[(&str, usize, SocketAddr)], time: Duration) -> HttpUpstream {
    HttpUpstream::new(
        book(servers),
        ConnectionLimits { connect_timeout: time, ..limits(Duration::ZERO) },
        sends(),
    )
}

fn book(servers: &[(&str, usize, SocketAddr)]) -> Arc<AddressTable> {
    let book = Arc::new(AddressTable::default());
    for (name, _, address) in servers {
        book.set(Id::from(*name), *address);
    }
    book
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

/// A line of the list.
pub fn entry(name: &str, kind: usize, health: Health) -> ServerEntry {
    ServerEntry { server: Id::from(name), rack: 0, kind, zone: 0, started: 0, health }
}

fn conductor(
    settings: &Settings,
    servers: &[(&str, usize, SocketAddr)],
) -> (mpsc::UnboundedSender<MembershipUpdate>, Conductor<HttpUpstream>, Arc<AddressTable>) {
    let book = book(servers);
    let entries = servers.iter().map(|(name, kind, _)| entry(name, *kind, Health::Up)).collect();
    let (news, told) = mpsc::unbounded_channel();
    let _ = news.send(MembershipUpdate { kind: ListUpdateKind::Full, entries });
    let conductor = start(ConductorParts {
        excluded: Vec::new(),
        inherited: None,
        metrics: Metrics::new().unwrap(),
        settings: settings.clone(),
        seed: 7,
        clock: Clock::new(),
        upstream: Arc::new(HttpUpstream::new(book.clone(), limits(Duration::ZERO), sends())),
        members: Told(told),
        log: slog::Logger::root(slog::Discard, slog::o!()),
    });
    (news, conductor, book)
}

/// Microseconds since the epoch.
pub fn micros() -> u64 {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_micros() as u64
}

/// What a client got: status, head, body, whether the answer was whole, and how many answers there were.
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
        self.head.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(": "))
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

/// A request of the platform's, of some length, whose client waits for so many milliseconds.
pub fn chat(id: &str, class: &str, remaining: u64) -> String {
    let labels = "x-labels: prompt_len=600,max_out=100\r\n";
    let headers = format!(
        "x-txn: {id}\r\nx-lane: {class}\r\nx-entity: s-{id}\r\nx-remaining: {remaining}m\r\n{labels}"
    );
    post("/v1/chat/completions", &headers, "{}")
}

/// The same on a connection that the client keeps.
pub fn kept(text: &str) -> String {
    text.replace("connection: close\r\n", "")
}

/// Sends a request and reads all that comes back.
pub async fn exchange(to: SocketAddr, text: &str) -> Answer {
    exchange_on(send(to, text).await).await
}

/// Reads all that comes back of a request that has been sent.
pub async fn exchange_on(stream: TcpStream) -> Answer {
    answer_on(stream).await.expect("an answer")
}

/// The same; `None` where the connection has ended with nothing.
pub async fn answer_on(mut stream: TcpStream) -> Option<Answer> {
    let mut bytes = Vec::new();
    // A break is a reset or an end; what came before it counts.
    let _ = stream.read_to_end(&mut bytes).await;
    (!bytes.is_empty()).then(|| answer(&String::from_utf8(bytes).unwrap()))
}

fn answer(text: &str) -> Answer {
    let (head, raw) = text.split_once("\r\n\r\n").unwrap_or_else(|| panic!("no head in {text:?}"));
    let head = head.to_ascii_lowercase();
    let status = head.split(' ').nth(1).unwrap().parse().unwrap();
    let chunked = head.contains("transfer-encoding: chunked");
    let (body, whole) = if chunked { unchunk(raw) } else { (raw.to_string(), true) };
    let answers = text.matches("HTTP/1.1 ").count();
    Answer { answers, status, head, body, whole }
}

fn unchunk(mut raw: &str) -> (String, bool) {
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

/// A process's configuration: its discovery, descriptors and settings, and its servers by id and kind.
pub fn config_of(
    name: &str,
    discovery: &str,
    sockets: usize,
    servers: &[(&str, &str, SocketAddr)],
    settings: &Value,
) -> String {
    let target = |(uid, model, at): &(&str, &str, SocketAddr)| -> Value {
        json!({"uid": uid, "endpoint": at, "az": "z", "model": model, "pod_group": 0, "state": "active",
            "capacity_hint": 1.0, "boot_ms": 0})
    };
    let targets: Vec<Value> = servers.iter().map(target).collect();
    json!({"name": name, "listen": "127.0.0.1:0", "discovery": discovery, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
        "known": {"rev": 1, "all": true, "targets": targets}, "settings": settings})
    .to_string()
}

/// Where the configuration of a program of this name lies.
pub fn config_file(name: &str) -> std::path::PathBuf {
    std::env::temp_dir().join(format!("frosttrail-{name}-{}.json", std::process::id()))
}

/// The program with this configuration, which waits in a folder of its own.
pub fn program(name: &str, config: &str) -> Command {
    let file = config_file(name);
    std::fs::File::create(&file).unwrap().write_all(config.as_bytes()).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_frosttrail"));
    command.env("EDGE_CONFIG", file).stderr(Stdio::piped());
    command
}

/// The same, with so many descriptors at most.
pub fn program_with(descriptors: usize, name: &str, config: &str) -> Command {
    let program = program(name, config);
    let mut limited = Command::new("sh");
    limited.arg("-c").arg(format!("ulimit -n {descriptors}; exec \"$0\"")).arg(program.get_program());
    let envs = program.get_envs().filter_map(|(key, value)| Some((key, value?)));
    limited.envs(envs).stderr(Stdio::piped());
    limited
}

/// The program under way: where it listens is in its log.
pub struct Running {
    child: Child,
    log: Lines<BufReader<ChildStderr>>,
    pub listen: SocketAddr,
}

impl Running {
    pub fn start(command: Command) -> Self {
        let mut running = Running::spawn(command);
        running.listens();
        running
    }

    /// The same before it listens.
    pub fn spawn(mut command: Command) -> Self {
        let mut child = command.spawn().unwrap();
        let log = BufReader::new(child.stderr.take().unwrap()).lines();
        Running { child, log, listen: ([127, 0, 0, 1], 0).into() }
    }

    /// Waits until it listens, and notes where.
    pub fn listens(&mut self) {
        let line = self.logs("listening, at: ");
        let at = line.split_once("at: ").unwrap().1.split(',').next().unwrap().trim();
        self.listen = at.parse().unwrap();
    }

    /// Waits for a line that says this.
    pub fn logs(&mut self, words: &str) -> String {
        self.log.find_map(|line| line.ok().filter(|line| line.contains(words))).unwrap()
    }

    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([name, &self.child.id().to_string()]).status().unwrap();
        assert!(sent.success());
    }

    /// Memory that is resident, in KiB.
    pub fn memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
        line.trim().trim_end_matches(" kB").parse().unwrap()
    }

    pub async fn ends_well(mut self) {
        let status = tokio::task::spawn_blocking(move || self.child.wait()).await.unwrap().unwrap();
        assert_eq!(status.code(), Some(0));
    }
}

/// A test that has failed leaves no process behind.
impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
