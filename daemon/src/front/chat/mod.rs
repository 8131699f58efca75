//! The OpenAI-style front: `POST /v1/chat/completions`, with or without streamed events. It translates
//! and checks; what becomes of a request is settled by the same core as behind the platform's front.

mod error;
mod gather;
mod request;
mod sse;

use std::future::poll_fn;

use frosttrail::Outcome;
use frosttrail_core::{Answer, AnswerStream, CallError, Conductor, EventStream, StreamBroken, Upstream};
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode};
use serde_json::json;

pub use sse::ChatStream;

use self::error::ApiError;
use self::gather::Gather;
use self::request::{Asked, Reader};
use super::body::{advise, events, whole, FrontBody, FrontResponse};
use super::input::{body, InputError};
use super::listener::Service;
use crate::config::ChatConfig;
use crate::upstream::Call;

pub(super) const JSON: &str = "application/json";
/// Tells a client's library not to repeat by itself what may have run.
const SHOULD_RETRY: HeaderName = HeaderName::from_static("x-should-retry");
/// The same advice as `Retry-After`, which holds whole seconds only, for libraries that read this first.
const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("retry-after-ms");
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Translates the chat API.
pub struct Chat<B> {
    conductor: Conductor<B>,
    reader: Reader,
}

impl<B: Upstream<Call = Call>> Chat<B> {
    /// A front of this conductor.
    pub fn new(conductor: Conductor<B>, config: ChatConfig) -> Self {
        let ChatConfig { models, class, max_tokens, .. } = config;
        let reader = Reader::new(models, class, max_tokens);
        Chat { conductor, reader }
    }

    async fn route(&self, request: Request<Incoming>) -> Result<Response<FrontBody<B::Events>>, ApiError> {
        match (request.uri().path(), request.method()) {
            ("/v1/chat/completions", &Method::POST) => self.complete(request).await,
            ("/v1/chat/completions", _) => Err(InputError::Method("POST").into()),
            ("/v1/models", &Method::GET) => Ok(self.list()),
            ("/v1/models", _) => Err(InputError::Method("GET").into()),
            _ => Err(InputError::Path.into()),
        }
    }

    fn list(&self) -> Response<FrontBody<B::Events>> {
        let model = |id| json!({"id": id, "object": "model", "created": 0, "owned_by": "frosttrail"});
        let data: Vec<_> = self.reader.models().iter().map(model).collect();
        whole(StatusCode::OK, JSON, json!({"object": "list", "data": data}).to_string())
    }

    async fn complete(&self, request: Request<Incoming>) -> Result<Response<FrontBody<B::Events>>, ApiError> {
        let (head, incoming) = request.into_parts();
        let Asked { query, call, stream, include_usage, model } =
            self.reader.read(&self.conductor.settings(), &head.headers, body(&head, incoming).await?)?;
        let id = query.id.clone();
        let answer = self.conductor.call(frosttrail_core::Request { query, call }).await;
        let mut response = match answer {
            Ok(Answer::Served(answer)) if stream => {
                events(FrontBody::Chat(ChatStream::new(answer, include_usage)))
            }
            Ok(Answer::Served(answer)) => match gather(answer, &id, model).await {
                Ok(text) => whole(StatusCode::OK, JSON, text),
                Err(e) => e.response(),
            },
            Ok(Answer::Refused { retry_after, last_outcome }) => {
                let reached = self.conductor.is_ready() && last_outcome != Some(Outcome::NoConnection);
                let mut refused = ApiError::refused(reached).response();
                advise(&mut refused, RETRY_AFTER, retry_after, |t| t.as_secs_f64().ceil().to_string());
                advise(&mut refused, RETRY_AFTER_MS, retry_after, |t| t.as_millis().to_string());
                refused.headers_mut().insert(SHOULD_RETRY, HeaderValue::from_static("true"));
                refused
            }
            Ok(Answer::Failed { last_outcome: None | Some(Outcome::NoAnswer) }) => {
                ApiError::TimedOut.response()
            }
            Ok(Answer::Failed { .. }) => ApiError::HttpUpstream.response(),
            Err(CallError::IdInUse) => return Err(InputError::IdInUse.into()),
        };
        if let Ok(id) = HeaderValue::from_str(&id) {
            response.headers_mut().insert(REQUEST_ID, id);
        }
        Ok(response)
    }
}

impl<B: Upstream<Call = Call>> Service for Chat<B> {
    type Events = B::Events;

    async fn answer(&self, request: Request<Incoming>) -> FrontResponse<B::Events> {
        Ok(self.route(request).await.unwrap_or_else(ApiError::response))
    }

    fn turn_down(&self, error: InputError) -> Response<FrontBody<B::Events>> {
        ApiError::from(error).response()
    }
}

/// Reads an answer to its end into one object. One that breaks off, or ends without its final event, is
/// not an answer.
async fn gather<E: EventStream>(
    mut events: AnswerStream<E>,
    id: &str,
    model: String,
) -> Result<String, ApiError> {
    let mut gather = Gather::new(format!("chatcmpl-{id}"), model);
    while let Some(data) = poll_fn(|cx| events.poll_next(cx)).await {
        let data = data.map_err(|StreamBroken| ApiError::HttpUpstream)?;
        gather.push(&data)?;
    }
    gather.finish()
}
