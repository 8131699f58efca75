//! Clients: most wait for their answer, some leave, some stop in the midst of a request and stay.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::oracle::{Oracle, Told};

/// A bad client gets its error or close within this time, and what the machine adds.
const BAD_CLIENT_WITHIN: Duration = Duration::from_millis(3_000 + 300);
/// No stream takes longer.
const STREAM_MOST: Duration = Duration::from_secs(10);

/// How a client behaves.
#[derive(Clone, Copy, Debug)]
pub enum Manner {
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
pub struct Ask {
    /// Its id.
    pub id: String,
    /// Which conductor, and where that listens.
    pub conductor: usize,
    /// Where it listens.
    pub to: SocketAddr,
    /// May not run twice.
    pub fragile: bool,
    /// How long its client waits for the first token.
    pub budget: Duration,
    /// How it behaves.
    pub manner: Manner,
}

impl Ask {
    fn text(&self) -> String {
        let (class, id) = (if self.fragile { "book" } else { "ask" }, &self.id);
        let budget = self.budget.as_millis();
        format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nx-txn: {id}\r\nx-lane: {class}\r\n\
             x-entity: s-{id}\r\nx-remaining: {budget}m\r\nx-labels: prompt_len=600,max_out=100\r\n\
             content-length: 2\r\n\r\n{{}}"
        )
    }

    /// Makes the request, and tells the oracle what came of it.
    pub async fn run(self, oracle: Oracle) {
        // The front has not noticed yet that a process is gone: that is no request.
        let Ok(Ok(stream)) = timeout(self.budget, TcpStream::connect(self.to)).await else { return };
        if stream.set_nodelay(true).is_err() {
            return;
        }
        match self.manner {
            Manner::Stops => self.stops(stream, &self.text()[..60], &oracle).await,
            _ => self.asks(stream, &oracle).await,
        }
    }

    /// Makes the request on a connection; says whether that stays open. One that is not `new` has brought
    /// answers before, so that its end may cross the request.
    pub async fn run_on(&self, stream: &mut TcpStream, new: bool, oracle: &Oracle) -> bool {
        oracle.asked(&self.id, self.conductor, self.fragile, self.budget);
        let answered = timeout(self.budget + STREAM_MOST, self.exchange(stream)).await;
        let Ok((told, open)) = answered else { return false };
        oracle.told(&self.id, if told == Told::Nothing && !new { Told::Crossed } else { told });
        open
    }

    async fn exchange(&self, stream: &mut TcpStream) -> (Told, bool) {
        if stream.write_all(self.text().as_bytes()).await.is_err() {
            return (Told::Nothing, false);
        }
        read_answer(stream).await
    }

    async fn asks(&self, mut stream: TcpStream, oracle: &Oracle) {
        oracle.asked(&self.id, self.conductor, self.fragile, self.budget);
        let asked = self.exchange(&mut stream);
        let (told, open) = match self.manner {
            Manner::Leaves(after) => match timeout(after, asked).await {
                Ok(answered) => answered,
                Err(_) => {
                    oracle.gone(&self.id);
                    return;
                }
            },
            _ => match timeout(self.budget + STREAM_MOST, asked).await {
                Ok(answered) => answered,
                Err(_) => return,
            },
        };
        oracle.told(&self.id, told);
        if open && matches!(self.manner, Manner::StopsAgain) {
            self.stops(stream, "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n", oracle).await;
        }
    }

    /// Sends a part of a request, and waits for the end.
    async fn stops(&self, mut stream: TcpStream, part: &str, oracle: &Oracle) {
        if stream.write_all(part.as_bytes()).await.is_err() {
            return;
        }
        let begin = Instant::now();
        let mut rest = Vec::new();
        if timeout(BAD_CLIENT_WITHIN, stream.read_to_end(&mut rest)).await.is_err() {
            let (id, manner) = (&self.id, self.manner);
            oracle.violation(format!("bad client: {id}: {manner:?}: nothing after {:?}", begin.elapsed()));
        }
    }
}

/// Reads one answer; says whether its connection stays open.
async fn read_answer(stream: &mut TcpStream) -> (Told, bool) {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let head = head.to_ascii_lowercase();
            let open = !head.contains("connection: close");
            let status: u16 = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
            let length = head.lines().find_map(|line| line.strip_prefix("content-length: ")?.parse().ok());
            let whole = match length {
                Some(length) => body.len() >= length,
                None => body.ends_with("0\r\n\r\n"),
            };
            match (status, whole) {
                (200, true) => return (Told::Served, open),
                (429 | 503, true) => return (Told::Refused, open),
                (_, true) => return (Told::Failed, open),
                _ => {}
            }
        }
        match stream.read_buf(&mut bytes).await {
            Ok(1..) => {}
            _ if text.contains("\r\n\r\n") => return (Told::Broken, false),
            _ => return (Told::Nothing, false),
        }
    }
}
