//! What every front checks of what comes in.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{
    HeaderName, CONNECTION, CONTENT_LENGTH, EXPECT, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use hyper::{HeaderMap, StatusCode};

/// The largest body on this wire.
const BODY_MOST: usize = 256 << 10;
/// A body must be here within this time from its head.
const BODY_WAIT: Duration = Duration::from_secs(10);
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
    /// More than a body may hold.
    #[error("the body is larger than 256 KiB")]
    TooLarge,
    /// The body did not come in time.
    #[error("the body did not come in time")]
    TooSlow,
}

impl InputError {
    /// The status that says so.
    pub fn status(&self) -> StatusCode {
        match self {
            InputError::Header(_) | InputError::Unknown(_) | InputError::Body(_) => StatusCode::BAD_REQUEST,
            InputError::Model(_) | InputError::Path => StatusCode::NOT_FOUND,
            InputError::Method(_) => StatusCode::METHOD_NOT_ALLOWED,
            InputError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            InputError::TooSlow => StatusCode::REQUEST_TIMEOUT,
        }
    }
}

/// Reads a body, within its bounds of size and time.
pub(super) async fn body(body: Incoming) -> Result<Bytes, InputError> {
    if body.size_hint().lower() > BODY_MOST as u64 {
        return Err(InputError::TooLarge);
    }
    let whole = Limited::new(body, BODY_MOST).collect();
    match tokio::time::timeout(BODY_WAIT, whole).await {
        Err(_) => Err(InputError::TooSlow),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(InputError::TooLarge),
        Ok(Err(_)) => Err(InputError::Body("the body broke off".into())),
    }
}

/// The text of a header.
pub(super) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok())
}

/// Ids travel in paths and headers, so they hold nothing that would need quoting there.
pub(super) fn is_id(text: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b'~');
    !text.is_empty() && text.len() <= ID_MOST && text.bytes().all(plain)
}

/// Takes out what belongs to one connection rather than to the request.
pub(super) fn end_to_end(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
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
