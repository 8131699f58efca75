//! The platform's protocol as stand-in servers serve it.

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

/// Serves the protocol: requests by what this server does, and the call that lets go of a state.
pub(crate) async fn serve<L, F, R>(lets_go: L, does: F) -> io::Result<(SocketAddr, AbortOnDropHandle<()>)>
where
    L: Fn(&RequestId) + Clone + Send + Sync + 'static,
    F: Fn(RequestId, Bytes) -> R + Clone + Send + Sync + 'static,
    R: std::future::Future<Output = Response<Body>> + Send + 'static,
{
    let listener = TcpListener::bind(any()).await?;
    let address = listener.local_addr()?;
    let serving = async move {
        let mut connections = tokio::task::JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            let (lets_go, does) = (lets_go.clone(), does.clone());
            let service = service_fn(move |request| one(lets_go.clone(), does.clone(), request));
            connections.spawn(
                hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service),
            );
            while connections.try_join_next().is_some() {}
        }
    };
    Ok((address, AbortOnDropHandle::new(tokio::spawn(serving))))
}

async fn one<L, F, R>(lets_go: L, does: F, request: Request<Incoming>) -> Result<Response<Body>, hyper::Error>
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
                lets_go(&id);
                answer(204, false, "")
            }
            None => answer(400, false, ""),
        });
    }
    let id = head.headers.get("x-txn").and_then(|id| id.to_str().ok()).and_then(|id| RequestId::new(id).ok());
    let prompt = body.collect().await?.to_bytes();
    Ok(match id {
        Some(id) => does(id, prompt).await,
        None => answer(404, false, ""),
    })
}

pub(crate) fn turned_away(status: u16) -> Response<Body> {
    answer(status, true, "")
}

pub(crate) fn answer(status: u16, turned_away: bool, body: &'static str) -> Response<Body> {
    let mut response = Response::new(Full::new(Bytes::from_static(body.as_bytes())).boxed());
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    if turned_away {
        response.headers_mut().insert("x-turned-away", hyper::header::HeaderValue::from_static("1"));
    }
    response
}

pub(crate) fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
