//! Stub servers between which KV caches really move: a prefill server computes one from the prompt and holds
//! it in a transfer node, and a decode server fetches it and answers with tokens computed from its bytes.
//! Both speak the platform's protocol to the conductor.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use frosttrail_transfer::service::{Config, Node, ReceivedCache};
use frosttrail_transfer::wire::RequestId;
use futures_util::{stream, Stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::Response;
use slog::Logger;
use tokio::time::sleep;
use tokio_util::task::AbortOnDropHandle;

use crate::http::{any_loopback_port, rejection, response_with, serve, Body};

/// Computes the KV cache of a prompt; its bytes depend on the whole prompt.
pub fn kv_cache_of(prompt: &[u8], kv_cache_bytes: usize) -> Bytes {
    let mut kv_cache = vec![0; kv_cache_bytes];
    blake3::Hasher::new().update(prompt).finalize_xof().fill(&mut kv_cache);
    kv_cache.into()
}

/// Computes the tokens of an answer from the chunks of a KV cache; they depend on all of its bytes.
pub fn tokens_from<'a>(chunks: impl IntoIterator<Item = &'a Bytes>) -> Vec<String> {
    let mut hasher = blake3::Hasher::new();
    for chunk in chunks {
        hasher.update(chunk);
    }
    let hex = hasher.finalize().to_hex();
    hex.as_bytes().chunks(8).map(|token| String::from_utf8_lossy(token).into_owned()).collect()
}

/// A stub prefill server. Dropping it closes its connections, as a crash would.
pub struct PrefillServer {
    /// Where the server listens for requests of conductors.
    pub http_address: SocketAddr,
    /// Where decode servers fetch KV caches.
    pub transfer_address: SocketAddr,
    /// The transfer node that holds the KV caches.
    pub node: Arc<Node>,
    _serving: AbortOnDropHandle<()>,
}

impl PrefillServer {
    /// Starts a server that computes KV caches of `kv_cache_bytes`, each in `prefill_time`.
    pub async fn start(
        config: Config,
        incarnation: u64,
        kv_cache_bytes: usize,
        prefill_time: Duration,
        log: Logger,
    ) -> io::Result<Self> {
        let node = Arc::new(Node::new(config, incarnation, log));
        let transfer_address = node.listen(any_loopback_port()).await?;
        let handle_prefill = {
            let node = node.clone();
            move |id, prompt| prefill(node.clone(), id, prompt, kv_cache_bytes, prefill_time)
        };
        let (http_address, serving) = serve(release_handler(&node), handle_prefill).await?;
        Ok(PrefillServer { http_address, transfer_address, node, _serving: serving })
    }
}

async fn prefill(
    node: Arc<Node>,
    id: RequestId,
    prompt: Bytes,
    kv_cache_bytes: usize,
    prefill_time: Duration,
) -> Response<Body> {
    let Ok(pending) = node.begin_prefill(id) else { return rejection(503) };
    sleep(prefill_time).await;
    match pending.store(kv_cache_of(&prompt, kv_cache_bytes)).await {
        Ok(()) => response_with(202, false, "{\"cached_tokens\":0}"),
        Err(_) => response_with(500, false, ""),
    }
}

/// A stub decode server. Dropping it closes its connections, as a crash would.
pub struct DecodeServer {
    /// Where the server listens for requests of conductors.
    pub http_address: SocketAddr,
    /// The transfer node that fetches KV caches.
    pub node: Arc<Node>,
    _serving: AbortOnDropHandle<()>,
}

impl DecodeServer {
    /// Starts a server that fetches KV caches from the transfer nodes at `sources`, and streams a token every
    /// `token_interval`.
    pub async fn start(
        config: Config,
        incarnation: u64,
        sources: Vec<SocketAddr>,
        token_interval: Duration,
        log: Logger,
    ) -> io::Result<Self> {
        let node = Arc::new(Node::new(config, incarnation, log));
        let sources = Arc::new(sources);
        let handle_decode = {
            let node = node.clone();
            move |id, _| {
                let (node, sources) = (node.clone(), sources.clone());
                async move {
                    match node.fetch(&id, &sources, None).await {
                        Ok(kv_cache) => stream_response(kv_cache, token_interval),
                        Err(_) => rejection(410),
                    }
                }
            }
        };
        let (http_address, serving) = serve(release_handler(&node), handle_decode).await?;
        Ok(DecodeServer { http_address, node, _serving: serving })
    }
}

/// Streams the answer; the KV cache is held until the end of the stream.
fn stream_response(kv_cache: ReceivedCache, interval: Duration) -> Response<Body> {
    let tokens = tokens_from(kv_cache.chunks());
    let events = tokens.iter().map(|token| {
        let choice = format!("{{\"index\":0,\"delta\":{{\"content\":\"{token}\"}},\"finish_reason\":null}}");
        format!("data: {{\"choices\":[{choice}]}}\n\n")
    });
    let usage = format!("data: {{\"choices\":[],\"usage\":{{\"completion_tokens\":{}}}}}\n\n", tokens.len());
    let frames: Vec<String> = events.chain([usage, "data: [DONE]\n\n".to_string()]).collect();
    let body = StreamBody::new(paced_events(frames, interval, kv_cache)).boxed();
    let mut response = Response::new(body);
    response
        .headers_mut()
        .insert("content-type", hyper::header::HeaderValue::from_static("text/event-stream"));
    response
}

fn paced_events(
    events: Vec<String>,
    interval: Duration,
    kv_cache: ReceivedCache,
) -> impl Stream<Item = Result<Frame<Bytes>, Infallible>> + Send + Sync {
    stream::unfold(
        (events.into_iter(), false, kv_cache),
        move |(mut events, has_begun, kv_cache)| async move {
            let event = events.next()?;
            if has_begun {
                sleep(interval).await;
            }
            Some((Ok(Frame::data(Bytes::from(event))), (events, true, kv_cache)))
        },
    )
}

/// Returns what a server with this node does when a conductor releases a KV cache.
fn release_handler(node: &Arc<Node>) -> impl Fn(&RequestId) + Clone + Send + Sync + 'static {
    let node = node.clone();
    move |id| node.release_unclaimed(id)
}
