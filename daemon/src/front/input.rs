//! Validation of client input that all fronts share.

use std::collections::HashMap;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use frosttrail::{Id, Micros, Settings};
use frosttrail_core::CallError;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{
    HeaderName, CONNECTION, CONTENT_LENGTH, EXPECT, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use hyper::http::request::Parts;
use hyper::{HeaderMap, StatusCode};
use tokio::time::{timeout_at, Instant};

use super::clients::BodyReadNotice;
use crate::buffer_budget::{BufferBudget, ReservedBuffer};

/// Largest request body.
const MAX_BODY_BYTES: usize = 256 << 10;
/// Largest token count that a client may state for a prompt or an answer; a body of the largest size holds
/// far fewer tokens.
const MAX_TOKENS: u64 = 1 << 20;
/// Longest value of a request header; bounded because sessions and prefixes are kept in memory for a while.
const MAX_HEADER_BYTES: usize = 1 << 10;
/// Headers that describe a request: in lower case for comparison, and as spelled in errors.
const REQUEST_HEADERS: [(&str, &str); 7] = [
    ("x-txn", "X-Txn"),
    ("x-lane", "X-Lane"),
    ("x-entity", "X-Entity"),
    ("x-remaining", "X-Remaining"),
    ("x-labels", "X-Labels"),
    ("x-resent", "X-Resent"),
    ("x-org", "X-Org"),
];
/// Requests that are complete later than this after the time at which the listeners close are refused. They
/// close at most 0.65 s after SIGTERM, and a stream that was admitted more than 0.7 s after SIGTERM and still
/// runs at SIGKILL is lost.
const ADMISSION_GRACE: Duration = Duration::from_millis(30);
/// Characters (or bytes) per token, to estimate token counts that a client does not state.
pub(super) const CHARS_PER_TOKEN: u64 = 4;
/// Longest request id.
const MAX_ID_BYTES: usize = 128;

/// Why a request is rejected before it reaches the core.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum InputError {
    /// A header is missing or malformed.
    #[error("{0}: missing or malformed")]
    InvalidHeader(&'static str),
    /// A header or a field has a name that the settings don't define.
    #[error("{0}: no such name")]
    UnknownName(&'static str),
    /// The body is missing, incomplete or malformed.
    #[error("{0}")]
    InvalidBody(String),
    /// The model is not served here.
    #[error("the model `{0}` does not exist")]
    UnknownModel(String),
    /// The path does not exist.
    #[error("no such path")]
    UnknownPath,
    /// The path takes another method, which is given.
    #[error("this path takes {0} only")]
    MethodNotAllowed(&'static str),
    /// The framing of the body can be read in more than one way.
    #[error("Content-Length or Transfer-Encoding: repeated, at odds or malformed")]
    AmbiguousFraming,
    /// Another request with the same id is still open.
    #[error("X-Txn: a request with this id has not ended yet")]
    IdInUse,
    /// A request with the same id has ended and may have taken effect.
    #[error("X-Txn: a request with this id may have taken effect; send a new request under a new id")]
    IdUsed,
    /// The body is larger than `MAX_BODY_BYTES`.
    #[error("the body is larger than 256 KiB")]
    BodyTooLarge,
    /// The body did not arrive in time.
    #[error("the body did not come in time")]
    BodyTimeout,
    /// The request was complete only after the listeners had closed; a retry at another conductor is safe.
    #[error("refused: this conductor is about to end, ask another")]
    Closing,
    /// Open requests hold all connection slots; a retry is safe.
    #[error("refused: too many requests are open, try again")]
    TooManyOpenRequests,
    /// Open requests take all memory for bodies; a retry is safe.
    #[error("refused: open requests take all memory, try again")]
    OutOfMemory,
}

impl From<CallError> for InputError {
    fn from(error: CallError) -> Self {
        match error {
            CallError::IdInUse => InputError::IdInUse,
            CallError::IdUsed => InputError::IdUsed,
        }
    }
}

impl InputError {
    /// Whether the request arrived in full and is refused only for lack of time or capacity.
    pub fn is_refusal(&self) -> bool {
        matches!(self, InputError::Closing | InputError::TooManyOpenRequests | InputError::OutOfMemory)
    }

    /// The status code of the response.
    pub fn status(&self) -> StatusCode {
        match self {
            InputError::InvalidHeader(_)
            | InputError::UnknownName(_)
            | InputError::InvalidBody(_)
            | InputError::AmbiguousFraming => StatusCode::BAD_REQUEST,
            InputError::IdInUse | InputError::IdUsed => StatusCode::CONFLICT,
            InputError::UnknownModel(_) | InputError::UnknownPath => StatusCode::NOT_FOUND,
            InputError::MethodNotAllowed(_) => StatusCode::METHOD_NOT_ALLOWED,
            InputError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            InputError::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            InputError::Closing | InputError::TooManyOpenRequests | InputError::OutOfMemory => {
                StatusCode::SERVICE_UNAVAILABLE
            }
        }
    }
}

/// The time by which a request must have arrived in full.
#[derive(Clone, Copy, Debug)]
pub(super) struct ArrivalDeadline(pub(super) Instant);

/// The earliest time at which a request can have begun to arrive.
#[derive(Clone, Copy, Debug)]
pub(super) struct ArrivedAt(pub(super) Instant);

/// What is left of the time that a client waits, which runs from the moment at which it sent the request.
pub(super) fn remaining_budget(head: &Parts, stated: Micros) -> Micros {
    let elapsed = head.extensions.get::<ArrivedAt>().map(|arrived_at| arrived_at.0.elapsed());
    stated.saturating_sub(elapsed.unwrap_or_default().as_micros() as Micros)
}

/// Decides whether a request may start once it has arrived in full.
#[derive(Clone, Debug)]
pub(super) struct Admission {
    /// When the listeners close or were closed, once that is known.
    pub(super) closes_at: Arc<OnceLock<Instant>>,
    /// Whether the connection holds a regular slot.
    pub(super) has_slot: bool,
    /// The memory for the bodies of requests.
    pub(super) buffers: BufferBudget,
}

impl Admission {
    fn check(&self) -> Result<(), InputError> {
        // A stream that starts now might still run when the process is killed.
        if self.closes_at.get().is_some_and(|at| at.elapsed() > ADMISSION_GRACE) {
            return Err(InputError::Closing);
        }
        match self.has_slot {
            true => Ok(()),
            false => Err(InputError::TooManyOpenRequests),
        }
    }
}

/// The memory for what belongs to this request.
pub(super) fn buffer_budget(head: &Parts) -> BufferBudget {
    head.extensions
        .get::<Admission>()
        .map_or_else(BufferBudget::unlimited, |admission| admission.buffers.clone())
}

/// Checks the request headers, then reads the body within its limits of size, time and memory.
pub(super) async fn read_body(head: &Parts, body: Incoming) -> Result<Bytes, InputError> {
    check_request_headers(&head.headers)?;
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(InputError::BodyTooLarge);
    }
    let buffers = buffer_budget(head);
    let collected = collect_body(body, &buffers);
    let collected = match head.extensions.get::<ArrivalDeadline>() {
        Some(ArrivalDeadline(deadline)) => {
            timeout_at(*deadline, collected).await.map_err(|_| InputError::BodyTimeout)?
        }
        None => collected.await,
    };
    if matches!(collected, Ok(_) | Err(InputError::OutOfMemory)) {
        if let Some(notice) = head.extensions.get::<BodyReadNotice>() {
            notice.notify();
        }
    }
    let bytes = collected?;
    head.extensions.get::<Admission>().map_or(Ok(()), Admission::check)?;
    // A server could only reject an empty body.
    match bytes.is_empty() {
        true => Err(InputError::InvalidBody("the body is missing".into())),
        false => Ok(bytes),
    }
}

/// Copies the body into one buffer, since a part that is kept as it arrived would keep all of the buffer that
/// it was read into. Where the budget has no room, reads the body to its end all the same, so that the client
/// gets its refusal on a connection that remains usable.
async fn collect_body(body: Incoming, buffers: &BufferBudget) -> Result<Bytes, InputError> {
    let max_bytes = body.size_hint().exact().map_or(MAX_BODY_BYTES, |length| length as usize);
    let mut body = Limited::new(body, MAX_BODY_BYTES);
    let mut buffer = ReservedBuffer::new(buffers, max_bytes);
    let mut is_out_of_memory = false;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| match e.is::<LengthLimitError>() {
            true => InputError::BodyTooLarge,
            false => InputError::InvalidBody("the body broke off".into()),
        })?;
        let Some(data) = frame.data_ref() else { continue };
        if !is_out_of_memory && buffer.try_extend(data).is_err() {
            is_out_of_memory = true;
            buffer.clear();
        }
    }
    match is_out_of_memory {
        true => Err(InputError::OutOfMemory),
        false => Ok(buffer.into_bytes()),
    }
}

