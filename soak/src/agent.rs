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
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// The list of servers: each as its line for one conductor, and its version.
#[derive(Clone, Debug, Default)]
pub struct ServerList {
    /// Grows with each change.
    pub revision: u64,
    /// A line for each server.
    pub targets: Vec<Value>,
}

impl ServerList {
    /// The whole list as discovery words it: without the servers that are not listed for now.
    pub fn to_json(&self) -> Value {
        let targets: Vec<&Value> = self.targets.iter().filter(|line| line["state"] != "left").collect();
        json!({"rev": self.revision, "all": true, "targets": targets})
    }
}

/// An agent. Dropping it ends it.
pub struct DiscoveryAgent {
    /// Where it listens.
    pub address: SocketAddr,
    list: watch::Sender<ServerList>,
    is_silent: watch::Sender<bool>,
    _accepting: AbortOnDropHandle<()>,
}

impl DiscoveryAgent {
    /// Starts one with this list.
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
                    // A caller that has gone is no fault.
                    let _ = serving.await;
                }));
                let mut tasks = tasks.lock().unwrap_or_else(PoisonError::into_inner);
                tasks.retain(|task| !task.is_finished());
                tasks.push(task);
            }
        });
        Ok(DiscoveryAgent { address, list, is_silent, _accepting: AbortOnDropHandle::new(accepting) })
    }

    /// Changes the list.
    pub fn update(&self, edit: impl FnOnce(&mut ServerList)) {
        self.list.send_modify(|list| {
            edit(list);
            list.revision += 1;
        });
    }

    /// The list as it is.
    pub fn list(&self) -> ServerList {
        self.list.borrow().clone()
    }

    /// Falls silent, or comes back.
    pub fn set_silent(&self, is_silent: bool) {
        self.is_silent.send_replace(is_silent);
    }
}

/// The lines that have changed, as the watch tells them. Lists hold the same servers in the same order; one
/// that is not listed for now has the state `left`.
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
