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

use super::clients::Arrival;

/// The largest body on this wire.
const BODY_MOST: usize = 256 << 10;
/// No prompt or answer has more tokens; a body holds a small part of this.
const TOKENS_MOST: u64 = 1 << 20;
/// No header that says what a request is, is longer: sessions and prefixes are remembered for a while.
const HEADER_MOST: usize = 1 << 10;
/// Headers that say what a request is, as they are compared and as they are spelt.
const SAYS: [(&str, &str); 7] = [
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
const LATE: Duration = Duration::from_millis(30);
/// Four characters make a token.
pub(super) const TOKEN_BYTES: u64 = 4;
/// The longest id.
const ID_MOST: usize = 128;

/// Why a client's request is turned down before it is one.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum InputError {
    /// A header is missing or says nothing that makes sense.
    #[error("{0}: missing or malformed")]
    Header(&'static str),
    /// A header names something that the settings don't.
    #[error("{0}: no such name")]
    Unknown(&'static str),
    /// The body is not what it should be.
    #[error("{0}")]
    Body(String),
    /// The model is not served here.
    #[error("the model `{0}` does not exist")]
    Model(String),
    /// No such path.
    #[error("no such path")]
    Path,
    /// The path takes another method.
    #[error("this path takes {0} only")]
    Method(&'static str),
    /// Its head can be read in more than one way.
    #[error("Content-Length or Transfer-Encoding: repeated, at odds or malformed")]
    Framing,
    /// Its id is that of a request that has not ended.
    #[error("X-Txn: a request with this id has not ended yet")]
    IdInUse,
    /// More than a body may hold.
    #[error("the body is larger than 256 KiB")]
    TooLarge,
    /// The body did not come in time.
    #[error("the body did not come in time")]
    TooSlow,
    /// It came whole only after the listeners had closed; trying again elsewhere is harmless.
    #[error("refused: this conductor is about to end, ask another")]
    Closing,
    /// Open requests have all places; trying again is harmless.
    #[error("refused: too many requests are open, try again")]
    NoPlace,
}

impl InputError {
    /// Whether the request was whole, and is refused for want of time or room here.
    pub fn is_refusal(&self) -> bool {
        matches!(self, InputError::Closing | InputError::NoPlace)
    }

    /// The status that says so.
    pub fn status(&self) -> StatusCode {
        match self {
            InputError::Header(_) | InputError::Unknown(_) | InputError::Body(_) | InputError::Framing => {
                StatusCode::BAD_REQUEST
            }
            InputError::IdInUse => StatusCode::CONFLICT,
            InputError::Model(_) | InputError::Path => StatusCode::NOT_FOUND,
            InputError::Method(_) => StatusCode::METHOD_NOT_ALLOWED,
            InputError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            InputError::TooSlow => StatusCode::REQUEST_TIMEOUT,
            InputError::Closing | InputError::NoPlace => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// When a request must have come whole.
#[derive(Clone, Copy, Debug)]
pub(super) struct ArriveBy(pub(super) Instant);

/// Whether a request may begin once it has come whole.
#[derive(Clone, Debug)]
pub(super) struct Admission {
    /// When the listeners were closed for good, once they are.
    pub(super) closed_at: Arc<OnceLock<Instant>>,
    /// Its connection has a place for a request.
    pub(super) has_place: bool,
}

impl Admission {
    fn check(&self) -> Result<(), InputError> {
        // What it would begin to stream now might run into the program's end.
        if self.closed_at.get().is_some_and(|at| at.elapsed() > LATE) {
            return Err(InputError::Closing);
        }
        match self.has_place {
            true => Ok(()),
            false => Err(InputError::NoPlace),
        }
    }
}

/// Checks the headers that say what a request is, then reads its body, within its bounds of size and time.
pub(super) async fn body(head: &Parts, body: Incoming) -> Result<Bytes, InputError> {
    unequivocal(&head.headers)?;
    if body.size_hint().lower() > BODY_MOST as u64 {
        return Err(InputError::TooLarge);
    }
    let whole = Limited::new(body, BODY_MOST).collect();
    let whole = match head.extensions.get::<ArriveBy>() {
        Some(ArriveBy(by)) => timeout_at(*by, whole).await.map_err(|_| InputError::TooSlow)?,
        None => whole.await,
    };
    let bytes = match whole {
        Ok(body) => {
            if let Some(arrival) = head.extensions.get::<Arrival>() {
                arrival.ended();
            }
            body.to_bytes()
        }
        Err(e) if e.is::<LengthLimitError>() => return Err(InputError::TooLarge),
        Err(_) => return Err(InputError::Body("the body broke off".into())),
    };
    head.extensions.get::<Admission>().map_or(Ok(()), Admission::check)?;
    // A server could only turn it away.
    match bytes.is_empty() {
        true => Err(InputError::Body("the body is missing".into())),
        false => Ok(bytes),
    }
}

/// Each of them at most once, of bounded length and meant for the server: else server and conductor could
/// read different things in one request.
fn unequivocal(headers: &HeaderMap) -> Result<(), InputError> {
    for (name, spelt) in SAYS {
        let mut values = headers.get_all(name).iter();
        let first = values.next();
        let bad = first.is_some_and(|v| v.len() > HEADER_MOST || v.to_str().is_err());
        if bad || values.next().is_some() {
            return Err(InputError::Header(spelt));
        }
    }
    match hop_by_hop(headers).any(|name| SAYS.iter().any(|(says, _)| name == *says)) {
        true => Err(InputError::Header("Connection")),
        false => Ok(()),
    }
}

/// The text of a header.
pub(super) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok())
}

/// The customer, if the settings know the one that is named.
pub(super) fn tenant(headers: &HeaderMap, settings: &Settings) -> Option<usize> {
    settings.tenant(text(headers, "x-org")?)
}

/// Whether this is a repeat, and whether the client is back for the rest of a stream.
pub(super) fn repeat(headers: &HeaderMap) -> (bool, bool) {
    let resent = text(headers, "x-resent");
    (resent == Some("1"), resent == Some("again"))
}

/// Ids travel in paths and headers, so they hold nothing that would need quoting there.
pub(super) fn is_id(text: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b'~');
    !text.is_empty() && text.len() <= ID_MOST && text.bytes().all(plain)
}

/// What `Connection` names.
fn hop_by_hop(headers: &HeaderMap) -> impl Iterator<Item = HeaderName> + '_ {
    let values = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).filter_map(|name| name.trim().parse().ok())
}

/// Takes out what belongs to one connection rather than to the request.
pub(super) fn end_to_end(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = hop_by_hop(headers).collect();
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
    for name in listed.into_iter().chain(hop) {
        headers.remove(name);
    }
}

/// What `X-Labels` says of a prompt; what it does not name is 0.
#[derive(Debug, PartialEq)]
pub(super) struct Labels {
    pub(super) prefix: Option<Id>,
    pub(super) prefix_tokens: u64,
    pub(super) prompt_tokens: u64,
    pub(super) max_tokens: u64,
}

/// `name=value,name=value`.
pub(super) fn platform_labels(text: &str) -> Result<Labels, InputError> {
    const BAD: InputError = InputError::Header("X-Labels");
    let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
    let pairs: HashMap<&str, &str> = parts.map(|p| p.split_once('=').ok_or(BAD)).collect::<Result<_, _>>()?;
    let number = |text: &&str| text.parse().ok().filter(|n| *n <= TOKENS_MOST).ok_or(BAD);
    let count = |name| pairs.get(name).map_or(Ok(0), number);
    Ok(Labels {
        prefix: pairs.get("prefix").filter(|p| !p.is_empty()).map(|p| Id::from(*p)),
        prefix_tokens: count("prefix_len")?,
        prompt_tokens: count("prompt_len")?,
        max_tokens: count("max_out")?,
    })
}

/// A number and its unit: `m` for milliseconds, `u` for microseconds.
pub(super) fn span(text: &str) -> Option<Micros> {
    /// No client waits longer than a day; more would only overflow.
    const MOST: f64 = 86_400e6;
    let text = text.trim();
    let (number, micros) = match text.strip_suffix('m') {
        Some(number) => (number, 1_000.0),
        None => (text.strip_suffix('u')?, 1.0),
    };
    let number: f64 = number.parse().ok()?;
    (number.is_finite() && number >= 0.0).then(|| (number * micros).min(MOST) as Micros)
}
