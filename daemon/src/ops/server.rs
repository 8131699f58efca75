//! The operators' HTTP server. It has its own thread and runtime, so that the load of client requests never
//! delays an answer, and limits the number of connections and the duration of each.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::{debug, info, warn, Logger};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use tokio_util::task::AbortOnDropHandle;

use crate::tcp::TcpConnection;
use crate::transient::{is_resource_shortage, retry_at_start};

use super::call::{answer, error_response, takes_body, CallError, Operations, MAX_ID_BYTES};

/// The maximum number of open connections. A new connection beyond it closes the oldest, which has had enough
/// time: a call takes milliseconds.
const MAX_CONNECTIONS: usize = 16;
/// A connection is closed after this time, whether its call has arrived or not.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(2);
/// The pause after a failed accept, for example when descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// The maximum size of a body: an id with white space around it.
const MAX_BODY_BYTES: usize = MAX_ID_BYTES + 64;

/// A server that is bound to the operators' address.
pub struct OpsServer {
    listener: TcpListener,
}

impl OpsServer {
    /// Binds the address; calls are answered only after [`OpsServer::start`].
    pub fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let listener = retry_at_start(is_resource_shortage, || TcpListener::bind(address))?;
        listener.set_nonblocking(true)?;
        Ok(OpsServer { listener })
    }

    /// Answers calls until the process ends.
    pub fn start<O: Operations>(self, operations: Arc<O>, log: Logger) -> std::io::Result<()> {
        let mut builder = tokio::runtime::Builder::new_current_thread();
        let runtime = retry_at_start(is_resource_shortage, || builder.enable_all().build())?;
        let address = self.listener.local_addr()?;
        let listener = {
            let _entered = runtime.enter();
            tokio::net::TcpListener::from_std(self.listener)?
        };
        info!(log, "operators' address"; "at" => %address);
        // Taken by the thread that starts, so that a failed spawn leaves it for the next attempt.
        let task = Arc::new(Mutex::new(Some((runtime, accept(listener, operations, log)))));
        retry_at_start(is_resource_shortage, || {
            let (task, thread) = (task.clone(), std::thread::Builder::new().name("ops".into()));
            thread.spawn(move || {
                let task = task.lock().unwrap_or_else(PoisonError::into_inner).take();
                if let Some((runtime, accept_loop)) = task {
                    runtime.block_on(accept_loop);
                }
            })
        })?;
        Ok(())
    }
}

async fn accept<O: Operations>(listener: tokio::net::TcpListener, operations: Arc<O>, log: Logger) {
    let mut connections: VecDeque<AbortOnDropHandle<()>> = VecDeque::new();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                warn!(log, "operators' address: accept failed"; "why" => %e);
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        connections.retain(|connection| !connection.is_finished());
        if connections.len() >= MAX_CONNECTIONS {
            connections.pop_front();
        }
        let connection = serve(stream, operations.clone(), log.clone());
        connections.push_back(AbortOnDropHandle::new(tokio::spawn(connection)));
    }
}

/// Answers one call, then closes the connection.
async fn serve<O: Operations>(stream: TcpStream, operations: Arc<O>, log: Logger) {
    let service = service_fn(move |request| {
        let operations = operations.clone();
        async move { Ok::<_, Infallible>(respond(&*operations, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .keep_alive(false)
        .serve_connection(TokioIo::new(TcpConnection::new(stream)), service);
    match timeout(CONNECTION_TIMEOUT, connection).await {
        Ok(Ok(())) => {}
        Ok(Err(e)) => debug!(log, "operators' address: connection failed"; "why" => %e),
        Err(_) => debug!(log, "operators' address: no complete call arrived in time"),
    }
}

async fn respond<O: Operations>(operations: &O, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let (head, body) = request.into_parts();
    let path = head.uri.path();
    let body = match takes_body(path) {
        true => Limited::new(body, MAX_BODY_BYTES).collect().await,
        // The body of any other call is ignored.
        false => return answer(operations, &head.method, path, &[]),
    };
    match body {
        Ok(body) => answer(operations, &head.method, path, &body.to_bytes()),
        Err(_) => error_response(&CallError::InvalidId),
    }
}
