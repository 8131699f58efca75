//! Stub prefill and decode servers. They record each attempt at the oracle, and fail in ways that a run sets.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::channel::Channel;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::time::sleep;
use tokio_util::task::AbortOnDropHandle;

use crate::oracle::Oracle;

type Body = BoxBody<Bytes, std::io::Error>;

/// How long a prefill takes.
const PREFILL_DURATION: Duration = Duration::from_millis(30);
/// Time from a decode request to its first event.
const FIRST_EVENT_DELAY: Duration = Duration::from_millis(20);
/// Interval between events.
const EVENT_INTERVAL: Duration = Duration::from_millis(40);
/// Number of events in an answer.
const EVENT_COUNT: usize = 12;

/// How a server treats requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerMode {
    /// Serves them.
    Healthy,
    /// Takes them and never answers.
    Hanging,
    /// Rejects them.
    Full,
    /// Answers them with an error.
    Failing,
    /// Ends the stream halfway.
    Truncating,
}

const MODES: [ServerMode; 5] =
    [ServerMode::Healthy, ServerMode::Hanging, ServerMode::Full, ServerMode::Failing, ServerMode::Truncating];

/// A running server. Dropping it closes its connections.
pub struct Server {
    /// Where the server listens.
    pub address: SocketAddr,
    mode: Arc<AtomicU8>,
    _accepting: AbortOnDropHandle<()>,
}

impl Server {
    /// Starts the `index`-th server.
    pub async fn start(index: usize, is_decode: bool, oracle: Oracle) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let mode = Arc::new(AtomicU8::new(0));
        let handler = Handler { index, is_decode, oracle, mode: mode.clone() };
        let accepting = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                let handler = handler.clone();
                let service = service_fn(move |request| handler.clone().answer(request));
                let http = hyper::server::conn::http1::Builder::new();
                connections.spawn(async move {
                    // The oracle learns how a connection ends.
                    let _ = http.serve_connection(TokioIo::new(stream), service).await;
                });
                while connections.try_join_next().is_some() {}
            }
        });
        Ok(Server { address, mode, _accepting: AbortOnDropHandle::new(accepting) })
    }

    /// Sets how the server treats requests, from the next one on.
    pub fn set_mode(&self, mode: ServerMode) {
        let index = MODES.iter().position(|known| *known == mode).unwrap_or(0);
        self.mode.store(index as u8, Ordering::Relaxed);
    }
}

#[derive(Clone)]
struct Handler {
    index: usize,
    is_decode: bool,
    oracle: Oracle,
    mode: Arc<AtomicU8>,
}

/// An attempt at this server. Dropping it, at the latest when its connection closes, records its end.
struct AttemptGuard {
    oracle: Oracle,
    id: String,
    number: usize,
    never_ran: bool,
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.oracle.record_attempt_end(&self.id, self.number, self.never_ran);
    }
}

impl Handler {
    async fn answer(self, request: Request<Incoming>) -> Result<Response<Body>, Infallible> {
        let (head, body) = request.into_parts();
        if head.method == Method::DELETE {
            let id = head.uri.path().trim_start_matches("/state/");
            self.oracle.record_released_kv_cache(id);
            return Ok(response(204, false, ""));
        }
        let header = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
        let id = header("x-txn").unwrap_or_default().to_string();
        let remaining = header("x-remaining").and_then(|remaining| remaining.strip_suffix('u')?.parse().ok());
        if body.collect().await.is_err() {
            return Ok(response(400, false, ""));
        }
        let remaining = Duration::from_micros(remaining.unwrap_or(u64::MAX));
        let number = self.oracle.record_attempt(&id, self.index, self.is_decode, remaining);
        let attempt = AttemptGuard { oracle: self.oracle.clone(), id, number, never_ran: false };
        let mode = MODES[usize::from(self.mode.load(Ordering::Relaxed)) % MODES.len()];
        Ok(if self.is_decode { self.decode(attempt, mode).await } else { self.prefill(attempt, mode).await })
    }

    async fn prefill(&self, mut attempt: AttemptGuard, mode: ServerMode) -> Response<Body> {
        match mode {
            ServerMode::Hanging => std::future::pending().await,
            ServerMode::Full => reject(&mut attempt, 503),
            ServerMode::Failing => response(500, false, ""),
            ServerMode::Healthy | ServerMode::Truncating => {
                sleep(PREFILL_DURATION).await;
                self.oracle.record_held_kv_cache(&attempt.id, attempt.number);
                response(202, false, "{\"cached_tokens\":0}")
            }
        }
    }

    async fn decode(&self, mut attempt: AttemptGuard, mode: ServerMode) -> Response<Body> {
        if mode == ServerMode::Full {
            return reject(&mut attempt, 503);
        }
        if !self.oracle.record_released_kv_cache(&attempt.id) {
            return reject(&mut attempt, 410);
        }
        match mode {
            ServerMode::Hanging => std::future::pending().await,
            ServerMode::Failing => response(500, false, ""),
            _ => {
                sleep(FIRST_EVENT_DELAY).await;
                stream_events(attempt, mode == ServerMode::Truncating)
            }
        }
    }
}

fn reject(attempt: &mut AttemptGuard, status: u16) -> Response<Body> {
    attempt.never_ran = true;
    response(status, true, "")
}

fn response(status: u16, is_rejection: bool, body: &'static str) -> Response<Body> {
    let mut response =
        Response::new(Full::new(Bytes::from_static(body.as_bytes())).map_err(|never| match never {}).boxed());
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    if is_rejection {
        response.headers_mut().insert("x-turned-away", hyper::header::HeaderValue::from_static("1"));
    }
    response
}

/// Streams events at their interval. A truncated stream ends its connection without the last chunk.
fn stream_events(attempt: AttemptGuard, is_truncated: bool) -> Response<Body> {
    let (mut sender, body) = Channel::<Bytes, std::io::Error>::new(4);
    tokio::spawn(async move {
        let attempt = attempt;
        for event_index in 0..EVENT_COUNT {
            if is_truncated && event_index == EVENT_COUNT / 2 {
                sender.abort(std::io::Error::other("broken on purpose"));
                return;
            }
            let event = Bytes::from_static(b"data: {\"choices\":[]}\n\n");
            if sender.send_data(event).await.is_err() {
                break;
            }
            sleep(EVENT_INTERVAL).await;
        }
        let _ = sender.send_data(Bytes::from_static(b"data: [DONE]\n\n")).await;
        drop(attempt);
    });
    let mut response = Response::new(body.boxed());
    let content_type = hyper::header::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert("content-type", content_type);
    response
}
