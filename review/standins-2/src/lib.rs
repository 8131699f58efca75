//! What the cases of the second review share: a record, processes, and stand-ins for clients, servers and the
//! discovery agent, from the operators' pages. Standard library only; every address is a loopback address.

use std::fs::File;
use std::io::{ErrorKind, Read, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// The script's exit codes.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The record of a run: `record.txt` in the case's folder, with the time in ms since the start.
#[derive(Clone)]
pub struct Record(Arc<RecordParts>);

struct RecordParts {
    file: Mutex<File>,
    start: Instant,
    folder: String,
}

impl Record {
    pub fn say(&self, line: impl AsRef<str>) {
        let at = self.0.start.elapsed().as_millis();
        // The temporary folder has another name on each machine.
        let line = format!("{at:>6} {}\n", line.as_ref().replace(&self.0.folder, "TMP"));
        let _ = lock(&self.0.file).write_all(line.as_bytes());
        print!("{line}");
    }
}

/// A case's surroundings. `folder` is temporary and removed at the end.
pub struct Case {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub trouble: bool,
    pub record: Record,
}

impl Case {
    /// Runs a case: its result is the exit code, and an error means that it could not run.
    pub fn run(case: impl FnOnce(&Case) -> std::result::Result<bool, String>) -> ! {
        let case_folder = PathBuf::from(std::env::args().nth(1).expect("the case's folder"));
        let root = PathBuf::from(std::env::args().nth(2).expect("the repository's root"));
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let file = File::create(case_folder.join("record.txt")).expect("record.txt");
        let parts = RecordParts {
            file: Mutex::new(file),
            start: Instant::now(),
            folder: folder.display().to_string(),
        };
        let record = Record(Arc::new(parts));
        start_watchdog(record.clone());
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        record.say(format!("trouble: {}", if trouble { "yes" } else { "no" }));
        let this = Case { root, folder, trouble, record };
        let result = case(&this);
        let code = match &result {
            Ok(true) => HELD,
            Ok(false) => BROKEN,
            Err(_) => COULD_NOT_RUN,
        };
        this.record.say(match result {
            Ok(true) => "result: the rule held".to_string(),
            Ok(false) => "result: the rule was BROKEN".to_string(),
            Err(why) => format!("result: the case could not run: {why}"),
        });
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&this.folder);
        }
        std::process::exit(code)
    }

    /// The command of the deploy file by which a conductor is started.
    pub fn run_command(&self) -> std::result::Result<String, String> {
        let text =
            std::fs::read_to_string(self.root.join("deploy/balancer.toml")).map_err(|e| e.to_string())?;
        let line = text.lines().find_map(|line| line.strip_prefix("run = \"")).ok_or("no run command")?;
        Ok(line.trim_end().trim_end_matches('"').to_string())
    }

    /// Starts a shell command from the repository's root; standard error goes to a file of the temporary folder.
    pub fn start(
        &self,
        name: &str,
        command: &str,
        env: &[(&str, String)],
    ) -> std::result::Result<Process, String> {
        let log = self.folder.join(format!("{name}.log"));
        let file = File::create(&log).map_err(|e| e.to_string())?;
        let mut shell = Command::new("/bin/sh");
        shell.arg("-c").arg(command).current_dir(&self.root).stdin(Stdio::null());
        shell.stdout(file.try_clone().map_err(|e| e.to_string())?).stderr(file);
        shell.env_remove("EDGE_OPS").env_remove("EDGE_CONFIG").env("TMPDIR", &self.folder);
        shell.envs(env.iter().map(|(name, value)| (*name, value.clone())));
        let child = shell.spawn().map_err(|e| format!("{command}: {e}"))?;
        self.record.say(format!("started {name}: {command} (process {})", child.id()));
        lock(&RUNNING).push(child.id());
        Ok(Process { name: name.to_string(), child, log, record: self.record.clone() })
    }

    /// Writes a file into the temporary folder.
    pub fn write(&self, name: &str, text: &str) -> std::result::Result<PathBuf, String> {
        let path = self.folder.join(name);
        std::fs::write(&path, text).map_err(|e| e.to_string())?;
        Ok(path)
    }
}

