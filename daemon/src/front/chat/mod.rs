//! The OpenAI-style front: `POST /v1/chat/completions`, with or without streaming. It validates and
//! translates requests; the same core as behind the platform's front decides how each request is served.

mod completion_builder;
mod error;
mod request;
mod sse;

use std::future::poll_fn;

use bytes::Bytes;
use frosttrail::Outcome;
use frosttrail_core::{Answer, AnswerStream, Conductor, EventStream, StreamBroken, Upstream};
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::json;

pub use sse::ChatStream;

use self::completion_builder::CompletionBuilder;
use self::error::ApiError;
use self::request::{ParsedRequest, RequestParser};
use super::body::{event_stream_response, full_response, set_retry_after, ResponseBody, ServiceResult};
use super::input::{buffer_budget, header_text, read_body, remaining_budget, InputError};
use super::listener::Service;
use crate::buffer_budget::{BudgetExhausted, BufferBudget};
use crate::config::ChatConfig;
use crate::upstream::Call;

pub(super) const JSON: &str = "application/json";
/// Tells client libraries whether to retry: `true` for a refused request, `false` for one that may have run.
const SHOULD_RETRY: HeaderName = HeaderName::from_static("x-should-retry");
/// Like `Retry-After`, which holds whole seconds only, but in milliseconds; some client libraries prefer it.
const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("retry-after-ms");
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Serves the chat API.
pub struct ChatFront<B> {
    conductor: Conductor<B>,
    parser: RequestParser,
}

impl<B: Upstream<Call = Call>> ChatFront<B> {
    /// Creates a front for this conductor.
    pub fn new(conductor: Conductor<B>, config: ChatConfig) -> Self {
        let ChatConfig { models, class, max_tokens, .. } = config;
        let parser = RequestParser::new(models, class, max_tokens);
        ChatFront { conductor, parser }
    }

    async fn route(&self, request: Request<Incoming>) -> Result<Response<ResponseBody<B::Events>>, ApiError> {
        match (request.uri().path(), request.method()) {
            ("/v1/chat/completions", &Method::POST) => self.chat_completion(request).await,
            ("/v1/chat/completions", _) => Err(InputError::MethodNotAllowed("POST").into()),
            ("/v1/models", &Method::GET) => Ok(self.list_models()),
            ("/v1/models", _) => Err(InputError::MethodNotAllowed("GET").into()),
            _ => Err(InputError::UnknownPath.into()),
        }
    }

    fn list_models(&self) -> Response<ResponseBody<B::Events>> {
        let model = |id| json!({"id": id, "object": "model", "created": 0, "owned_by": "frosttrail"});
        let data: Vec<_> = self.parser.models().iter().map(model).collect();
        full_response(StatusCode::OK, JSON, json!({"object": "list", "data": data}).to_string())
    }

    async fn chat_completion(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody<B::Events>>, ApiError> {
        let (head, incoming) = request.into_parts();
        let buffers = buffer_budget(&head);
        let body = read_body(&head, incoming).await.map_err(|e| self.check_refusal(&head, e.into()))?;
        let parsed = self.parser.parse(&self.conductor.settings(), &head.headers, body, &buffers);
        let ParsedRequest { mut query, call, stream, include_usage, model } =
            parsed.map_err(|e| self.check_refusal(&head, e))?;
        query.budget = remaining_budget(&head, query.budget);
        let id = query.id.clone();
        let answer = self.conductor.call(frosttrail_core::Request { query, call }).await;
        let mut response = match answer {
            Ok(Answer::Served(answer)) if stream => {
                event_stream_response(ResponseBody::Chat(ChatStream::new(answer, include_usage)))
            }
            Ok(Answer::Served(answer)) => match self.collect_until_due(answer, &id, model, &buffers).await {
                Ok(text) => full_response(StatusCode::OK, JSON, text),
                Err(e) => e.response(),
            },
            Ok(Answer::Refused { retry_after, last_outcome }) => {
                let has_reached_server =
                    self.conductor.is_ready() && last_outcome != Some(Outcome::NoConnection);
                let mut refused = ApiError::from_refusal(has_reached_server).response();
                set_retry_after(&mut refused, RETRY_AFTER, retry_after, |t| {
                    t.as_secs_f64().ceil().to_string()
                });
                set_retry_after(&mut refused, RETRY_AFTER_MS, retry_after, |t| t.as_millis().to_string());
                refused.headers_mut().insert(SHOULD_RETRY, HeaderValue::from_static("true"));
                refused
            }
            Ok(Answer::Failed { last_outcome: None | Some(Outcome::NoAnswer) }) => {
                ApiError::TimedOut.response()
            }
            Ok(Answer::Failed { .. }) => ApiError::ServerFailed.response(),
            Err(e) => return Err(InputError::from(e).into()),
        };
        if let Ok(id) = HeaderValue::from_str(&id) {
            response.headers_mut().insert(REQUEST_ID, id);
        }
        Ok(response)
    }

    /// Replaces a refusal by this front where it would not be harmless to try again.
    fn check_refusal(&self, head: &Parts, error: ApiError) -> ApiError {
        if !matches!(&error, ApiError::Input(e) if e.is_refusal()) {
            return error;
        }
        let id = header_text(&head.headers, "x-txn");
        match id.map(|id| self.conductor.check_refusable(&id.into())) {
            Some(Err(conflict)) => InputError::from(conflict).into(),
            _ => error,
        }
    }

    /// Collects a stream into one completion object. Fails if the final answers are due first: the client has
    /// received nothing, however much of the stream has arrived.
    async fn collect_until_due(
        &self,
        events: AnswerStream<B::Events>,
        id: &str,
        model: String,
        buffers: &BufferBudget,
    ) -> Result<Bytes, ApiError> {
        tokio::select! {
            biased;
            completion = collect_completion(events, id, model, buffers) => completion,
            () = self.conductor.final_answers_due() => Err(ApiError::Stopping),
        }
    }
}

impl<B: Upstream<Call = Call>> Service for ChatFront<B> {
    type Events = B::Events;

    async fn respond(&self, request: Request<Incoming>) -> ServiceResult<B::Events> {
        Ok(self.route(request).await.unwrap_or_else(ApiError::response))
    }

    fn reject(&self, error: InputError) -> Response<ResponseBody<B::Events>> {
        ApiError::from(error).response()
    }
}

/// Collects a stream into one completion object. Fails if the stream breaks, ends without its final event, or
/// exceeds the memory for buffers.
async fn collect_completion<E: EventStream>(
    mut events: AnswerStream<E>,
    id: &str,
    model: String,
    buffers: &BufferBudget,
) -> Result<Bytes, ApiError> {
    let mut reservation = buffers.empty_reservation();
    let mut completion = CompletionBuilder::new(format!("chatcmpl-{id}"), model);
    while let Some(data) = poll_fn(|cx| events.poll_next(cx)).await {
        let data = data.map_err(|StreamBroken| ApiError::ServerFailed)?;
        reservation.try_grow(data.len()).map_err(|BudgetExhausted| ApiError::OutOfMemory)?;
        completion.push_event(&data)?;
    }
    Ok(reservation.attach_to(completion.finish()?.into_boxed_str().into_boxed_bytes().into()))
}
