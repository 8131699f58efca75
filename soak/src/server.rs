//! Stub prefill and decode servers. They record each attempt at the oracle, and fail in ways that a run sets.
//! They write their responses themselves, as no HTTP library writes an unsound one.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;
use tokio_util::task::AbortOnDropHandle;

use crate::oracle::Oracle;

/// How long a prefill takes.
const PREFILL_DURATION: Duration = Duration::from_millis(30);
/// Time from a decode request to its first event.
const FIRST_EVENT_DELAY: Duration = Duration::from_millis(20);
/// Interval between events.
const EVENT_INTERVAL: Duration = Duration::from_millis(40);
/// Interval between the events of a slow stream; less than the 5 s after which a client counts as abandoned.
const SLOW_EVENT_INTERVAL: Duration = Duration::from_millis(900);
/// Number of events in an answer.
const EVENT_COUNT: usize = 12;
/// Number of events in a slow answer.
const SLOW_EVENT_COUNT: usize = 5;
/// How long after an answer a second one follows on its connection.
const SECOND_ANSWER_DELAY: Duration = Duration::from_millis(12);
/// For how long a spoilt stream goes on at most.
const SPOILT_STREAM_DURATION: Duration = Duration::from_secs(9);

const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";

/// How a server treats requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerMode {
    /// Serves them.
    Healthy,
    /// Takes them and never answers.
    Hanging,
    /// Rejects them.
    Full,
    /// Answers them with an error.
    Failing,
    /// Ends the stream halfway.
    Truncating,
    /// Streams slowly and soundly: events far apart, one of them in pieces.
    Slow,
    /// After some events, begins a chunk of 3 GB and goes on with events that look sound.
    HugeChunk,
    /// After some events, sends comments alone.
    Comments,
    /// After some events, sends a chunk's size line that never ends.
    EndlessSizeLine,
    /// After some events, sends noise.
    Noise,
    /// Sends a second answer right behind the first.
    AnswersTwice,
}

const MODES: [ServerMode; 11] = [
    ServerMode::Healthy,
    ServerMode::Hanging,
    ServerMode::Full,
    ServerMode::Failing,
    ServerMode::Truncating,
    ServerMode::Slow,
    ServerMode::HugeChunk,
    ServerMode::Comments,
    ServerMode::EndlessSizeLine,
    ServerMode::Noise,
    ServerMode::AnswersTwice,
];

/// A running server. Dropping it closes its connections.
pub struct Server {
    /// Where the server listens.
    pub address: SocketAddr,
    mode: Arc<AtomicU8>,
    _accepting: AbortOnDropHandle<()>,
}

impl Server {
    /// Starts the `index`-th server.
    pub async fn start(index: usize, is_decode: bool, oracle: Oracle) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let mode = Arc::new(AtomicU8::new(0));
        let handler = Handler { index, is_decode, oracle, mode: mode.clone() };
        let accepting = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                // The oracle learns how a connection ends.
                connections.spawn(handler.clone().serve(stream));
                while connections.try_join_next().is_some() {}
            }
        });
        Ok(Server { address, mode, _accepting: AbortOnDropHandle::new(accepting) })
    }

    /// Sets how the server treats requests, from the next one on.
    pub fn set_mode(&self, mode: ServerMode) {
        let index = MODES.iter().position(|known| *known == mode).unwrap_or(0);
        self.mode.store(index as u8, Ordering::Relaxed);
    }
}

/// A request as it arrived.
struct ReceivedRequest {
    head: String,
}

impl ReceivedRequest {
    /// The id that a call to release a KV cache names.
    fn released_id(&self) -> Option<&str> {
        self.head.strip_prefix("DELETE /state/")?.split(' ').next()
    }

    fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|line| line.split_once(':'));
        lines.into_iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
    }
}

