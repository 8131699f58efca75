//! Clients: most wait for their answer, some leave, some stop in the midst of a request and stay.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::oracle::{ClientResult, Oracle};

/// A bad client gets its error or close within this time, and what the machine adds.
const BAD_CLIENT_TIMEOUT: Duration = Duration::from_millis(3_000 + 300);
/// No stream takes longer.
const MAX_STREAM_DURATION: Duration = Duration::from_secs(10);

/// How a client behaves.
#[derive(Clone, Copy, Debug)]
pub enum ClientBehavior {
    /// Waits for the end of its answer.
    Waits,
    /// Closes its connection after so long.
    Leaves(Duration),
    /// Sends half of a request, and stays.
    Stops,
    /// Asks once, and then sends half of a head on the same connection, and stays.
    StopsAgain,
}

/// One request to be made.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Its id.
    pub id: String,
    /// Which conductor, and where that listens.
    pub conductor: usize,
    /// Where it listens.
    pub address: SocketAddr,
    /// May not run twice.
    pub is_fragile: bool,
    /// How long its client waits for the first token.
    pub budget: Duration,
    /// How it behaves.
    pub behavior: ClientBehavior,
}

impl ClientRequest {
    fn to_http(&self) -> String {
        let (class, id) = (if self.is_fragile { "book" } else { "ask" }, &self.id);
        let budget = self.budget.as_millis();
        format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nx-txn: {id}\r\nx-lane: {class}\r\n\
             x-entity: s-{id}\r\nx-remaining: {budget}m\r\nx-labels: prompt_len=600,max_out=100\r\n\
             content-length: 2\r\n\r\n{{}}"
        )
    }

    /// Makes the request, and tells the oracle what came of it.
    pub async fn send(self, oracle: Oracle) {
        // The front has not noticed yet that a process is gone: that is no request.
        let Ok(Ok(stream)) = timeout(self.budget, TcpStream::connect(self.address)).await else { return };
        if stream.set_nodelay(true).is_err() {
            return;
        }
        match self.behavior {
            ClientBehavior::Stops => self.send_partial(stream, &self.to_http()[..60], &oracle).await,
            _ => self.send_on_new_connection(stream, &oracle).await,
        }
    }

    /// Makes the request on a connection; says whether that stays open. One that is not `new` has brought
    /// answers before, so that its end may cross the request.
    pub async fn send_on(&self, stream: &mut TcpStream, is_new: bool, oracle: &Oracle) -> bool {
        oracle.record_request(&self.id, self.conductor, self.is_fragile, self.budget);
        let exchanged = timeout(self.budget + MAX_STREAM_DURATION, self.exchange(stream)).await;
        let Ok((result, stays_open)) = exchanged else { return false };
        oracle.record_result(
            &self.id,
            if result == ClientResult::Nothing && !is_new { ClientResult::Crossed } else { result },
        );
        stays_open
    }

    async fn exchange(&self, stream: &mut TcpStream) -> (ClientResult, bool) {
        if stream.write_all(self.to_http().as_bytes()).await.is_err() {
            return (ClientResult::Nothing, false);
        }
        read_answer(stream).await
    }

    async fn send_on_new_connection(&self, mut stream: TcpStream, oracle: &Oracle) {
        oracle.record_request(&self.id, self.conductor, self.is_fragile, self.budget);
        let exchange = self.exchange(&mut stream);
        let (result, stays_open) = match self.behavior {
            ClientBehavior::Leaves(after) => match timeout(after, exchange).await {
                Ok(exchanged) => exchanged,
                Err(_) => {
                    oracle.record_client_left(&self.id);
                    return;
                }
            },
            _ => match timeout(self.budget + MAX_STREAM_DURATION, exchange).await {
                Ok(exchanged) => exchanged,
                Err(_) => return,
            },
        };
        oracle.record_result(&self.id, result);
        if stays_open && matches!(self.behavior, ClientBehavior::StopsAgain) {
            self.send_partial(stream, "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n", oracle).await;
        }
    }

    /// Sends a part of a request, and waits for the end.
    async fn send_partial(&self, mut stream: TcpStream, text: &str, oracle: &Oracle) {
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
        let start = Instant::now();
        let mut rest = Vec::new();
        if timeout(BAD_CLIENT_TIMEOUT, stream.read_to_end(&mut rest)).await.is_err() {
            let (id, behavior) = (&self.id, self.behavior);
            oracle.record_violation(format!(
                "bad client: {id}: {behavior:?}: nothing after {:?}",
                start.elapsed()
            ));
        }
    }
}

/// Reads one answer; says whether its connection stays open.
async fn read_answer(stream: &mut TcpStream) -> (ClientResult, bool) {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let head = head.to_ascii_lowercase();
            let stays_open = !head.contains("connection: close");
            let status: u16 = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
            let length = head.lines().find_map(|line| line.strip_prefix("content-length: ")?.parse().ok());
            let is_complete = match length {
                Some(length) => body.len() >= length,
                None => body.ends_with("0\r\n\r\n"),
            };
            match (status, is_complete) {
                (200, true) => return (ClientResult::Served, stays_open),
                (429 | 503, true) => return (ClientResult::Refused, stays_open),
                (_, true) => return (ClientResult::Failed, stays_open),
                _ => {}
            }
        }
        match stream.read_buf(&mut bytes).await {
            Ok(1..) => {}
            _ if text.contains("\r\n\r\n") => return (ClientResult::Broken, false),
            _ => return (ClientResult::Nothing, false),
        }
    }
}