/// The processes that run now.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// A case that takes longer ends its processes and could not run.
const TIME_LIMIT: Duration = Duration::from_secs(100);

fn start_watchdog(record: Record) {
    thread::spawn(move || {
        thread::sleep(TIME_LIMIT);
        record.say("result: the case could not run: it took too long");
        for pid in lock(&RUNNING).iter() {
            let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -KILL {pid}")).status();
        }
        std::process::exit(COULD_NOT_RUN)
    });
}

/// A process that the case has started. Dropping it kills it.
pub struct Process {
    pub name: String,
    pub child: Child,
    pub log: PathBuf,
    record: Record,
}

impl Process {
    /// Sends a signal to this process alone.
    pub fn signal(&self, name: &str) {
        self.record.say(format!("signal {name} to {}", self.name));
        let pid = self.child.id().to_string();
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {pid}")).status();
    }

    pub fn has_ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    pub fn wait(&mut self, within: Duration) -> Option<ExitStatus> {
        let end = Instant::now() + within;
        loop {
            if let Some(status) = self.has_ended() {
                self.record.say(format!("{} has ended: {status}", self.name));
                return Some(status);
            }
            if Instant::now() >= end {
                return None;
            }
            thread::sleep(ms(5));
        }
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// The largest resident memory so far, in KiB.
    pub fn peak_memory_kib(&self) -> Option<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        line.trim().trim_end_matches("kB").trim().parse().ok()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if self.has_ended().is_none() {
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
        let pid = self.child.id();
        lock(&RUNNING).retain(|running| *running != pid);
    }
}

/// A loopback address that is free now.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
}

/// A loopback address whose UDP port is free now.
pub fn free_udp_address() -> SocketAddr {
    UdpSocket::bind("127.0.0.1:0").and_then(|socket| socket.local_addr()).expect("a free port")
}

/// A message as a stand-in reads it.
#[derive(Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.path().parse().unwrap_or(0)
    }
}

/// A connection with what has been read from it and not yet used.
pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Wire { stream, buffer: Vec::new() }
    }

    pub fn connect(to: SocketAddr) -> Result<Self> {
        Ok(Wire::new(TcpStream::connect_timeout(&to, Duration::from_secs(2))?))
    }

    fn read_more(&mut self) -> Result<()> {
        let mut bytes = [0; 16 << 10];
        match self.stream.read(&mut bytes)? {
            0 => Err(ErrorKind::UnexpectedEof.into()),
            count => {
                self.buffer.extend_from_slice(&bytes[..count]);
                Ok(())
            }
        }
    }

    fn read_until(&mut self, end: &[u8]) -> Result<Vec<u8>> {
        loop {
            if let Some(at) = self.buffer.windows(end.len()).position(|window| window == end) {
                let rest = self.buffer.split_off(at + end.len());
                return Ok(std::mem::replace(&mut self.buffer, rest));
            }
            self.read_more()?;
        }
    }

    pub fn read_exactly(&mut self, count: usize) -> Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.read_more()?;
        }
        let rest = self.buffer.split_off(count);
        Ok(std::mem::replace(&mut self.buffer, rest))
    }

    /// A head, without its body.
    pub fn read_head(&mut self) -> Result<Message> {
        let head = String::from_utf8_lossy(&self.read_until(b"\r\n\r\n")?).into_owned();
        let mut lines = head.split("\r\n");
        let first_line = lines.next().unwrap_or_default().to_string();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers =
            headers.map(|(name, value)| (name.trim().to_string(), value.trim().to_string())).collect();
        Ok(Message { first_line, headers, body: Vec::new() })
    }

    /// A piece of a chunked body; `None` for the last chunk.
    pub fn read_chunk(&mut self) -> Result<Option<Vec<u8>>> {
        let line = String::from_utf8_lossy(&self.read_until(b"\r\n")?).into_owned();
        let size = line.trim().split(';').next().unwrap_or_default();
        let size =
            usize::from_str_radix(size, 16).map_err(|_| std::io::Error::from(ErrorKind::InvalidData))?;
        let mut data = self.read_exactly(size + 2)?;
        data.truncate(size);
        Ok((size > 0).then_some(data))
    }

    /// A whole message.
    pub fn read_message(&mut self) -> Result<Message> {
        let mut message = self.read_head()?;
        if message.header("transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked")) {
            while let Some(chunk) = self.read_chunk()? {
                message.body.extend(chunk);
            }
        } else if let Some(length) = message.header("content-length").and_then(|length| length.parse().ok()) {
            message.body = self.read_exactly(length)?;
        }
        Ok(message)
    }

    pub fn write(&mut self, bytes: &[u8]) -> Result<()> {
        self.stream.write_all(bytes)
    }

    /// Whether the other end has closed or reset the connection.
    pub fn has_peer_closed(&mut self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let result = self.stream.peek(&mut [0]);
        let _ = self.stream.set_nonblocking(false);
        match result {
            Ok(count) => count == 0,
            Err(e) => e.kind() != ErrorKind::WouldBlock,
        }
    }
}

