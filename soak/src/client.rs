//! Clients: most wait for their answer, some leave early, and some stop within a request and stay connected.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::oracle::{ClientResult, Oracle};

/// A client that stops within a request gets an error or a close within 3 s; 300 ms allow for this machine.
const BAD_CLIENT_TIMEOUT: Duration = Duration::from_millis(3_000 + 300);
/// The longest that an answer streams, beyond the budget for its first token.
const MAX_STREAM_DURATION: Duration = Duration::from_secs(10);

/// How a client behaves. The report prints `Stops` and `StopsAgain` by name.
#[derive(Clone, Copy, Debug)]
pub enum ClientBehavior {
    /// Waits for its whole answer.
    Waits,
    /// Closes its connection after this time.
    Leaves(Duration),
    /// Closes its connection after this time, and sends the request again under its id after the second one.
    ComesAgain(Duration, Duration),
    /// Sends part of a request, and stays connected.
    Stops,
    /// Completes a request, sends part of a head on the same connection, and stays connected.
    StopsAgain,
}

/// One request to send.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// The id of the request.
    pub id: String,
    /// Index of the conductor that receives it.
    pub conductor: usize,
    /// Where that conductor listens.
    pub address: SocketAddr,
    /// Whether the request must not run twice.
    pub is_fragile: bool,
    /// How long the client waits for the first token.
    pub budget: Duration,
    /// How the client behaves.
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

    /// Sends the request on a new connection, and records its result at the oracle.
    pub async fn send(self, oracle: Oracle) {
        // The front end may not know yet that a process is gone: a failed connection is not a request.
        let Ok(Ok(stream)) = timeout(self.budget, TcpStream::connect(self.address)).await else { return };
        if stream.set_nodelay(true).is_err() {
            return;
        }
        match self.behavior {
            ClientBehavior::Stops => self.send_partial(stream, &self.to_http()[..60], &oracle).await,
            ClientBehavior::ComesAgain(leaves_after, pause) => {
                self.send_twice(stream, leaves_after, pause, &oracle).await
            }
            _ => self.send_on_new_connection(stream, &oracle).await,
        }
    }

    /// Sends the request, leaves, and sends it again under the same id.
    async fn send_twice(
        &self,
        mut stream: TcpStream,
        leaves_after: Duration,
        pause: Duration,
        oracle: &Oracle,
    ) {
        oracle.record_request(&self.id, self.conductor, self.is_fragile, self.budget);
        if let Ok((result, _)) = timeout(leaves_after, self.exchange(&mut stream)).await {
            return oracle.record_result(&self.id, result);
        }
        oracle.record_client_left(&self.id);
        drop(stream);
        sleep(pause).await;
        let Ok(Ok(mut stream)) = timeout(self.budget, TcpStream::connect(self.address)).await else { return };
        oracle.record_return(&self.id);
        let exchanged = timeout(self.budget + MAX_STREAM_DURATION, self.exchange(&mut stream)).await;
        if let Ok((result, _)) = exchanged {
            oracle.record_result(&self.id, result);
        }
    }

    /// Sends the request on a connection, and returns whether that stays open. A connection that is not new
    /// has carried answers before, so that the conductor may close it while the request is on its way.
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
        read_answer(stream, &self.id).await
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

    /// Sends part of a request, and waits for the conductor to end the connection.
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

/// Whether an answer holds an event of another request.
fn has_foreign_event(body: &str, id: &str) -> bool {
    let ids = body.split("\"of\":\"").skip(1).filter_map(|rest| rest.split_once('"'));
    ids.into_iter().any(|(of, _)| of != id)
}

/// Reads one answer, and returns whether its connection stays open.
async fn read_answer(stream: &mut TcpStream, id: &str) -> (ClientResult, bool) {
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
                _ if has_foreign_event(body, id) => return (ClientResult::Foreign, false),
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