/// Reads a request; `None` at the end of the connection.
async fn read_request(
    reader: &mut OwnedReadHalf,
    buffer: &mut Vec<u8>,
) -> io::Result<Option<ReceivedRequest>> {
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let request = ReceivedRequest { head: String::from_utf8_lossy(&buffer[..end]).into_owned() };
            let length = request.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
            let total: usize = end + 4 + length;
            while buffer.len() < total {
                if reader.read_buf(buffer).await? == 0 {
                    return Ok(None);
                }
            }
            buffer.drain(..total);
            return Ok(Some(request));
        }
        if reader.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
}

#[derive(Clone)]
struct Handler {
    index: usize,
    is_decode: bool,
    oracle: Oracle,
    mode: Arc<AtomicU8>,
}

/// An attempt at this server. Dropping it, at the latest when its connection closes, records its end.
struct AttemptGuard {
    oracle: Oracle,
    id: String,
    number: usize,
    never_ran: bool,
}

impl AttemptGuard {
    /// An event of the answer, which names the request.
    fn event(&self) -> String {
        format!("data: {{\"choices\":[],\"of\":\"{}\"}}\n\n", self.id)
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.oracle.record_attempt_end(&self.id, self.number, self.never_ran);
    }
}

impl Handler {
    async fn serve(self, stream: TcpStream) {
        // Fails only on a connection that has closed.
        let _ = stream.set_nodelay(true);
        let (mut reader, mut writer) = stream.into_split();
        let mut buffer = Vec::new();
        while let Ok(Some(request)) = read_request(&mut reader, &mut buffer).await {
            let is_open = tokio::select! {
                answered = self.answer(&request, &mut writer) => answered.is_ok(),
                // An attempt ends with its connection. Nothing else follows a request before its answer.
                _ = reader.read_buf(&mut buffer) => false,
            };
            if !is_open {
                return;
            }
        }
    }

    async fn answer(&self, request: &ReceivedRequest, writer: &mut OwnedWriteHalf) -> io::Result<()> {
        if let Some(id) = request.released_id() {
            self.oracle.record_released_kv_cache(id);
            return respond(writer, 204, false, "").await;
        }
        let id = request.header("x-txn").unwrap_or_default().to_string();
        let remaining =
            request.header("x-remaining").and_then(|remaining| remaining.strip_suffix('u')?.parse().ok());
        let remaining = Duration::from_micros(remaining.unwrap_or(u64::MAX));
        let number = self.oracle.record_attempt(&id, self.index, self.is_decode, remaining);
        let attempt = AttemptGuard { oracle: self.oracle.clone(), id, number, never_ran: false };
        let mode = MODES[usize::from(self.mode.load(Ordering::Relaxed)) % MODES.len()];
        match self.is_decode {
            true => self.decode(attempt, mode, writer).await,
            false => self.prefill(attempt, mode, writer).await,
        }
    }

    async fn prefill(
        &self,
        attempt: AttemptGuard,
        mode: ServerMode,
        writer: &mut OwnedWriteHalf,
    ) -> io::Result<()> {
        match mode {
            ServerMode::Hanging => std::future::pending().await,
            ServerMode::Full => reject(attempt, 503, writer).await,
            ServerMode::Failing => respond(writer, 500, false, "").await,
            _ => {
                sleep(PREFILL_DURATION).await;
                self.oracle.record_held_kv_cache(&attempt.id, attempt.number);
                drop(attempt);
                respond(writer, 202, false, "{\"cached_tokens\":0}").await
            }
        }
    }

    async fn decode(
        &self,
        attempt: AttemptGuard,
        mode: ServerMode,
        writer: &mut OwnedWriteHalf,
    ) -> io::Result<()> {
        if mode == ServerMode::Full {
            return reject(attempt, 503, writer).await;
        }
        if !self.oracle.record_released_kv_cache(&attempt.id) {
            return reject(attempt, 410, writer).await;
        }
        match mode {
            ServerMode::Hanging => std::future::pending().await,
            ServerMode::Failing => respond(writer, 500, false, "").await,
            _ => {
                sleep(FIRST_EVENT_DELAY).await;
                Stream { attempt, writer }.write(mode).await
            }
        }
    }
}

