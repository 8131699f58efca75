//! Accepting clients: a bound on connections, and an orderly end.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use frosttrail_core::Events;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::Request;
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::{debug, info, warn, Logger};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio_io_timeout::TimeoutStream;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::body::FrontResponse;
use super::clients::{Clients, Place};

/// Connections that the kernel holds until they are accepted.
const BACKLOG: u32 = 1_024;
/// A head must be here within this time from the end of the answer before it.
const HEAD_WAIT: Duration = Duration::from_secs(90);
const HEADERS_MOST: usize = 64;
const HEAD_BYTES: usize = 16 << 10;
/// After an accept that failed, as when descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// What answers requests.
pub trait Service: Send + Sync + 'static {
    /// Answers' events.
    type Events: Events;

    /// Answers one request. Dropped if its client goes.
    fn answer(&self, request: Request<Incoming>) -> impl Future<Output = FrontResponse<Self::Events>> + Send;
}

/// What the listeners have in common: the bound on connections, and how far they are open.
#[derive(Clone)]
pub struct Doors {
    clients: Clients,
    /// A client that takes nothing of what is sent to it for this long has gone without a word.
    stall: Duration,
    /// An end is planned: clients are told with each answer to come back on another connection.
    leaving: CancellationToken,
    /// Nothing more is accepted, and each connection ends once it has no request.
    closing: CancellationToken,
    accepting: TaskTracker,
    connections: TaskTracker,
    log: Logger,
}

impl Doors {
    /// Room for so many connections, on all listeners together, none of which may take nothing of its
    /// answer for as long as `stall`.
    pub fn new(most: usize, stall: Duration, log: Logger) -> Self {
        Doors {
            clients: Clients::new(most),
            stall,
            leaving: CancellationToken::new(),
            closing: CancellationToken::new(),
            accepting: TaskTracker::new(),
            connections: TaskTracker::new(),
            log,
        }
    }

    /// Listens, and serves what comes; the address is the one bound.
    pub fn open<S: Service>(&self, address: SocketAddr, service: S) -> std::io::Result<SocketAddr> {
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        // A conductor that is started anew takes its address over from connections that linger.
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        let listener = socket.listen(BACKLOG)?;
        let address = listener.local_addr()?;
        info!(self.log, "listening"; "at" => %address);
        self.accepting.spawn(self.clone().accept(listener, Arc::new(service)));
        Ok(address)
    }

    /// The end is near: everything is served, but no connection beyond its next answer.
    pub fn leave(&self) {
        self.leaving.cancel();
    }

    /// Accepts nothing more; resolves once every request that has been taken is answered.
    pub async fn close(&self) {
        self.closing.cancel();
        for tasks in [&self.accepting, &self.connections] {
            tasks.close();
            tasks.wait().await;
        }
    }

    /// Connections that have not ended.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    async fn accept<S: Service>(self, listener: TcpListener, service: Arc<S>) {
        loop {
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                // Only once none is left with the kernel: what is written to those counts as taken.
                () = self.closing.cancelled() => return,
            };
            match accepted {
                Ok((stream, _)) => self.serve(stream, self.clients.place().await, service.clone()),
                Err(e) => {
                    warn!(self.log, "accept"; "why" => %e);
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn serve<S: Service>(&self, stream: TcpStream, place: Place, service: Arc<S>) {
        let stall = self.stall;
        let (closing, leaving, log) = (self.closing.clone(), self.leaving.clone(), self.log.clone());
        self.connections.spawn(async move {
            let (leave, place) = (place.leave(), Arc::new(place));
            let used = place.clone();
            // Without it events would wait for the client's acknowledgement; it can only fail on a
            // connection that is no more.
            let _ = stream.set_nodelay(true);
            let mut stream = TimeoutStream::new(stream);
            stream.set_write_timeout(Some(stall));
            let answer = service_fn(move |request| {
                used.used();
                let (service, leaving) = (service.clone(), leaving.clone());
                async move {
                    let mut answer = service.answer(request).await?;
                    if leaving.is_cancelled() {
                        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                    }
                    FrontResponse::Ok(answer)
                }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_WAIT)
                .max_headers(HEADERS_MOST)
                .max_buf_size(HEAD_BYTES)
                .serve_connection(TokioIo::new(Box::pin(stream)), answer);
            let mut connection = pin!(connection);
            let ended = tokio::select! {
                ended = connection.as_mut() => ended,
                () = either(&closing, &leave) => {
                    // Ends it at once, or after the answer under way.
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            };
            drop(place);
            if let Err(e) = ended {
                debug!(log, "connection"; "why" => %e);
            }
        });
    }
}

async fn either(one: &CancellationToken, other: &CancellationToken) {
    tokio::select! {
        () = one.cancelled() => {}
        () = other.cancelled() => {}
    }
}
