//! Discovery's agent on each conductor's machine: the list, and a watch that tells changes. While it is
//! silent it answers nothing; what hangs there is answered as it comes back.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use serde_json::{json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;
use tokio_util::task::AbortOnDropHandle;

/// An empty line comes this often where nothing changes.
const PULSE: Duration = Duration::from_secs(2);

/// The list of servers: each as its line for one conductor, and its version.
#[derive(Clone, Debug, Default)]
pub struct List {
    /// Grows with each change.
    pub rev: u64,
    /// A line for each server.
    pub targets: Vec<Value>,
}

impl List {
    /// The whole list as discovery words it: without the servers that are not listed for now.
    pub fn whole(&self) -> Value {
        let targets: Vec<&Value> = self.targets.iter().filter(|line| line["state"] != "left").collect();
        json!({"rev": self.rev, "all": true, "targets": targets})
    }
}

/// An agent. Dropping it ends it.
pub struct Agent {
    /// Where it listens.
    pub address: SocketAddr,
    list: watch::Sender<List>,
    silent: watch::Sender<bool>,
    _accepting: AbortOnDropHandle<()>,
}

impl Agent {
    /// Starts one with this list.
    pub async fn start(list: List) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (list, silent) = (watch::Sender::new(list), watch::Sender::new(false));
        let (lists, silences) = (list.clone(), silent.clone());
        let accepting = tokio::spawn(async move {
            let tasks: Arc<Mutex<Vec<AbortOnDropHandle<()>>>> = Arc::default();
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                let serving = serve(stream, lists.subscribe(), silences.subscribe());
                let task = AbortOnDropHandle::new(tokio::spawn(async move {
                    // A caller that has gone is no fault.
                    let _ = serving.await;
                }));
                let mut tasks = tasks.lock().unwrap_or_else(PoisonError::into_inner);
                tasks.retain(|task| !task.is_finished());
                tasks.push(task);
            }
        });
        Ok(Agent { address, list, silent, _accepting: AbortOnDropHandle::new(accepting) })
    }

    /// Changes the list.
    pub fn change(&self, change: impl FnOnce(&mut List)) {
        self.list.send_modify(|list| {
            change(list);
            list.rev += 1;
        });
    }

    /// The list as it is.
    pub fn list(&self) -> List {
        self.list.borrow().clone()
    }

    /// Falls silent, or comes back.
    pub fn silence(&self, silent: bool) {
        self.silent.send_replace(silent);
    }
}

/// The lines that have changed, as the watch tells them. Lists hold the same servers in the same order; one
/// that is not listed for now has the state `left`.
fn changes(before: &List, now: &List) -> Value {
    let changed = now.targets.iter().zip(&before.targets).filter(|(now, before)| now != before);
    let targets: Vec<&Value> = changed.map(|(now, _)| now).collect();
    json!({"rev": now.rev, "all": false, "targets": targets})
}

async fn serve(
    mut stream: TcpStream,
    mut list: watch::Receiver<List>,
    mut silent: watch::Receiver<bool>,
) -> std::io::Result<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read_buf(&mut head).await? == 0 {
            return Ok(());
        }
    }
    let watches = String::from_utf8_lossy(&head).contains("stream=1");
    let _ = silent.wait_for(|silent| !silent).await;
    let whole = |list: &List| list.whole().to_string();
    let mut told = list.borrow_and_update().clone();
    let first = whole(&told);
    if !watches {
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{first}", first.len());
        return stream.write_all(answer.as_bytes()).await;
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n").await?;
    let mut line = first;
    loop {
        line.push('\n');
        stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).await?;
        line = match timeout(PULSE, list.changed()).await {
            Ok(Ok(())) => String::from("changed"),
            Ok(Err(_)) => return Ok(()),
            Err(_) => String::new(),
        };
        let _ = silent.wait_for(|silent| !silent).await;
        if !line.is_empty() {
            let now = list.borrow_and_update().clone();
            line = changes(&told, &now).to_string();
            told = now;
        }
    }
}
