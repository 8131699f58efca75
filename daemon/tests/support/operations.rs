//! Shared fixtures of the tests of operation: a deployment with its own state folder, and calls to the
//! operators' API.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use serde_json::{json, Value};
use socket2::{Domain, Protocol, Socket, Type};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

use super::*;

/// The longest time a call of an operator may take.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// The longest time to wait for a condition that comes about without further action.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// A conductor's configuration and state folder, with one prefill and one decode server.
pub struct Deployment {
    pub config: Value,
    pub folder: PathBuf,
    pub servers: [StandIn; 2],
}

impl Deployment {
    pub async fn new(name: &str) -> Self {
        let (prefill, decode) =
            (StandIn::start(PREFILL_RESPONSE).await, StandIn::start(COMPLETE_STREAM).await);
        let servers = [("p", "prefill", prefill.address), ("d", "decode", decode.address)];
        let config = config_json(name, "127.0.0.1:9", 512, &servers, &setup());
        let mut config: Value = serde_json::from_str(&config).unwrap();
        config["ops"] = json!("127.0.0.1:0");
        let folder = std::env::temp_dir().join(format!("frosttrail-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        Deployment { config, folder, servers: [prefill, decode] }
    }

    /// Starts a process, waits until it is ready, and returns it with its operators' address.
    pub async fn start(&self, name: &str) -> (DaemonProcess, SocketAddr) {
        let mut process = DaemonProcess::spawn(self.command(name));
        let line = process.wait_for_log("operators' address, at: ");
        let ops = line.split_once("at: ").unwrap().1.split(',').next().unwrap().trim();
        let ops = ops.parse().unwrap();
        process.wait_until_listening();
        wait_until_ready(ops).await;
        (process, ops)
    }
}

impl Deployment {
    /// The program with the current configuration and the deployment's state folder.
    pub fn command(&self, name: &str) -> std::process::Command {
        let mut command = program(name, &self.config.to_string());
        command.env("TMPDIR", &self.folder);
        command
    }

    /// Replaces the configuration file of a running process.
    pub fn rewrite_config(&self, name: &str, text: &str) {
        std::fs::write(config_file(name), text).unwrap();
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Reserves an address for the processes of a test, by a socket that is bound but does not listen.
pub fn reserve_address() -> (Socket, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP)).unwrap();
    socket.set_reuse_port(true).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    (socket, address)
}

/// A deployment whose processes share a listen address, and the socket that reserves it.
pub async fn deployment_with_shared_address(name: &str) -> (Deployment, Socket) {
    let mut deployment = Deployment::new(name).await;
    let (reserved, address) = reserve_address();
    deployment.config["listen"] = json!(address);
    (deployment, reserved)
}

/// Polls a process until it reports that it is ready.
pub async fn wait_until_ready(ops: SocketAddr) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while call(ops, "GET", "/api/ready", "").await.0 != 200 {
        assert!(Instant::now() < end, "the process did not become ready in time");
        sleep(Duration::from_millis(5)).await;
    }
}

/// Makes one call to the operators' API; returns the status and the body of the response.
pub async fn call(to: SocketAddr, method: &str, path: &str, body: &str) -> (u16, String) {
    let length = body.len();
    let text = format!("{method} {path} HTTP/1.1\r\nhost: ops\r\ncontent-length: {length}\r\n\r\n{body}");
    let answered = async {
        let mut stream = TcpStream::connect(to).await.unwrap();
        stream.write_all(text.as_bytes()).await.unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.unwrap();
        answer
    };
    let answer = timeout(CALL_TIMEOUT, answered).await.expect("an answer in time");
    let status = answer.split(' ').nth(1).unwrap().parse().unwrap();
    (status, answer.split_once("\r\n\r\n").unwrap().1.to_string())
}

/// Excludes a server and returns the status.
pub async fn exclude(to: SocketAddr, id: &str) -> u16 {
    call(to, "POST", "/api/exclude", id).await.0
}

/// Includes a server again and returns the status.
pub async fn include(to: SocketAddr, id: &str) -> u16 {
    call(to, "POST", "/api/include", id).await.0
}

/// A request to the platform front.
pub fn request(id: &str) -> String {
    let headers = format!(
        "x-txn: {id}\r\nx-lane: ask\r\nx-entity: s-{id}\r\nx-remaining: 700m\r\nx-labels: prompt_len=600\r\n"
    );
    post("/v1/chat/completions", &headers, "{}")
}

/// Sends requests until one is answered with this status.
pub async fn wait_for_status(to: SocketAddr, name: &str, status: u16) {
    let end = Instant::now() + WAIT_TIMEOUT;
    for attempt in 0.. {
        assert!(Instant::now() < end, "{name}: no answer with status {status} in time");
        if exchange(to, &request(&format!("{name}-{attempt}"))).await.status == status {
            return;
        }
        sleep(Duration::from_millis(20)).await;
    }
}
