//! The two calls beside requests: letting go of state, and the probe.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use frosttrail::{Id, LoadReport, Outcome};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::{Method, Request, Response, StatusCode};
use tokio::time::timeout;

use super::link::{Link, Written};
use super::pool::{Pool, BODY_MOST};

/// A probe that has not come back by then tells that the server does not answer.
const PROBE: Duration = Duration::from_millis(250);

fn request(method: Method, target: String) -> Option<Request<Bytes>> {
    Request::builder().method(method).uri(target).header(HOST, "box").body(Bytes::new()).ok()
}

/// Sends a call that may be repeated at will: on a kept connection, then on a new one.
async fn call(pool: &Pool, server: &Id, method: &Method, target: &str) -> Option<(Link, Response<Incoming>)> {
    if let Some(mut link) = pool.kept(server).await {
        if let Ok(answer) = link.send(request(method.clone(), target.into())?, &Written::default()).await {
            return Some((link, answer));
        }
    }
    let mut link = pool.fresh(server).await.ok()?;
    let answer = link.send(request(method.clone(), target.into())?, &Written::default()).await.ok()?;
    Some((link, answer))
}

/// True once the server has taken the call.
pub(super) async fn release(pool: &Arc<Pool>, server: &Id, id: &Id) -> bool {
    let Some((link, answer)) = call(pool, server, &Method::DELETE, &format!("/state/{id}")).await else {
        return false;
    };
    let taken = answer.status().is_success();
    pool.keep_after(server, link, answer.into_body());
    taken
}

/// Asks for a server's load.
pub(super) async fn probe(pool: &Arc<Pool>, server: &Id) -> (Outcome, Option<LoadReport>) {
    let asked = async {
        let (link, answer) = call(pool, server, &Method::GET, "/_load").await?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), BODY_MOST).collect().await.ok()?.to_bytes();
        pool.keep_settled(server, link);
        Some((status, body))
    };
    match timeout(PROBE, asked).await {
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