/// Checks that each request header occurs at most once, has a bounded length, and is not listed as
/// hop-by-hop: otherwise the server and the conductor could read one request differently.
fn check_request_headers(headers: &HeaderMap) -> Result<(), InputError> {
    for (name, spelling) in REQUEST_HEADERS {
        let mut values = headers.get_all(name).iter();
        let first = values.next();
        let is_invalid = first.is_some_and(|v| v.len() > MAX_HEADER_BYTES || v.to_str().is_err());
        if is_invalid || values.next().is_some() {
            return Err(InputError::InvalidHeader(spelling));
        }
    }
    match connection_options(headers)
        .any(|name| REQUEST_HEADERS.iter().any(|(request_header, _)| name == *request_header))
    {
        true => Err(InputError::InvalidHeader("Connection")),
        false => Ok(()),
    }
}

/// The value of a header as text.
pub(super) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok())
}

/// The index of the tenant that the request names, if the settings define it.
pub(super) fn tenant_index(headers: &HeaderMap, settings: &Settings) -> Option<usize> {
    settings.tenant(header_text(headers, "x-org")?)
}

/// Whether the request is a client's retry, and whether the client resumes a stream.
pub(super) fn retry_flags(headers: &HeaderMap) -> (bool, bool) {
    let resent = header_text(headers, "x-resent");
    (resent == Some("1"), resent == Some("again"))
}

