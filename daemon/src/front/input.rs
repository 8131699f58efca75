//! What every front checks of what comes in.

use std::collections::HashMap;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use frosttrail::{Id, Micros, Settings};
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

/// The largest body on this wire.
const MAX_BODY_BYTES: usize = 256 << 10;
/// No prompt or answer has more tokens; a body holds a small part of this.
const MAX_TOKENS: u64 = 1 << 20;
/// No header that says what a request is, is longer: sessions and prefixes are remembered for a while.
const MAX_HEADER_BYTES: usize = 1 << 10;
/// Headers that say what a request is, as they are compared and as they are spelt.
const REQUEST_HEADERS: [(&str, &str); 7] = [
    ("x-txn", "X-Txn"),
    ("x-lane", "X-Lane"),
    ("x-entity", "X-Entity"),
    ("x-remaining", "X-Remaining"),
    ("x-labels", "X-Labels"),
    ("x-resent", "X-Resent"),
    ("x-org", "X-Org"),
];
/// What is whole so long after the listeners have closed, 0.65 s after SIGTERM at the latest, begins no
/// more: a stream that was taken over 0.7 s after SIGTERM and still runs at SIGKILL is lost.
const ADMISSION_GRACE: Duration = Duration::from_millis(30);
/// Four characters make a token.
pub(super) const CHARS_PER_TOKEN: u64 = 4;
/// The longest id.
const MAX_ID_BYTES: usize = 128;

