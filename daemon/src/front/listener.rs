//! Accepting clients: a bound on connections, and an orderly end.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use frosttrail_core::Events;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::Request;
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::{debug, warn, Logger};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
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

/// A bound socket whose connections are counted together with those of other listeners.
pub struct Listener {
    socket: TcpListener,
    clients: Clients,
    closing: CancellationToken,
    connections: TaskTracker,
    log: Logger,
}

impl Listener {
    /// Binds the address.
    pub fn bind(
        address: SocketAddr,
        clients: Clients,
        closing: CancellationToken,
        connections: TaskTracker,
        log: Logger,
    ) -> std::io::Result<Self> {
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        // A conductor that is started anew takes its address over from connections that linger.
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        Ok(Listener { socket: socket.listen(BACKLOG)?, clients, closing, connections, log })
    }

    /// Where it listens.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Accepts until it is told to close; each connection then ends once it has no request.
    pub async fn run<S: Service>(self, service: Arc<S>) {
        loop {
            let accepted = tokio::select! {
                biased;
                () = self.closing.cancelled() => return,
                accepted = accept(&self.socket, &self.clients) => accepted,
            };
            match accepted {
                Ok((stream, place)) => self.serve(stream, place, service.clone()),
                Err(e) => {
                    warn!(self.log, "accept"; "why" => %e);
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn serve<S: Service>(&self, stream: TcpStream, place: Place, service: Arc<S>) {
        let (closing, log) = (self.closing.clone(), self.log.clone());
        self.connections.spawn(async move {
            let (leave, place) = (place.leave(), Arc::new(place));
            let used = place.clone();
            // Without it events would wait for the client's acknowledgement; it can only fail on a
            // connection that is no more.
            let _ = stream.set_nodelay(true);
            let answer = service_fn(move |request| {
                used.used();
                let service = service.clone();
                async move { service.answer(request).await }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_WAIT)
                .max_headers(HEADERS_MOST)
                .max_buf_size(HEAD_BYTES)
                .serve_connection(TokioIo::new(stream), answer);
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

/// The next connection, once there is a place for it.
async fn accept(socket: &TcpListener, clients: &Clients) -> std::io::Result<(TcpStream, Place)> {
    let (stream, _) = socket.accept().await?;
    Ok((stream, clients.place().await))
}

async fn either(one: &CancellationToken, other: &CancellationToken) {
    tokio::select! {
        () = one.cancelled() => {}
        () = other.cancelled() => {}
    }
}