/// Serves connections, each on a thread of its own, until the program ends.
pub fn serve(serve_connection: impl Fn(Wire) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    let serve_connection = Arc::new(serve_connection);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve_connection = serve_connection.clone();
            thread::spawn(move || serve_connection(Wire::new(stream)));
        }
    });
    address
}

/// A discovery agent with a list that does not change: the whole list, and a watch with an empty line every 2 s.
pub fn start_agent(list: String) -> SocketAddr {
    serve(move |mut wire| {
        while let Ok(request) = wire.read_message() {
            let is_watch = request.path().contains("stream=1");
            if !is_watch {
                let head = format!(
                    "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                    list.len()
                );
                if wire.write(format!("{head}{list}").as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            if wire.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n").is_err() {
                return;
            }
            let mut line = list.clone();
            loop {
                line.push('\n');
                if wire.write(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).is_err() {
                    return;
                }
                line.clear();
                thread::sleep(Duration::from_secs(2));
            }
        }
    })
}

/// What the servers have seen of one request.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub prefills: u32,
    pub decodes: u32,
    pub out: u32,
    pub most_out: u32,
    pub releases: u32,
}

/// The servers' common book of requests.
#[derive(Clone, Default)]
pub struct Book(Arc<Mutex<std::collections::BTreeMap<String, Seen>>>);

impl Book {
    pub fn update<T>(&self, id: &str, change: impl FnOnce(&mut Seen) -> T) -> T {
        change(lock(&self.0).entry(id.to_string()).or_default())
    }

    pub fn get(&self, id: &str) -> Seen {
        lock(&self.0).get(id).cloned().unwrap_or_default()
    }

    fn begin(&self, id: &str, is_decode: bool) {
        self.update(id, |seen| {
            *if is_decode { &mut seen.decodes } else { &mut seen.prefills } += 1;
            seen.out += 1;
            seen.most_out = seen.most_out.max(seen.out);
        });
    }

    fn end(&self, id: &str) {
        self.update(id, |seen| seen.out -= 1);
    }
}

/// How a decode server answers: the time to the first event, the events, and the time between two.
#[derive(Clone, Copy)]
pub struct Pace {
    pub first: Duration,
    pub events: usize,
    pub interval: Duration,
}

