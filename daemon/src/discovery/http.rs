//! Calls to a discovery server: one request on a connection of its own, each step within its time.

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

/// The server is near: a connection comes up at once or not at all.
const CONNECT: Duration = Duration::from_secs(1);

/// Why a list could not be had.
#[derive(Debug, thiserror::Error)]
pub(super) enum ListError {
    #[error("no connection: {0}")]
    Connect(std::io::Error),
    #[error("http: {0}")]
    Http(#[from] hyper::Error),
    #[error("no answer in time")]
    Silent,
    #[error("status {0}")]
    Status(StatusCode),
    #[error("too long")]
    TooLong,
    #[error("can't be read: {0}")]
    Malformed(#[from] serde_json::Error),
    #[error("it ended")]
    Ended,
}

/// An answer whose body is still to come. Dropping the handle closes the connection.
pub(super) struct Called {
    pub(super) response: Response<Incoming>,
    pub(super) driver: AbortOnDropHandle<()>,
}

/// Makes a call and waits for the head of its answer, all of it within its time.
pub(super) async fn call(
    server: SocketAddr,
    method: Method,
    target: Uri,
    body: Bytes,
    within: Duration,
) -> Result<Called, ListError> {
    let by = Instant::now() + within;
    let connect = timeout(CONNECT, TcpStream::connect(server)).await.map_err(|_| ListError::Silent)?;
    let io = TokioIo::new(TcpConnection::new(connect.map_err(ListError::Connect)?));
    let (mut sender, connection) = http1::handshake(io).await?;
    let driver = AbortOnDropHandle::new(tokio::spawn(async move {
        // How it ended shows in the body.
        let _ = connection.await;
    }));
    let mut request = Request::new(Full::new(body));
    (*request.method_mut(), *request.uri_mut()) = (method, target);
    request.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    request.headers_mut().insert(HOST, HeaderValue::from_static("discovery"));
    let response = timeout_at(by, sender.send_request(request)).await.map_err(|_| ListError::Silent)??;
    Ok(Called { response, driver })
}

/// Reads an answer's body to its end.
pub(super) async fn whole(body: Incoming, most: usize, within: Duration) -> Result<Bytes, ListError> {
    let whole = timeout(within, Limited::new(body, most).collect()).await.map_err(|_| ListError::Silent)?;
    Ok(whole.map_err(|_| ListError::TooLong)?.to_bytes())
}
