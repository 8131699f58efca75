//! The front for the platform's protocol: maps headers to queries, and answers to status codes.

use frosttrail::{Query, Settings};
use frosttrail_core::{Answer, Conductor, Upstream};
use hyper::body::Incoming;
use hyper::header::RETRY_AFTER;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};

use super::body::{event_stream_response, full_response, set_retry_after, ResponseBody, ServiceResult};
use super::input::{
    header_text, is_valid_id, parse_duration, parse_labels, read_body, remaining_budget,
    remove_hop_by_hop_headers, retry_flags, tenant_index, InputError, CHARS_PER_TOKEN,
};
use super::listener::Service;
use crate::upstream::Call;

const TEXT_PLAIN: &str = "text/plain; charset=utf-8";

/// Serves the platform's protocol.
pub struct PlatformFront<B> {
    conductor: Conductor<B>,
}

impl<B: Upstream<Call = Call>> PlatformFront<B> {
    /// Creates a front for this conductor.
    pub fn new(conductor: Conductor<B>) -> Self {
        PlatformFront { conductor }
    }

    async fn route(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody<B::Events>>, InputError> {
        match (request.uri().path(), request.method()) {
            ("/_health", &Method::GET) => Ok(self.health()),
            ("/_health", _) => Err(InputError::MethodNotAllowed("GET")),
            ("/v1/chat/completions", &Method::POST) => self.chat_completion(request).await,
            ("/v1/chat/completions", _) => Err(InputError::MethodNotAllowed("POST")),
            _ => Err(InputError::UnknownPath),
        }
    }

    fn health(&self) -> Response<ResponseBody<B::Events>> {
        match self.conductor.is_ready() {
            true => full_response(StatusCode::OK, TEXT_PLAIN, "ready\n"),
            false => full_response(StatusCode::SERVICE_UNAVAILABLE, TEXT_PLAIN, "no box is known yet\n"),
        }
    }

    async fn chat_completion(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody<B::Events>>, InputError> {
        let (mut head, incoming) = request.into_parts();
        let mut query = parse_query(&head.headers, &self.conductor.settings())?;
        let body = match read_body(&head, incoming).await {
            Err(e) if e.is_refusal() => {
                self.conductor.check_refusable(&query.id)?;
                self.conductor.count_refused(&query.class.name);
                return Err(e);
            }
            body => body?,
        };
        if query.prompt_tokens == 0 {
            query.prompt_tokens = body.len() as u64 / CHARS_PER_TOKEN;
        }
        query.budget = remaining_budget(&head, query.budget);
        remove_hop_by_hop_headers(&mut head.headers);
        let call = Call { method: head.method, target: head.uri, headers: head.headers, body };
        let answer = self.conductor.call(frosttrail_core::Request { query, call }).await;
        Ok(match answer {
            Ok(Answer::Served(stream)) => event_stream_response(ResponseBody::Events(stream)),
            Ok(Answer::Refused { retry_after, .. }) => {
                let mut refused =
                    full_response(StatusCode::SERVICE_UNAVAILABLE, TEXT_PLAIN, "refused: try again\n");
                set_retry_after(&mut refused, RETRY_AFTER, retry_after, |t| {
                    format!("{:.3}", t.as_secs_f64())
                });
                refused
            }
            Ok(Answer::Failed { .. }) => full_response(StatusCode::BAD_GATEWAY, TEXT_PLAIN, "failed\n"),
            Err(e) => return Err(e.into()),
        })
    }
}

impl<B: Upstream<Call = Call>> Service for PlatformFront<B> {
    type Events = B::Events;

    async fn respond(&self, request: Request<Incoming>) -> ServiceResult<B::Events> {
        Ok(self.route(request).await.unwrap_or_else(|e| self.reject(e)))
    }

    fn reject(&self, error: InputError) -> Response<ResponseBody<B::Events>> {
        full_response(error.status(), TEXT_PLAIN, format!("{error}\n"))
    }
}

/// Reads a query from the headers of a request.
fn parse_query(headers: &HeaderMap, settings: &Settings) -> Result<Query, InputError> {
    let id = header_text(headers, "x-txn")
        .filter(|id| is_valid_id(id))
        .ok_or(InputError::InvalidHeader("X-Txn"))?;
    let class_name = header_text(headers, "x-lane").ok_or(InputError::InvalidHeader("X-Lane"))?;
    let labels = parse_labels(header_text(headers, "x-labels").unwrap_or_default())?;
    let (is_client_retry, resumes_stream) = retry_flags(headers);
    Ok(Query {
        id: id.into(),
        session: header_text(headers, "x-entity").unwrap_or_default().into(),
        prefix: labels.prefix,
        prefix_tokens: labels.prefix_tokens,
        prompt_tokens: labels.prompt_tokens,
        max_tokens: labels.max_tokens,
        class: settings.class(class_name).ok_or(InputError::UnknownName("X-Lane"))?,
        tenant: tenant_index(headers, settings),
        budget: header_text(headers, "x-remaining")
            .and_then(parse_duration)
            .ok_or(InputError::InvalidHeader("X-Remaining"))?,
        is_client_retry,
        resumes_stream,
    })
}
