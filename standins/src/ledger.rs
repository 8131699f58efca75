//! Stub servers that record, in one ledger for a whole fleet, how long the KV cache of each request waited to
//! be claimed or released, and how often a decode server ran the request. Tests judge conductors by this
//! ledger, not by what conductors report.

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

use crate::http::{rejection, response_with, serve, Body};

/// What the servers of a fleet have seen of one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestRecord {
    /// Since when a KV cache is held that is neither claimed nor released.
    pub held_since: Option<Instant>,
    /// The longest that one was held.
    pub longest_hold: Duration,
    /// How often a decode server ran the request.
    pub decode_runs: u32,
}

impl RequestRecord {
    /// Ends the hold of the KV cache, as it is claimed or released. Returns false if none was held.
    fn end_hold(&mut self) -> bool {
        let since = self.held_since.take();
        self.longest_hold = self.longest_hold.max(since.map_or(Duration::ZERO, |at| at.elapsed()));
        since.is_some()
    }
}

/// The records of a fleet's requests, by id. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Ledger(Arc<Mutex<HashMap<RequestId, RequestRecord>>>);

impl Ledger {
    fn update<T>(&self, id: &RequestId, f: impl FnOnce(&mut RequestRecord) -> T) -> T {
        f(self.0.lock().unwrap_or_else(|e| e.into_inner()).entry(id.clone()).or_default())
    }

    /// Returns a record for each request that reached a server.
    pub fn records(&self) -> HashMap<RequestId, RequestRecord> {
        self.0.lock().unwrap_or_else(|e| e.into_inner()).clone()
    }
}

/// A stub server of a fleet. Dropping it closes its connections, as a crash would.
pub struct StubServer {
    /// Where the server listens for requests of conductors.
    pub http_address: SocketAddr,
    _serving: AbortOnDropHandle<()>,
}

impl StubServer {
    /// Starts a prefill server that answers after `delay`.
    pub async fn start_prefill(ledger: &Ledger, delay: Duration) -> io::Result<Self> {
        Self::start(ledger, move |ledger, id| async move {
            sleep(delay).await;
            ledger.update(&id, |record| record.held_since = Some(Instant::now()));
            response_with(202, false, "{\"cached_tokens\":0}")
        })
        .await
    }

    /// Starts a decode server that sends its whole answer after `delay`, and rejects a request whose KV cache
    /// is not held.
    pub async fn start_decode(ledger: &Ledger, delay: Duration) -> io::Result<Self> {
        Self::start(ledger, move |ledger, id| async move {
            let was_held = ledger.update(&id, |record| {
                let was_held = record.end_hold();
                record.decode_runs += u32::from(was_held);
                was_held
            });
            if !was_held {
                return rejection(410);
            }
            sleep(delay).await;
            let mut response = response_with(200, false, "data: {\"choices\":[]}\n\ndata: [DONE]\n\n");
            let content_type = hyper::header::HeaderValue::from_static("text/event-stream");
            response.headers_mut().insert("content-type", content_type);
            response
        })
        .await
    }

    async fn start<F, R>(ledger: &Ledger, handle_request: F) -> io::Result<Self>
    where
        F: Fn(Ledger, RequestId) -> R + Clone + Send + Sync + 'static,
        R: std::future::Future<Output = Response<Body>> + Send + 'static,
    {
        let (release_ledger, request_ledger) = (ledger.clone(), ledger.clone());
        let release_kv_cache = move |id: &RequestId| {
            release_ledger.update(id, RequestRecord::end_hold);
        };
        let (http_address, serving) =
            serve(release_kv_cache, move |id, _: Bytes| handle_request(request_ledger.clone(), id)).await?;
        Ok(StubServer { http_address, _serving: serving })
    }
}
