//! Stand-in servers whose state really moves: a reader that makes a state from the prompt and holds it in a
//! transfer node, and a writer that fetches it and answers with what it finds in it. Both speak the
//! platform's protocol to the conductor.

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

use crate::http::{answer, any, serve, turned_away, Body};

/// The state that a reader makes of a prompt: so many bytes, which depend on all of it.
pub fn kv_cache_of(prompt: &[u8], length: usize) -> Bytes {
    let mut state = vec![0; length];
    blake3::Hasher::new().update(prompt).finalize_xof().fill(&mut state);
    state.into()
}

/// The tokens that a writer finds in a state: they depend on all of its bytes.
pub fn tokens_from<'a>(chunks: impl IntoIterator<Item = &'a Bytes>) -> Vec<String> {
    let mut hasher = blake3::Hasher::new();
    for chunk in chunks {
        hasher.update(chunk);
    }
    let hex = hasher.finalize().to_hex();
    hex.as_bytes().chunks(8).map(|token| String::from_utf8_lossy(token).into_owned()).collect()
}

/// A stand-in reader. Dropping it ends it, as a crash would.
pub struct PrefillServer {
    /// Where conductors send prompts.
    pub http_address: SocketAddr,
    /// Where writers fetch states.
    pub transfer_address: SocketAddr,
    /// What holds them.
    pub node: Arc<Node>,
    _serving: AbortOnDropHandle<()>,
}

impl PrefillServer {
    /// Makes states of so many bytes, and takes so long for it.
    pub async fn start(
        config: Config,
        incarnation: u64,
        length: usize,
        takes: Duration,
        log: Logger,
    ) -> io::Result<Self> {
        let node = Arc::new(Node::new(config, incarnation, log));
        let transfer_address = node.listen(any()).await?;
        let read = {
            let node = node.clone();
            move |id, prompt| read(node.clone(), id, prompt, length, takes)
        };
        let (http_address, serving) = serve(releases(&node), read).await?;
        Ok(PrefillServer { http_address, transfer_address, node, _serving: serving })
    }
}

async fn read(
    node: Arc<Node>,
    id: RequestId,
    prompt: Bytes,
    length: usize,
    takes: Duration,
) -> Response<Body> {
    let Ok(reading) = node.begin_prefill(id) else { return turned_away(503) };
    sleep(takes).await;
    match reading.store(kv_cache_of(&prompt, length)).await {
        Ok(()) => answer(202, false, "{\"cached_tokens\":0}"),
        Err(_) => answer(500, false, ""),
    }
}

/// A stand-in writer. Dropping it ends it.
pub struct DecodeServer {
    /// Where conductors send requests.
    pub http_address: SocketAddr,
    /// What fetches their states.
    pub node: Arc<Node>,
    _serving: AbortOnDropHandle<()>,
}

impl DecodeServer {
    /// Fetches states from these nodes, and says a token so often.
    pub async fn start(
        config: Config,
        incarnation: u64,
        readers: Vec<SocketAddr>,
        token: Duration,
        log: Logger,
    ) -> io::Result<Self> {
        let node = Arc::new(Node::new(config, incarnation, log));
        let readers = Arc::new(readers);
        let write = {
            let node = node.clone();
            move |id, _| {
                let (node, readers) = (node.clone(), readers.clone());
                async move {
                    match node.fetch(&id, &readers, None).await {
                        Ok(state) => stream_of(state, token),
                        Err(_) => turned_away(410),
                    }
                }
            }
        };
        let (http_address, serving) = serve(releases(&node), write).await?;
        Ok(DecodeServer { http_address, node, _serving: serving })
    }
}

/// The stream of an answer; the state is held until its end.
fn stream_of(state: ReceivedCache, every: Duration) -> Response<Body> {
    let tokens = tokens_from(state.chunks());
    let events = tokens.iter().map(|token| {
        let choice = format!("{{\"index\":0,\"delta\":{{\"content\":\"{token}\"}},\"finish_reason\":null}}");
        format!("data: {{\"choices\":[{choice}]}}\n\n")
    });
    let usage = format!("data: {{\"choices\":[],\"usage\":{{\"completion_tokens\":{}}}}}\n\n", tokens.len());
    let all: Vec<String> = events.chain([usage, "data: [DONE]\n\n".to_string()]).collect();
    let body = StreamBody::new(paced(all, every, state)).boxed();
    let mut response = Response::new(body);
    response
        .headers_mut()
        .insert("content-type", hyper::header::HeaderValue::from_static("text/event-stream"));
    response
}

fn paced(
    events: Vec<String>,
    every: Duration,
    state: ReceivedCache,
) -> impl Stream<Item = Result<Frame<Bytes>, Infallible>> + Send + Sync {
    stream::unfold((events.into_iter(), false, state), move |(mut events, begun, state)| async move {
        let event = events.next()?;
        if begun {
            sleep(every).await;
        }
        Some((Ok(Frame::data(Bytes::from(event))), (events, true, state)))
    })
}

/// What the call that lets go of a state does at a server with this node.
fn releases(node: &Arc<Node>) -> impl Fn(&RequestId) + Clone + Send + Sync + 'static {
    let node = node.clone();
    move |id| node.release_unclaimed(id)
}
