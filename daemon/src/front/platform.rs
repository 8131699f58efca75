//! The platform's front: headers to queries, answers to statuses.

use frosttrail::{Query, Settings};
use frosttrail_core::{Answer, CallError, Conductor, Upstream};
use hyper::body::Incoming;
use hyper::header::RETRY_AFTER;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};

use super::body::{advise, events, whole, FrontBody, FrontResponse};
use super::input::{
    body, end_to_end, is_id, platform_labels, repeat, span, tenant, text, InputError, TOKEN_BYTES,
};
use super::listener::Service;
use crate::upstream::Call;

const PLAIN: &str = "text/plain; charset=utf-8";

/// Translates the platform's protocol.
pub struct Platform<B> {
    conductor: Conductor<B>,
}

impl<B: Upstream<Call = Call>> Platform<B> {
    /// A front of this conductor.
    pub fn new(conductor: Conductor<B>) -> Self {
        Platform { conductor }
    }

    async fn route(&self, request: Request<Incoming>) -> Result<Response<FrontBody<B::Events>>, InputError> {
        match (request.uri().path(), request.method()) {
            ("/_health", &Method::GET) => Ok(self.health()),
            ("/_health", _) => Err(InputError::Method("GET")),
            ("/v1/chat/completions", &Method::POST) => self.chat(request).await,
            ("/v1/chat/completions", _) => Err(InputError::Method("POST")),
            _ => Err(InputError::Path),
        }
    }

    fn health(&self) -> Response<FrontBody<B::Events>> {
        match self.conductor.is_ready() {
            true => whole(StatusCode::OK, PLAIN, "ready\n"),
            false => whole(StatusCode::SERVICE_UNAVAILABLE, PLAIN, "no box is known yet\n"),
        }
    }

    async fn chat(&self, request: Request<Incoming>) -> Result<Response<FrontBody<B::Events>>, InputError> {
        let (mut head, incoming) = request.into_parts();
        let mut query = query(&head.headers, &self.conductor.settings())?;
        let body = body(&head, incoming).await.inspect_err(|e| {
            if e.is_refusal() {
                self.conductor.count_refused(&query.class.name);
            }
        })?;
        if query.prompt_tokens == 0 {
            query.prompt_tokens = body.len() as u64 / TOKEN_BYTES;
        }
        end_to_end(&mut head.headers);
        let call = Call { method: head.method, target: head.uri, headers: head.headers, body };
        let answer = self.conductor.call(frosttrail_core::Request { query, call }).await;
        Ok(match answer {
            Ok(Answer::Served(stream)) => events(FrontBody::Events(stream)),
            Ok(Answer::Refused { retry_after, .. }) => {
                let mut refused = whole(StatusCode::SERVICE_UNAVAILABLE, PLAIN, "refused: try again\n");
                advise(&mut refused, RETRY_AFTER, retry_after, |t| format!("{:.3}", t.as_secs_f64()));
                refused
            }
            Ok(Answer::Failed { .. }) => whole(StatusCode::BAD_GATEWAY, PLAIN, "failed\n"),
            Err(CallError::IdInUse) => return Err(InputError::IdInUse),
        })
    }
}

impl<B: Upstream<Call = Call>> Service for Platform<B> {
    type Events = B::Events;

    async fn answer(&self, request: Request<Incoming>) -> FrontResponse<B::Events> {
        Ok(self.route(request).await.unwrap_or_else(|e| self.turn_down(e)))
    }

    fn turn_down(&self, error: InputError) -> Response<FrontBody<B::Events>> {
        whole(error.status(), PLAIN, format!("{error}\n"))
    }
}

/// What the headers say of a request.
fn query(headers: &HeaderMap, settings: &Settings) -> Result<Query, InputError> {
    let id = text(headers, "x-txn").filter(|id| is_id(id)).ok_or(InputError::Header("X-Txn"))?;
    let lane = text(headers, "x-lane").ok_or(InputError::Header("X-Lane"))?;
    let labels = platform_labels(text(headers, "x-labels").unwrap_or_default())?;
    let (is_client_retry, resumes_stream) = repeat(headers);
    Ok(Query {
        id: id.into(),
        session: text(headers, "x-entity").unwrap_or_default().into(),
        prefix: labels.prefix,
        prefix_tokens: labels.prefix_tokens,
        prompt_tokens: labels.prompt_tokens,
        max_tokens: labels.max_tokens,
        class: settings.class(lane).ok_or(InputError::Unknown("X-Lane"))?,
        tenant: tenant(headers, settings),
        budget: text(headers, "x-remaining").and_then(span).ok_or(InputError::Header("X-Remaining"))?,
        is_client_retry,
        resumes_stream,
    })
}
