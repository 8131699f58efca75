//! A prefill or decode server. What it does with an attempt is the case's: a function that gets the attempt
//! and the connection.

use std::io::{Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::http::{Head, Reader};
use crate::record::Record;

/// An attempt whose last byte has arrived.
pub struct Attempt<'a> {
    pub server: &'a str,
    pub id: String,
    pub head: Head,
    pub body: Vec<u8>,
    pub record: &'a Record,
    pub writer: &'a mut TcpStream,
}

/// What a server does with an attempt; an error ends the connection.
pub type Behavior = dyn Fn(&mut Attempt) -> Result<()> + Send + Sync;

/// Starts a server and returns its address.
pub fn start(name: &str, record: &Record, behavior: Arc<Behavior>) -> Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let (name, record) = (name.to_string(), record.clone());
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let (name, record, behavior) = (name.clone(), record.clone(), behavior.clone());
            spawn(move || drop(serve(&name, &record, stream, &*behavior)));
        }
    });
    Ok(address)
}

fn serve(name: &str, record: &Record, stream: TcpStream, behavior: &Behavior) -> Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = Reader::new(stream);
    loop {
        let head = reader.head()?;
        let body = reader.body(&head)?;
        match (head.word(0), head.word(1)) {
            ("DELETE", target) => {
                record.line(&format!("{name}: DELETE {target}"));
                writer.write_all(b"HTTP/1.1 204 No Content\r\n\r\n")?;
            }
            ("POST", "/v1/chat/completions") => {
                let id = head.header("x-txn").unwrap_or_default().to_string();
                let told = head.header("x-remaining").unwrap_or_default().to_string();
                record.line(&format!("{name}: attempt {id} has arrived, told {told}"));
                let mut attempt = Attempt { server: name, id, head, body, record, writer: &mut writer };
                behavior(&mut attempt)?;
            }
            _ => writer.write_all(b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n")?,
        }
    }
}

impl Attempt<'_> {
    /// Reads the prompt in this time and keeps its state.
    pub fn prefill(&mut self, within: Duration) -> Result<()> {
        sleep(within);
        let body = r#"{"cached_tokens":0}"#;
        write!(self.writer, "HTTP/1.1 202 Accepted\r\ncontent-length: {}\r\n\r\n{body}", body.len())?;
        self.record.line(&format!("{}: 202 to {}", self.server, self.id));
        Ok(())
    }

    fn event(&mut self, data: &str) -> Result<()> {
        let event = format!("data: {data}\n\n");
        write!(self.writer, "{:x}\r\n{event}\r\n", event.len())
    }

    /// Streams an answer: the first token after `first`, then `events` in all, one every `interval`, each with
    /// `text` in it. The last chunk follows the last event at once.
    pub fn stream(&mut self, first: Duration, events: u32, interval: Duration, text: &str) -> Result<()> {
        let begin = Instant::now() + first;
        sleep(first);
        let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
        self.writer.write_all(head.as_bytes())?;
        for n in 0..events {
            sleep((begin + interval * n).saturating_duration_since(Instant::now()));
            let (finish, id) = (if n + 1 == events { r#""stop""# } else { "null" }, self.id.clone());
            let event = format!(
                r#"{{"choices":[{{"index":0,"delta":{{"content":"{text} {n} "}},"finish_reason":{finish}}}]}}"#
            );
            if let Err(e) = self.event(&event) {
                let what =
                    format!("{}: event {n} of {events} of {id} could not be written: {e}", self.server);
                self.record.line(&what);
                return Err(e);
            }
            if n == 0 {
                self.record.line(&format!("{}: first event of {}", self.server, self.id));
            }
        }
        let usage = r#"{"choices":[],"usage":{"prompt_tokens":1000,"completion_tokens":"#.to_string()
            + &format!(r#"{events},"prompt_tokens_details":{{"cached_tokens":0}}}}}}"#);
        self.event(&usage)?;
        self.event("[DONE]")?;
        self.writer.write_all(b"0\r\n\r\n")?;
        self.record.line(&format!("{}: last chunk of {}", self.server, self.id));
        Ok(())
    }
}
