//! Stand-in servers: prefill and decode, with an account at the oracle and faults that are switched from
//! outside.

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

/// For a prompt, and from a decode request to its first event.
const READ_TAKES: Duration = Duration::from_millis(30);
const FIRST_TAKES: Duration = Duration::from_millis(20);
/// Between events, and how many there are.
const EVENT_EVERY: Duration = Duration::from_millis(40);
const EVENTS: usize = 12;

/// How a server behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// As it should.
    Well,
    /// Takes requests and never answers.
    Hangs,
    /// Turns requests away.
    Full,
    /// Answers with an error.
    Errs,
    /// Ends its answer in the midst.
    Breaks,
}

const MODES: [Mode; 5] = [Mode::Well, Mode::Hangs, Mode::Full, Mode::Errs, Mode::Breaks];

/// A server. Dropping it ends it.
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    mode: Arc<AtomicU8>,
    _accepting: AbortOnDropHandle<()>,
}

impl Server {
    /// Starts the `index`-th server.
    pub async fn start(index: usize, decode: bool, oracle: Oracle) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let mode = Arc::new(AtomicU8::new(0));
        let serving = Serving { index, decode, oracle, mode: mode.clone() };
        let accepting = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                let serving = serving.clone();
                let service = service_fn(move |request| serving.clone().answer(request));
                let http = hyper::server::conn::http1::Builder::new();
                connections.spawn(async move {
                    // How a connection ends shows in the account.
                    let _ = http.serve_connection(TokioIo::new(stream), service).await;
                });
                while connections.try_join_next().is_some() {}
            }
        });
        Ok(Server { address, mode, _accepting: AbortOnDropHandle::new(accepting) })
    }

    /// Changes how it behaves from the next request on.
    pub fn set(&self, mode: Mode) {
        let index = MODES.iter().position(|known| *known == mode).unwrap_or(0);
        self.mode.store(index as u8, Ordering::Relaxed);
    }
}

#[derive(Clone)]
struct Serving {
    index: usize,
    decode: bool,
    oracle: Oracle,
    mode: Arc<AtomicU8>,
}

/// An attempt at this server; it ends with its drop at the latest, as its connection closes.
struct Attempt {
    oracle: Oracle,
    id: String,
    nth: usize,
    never_ran: bool,
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.oracle.ended(&self.id, self.nth, self.never_ran);
    }
}

impl Serving {
    async fn answer(self, request: Request<Incoming>) -> Result<Response<Body>, Infallible> {
        let (head, body) = request.into_parts();
        if head.method == Method::DELETE {
            let id = head.uri.path().trim_start_matches("/state/");
            self.oracle.taken(id);
            return Ok(response(204, false, ""));
        }
        let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
        let id = text("x-txn").unwrap_or_default().to_string();
        let told = text("x-remaining").and_then(|told| told.strip_suffix('u')?.parse().ok());
        if body.collect().await.is_err() {
            return Ok(response(400, false, ""));
        }
        let told = Duration::from_micros(told.unwrap_or(u64::MAX));
        let nth = self.oracle.arrived(&id, self.index, self.decode, told);
        let attempt = Attempt { oracle: self.oracle.clone(), id, nth, never_ran: false };
        let mode = MODES[usize::from(self.mode.load(Ordering::Relaxed)) % MODES.len()];
        Ok(if self.decode { self.decode(attempt, mode).await } else { self.prefill(attempt, mode).await })
    }

    async fn prefill(&self, mut attempt: Attempt, mode: Mode) -> Response<Body> {
        match mode {
            Mode::Hangs => std::future::pending().await,
            Mode::Full => turned_away(&mut attempt, 503),
            Mode::Errs => response(500, false, ""),
            Mode::Well | Mode::Breaks => {
                sleep(READ_TAKES).await;
                self.oracle.held(&attempt.id, attempt.nth);
                response(202, false, "{\"cached_tokens\":0}")
            }
        }
    }

    async fn decode(&self, mut attempt: Attempt, mode: Mode) -> Response<Body> {
        if mode == Mode::Full {
            return turned_away(&mut attempt, 503);
        }
        if !self.oracle.taken(&attempt.id) {
            return turned_away(&mut attempt, 410);
        }
        match mode {
            Mode::Hangs => std::future::pending().await,
            Mode::Errs => response(500, false, ""),
            _ => {
                sleep(FIRST_TAKES).await;
                stream(attempt, mode == Mode::Breaks)
            }
        }
    }
}

fn turned_away(attempt: &mut Attempt, status: u16) -> Response<Body> {
    attempt.never_ran = true;
    response(status, true, "")
}

fn response(status: u16, turned_away: bool, text: &'static str) -> Response<Body> {
    let mut response =
        Response::new(Full::new(Bytes::from_static(text.as_bytes())).map_err(|never| match never {}).boxed());
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    if turned_away {
        response.headers_mut().insert("x-turned-away", hyper::header::HeaderValue::from_static("1"));
    }
    response
}

/// Events at their pace; a broken one ends its connection without the last chunk.
fn stream(attempt: Attempt, breaks: bool) -> Response<Body> {
    let (mut sender, body) = Channel::<Bytes, std::io::Error>::new(4);
    tokio::spawn(async move {
        let attempt = attempt;
        for nth in 0..EVENTS {
            if breaks && nth == EVENTS / 2 {
                sender.abort(std::io::Error::other("broken on purpose"));
                return;
            }
            let event = Bytes::from_static(b"data: {\"choices\":[]}\n\n");
            if sender.send_data(event).await.is_err() {
                break;
            }
            sleep(EVENT_EVERY).await;
        }
        let _ = sender.send_data(Bytes::from_static(b"data: [DONE]\n\n")).await;
        drop(attempt);
    });
    let mut response = Response::new(body.boxed());
    let kind = hyper::header::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert("content-type", kind);
    response
}
