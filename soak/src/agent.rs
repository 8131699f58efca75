//! A stub of the discovery agent on a conductor's machine: serves the list of servers, and a watch stream of
//! its changes. While silent it answers nothing; requests that wait are answered once it is back.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use serde_json::{json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;
use tokio_util::task::AbortOnDropHandle;

/// Interval of the empty lines on a watch stream without changes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// The servers as one agent lists them, with a revision.
#[derive(Clone, Debug, Default)]
pub struct ServerList {
    /// Incremented with each change.
    pub revision: u64,
    /// The entry of each server.
    pub targets: Vec<Value>,
}

impl ServerList {
    /// Returns the full list in discovery's format, without servers in the state `left`.
    pub fn to_json(&self) -> Value {
        let targets: Vec<&Value> = self.targets.iter().filter(|line| line["state"] != "left").collect();
        json!({"rev": self.revision, "all": true, "targets": targets})
    }
}

/// A running agent. Dropping it closes its connections.
pub struct DiscoveryAgent {
    /// Where the agent listens.
    pub address: SocketAddr,
    list: watch::Sender<ServerList>,
    is_silent: watch::Sender<bool>,
    _accepting: AbortOnDropHandle<()>,
}

impl DiscoveryAgent {
    /// Starts an agent with this list.
    pub async fn start(list: ServerList) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (list, is_silent) = (watch::Sender::new(list), watch::Sender::new(false));
        let (served_list, served_silence) = (list.clone(), is_silent.clone());
        let accepting = tokio::spawn(async move {
            let tasks: Arc<Mutex<Vec<AbortOnDropHandle<()>>>> = Arc::default();
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                let serving = serve(stream, served_list.subscribe(), served_silence.subscribe());
                let task = AbortOnDropHandle::new(tokio::spawn(async move {
                    // A client that disconnects is no fault.
                    let _ = serving.await;
                }));
                let mut tasks = tasks.lock().unwrap_or_else(PoisonError::into_inner);
                tasks.retain(|task| !task.is_finished());
                tasks.push(task);
            }
        });
        Ok(DiscoveryAgent { address, list, is_silent, _accepting: AbortOnDropHandle::new(accepting) })
    }

    /// Edits the list and increments its revision.
    pub fn update(&self, edit: impl FnOnce(&mut ServerList)) {
        self.list.send_modify(|list| {
            edit(list);
            list.revision += 1;
        });
    }

    /// Returns a copy of the current list.
    pub fn list(&self) -> ServerList {
        self.list.borrow().clone()
    }

    /// Stops answering, or answers again.
    pub fn set_silent(&self, is_silent: bool) {
        self.is_silent.send_replace(is_silent);
    }
}

/// Returns the changed entries in the format of the watch stream. Both lists hold the same servers in the
/// same order; a server that is not listed at present has the state `left`.
fn changed_targets(previous: &ServerList, current: &ServerList) -> Value {
    let differing =
        current.targets.iter().zip(&previous.targets).filter(|(current, previous)| current != previous);
    let targets: Vec<&Value> = differing.map(|(current, _)| current).collect();
    json!({"rev": current.revision, "all": false, "targets": targets})
}

async fn serve(
    mut stream: TcpStream,
    mut list: watch::Receiver<ServerList>,
    mut is_silent: watch::Receiver<bool>,
) -> std::io::Result<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read_buf(&mut head).await? == 0 {
            return Ok(());
        }
    }
    let is_watch = String::from_utf8_lossy(&head).contains("stream=1");
    let _ = is_silent.wait_for(|silent| !silent).await;
    let full_list = |list: &ServerList| list.to_json().to_string();
    let mut sent_list = list.borrow_and_update().clone();
    let initial = full_list(&sent_list);
    if !is_watch {
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{initial}", initial.len());
        return stream.write_all(answer.as_bytes()).await;
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n").await?;
    let mut line = initial;
    loop {
        line.push('\n');
        stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).await?;
        line = match timeout(KEEP_ALIVE_INTERVAL, list.changed()).await {
            Ok(Ok(())) => String::from("changed"),
            Ok(Err(_)) => return Ok(()),
            Err(_) => String::new(),
        };
        let _ = is_silent.wait_for(|silent| !silent).await;
        if !line.is_empty() {
            let current = list.borrow_and_update().clone();
            line = changed_targets(&sent_list, &current).to_string();
            sent_list = current;
        }
    }
}
