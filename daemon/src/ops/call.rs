//! Parses operators' calls and answers them.

use bytes::Bytes;
use frosttrail::Id;
use frosttrail_core::ExclusionError;
use http_body_util::Full;
use hyper::header::{HeaderValue, ALLOW, CONTENT_TYPE};
use hyper::{Method, Response, StatusCode};

/// The maximum length of an instance's id.
pub(super) const MAX_ID_BYTES: usize = 256;

/// The operations behind the calls.
pub trait Operations: Send + Sync + 'static {
    /// Whether this process can serve clients now.
    fn is_ready(&self) -> bool;
    /// The metrics, in Prometheus' text format.
    fn telemetry(&self) -> Result<String, CallError>;
    /// Takes an instance out of use until it is included again.
    fn exclude(&self, id: &Id) -> Result<(), CallError>;
    /// Puts an instance back into use.
    fn include(&self, id: &Id) -> Result<(), CallError>;
}

/// Why a call is rejected. Each text tells the caller what to do.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// There is no such path.
    #[error("no such path; use GET /api/ready, GET /api/telemetry, POST /api/exclude or POST /api/include")]
    UnknownPath,
    /// The path takes another method.
    #[error("this path takes {0} only")]
    MethodNotAllowed(Method),
    /// The body is not a valid id.
    #[error("the body must be the id of one instance, of 1 to {MAX_ID_BYTES} visible ASCII characters")]
    InvalidId,
    /// The instance is unknown, or too many would be excluded.
    #[error("{0}")]
    Exclusion(#[from] ExclusionError),
    /// The exclusion could not be stored or removed, so the change would not outlive this process.
    #[error(
        "the exclusion could not be stored or removed ({0}), and nothing has changed; see that $TMPDIR can \
         be written and has room, then call again"
    )]
    Storage(#[from] std::io::Error),
    /// The metrics could not be encoded.
    #[error("the figures could not be written ({0}); ask again")]
    Metrics(#[from] prometheus::Error),
    /// This process does not serve requests yet, or is shutting down.
    #[error("not ready: no instance is known yet, or the process is ending; ask again")]
    NotReady,
}

impl CallError {
    fn status(&self) -> StatusCode {
        match self {
            CallError::UnknownPath => StatusCode::NOT_FOUND,
            CallError::Exclusion(ExclusionError::Unknown) => StatusCode::NOT_FOUND,
            CallError::Exclusion(ExclusionError::TooMany) => StatusCode::CONFLICT,
            CallError::MethodNotAllowed(_) => StatusCode::METHOD_NOT_ALLOWED,
            CallError::InvalidId => StatusCode::BAD_REQUEST,
            CallError::Storage(_) => StatusCode::INSUFFICIENT_STORAGE,
            CallError::NotReady => StatusCode::SERVICE_UNAVAILABLE,
            CallError::Metrics(_) => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }
}

/// A parsed call.
enum Call {
    Ready,
    Telemetry,
    Exclude(Id),
    Include(Id),
}

impl Call {
    fn parse(method: &Method, path: &str, body: &[u8]) -> Result<Self, CallError> {
        let allowed = method_of(path).ok_or(CallError::UnknownPath)?;
        if *method != allowed {
            return Err(CallError::MethodNotAllowed(allowed));
        }
        match path {
            "/api/ready" => Ok(Call::Ready),
            "/api/telemetry" => Ok(Call::Telemetry),
            "/api/exclude" => Ok(Call::Exclude(instance_id(body)?)),
            _ => Ok(Call::Include(instance_id(body)?)),
        }
    }
}

/// The method that a path accepts; `None` for an unknown path.
fn method_of(path: &str) -> Option<Method> {
    match path {
        "/api/ready" | "/api/telemetry" => Some(Method::GET),
        "/api/exclude" | "/api/include" => Some(Method::POST),
        _ => None,
    }
}

fn instance_id(body: &[u8]) -> Result<Id, CallError> {
    let id = std::str::from_utf8(body).map_err(|_| CallError::InvalidId)?.trim();
    let is_valid_length = (1..=MAX_ID_BYTES).contains(&id.len());
    let is_visible = id.bytes().all(|byte| byte.is_ascii_graphic());
    (is_valid_length && is_visible).then(|| id.into()).ok_or(CallError::InvalidId)
}

/// Whether calls to a path have a body.
pub(super) fn takes_body(path: &str) -> bool {
    method_of(path) == Some(Method::POST)
}

/// Carries out a call and builds the response.
pub(super) fn answer<O: Operations>(
    operations: &O,
    method: &Method,
    path: &str,
    body: &[u8],
) -> Response<Full<Bytes>> {
    let result = Call::parse(method, path, body).and_then(|call| match call {
        Call::Ready if operations.is_ready() => Ok("ready\n".to_string()),
        Call::Ready => Err(CallError::NotReady),
        Call::Telemetry => operations.telemetry(),
        Call::Exclude(id) => operations.exclude(&id).map(|()| format!("excluded {id}\n")),
        Call::Include(id) => operations.include(&id).map(|()| format!("included {id}\n")),
    });
    match result {
        Ok(text) => text_response(StatusCode::OK, text),
        Err(error) => error_response(&error),
    }
}

fn text_response(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// The response for an error: its status, its text as one line, and `Allow` where the method was wrong.
pub(super) fn error_response(error: &CallError) -> Response<Full<Bytes>> {
    let mut response = text_response(error.status(), format!("{error}\n"));
    if let CallError::MethodNotAllowed(method) = error {
        if let Ok(allowed) = HeaderValue::from_str(method.as_str()) {
            response.headers_mut().insert(ALLOW, allowed);
        }
    }
    response
}
