//! A discovery agent: it has one list, answers at once, and keeps watches open with an empty line every 2 s.

use std::io::{Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::http::Reader;

/// One instance of the list.
#[derive(Clone)]
pub struct Entry {
    pub uid: String,
    pub endpoint: SocketAddr,
    pub zone: String,
    pub model: String,
    pub rack: u32,
    pub state: &'static str,
    pub boot_ms: u64,
}

impl Entry {
    pub fn json(&self) -> String {
        let Entry { uid, endpoint, zone, model, rack, state, boot_ms } = self;
        format!(
            r#"{{"uid":"{uid}","endpoint":"{endpoint}","az":"{zone}","model":"{model}","pod_group":{rack},"#
        ) + &format!(r#""state":"{state}","capacity_hint":1.0,"boot_ms":{boot_ms}}}"#)
    }
}

/// A list in discovery's form.
pub fn list_json(rev: u64, all: bool, entries: &[Entry]) -> String {
    let targets: Vec<String> = entries.iter().map(Entry::json).collect();
    format!(r#"{{"rev":{rev},"all":{all},"targets":[{}]}}"#, targets.join(","))
}

#[derive(Default)]
struct State {
    rev: u64,
    entries: Vec<Entry>,
}

/// A running agent. Clones share its list.
#[derive(Clone)]
pub struct Agent {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Agent {
    pub fn start(entries: Vec<Entry>) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = Arc::new(Mutex::new(State { rev: 1, entries }));
        let agent = Agent { address: listener.local_addr()?, state };
        let accepting = agent.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let agent = accepting.clone();
                spawn(move || drop(agent.serve(stream)));
            }
        });
        Ok(agent)
    }

    /// Changes the list.
    pub fn change(&self, change: impl FnOnce(&mut Vec<Entry>)) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.rev += 1;
        change(&mut state.entries);
    }

    /// The whole list and its version.
    pub fn list(&self) -> (u64, String) {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        (state.rev, list_json(state.rev, true, &state.entries))
    }

    fn serve(&self, stream: TcpStream) -> Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = Reader::new(stream);
        loop {
            let head = reader.head()?;
            let target = head.word(1).to_string();
            if !target.contains("stream=1") {
                let (_, list) = self.list();
                write!(writer, "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{list}", list.len())?;
                continue;
            }
            let index = target.split("index=").nth(1).and_then(|rev| rev.split('&').next()?.parse().ok());
            let mut sent: u64 = index.unwrap_or(0);
            writer.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")?;
            let mut line_due = Instant::now() + Duration::from_secs(2);
            loop {
                let (rev, list) = self.list();
                if rev != sent {
                    sent = rev;
                    write!(writer, "{:x}\r\n{list}\n\r\n", list.len() + 1)?;
                } else if Instant::now() >= line_due {
                    writer.write_all(b"1\r\n\n\r\n")?;
                } else {
                    sleep(Duration::from_millis(10));
                    continue;
                }
                line_due = Instant::now() + Duration::from_secs(2);
            }
        }
    }
}
