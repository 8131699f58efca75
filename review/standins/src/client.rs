//! A client of the platform's front.

use std::io::{Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::Reader;

/// A request of the platform's protocol, as its client writes it.
pub fn request(id: &str, class: &str, session: &str, remaining_ms: u64, prompt_tokens: usize) -> Vec<u8> {
    let content = "word ".repeat(prompt_tokens * 4 / 5);
    let body = format!(
        r#"{{"model":"chat","stream":true,"max_tokens":300,"messages":[{{"role":"user","content":"{content}"}}]}}"#
    );
    let labels = format!("prompt_len={prompt_tokens},prefix_len=0,max_out=300");
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: {id}\r\nX-Lane: {class}\r\n"
    ) + &format!("X-Entity: {session}\r\nX-Remaining: {remaining_ms}m\r\nX-Labels: {labels}\r\n")
        + &format!("Content-Type: application/json\r\nContent-Length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body.as_bytes());
    bytes
}

/// How an answer ended.
#[derive(Clone, Debug)]
pub enum Answer {
    /// A status other than 200, with its whole body.
    Status(u16),
    /// A stream to its last chunk.
    Whole(Vec<String>),
    /// A stream that ended without its last chunk, after these events.
    Cut(Vec<String>),
    /// The connection ended with no answer.
    None,
    /// Nothing came for the time that the client waits at most.
    Silence,
}

impl Answer {
    /// In a few words.
    pub fn summary(&self) -> String {
        match self {
            Answer::Status(status) => format!("status {status}"),
            Answer::Whole(events) => format!("200, whole, {} events", events.len()),
            Answer::Cut(events) => format!("200, cut off after {} events", events.len()),
            Answer::None => "the connection ended with no answer".into(),
            Answer::Silence => "no answer, and the connection is open".into(),
        }
    }
}

/// A client's connection.
pub struct Client {
    pub reader: Reader,
    writer: TcpStream,
}

impl Client {
    pub fn connect(to: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect(to)?;
        stream.set_nodelay(true)?;
        Ok(Client { writer: stream.try_clone()?, reader: Reader::new(stream) })
    }

    pub fn send(&mut self, bytes: &[u8]) -> Result<()> {
        self.writer.write_all(bytes)
    }

    /// Reads one answer; gives up after this time without a byte.
    pub fn answer(&mut self, patience: Duration) -> Answer {
        let _ = self.reader.stream.set_read_timeout(Some(patience));
        let begin = Instant::now();
        let no_answer = || if begin.elapsed() >= patience { Answer::Silence } else { Answer::None };
        let Ok(head) = self.reader.head() else { return no_answer() };
        let status: u16 = head.word(1).parse().unwrap_or(0);
        if head.header("transfer-encoding").is_none() {
            return match self.reader.body(&head) {
                Ok(_) => Answer::Status(status),
                Err(_) => Answer::None,
            };
        }
        let mut text = Vec::new();
        loop {
            match self.reader.chunk() {
                Ok(Some(data)) => text.extend_from_slice(&data),
                end => {
                    let text = String::from_utf8_lossy(&text).into_owned();
                    let events = text.split("\n\n").filter(|e| !e.is_empty()).map(str::to_string).collect();
                    return if end.is_ok() { Answer::Whole(events) } else { Answer::Cut(events) };
                }
            }
        }
    }
}
