//! The two calls besides attempts: releasing a KV cache, and the probe.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use frosttrail::{Id, LoadReport, Outcome};
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::{Method, Request, Response, StatusCode};
use tokio::time::timeout;

use super::connection::{Connection, WriteProgress};
use super::pool::ConnectionPool;
use super::response_body::read_to_end;

/// After this time without a response to a probe, the server counts as not answering.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

fn build_request(method: Method, target: String) -> Option<Request<Bytes>> {
    Request::builder().method(method).uri(target).header(HOST, "box").body(Bytes::new()).ok()
}

/// Sends a call that is safe to repeat: on an idle connection, then on a new one.
async fn send_repeatable(
    pool: &ConnectionPool,
    server: &Id,
    method: &Method,
    target: &str,
) -> Option<(Connection, Response<Incoming>)> {
    if let Some(mut connection) = pool.take_idle(server).await {
        if let Ok(response) =
            connection.send(build_request(method.clone(), target.into())?, &WriteProgress::default()).await
        {
            return Some((connection, response));
        }
    }
    let mut connection = pool.connect(server).await.ok()?;
    let response = connection
        .send(build_request(method.clone(), target.into())?, &WriteProgress::default())
        .await
        .ok()?;
    Some((connection, response))
}

/// Releases the KV cache of a request and returns whether the server has accepted the call.
pub(super) async fn release(pool: &Arc<ConnectionPool>, server: &Id, request: &Id) -> bool {
    let Some((connection, response)) =
        send_repeatable(pool, server, &Method::DELETE, &format!("/state/{request}")).await
    else {
        return false;
    };
    let is_released = response.status().is_success();
    pool.put_after_body(server, connection, response.into_body());
    is_released
}

/// Requests the load report of a server.
pub(super) async fn probe(pool: &Arc<ConnectionPool>, server: &Id) -> (Outcome, Option<LoadReport>) {
    let load_request = async {
        let (connection, response) = send_repeatable(pool, server, &Method::GET, "/_load").await?;
        let status = response.status();
        let body = read_to_end(response.into_body()).await.ok()?;
        pool.put_settled(server, connection);
        Some((status, body))
    };
    match timeout(PROBE_TIMEOUT, load_request).await {
        Err(_) => (Outcome::NoAnswer, None),
        Ok(None) => (Outcome::NoConnection, None),
        Ok(Some((StatusCode::OK, body))) => {
            let report = serde_json::from_slice(&body).ok();
            (Outcome::Served, report.and_then(|r| frosttrail::setup::load_report(&r).ok()))
        }
        Ok(Some((StatusCode::SERVICE_UNAVAILABLE, _))) => (Outcome::Rejected, None),
        Ok(Some(_)) => (Outcome::Failed, None),
    }
}
