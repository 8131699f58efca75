//! HTTP calls to a discovery server: one request on its own connection, with a timeout for each step.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::{HeaderValue, CONTENT_TYPE, HOST};
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{timeout, timeout_at, Instant};
use tokio_util::task::AbortOnDropHandle;

use crate::tcp::TcpConnection;

/// Short, as the server is nearby: it accepts a connection at once or not at all.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a list could not be fetched.
#[derive(Debug, thiserror::Error)]
pub(super) enum DiscoveryError {
    #[error("connection failed: {0}")]
    Connect(std::io::Error),
    #[error("HTTP exchange failed: {0}")]
    Http(#[from] hyper::Error),
    #[error("no response before the timeout")]
    Timeout,
    #[error("response status is {0}, not 200")]
    Status(StatusCode),
    #[error("response is too large")]
    TooLarge,
    #[error("response is not a valid list: {0}")]
    Malformed(#[from] serde_json::Error),
    #[error("response ended")]
    Closed,
}

/// A response whose body has not been read. Dropping `driver` closes the connection.
pub(super) struct OpenResponse {
    pub(super) response: Response<Incoming>,
    pub(super) driver: AbortOnDropHandle<()>,
}

/// Connects, sends a request and waits for the head of its response, all within `call_timeout`.
pub(super) async fn send_request(
    server: SocketAddr,
    method: Method,
    target: Uri,
    body: Bytes,
    call_timeout: Duration,
) -> Result<OpenResponse, DiscoveryError> {
    let deadline = Instant::now() + call_timeout;
    let stream =
        timeout(CONNECT_TIMEOUT, TcpStream::connect(server)).await.map_err(|_| DiscoveryError::Timeout)?;
    let io = TokioIo::new(TcpConnection::new(stream.map_err(DiscoveryError::Connect)?));
    let (mut sender, connection) = http1::handshake(io).await?;
    let driver = AbortOnDropHandle::new(tokio::spawn(async move {
        // An error also shows when the body is read.
        let _ = connection.await;
    }));
    let mut request = Request::new(Full::new(body));
    (*request.method_mut(), *request.uri_mut()) = (method, target);
    request.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    request.headers_mut().insert(HOST, HeaderValue::from_static("discovery"));
    let response =
        timeout_at(deadline, sender.send_request(request)).await.map_err(|_| DiscoveryError::Timeout)??;
    Ok(OpenResponse { response, driver })
}

/// Reads a response body to its end.
pub(super) async fn read_body(
    body: Incoming,
    max_bytes: usize,
    body_timeout: Duration,
) -> Result<Bytes, DiscoveryError> {
    let body = timeout(body_timeout, Limited::new(body, max_bytes).collect())
        .await
        .map_err(|_| DiscoveryError::Timeout)?;
    Ok(body.map_err(|_| DiscoveryError::TooLarge)?.to_bytes())
}