/// Why a client's request is turned down before it is one.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum InputError {
    /// A header is missing or says nothing that makes sense.
    #[error("{0}: missing or malformed")]
    InvalidHeader(&'static str),
    /// A header names something that the settings don't.
    #[error("{0}: no such name")]
    UnknownName(&'static str),
    /// The body is not what it should be.
    #[error("{0}")]
    InvalidBody(String),
    /// The model is not served here.
    #[error("the model `{0}` does not exist")]
    UnknownModel(String),
    /// No such path.
    #[error("no such path")]
    UnknownPath,
    /// The path takes another method.
    #[error("this path takes {0} only")]
    MethodNotAllowed(&'static str),
    /// Its head can be read in more than one way.
    #[error("Content-Length or Transfer-Encoding: repeated, at odds or malformed")]
    AmbiguousFraming,
    /// Its id is that of a request that has not ended.
    #[error("X-Txn: a request with this id has not ended yet")]
    IdInUse,
    /// More than a body may hold.
    #[error("the body is larger than 256 KiB")]
    BodyTooLarge,
    /// The body did not come in time.
    #[error("the body did not come in time")]
    BodyTimeout,
    /// It came whole only after the listeners had closed; trying again elsewhere is harmless.
    #[error("refused: this conductor is about to end, ask another")]
    Closing,
    /// Open requests have all places; trying again is harmless.
    #[error("refused: too many requests are open, try again")]
    TooManyOpenRequests,
}

impl InputError {
    /// Whether the request was whole, and is refused for want of time or room here.
    pub fn is_refusal(&self) -> bool {
        matches!(self, InputError::Closing | InputError::TooManyOpenRequests)
    }

    /// The status that says so.
    pub fn status(&self) -> StatusCode {
        match self {
            InputError::InvalidHeader(_)
            | InputError::UnknownName(_)
            | InputError::InvalidBody(_)
            | InputError::AmbiguousFraming => StatusCode::BAD_REQUEST,
            InputError::IdInUse => StatusCode::CONFLICT,
            InputError::UnknownModel(_) | InputError::UnknownPath => StatusCode::NOT_FOUND,
            InputError::MethodNotAllowed(_) => StatusCode::METHOD_NOT_ALLOWED,
            InputError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            InputError::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            InputError::Closing | InputError::TooManyOpenRequests => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// When a request must have come whole.
#[derive(Clone, Copy, Debug)]
pub(super) struct ArrivalDeadline(pub(super) Instant);

/// Whether a request may begin once it has come whole.
#[derive(Clone, Debug)]
pub(super) struct Admission {
    /// When the listeners were closed for good, once they are.
    pub(super) closed_at: Arc<OnceLock<Instant>>,
    /// Its connection has a place for a request.
    pub(super) has_slot: bool,
}

impl Admission {
    fn check(&self) -> Result<(), InputError> {
        // What it would begin to stream now might run into the program's end.
        if self.closed_at.get().is_some_and(|at| at.elapsed() > ADMISSION_GRACE) {
            return Err(InputError::Closing);
        }
        match self.has_slot {
            true => Ok(()),
            false => Err(InputError::TooManyOpenRequests),
        }
    }
}

/// Checks the headers that say what a request is, then reads its body, within its bounds of size and time.
pub(super) async fn read_body(head: &Parts, body: Incoming) -> Result<Bytes, InputError> {
    check_request_headers(&head.headers)?;
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(InputError::BodyTooLarge);
    }
    let collected = Limited::new(body, MAX_BODY_BYTES).collect();
    let collected = match head.extensions.get::<ArrivalDeadline>() {
        Some(ArrivalDeadline(deadline)) => {
            timeout_at(*deadline, collected).await.map_err(|_| InputError::BodyTimeout)?
        }
        None => collected.await,
    };
    let bytes = match collected {
        Ok(body) => {
            if let Some(notice) = head.extensions.get::<BodyReadNotice>() {
                notice.notify();
            }
            body.to_bytes()
        }
        Err(e) if e.is::<LengthLimitError>() => return Err(InputError::BodyTooLarge),
        Err(_) => return Err(InputError::InvalidBody("the body broke off".into())),
    };
    head.extensions.get::<Admission>().map_or(Ok(()), Admission::check)?;
    // A server could only turn it away.
    match bytes.is_empty() {
        true => Err(InputError::InvalidBody("the body is missing".into())),
        false => Ok(bytes),
    }
}

/// Each of them at most once, of bounded length and meant for the server: else server and conductor could
/// read different things in one request.
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

/// The text of a header.
pub(super) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok())
}

/// The customer, if the settings know the one that is named.
pub(super) fn tenant_index(headers: &HeaderMap, settings: &Settings) -> Option<usize> {
    settings.tenant(header_text(headers, "x-org")?)
}

/// Whether this is a repeat, and whether the client is back for the rest of a stream.
pub(super) fn retry_flags(headers: &HeaderMap) -> (bool, bool) {
    let resent = header_text(headers, "x-resent");
    (resent == Some("1"), resent == Some("again"))
}

/// Ids travel in paths and headers, so they hold nothing that would need quoting there.
pub(super) fn is_valid_id(text: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b'~');
    !text.is_empty() && text.len() <= MAX_ID_BYTES && text.bytes().all(plain)
}

/// What `Connection` names.
fn connection_options(headers: &HeaderMap) -> impl Iterator<Item = HeaderName> + '_ {
    let values = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).filter_map(|name| name.trim().parse().ok())
}

/// Takes out what belongs to one connection rather than to the request.
pub(super) fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let options: Vec<HeaderName> = connection_options(headers).collect();
    let hop = [
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
    for name in options.into_iter().chain(hop) {
        headers.remove(name);
    }
}

/// What `X-Labels` says of a prompt; what it does not name is 0.
#[derive(Debug, PartialEq)]
pub(super) struct PromptLabels {
    pub(super) prefix: Option<Id>,
    pub(super) prefix_tokens: u64,
    pub(super) prompt_tokens: u64,
    pub(super) max_tokens: u64,
}

/// `name=value,name=value`.
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

/// A number and its unit: `m` for milliseconds, `u` for microseconds.
pub(super) fn parse_duration(text: &str) -> Option<Micros> {
    /// No client waits longer than a day; more would only overflow.
    const MAX_US: f64 = 86_400e6;
    let text = text.trim();
    let (number, micros) = match text.strip_suffix('m') {
        Some(number) => (number, 1_000.0),
        None => (text.strip_suffix('u')?, 1.0),
    };
    let number: f64 = number.parse().ok()?;
    (number.is_finite() && number >= 0.0).then(|| (number * micros).min(MAX_US) as Micros)
}