fn answer(status: &str, extra: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\n{extra}content-length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// Waits unless the conductor ends the attempt meanwhile.
fn wait_while_open(wire: &mut Wire, time: Duration) -> bool {
    let end = Instant::now() + time;
    while Instant::now() < end {
        if wire.has_peer_closed() {
            return false;
        }
        thread::sleep(ms(5).min(end.saturating_duration_since(Instant::now())));
    }
    true
}

/// Answers what is no attempt; `None` for an attempt, which has an id.
fn answer_call(
    wire: &mut Wire,
    request: &Message,
    name: &str,
    book: &Book,
    record: &Record,
) -> Option<Result<()>> {
    match (request.method(), request.path()) {
        ("DELETE", path) => {
            let id = path.trim_start_matches("/state/").to_string();
            record.say(format!("server {name}: released {id}"));
            book.update(&id, |seen| seen.releases += 1);
            Some(wire.write(b"HTTP/1.1 204 No Content\r\n\r\n"))
        }
        ("GET", "/ping" | "/_load") => Some(wire.write(&answer("200 OK", "", "{\"inflight\":0,\"x0\":0.1}"))),
        _ if request.header("x-txn").is_none() => Some(wire.write(&answer("404 Not Found", "", ""))),
        _ => None,
    }
}

/// A prefill server that reads each prompt in `time`.
pub fn start_prefill(name: &'static str, time: Duration, book: Book, record: Record) -> SocketAddr {
    serve(move |mut wire| {
        while let Ok(request) = wire.read_message() {
            if let Some(result) = answer_call(&mut wire, &request, name, &book, &record) {
                if result.is_err() {
                    return;
                }
                continue;
            }
            let id = request.header("x-txn").unwrap_or_default().to_string();
            record.say(format!("server {name}: prefill of {id} begins"));
            book.begin(&id, false);
            let is_whole = wait_while_open(&mut wire, time);
            book.end(&id);
            if !is_whole || wire.write(&answer("202 Accepted", "", "{\"cached_tokens\":0}")).is_err() {
                record.say(format!("server {name}: prefill of {id} given up by the conductor"));
                return;
            }
        }
    })
}

/// How many prefills are out at a server, and the most so far.
#[derive(Clone, Default)]
pub struct Meter(Arc<Mutex<(u32, u32)>>);

impl Meter {
    pub fn reset(&self) {
        let mut counts = lock(&self.0);
        counts.1 = counts.0;
    }

    pub fn most(&self) -> u32 {
        lock(&self.0).1
    }

    fn change(&self, by: i32) {
        let mut counts = lock(&self.0);
        counts.0 = counts.0.saturating_add_signed(by);
        counts.1 = counts.1.max(counts.0);
    }
}

/// A prefill server that also counts the prefills that are out.
pub fn start_metered_prefill(
    name: &'static str,
    time: Duration,
    meter: Meter,
    book: Book,
    record: Record,
) -> SocketAddr {
    serve(move |mut wire| {
        while let Ok(request) = wire.read_message() {
            if let Some(result) = answer_call(&mut wire, &request, name, &book, &record) {
                if result.is_err() {
                    return;
                }
                continue;
            }
            meter.change(1);
            let is_whole = wait_while_open(&mut wire, time);
            meter.change(-1);
            if !is_whole || wire.write(&answer("202 Accepted", "", "{\"cached_tokens\":0}")).is_err() {
                return;
            }
        }
    })
}

/// A decode server that streams answers at a pace.
pub fn start_decode(name: &'static str, pace: Pace, book: Book, record: Record) -> SocketAddr {
    serve(move |mut wire| {
        while let Ok(request) = wire.read_message() {
            if let Some(result) = answer_call(&mut wire, &request, name, &book, &record) {
                if result.is_err() {
                    return;
                }
                continue;
            }
            let id = request.header("x-txn").unwrap_or_default().to_string();
            record.say(format!("server {name}: answer to {id} begins"));
            book.begin(&id, true);
            let sent = stream_answer(&mut wire, pace);
            book.end(&id);
            match sent {
                Ok(()) => record.say(format!("server {name}: answer to {id} is written whole")),
                Err(sent) => {
                    record.say(format!(
                        "server {name}: answer to {id} cut by the conductor after {sent} of {} events",
                        pace.events
                    ));
                    return;
                }
            }
        }
    })
}

/// Streams an answer; the error is how many events had been written when the conductor closed.
fn stream_answer(wire: &mut Wire, pace: Pace) -> std::result::Result<(), usize> {
    if !wait_while_open(wire, pace.first) {
        return Err(0);
    }
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
    wire.write(head.as_bytes()).map_err(|_| 0_usize)?;
    for index in 0..pace.events {
        if index > 0 && !wait_while_open(wire, pace.interval) {
            return Err(index);
        }
        let event = format!(
            "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"w{index} \"}},\"finish_reason\":null}}]}}\n\n"
        );
        wire.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).map_err(|_| index)?;
    }
    let end = concat!(
        "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"end\"},\"finish_reason\":\"stop\"}]}\n\n",
        "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":600,\"completion_tokens\":160}}\n\ndata: [DONE]\n\n"
    );
    wire.write(format!("{:x}\r\n{end}\r\n0\r\n\r\n", end.len()).as_bytes()).map_err(|_| pace.events)
}

