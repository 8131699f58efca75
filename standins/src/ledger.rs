//! Stand-in servers that keep one account for all of a fleet: what was held for each request, for how long
//! nobody had taken it or let it go, and how often a writer ran it. What conductors did is counted here, not
//! asked of them.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use frosttrail_transfer::wire::RequestId;
use hyper::Response;
use tokio::time::{sleep, Instant};
use tokio_util::task::AbortOnDropHandle;

use crate::http::{answer, serve, turned_away, Body};

/// What one request has come to.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestRecord {
    /// Since when a state waits that nobody has taken.
    pub held_since: Option<Instant>,
    /// The longest that one waited.
    pub longest_hold: Duration,
    /// How often a writer ran it.
    pub decode_runs: u32,
}

impl RequestRecord {
    /// The state is taken or let go of; false where none was held.
    fn ends(&mut self) -> bool {
        let since = self.held_since.take();
        self.longest_hold = self.longest_hold.max(since.map_or(Duration::ZERO, |at| at.elapsed()));
        since.is_some()
    }
}

/// The account of a fleet; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Ledger(Arc<Mutex<HashMap<RequestId, RequestRecord>>>);

impl Ledger {
    fn with<T>(&self, id: &RequestId, f: impl FnOnce(&mut RequestRecord) -> T) -> T {
        f(self.0.lock().unwrap_or_else(|e| e.into_inner()).entry(id.clone()).or_default())
    }

    /// All requests that reached a server.
    pub fn records(&self) -> HashMap<RequestId, RequestRecord> {
        self.0.lock().unwrap_or_else(|e| e.into_inner()).clone()
    }
}

/// A server of the fleet. Dropping it ends it, as a crash would.
pub struct StubServer {
    /// Where conductors send requests.
    pub http_address: SocketAddr,
    _serving: AbortOnDropHandle<()>,
}

impl StubServer {
    /// A reader that takes so long for a prompt.
    pub async fn start_prefill(ledger: &Ledger, takes: Duration) -> io::Result<Self> {
        Self::start(ledger, move |ledger, id| async move {
            sleep(takes).await;
            ledger.with(&id, |account| account.held_since = Some(Instant::now()));
            answer(202, false, "{\"cached_tokens\":0}")
        })
        .await
    }

    /// A writer that takes so long to its first token; one without the state turns the request away.
    pub async fn start_decode(ledger: &Ledger, takes: Duration) -> io::Result<Self> {
        Self::start(ledger, move |ledger, id| async move {
            let there = ledger.with(&id, |account| {
                let there = account.ends();
                account.decode_runs += u32::from(there);
                there
            });
            if !there {
                return turned_away(410);
            }
            sleep(takes).await;
            let mut response = answer(200, false, "data: {\"choices\":[]}\n\ndata: [DONE]\n\n");
            let kind = hyper::header::HeaderValue::from_static("text/event-stream");
            response.headers_mut().insert("content-type", kind);
            response
        })
        .await
    }

    async fn start<F, R>(ledger: &Ledger, does: F) -> io::Result<Self>
    where
        F: Fn(Ledger, RequestId) -> R + Clone + Send + Sync + 'static,
        R: std::future::Future<Output = Response<Body>> + Send + 'static,
    {
        let (here, books) = (ledger.clone(), ledger.clone());
        let lets_go = move |id: &RequestId| {
            here.with(id, RequestRecord::ends);
        };
        let (http_address, serving) = serve(lets_go, move |id, _: Bytes| does(books.clone(), id)).await?;
        Ok(StubServer { http_address, _serving: serving })
    }
}
