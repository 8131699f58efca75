//! Translates chat requests into queries; what a request does not state is derived by the rules in the
//! README.

use std::collections::BTreeMap;
use std::hash::{BuildHasher, Hash, Hasher, RandomState};
use std::sync::Arc;

use bytes::Bytes;
use fnv::FnvHasher;
use frosttrail::{Id, Query, RequestClass, Settings};
use hyper::header::{HeaderName, HeaderValue, CONTENT_TYPE};
use hyper::{HeaderMap, Method, Uri};
use serde::{Deserialize, Serialize};
use serde_json::value::{to_raw_value, RawValue};

use super::error::ApiError;
use crate::buffer_budget::{BudgetExhausted, BufferBudget};
use crate::front::input::{
    header_text, is_valid_id, parse_duration, parse_labels, retry_flags, tenant_index, InputError,
    CHARS_PER_TOKEN,
};
use crate::upstream::Call;

/// The fields of a request body that the front reads; the server validates the rest. The names of these types
/// appear in serde's errors, which are sent to clients.
#[derive(Deserialize)]
struct Body {
    model: String,
    messages: Vec<Message>,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default)]
    stream_options: Option<StreamOptions>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    user: Option<String>,
    #[serde(default)]
    metadata: Option<RawObject>,
}

/// A JSON object whose values are kept as text. Parsed values may take 70 times the memory of their text.
type RawObject = BTreeMap<String, Box<RawValue>>;

#[derive(Deserialize, Serialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

#[derive(Deserialize)]
struct Message {
    role: String,
    #[serde(default)]
    content: Option<Content>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<Part>),
}

#[derive(Deserialize)]
struct Part {
    #[serde(default)]
    text: String,
}

impl Message {
    /// All texts of the message's content.
    fn texts(&self) -> impl Iterator<Item = &str> {
        let (whole, parts) = match &self.content {
            Some(Content::Text(text)) => (Some(text.as_str()), [].as_slice()),
            Some(Content::Parts(parts)) => (None, parts.as_slice()),
            None => (None, [].as_slice()),
        };
        whole.into_iter().chain(parts.iter().map(|p| p.text.as_str()))
    }

    fn character_count(&self) -> u64 {
        self.texts().map(|t| t.chars().count() as u64).sum()
    }
}

/// A validated request, translated for the core and the server.
pub(super) struct ParsedRequest {
    pub(super) query: Query,
    pub(super) call: Call,
    pub(super) stream: bool,
    pub(super) include_usage: bool,
    pub(super) model: String,
}

/// Parses and validates chat requests.
pub(super) struct RequestParser {
    models: Vec<String>,
    /// The class of a request that names none.
    default_class: String,
    default_max_tokens: u64,
    /// Generates ids for requests without one, by hashing `next_id` with keys that are random per process.
    id_hasher: RandomState,
    next_id: std::sync::atomic::AtomicU64,
}

impl RequestParser {
    pub(super) fn new(models: Vec<String>, default_class: String, default_max_tokens: u64) -> Self {
        RequestParser {
            models,
            default_class,
            default_max_tokens,
            id_hasher: RandomState::new(),
            next_id: 0.into(),
        }
    }

    /// The models that clients may request.
    pub(super) fn models(&self) -> &[String] {
        &self.models
    }

    /// Parses a request into its query and the call to the server.
    pub(super) fn parse(
        &self,
        settings: &Settings,
        headers: &HeaderMap,
        bytes: Bytes,
        buffers: &BufferBudget,
    ) -> Result<ParsedRequest, ApiError> {
        let body: Body = serde_json::from_slice(&bytes).map_err(invalid_json)?;
        self.validate(&body)?;
        let query = self.build_query(settings, headers, &body)?;
        let stream = body.stream.unwrap_or(false);
        let bytes = if stream { bytes } else { as_streaming(bytes, buffers)? };
        let call = Call {
            method: Method::POST,
            target: Uri::from_static("/v1/chat/completions"),
            headers: server_headers(&query)?,
            body: bytes,
        };
        let include_usage = body.stream_options.is_some_and(|o| o.include_usage);
        Ok(ParsedRequest { query, call, stream, include_usage, model: body.model })
    }

    fn validate(&self, body: &Body) -> Result<(), ApiError> {
        if !self.models.contains(&body.model) {
            return Err(InputError::UnknownModel(body.model.clone()).into());
        }
        if body.messages.is_empty() {
            return Err(ApiError::Field { param: "messages", why: "must hold at least one message" });
        }
        if body.messages.iter().any(|m| m.role.is_empty()) {
            return Err(ApiError::Field { param: "messages", why: "must each name a role" });
        }
        if token_limit(body) == Some(0) {
            return Err(ApiError::Field { param: "max_tokens", why: "must be at least 1" });
        }
        if body.stream_options.is_some() && body.stream != Some(true) {
            return Err(ApiError::Field { param: "stream_options", why: "goes with `stream` only" });
        }
        Ok(())
    }

    fn build_query(&self, settings: &Settings, headers: &HeaderMap, body: &Body) -> Result<Query, ApiError> {
        let labels = parse_labels(header_text(headers, "x-labels").unwrap_or_default())?;
        let class = self.class(settings, headers, body)?;
        let prompt_tokens = match labels.prompt_tokens {
            0 => estimate_tokens(body.messages.iter().map(Message::character_count).sum()),
            named => named,
        };
        let (prefix, prefix_tokens) = match labels.prefix {
            Some(prefix) => (Some(prefix), labels.prefix_tokens),
            None => shared_prefix(&body.messages),
        };
        let max_tokens = if labels.max_tokens > 0 { Some(labels.max_tokens) } else { token_limit(body) };
        let (is_client_retry, resumes_stream) = retry_flags(headers);
        Ok(Query {
            id: self.id(headers)?,
            session: session_id(headers, body),
            prefix,
            prefix_tokens: prefix_tokens.min(prompt_tokens),
            prompt_tokens,
            max_tokens: max_tokens.unwrap_or(self.default_max_tokens),
            tenant: tenant_index(headers, settings),
            budget: budget(headers, &class, prompt_tokens)?,
            class,
            is_client_retry,
            resumes_stream,
        })
    }