/// A client's request.
pub fn request(id: &str, class: &str, remaining_ms: u64, prompt_tokens: usize, body: &str) -> Vec<u8> {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: {id}\r\nX-Lane: {class}\r\nX-Entity: s-{id}\r\n\
         X-Remaining: {remaining_ms}m\r\nX-Labels: prompt_len={prompt_tokens},prefix_len=0,max_out=400\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// How a client's request ended.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// 0 where no head of an answer came.
    pub status: u16,
    pub text: String,
    /// The answer came to its end: the last chunk, or the length that its head states.
    pub is_whole: bool,
    pub took: Duration,
}

impl Outcome {
    pub fn events(&self) -> usize {
        self.text.matches("data: ").count()
    }
}

/// Sends a request on a new connection and reads the answer for as long as it comes.
pub fn exchange(to: SocketAddr, request: &[u8], within: Duration) -> Outcome {
    let begin = Instant::now();
    let mut outcome = Outcome::default();
    let _ = exchange_into(to, request, within, &mut outcome);
    outcome.took = begin.elapsed();
    outcome
}

fn exchange_into(to: SocketAddr, request: &[u8], within: Duration, outcome: &mut Outcome) -> Result<()> {
    let mut wire = Wire::connect(to)?;
    wire.stream.set_read_timeout(Some(within))?;
    wire.write(request)?;
    let head = wire.read_head()?;
    outcome.status = head.status();
    if head.header("transfer-encoding").is_some() {
        while let Some(chunk) = wire.read_chunk()? {
            outcome.text.push_str(&String::from_utf8_lossy(&chunk));
        }
    } else if let Some(length) = head.header("content-length").and_then(|length| length.parse().ok()) {
        outcome.text = String::from_utf8_lossy(&wire.read_exactly(length)?).into_owned();
    }
    outcome.is_whole = true;
    let _ = wire.stream.shutdown(Shutdown::Both);
    Ok(())
}

/// Calls GET on a path until it answers 200; false if it does not in time.
pub fn wait_until_ok(to: SocketAddr, path: &str, within: Duration) -> bool {
    let end = Instant::now() + within;
    while Instant::now() < end {
        let call = format!("GET {path} HTTP/1.1\r\nhost: c\r\nconnection: close\r\n\r\n");
        if exchange(to, call.as_bytes(), Duration::from_secs(1)).status == 200 {
            return true;
        }
        thread::sleep(ms(20));
    }
    false
}

/// One server of a list: id, kind, address.
pub type Listed<'a> = (&'a str, &'a str, SocketAddr);

/// A list in discovery's form, all servers in one zone and rack.
pub fn list(zone: &str, servers: &[Listed]) -> String {
    let entry = |(uid, kind, address): &Listed| {
        format!(
            "{{\"uid\":\"{uid}\",\"endpoint\":\"{address}\",\"az\":\"{zone}\",\"model\":\"{kind}\",\"pod_group\":1,\
             \"state\":\"active\",\"capacity_hint\":1.0,\"boot_ms\":0}}"
        )
    };
    let entries: Vec<String> = servers.iter().map(entry).collect();
    format!("{{\"rev\":1,\"all\":true,\"targets\":[{}]}}", entries.join(","))
}

/// A conductor's configuration.
pub struct Setup<'a> {
    pub name: &'a str,
    pub listen: SocketAddr,
    pub agent: SocketAddr,
    pub memory_mb: u64,
    pub sockets: u64,
    pub list: &'a str,
    pub settings: &'a str,
}