async fn reject(mut attempt: AttemptGuard, status: u16, writer: &mut OwnedWriteHalf) -> io::Result<()> {
    attempt.never_ran = true;
    drop(attempt);
    respond(writer, status, true, "").await
}

async fn respond(writer: &mut OwnedWriteHalf, status: u16, is_rejection: bool, body: &str) -> io::Result<()> {
    let rejection = if is_rejection { "x-turned-away: 1\r\n" } else { "" };
    let length = match status {
        204 => String::new(),
        _ => format!("content-length: {}\r\n", body.len()),
    };
    writer.write_all(format!("HTTP/1.1 {status} -\r\n{rejection}{length}\r\n{body}").as_bytes()).await
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// An answer that streams.
struct Stream<'a> {
    attempt: AttemptGuard,
    writer: &'a mut OwnedWriteHalf,
}

impl Stream<'_> {
    async fn write_text(&mut self, text: &str) -> io::Result<()> {
        self.writer.write_all(text.as_bytes()).await
    }

    /// Writes one sound event.
    async fn write_event(&mut self) -> io::Result<()> {
        let event = self.attempt.event();
        self.write_text(&chunk(&event)).await?;
        self.attempt.oracle.record_event(&self.attempt.id, self.attempt.number);
        Ok(())
    }

    async fn write(mut self, mode: ServerMode) -> io::Result<()> {
        self.write_text(STREAM_HEAD).await?;
        match mode {
            ServerMode::Slow => self.write_slowly().await?,
            _ => {
                let is_whole = matches!(mode, ServerMode::Healthy | ServerMode::AnswersTwice);
                for _ in 0..if is_whole { EVENT_COUNT } else { EVENT_COUNT / 2 } {
                    self.write_event().await?;
                    sleep(EVENT_INTERVAL).await;
                }
            }
        }
        match mode {
            ServerMode::Truncating => return Err(ErrorKind::ConnectionAborted.into()),
            ServerMode::HugeChunk => {
                let event = self.attempt.event();
                return self.spoil("c0000000\r\n", &event).await;
            }
            ServerMode::Comments => return self.spoil("", &chunk(": wait\n\n")).await,
            ServerMode::EndlessSizeLine => return self.spoil("", "0").await,
            ServerMode::Noise => return self.spoil("", "\u{7}\u{1b}noise").await,
            _ => {}
        }
        self.write_text(&format!("{}0\r\n\r\n", chunk("data: [DONE]\n\n"))).await?;
        self.attempt.oracle.record_stream_end(&self.attempt.id, self.attempt.number);
        if mode == ServerMode::AnswersTwice {
            let event = chunk(&self.attempt.event());
            let Stream { attempt, writer } = self;
            drop(attempt);
            sleep(SECOND_ANSWER_DELAY).await;
            let second = format!("{STREAM_HEAD}{event}{}0\r\n\r\n", chunk("data: [DONE]\n\n"));
            return writer.write_all(second.as_bytes()).await;
        }
        Ok(())
    }

    /// Writes events far apart, and one of them in two pieces.
    async fn write_slowly(&mut self) -> io::Result<()> {
        for _ in 0..SLOW_EVENT_COUNT {
            self.write_event().await?;
            sleep(SLOW_EVENT_INTERVAL).await;
        }
        let event = chunk(&self.attempt.event());
        let (begin, end) = event.split_at(event.len() / 2);
        self.write_text(begin).await?;
        sleep(SLOW_EVENT_INTERVAL).await;
        self.write_text(end).await?;
        self.attempt.oracle.record_event(&self.attempt.id, self.attempt.number);
        Ok(())
    }

    /// Writes `begin`, then `rest` again and again, and leaves the connection open.
    async fn spoil(&mut self, begin: &str, rest: &str) -> io::Result<()> {
        self.write_text(begin).await?;
        let repeats = SPOILT_STREAM_DURATION.as_millis() / EVENT_INTERVAL.as_millis();
        for _ in 0..repeats {
            self.write_text(rest).await?;
            sleep(EVENT_INTERVAL).await;
        }
        std::future::pending().await
    }
}