    fn id(&self, headers: &HeaderMap) -> Result<Id, InputError> {
        match header_text(headers, "x-txn") {
            Some(id) if is_valid_id(id) => Ok(id.into()),
            Some(_) => Err(InputError::InvalidHeader("X-Txn")),
            None => {
                let count = self.next_id.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                Ok(format!("{:016x}", self.id_hasher.hash_one(count)).as_str().into())
            }
        }
    }

    fn class(
        &self,
        settings: &Settings,
        headers: &HeaderMap,
        body: &Body,
    ) -> Result<Arc<RequestClass>, InputError> {
        let in_body = || serde_json::from_str::<String>(body.metadata.as_ref()?.get("class")?.get()).ok();
        let in_header = header_text(headers, "x-lane").map(String::from);
        let name = in_header.or_else(in_body).unwrap_or_else(|| self.default_class.clone());
        settings.class(&name).ok_or(InputError::UnknownName("class"))
    }
}

/// How long the client waits, in microseconds: as it states, or else as long as clients of its class do,
/// which is the deadline and twice the target for the first token.
fn budget(headers: &HeaderMap, class: &RequestClass, prompt_tokens: u64) -> Result<u64, InputError> {
    match header_text(headers, "x-remaining") {
        Some(named) => parse_duration(named).ok_or(InputError::InvalidHeader("X-Remaining")),
        None => {
            Ok(class.deadline + 2 * class.first_token_target_per_ktoken.saturating_mul(prompt_tokens) / 1_000)
        }
    }
}

/// Creates the platform's headers, so that servers get the same as from the platform's front. The client's
/// own headers, and with them its credentials, are not forwarded.
fn server_headers(query: &Query) -> Result<HeaderMap, InputError> {
    let prefix = query.prefix.as_ref().map(|p| format!("prefix={p},")).unwrap_or_default();
    let labels = format!(
        "{prefix}prompt_len={},prefix_len={},max_out={}",
        query.prompt_tokens, query.prefix_tokens, query.max_tokens
    );
    let mut headers = HeaderMap::new();
    for (name, value) in [
        ("x-txn", &*query.id),
        ("x-lane", &*query.class.name),
        ("x-entity", &*query.session),
        ("x-labels", &*labels),
    ] {
        let value = HeaderValue::from_str(value).map_err(|_| InputError::InvalidHeader("X-Labels"))?;
        headers.insert(HeaderName::from_static(name), value);
    }
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    Ok(headers)
}

/// The limit on output tokens, if the request states one.
fn token_limit(body: &Body) -> Option<u64> {
    body.max_completion_tokens.or(body.max_tokens)
}

/// Estimates a token count from a number of characters.
fn estimate_tokens(characters: u64) -> u64 {
    characters.div_ceil(CHARS_PER_TOKEN)
}

/// The id of the conversation: as the client states it, or else a hash of the user and all messages up to the
/// first from the user, which are the same in every turn.
fn session_id(headers: &HeaderMap, body: &Body) -> Id {
    if let Some(named) = header_text(headers, "x-entity") {
        return named.into();
    }
    let first = body.messages.iter().position(|m| m.role == "user").map_or(body.messages.len(), |at| at + 1);
    let opening = body.messages[..first].iter().flat_map(Message::texts);
    hash_texts(body.user.as_deref().into_iter().chain(opening))
}

/// The prefix that the prompt shares with other conversations, and its tokens: the first message, if it is a
/// system or developer message with others after it.
fn shared_prefix(messages: &[Message]) -> (Option<Id>, u64) {
    match messages.first() {
        Some(first) if matches!(first.role.as_str(), "system" | "developer") && messages.len() > 1 => {
            (Some(hash_texts(first.texts())), first.character_count() / CHARS_PER_TOKEN)
        }
        _ => (None, 0),
    }
}

/// Hashes texts into an id. The hash has no seed, so that it is the same on every conductor and after a
/// restart.
fn hash_texts<'a>(texts: impl Iterator<Item = &'a str>) -> Id {
    let mut hash = FnvHasher::default();
    texts.for_each(|text| text.hash(&mut hash));
    format!("{:016x}", hash.finish()).as_str().into()
}

fn invalid_json(e: serde_json::Error) -> InputError {
    InputError::InvalidBody(format!("the body: {e}"))
}

/// Rewrites a request body to ask for a stream with usage, because servers only stream.
fn as_streaming(bytes: Bytes, buffers: &BufferBudget) -> Result<Bytes, InputError> {
    let mut body: RawObject = serde_json::from_slice(&bytes).map_err(invalid_json)?;
    drop(bytes);
    body.insert("stream".into(), to_raw_value(&true).map_err(invalid_json)?);
    let stream_options = StreamOptions { include_usage: true };
    body.insert("stream_options".into(), to_raw_value(&stream_options).map_err(invalid_json)?);
    let rewritten = serde_json::to_vec(&body).map_err(invalid_json)?;
    let mut reservation = buffers.empty_reservation();
    reservation.try_grow(rewritten.len()).map_err(|BudgetExhausted| InputError::OutOfMemory)?;
    Ok(reservation.attach_to(rewritten.into_boxed_slice().into()))
}