impl Setup<'_> {
    pub fn json(&self) -> String {
        format!(
            "{{\"name\":\"{}\",\"listen\":\"{}\",\"discovery\":\"{}\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"known\":{},\"settings\":{}}}",
            self.name, self.listen, self.agent, self.memory_mb, self.sockets, self.list, self.settings
        )
    }
}

/// The settings of `bkk-booking-chat`, as the wire page shows them.
pub const BKK: &str = r#"{"balancers": 2, "callers": {"marks-retry": true}, "domain-type": "twostage",
 "feedback": {"columns": ["outstanding", "x0"], "how": "probe"},
 "grades": [{"deadline": 6000000, "dedup-scope": "all", "dedup-window": 5000000, "effect": "retryable", "late-share": 0.1, "name": "ask", "points": 3.0, "slo": 1500000, "stream": true},
  {"deadline": 15000000, "dedup-scope": "all", "dedup-window": 5000000, "effect": "fragile", "late-share": 0.2, "name": "book", "points": 2.0, "slo": 3000000, "stream": true}],
 "kinds": ["prefill", "decode"],
 "limits": {"cancel": true, "conn-idle": 30000000, "connect-timeout": 250000, "max-attempts": 4, "max-open": 20000, "max-retry-after": 2000000, "may-probe": true, "parallel-tries": false, "peers": false, "retry-after": true},
 "membership-mode": "push", "over-share-worth": 0.1, "rank": 0,
 "rules": {"ask-within": 10000000, "cold-from": 0.28, "drain-grace": 1000000, "fall": 2000000, "fall-multiple": 3.0, "grace-to-answer": 8000, "warm-within": 13000000},
 "specifics": {"aim-us-per-1000-prompt-tokens": [40000.0, 40000.0], "holds-allowed": false, "kind-role": ["read", "write"], "kv-tokens": [225677, 142841], "release": 1000000, "resume": true, "self-prefill": false, "token-aim": [60000.0, 80000.0], "transfer-price": 0.03},
 "tenants": [], "tick": 2000, "weights": "none", "worth-by": "work", "zone": "rangsit", "zones": ["bangna", "rangsit"]}"#;

/// The settings of `galway-quotes`, in the same form: three classes, and a stream that breaks is lost (`resume` false).
pub const GALWAY: &str = r#"{"balancers": 2, "callers": {"marks-retry": true}, "domain-type": "twostage",
 "feedback": {"columns": ["recent_ms", "x0", "x1"], "how": "answers"},
 "grades": [{"deadline": 7500000, "effect": "retryable", "late-share": 0.1, "name": "quote-chat", "points": 2.0, "slo": 1500000, "stream": true},
  {"deadline": 10000000, "effect": "retryable", "late-share": 0.2, "name": "policy-check", "points": 1.0, "slo": 2500000, "stream": true},
  {"deadline": 6000000, "effect": "fragile", "late-share": 0.2, "name": "quote-issue", "points": 2.0, "slo": 1500000, "stream": true}],
 "kinds": ["intake", "reply-a", "reply-b", "combined"],
 "limits": {"cancel": true, "conn-idle": 15000000, "connect-timeout": 250000, "max-attempts": 4, "max-open": 20000, "max-retry-after": 1000000, "may-probe": true, "parallel-tries": false, "peers": false, "retry-after": true},
 "membership-mode": "push", "over-share-worth": 0.1, "rank": 0,
 "rules": {"ask-within": 10000000, "cold-from": 0.26, "drain-grace": 500000, "fall": 3000000, "fall-multiple": 4.0, "grace-to-answer": 8000, "warm-within": 14000000},
 "specifics": {"aim-us-per-1000-prompt-tokens": [40000.0, 120000.0, 40000.0], "holds-allowed": true, "kind-role": ["read", "write", "write", "both"], "kv-tokens": [200000, 160000, 130000, 230000], "release": 300000, "resume": false, "self-prefill": false, "token-aim": [60000.0, 80000.0, 70000.0], "transfer-price": 0.08},
 "tenants": [], "tick": 4000, "weights": "none", "worth-by": "work", "zone": "galway-1", "zones": ["galway-1", "galway-2"]}"#;