/// Whether a text is a valid request id. Ids are sent in paths and headers, so they contain no characters
/// that need escaping there.
pub(super) fn is_valid_id(text: &str) -> bool {
    let is_unreserved = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b'~');
    !text.is_empty() && text.len() <= MAX_ID_BYTES && text.bytes().all(is_unreserved)
}

/// The headers that `Connection` lists as hop-by-hop.
fn connection_options(headers: &HeaderMap) -> impl Iterator<Item = HeaderName> + '_ {
    let values = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).filter_map(|name| name.trim().parse().ok())
}

/// Removes the headers that apply to one connection only.
pub(super) fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let options: Vec<HeaderName> = connection_options(headers).collect();
    let always = [
        CONNECTION,
        CONTENT_LENGTH,
        EXPECT,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
        HeaderName::from_static("keep-alive"),
    ];
    for name in options.into_iter().chain(always) {
        headers.remove(name);
    }
}

/// The prompt labels in `X-Labels`; counts that it does not name are 0.
#[derive(Debug, PartialEq)]
pub(super) struct PromptLabels {
    pub(super) prefix: Option<Id>,
    pub(super) prefix_tokens: u64,
    pub(super) prompt_tokens: u64,
    pub(super) max_tokens: u64,
}

/// Parses labels of the form `name=value,name=value`.
pub(super) fn parse_labels(text: &str) -> Result<PromptLabels, InputError> {
    const INVALID: InputError = InputError::InvalidHeader("X-Labels");
    let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
    let pairs: HashMap<&str, &str> =
        parts.map(|p| p.split_once('=').ok_or(INVALID)).collect::<Result<_, _>>()?;
    let number = |text: &&str| text.parse().ok().filter(|n| *n <= MAX_TOKENS).ok_or(INVALID);
    let count = |name| pairs.get(name).map_or(Ok(0), number);
    Ok(PromptLabels {
        prefix: pairs.get("prefix").filter(|p| !p.is_empty()).map(|p| Id::from(*p)),
        prefix_tokens: count("prefix_len")?,
        prompt_tokens: count("prompt_len")?,
        max_tokens: count("max_out")?,
    })
}

/// Parses a number with its unit: `m` for milliseconds, `u` for microseconds.
pub(super) fn parse_duration(text: &str) -> Option<Micros> {
    /// One day: no client waits longer, and larger values could overflow.
    const MAX_US: f64 = 86_400e6;
    let text = text.trim();
    let (number, micros) = match text.strip_suffix('m') {
        Some(number) => (number, 1_000.0),
        None => (text.strip_suffix('u')?, 1.0),
    };
    let number: f64 = number.parse().ok()?;
    (number.is_finite() && number >= 0.0).then(|| (number * micros).min(MAX_US) as Micros)
}
