//! HTTP side of the platform's protocol, as the stub servers of this crate serve it.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use frosttrail_transfer::wire::RequestId;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio_util::task::AbortOnDropHandle;

pub(crate) type Body = BoxBody<Bytes, Infallible>;

/// Serves the protocol on a loopback port. `handle_request` answers requests; `release_kv_cache` runs for
/// each `DELETE /state/<id>`.
pub(crate) async fn serve<L, F, R>(
    release_kv_cache: L,
    handle_request: F,
) -> io::Result<(SocketAddr, AbortOnDropHandle<()>)>
where
    L: Fn(&RequestId) + Clone + Send + Sync + 'static,
    F: Fn(RequestId, Bytes) -> R + Clone + Send + Sync + 'static,
    R: std::future::Future<Output = Response<Body>> + Send + 'static,
{
    let listener = TcpListener::bind(any_loopback_port()).await?;
    let address = listener.local_addr()?;
    let serving = async move {
        let mut connections = tokio::task::JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            let (release_kv_cache, handle_request) = (release_kv_cache.clone(), handle_request.clone());
            let service = service_fn(move |request| {
                dispatch(release_kv_cache.clone(), handle_request.clone(), request)
            });
            connections.spawn(
                hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service),
            );
            while connections.try_join_next().is_some() {}
        }
    };
    Ok((address, AbortOnDropHandle::new(tokio::spawn(serving))))
}

async fn dispatch<L, F, R>(
    release_kv_cache: L,
    handle_request: F,
    request: Request<Incoming>,
) -> Result<Response<Body>, hyper::Error>
where
    L: Fn(&RequestId),
    F: Fn(RequestId, Bytes) -> R,
    R: std::future::Future<Output = Response<Body>>,
{
    let (head, body) = request.into_parts();
    if head.method == Method::DELETE {
        let id = head.uri.path().strip_prefix("/state/").and_then(|id| RequestId::new(id).ok());
        return Ok(match id {
            Some(id) => {
                release_kv_cache(&id);
                response_with(204, false, "")
            }
            None => response_with(400, false, ""),
        });
    }
    let id = head.headers.get("x-txn").and_then(|id| id.to_str().ok()).and_then(|id| RequestId::new(id).ok());
    let prompt = body.collect().await?.to_bytes();
    Ok(match id {
        Some(id) => handle_request(id, prompt).await,
        None => response_with(404, false, ""),
    })
}

/// A response that marks its request as rejected before it ran.
pub(crate) fn rejection(status: u16) -> Response<Body> {
    response_with(status, true, "")
}

pub(crate) fn response_with(status: u16, is_rejection: bool, body: &'static str) -> Response<Body> {
    let mut response = Response::new(Full::new(Bytes::from_static(body.as_bytes())).boxed());
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    if is_rejection {
        response.headers_mut().insert("x-turned-away", hyper::header::HeaderValue::from_static("1"));
    }
    response
}

pub(crate) fn any_loopback_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
