//! Errors of the chat API, as JSON error objects with their status codes.

use frosttrail_core::EventStream;
use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};
use serde_json::json;

use super::{JSON, SHOULD_RETRY};
use crate::front::body::{full_response, ResponseBody};
use crate::front::input::InputError;

/// Why a request gets an error instead of a completion.
#[derive(Debug, thiserror::Error)]
pub(super) enum ApiError {
    #[error("{0}")]
    Input(#[from] InputError),
    #[error("`{param}` {why}")]
    Field { param: &'static str, why: &'static str },
    #[error("Too many requests wait already; try again after the time given.")]
    Overloaded,
    #[error("No model server can be reached at the moment; try again after the time given.")]
    NoServerReachable,
    #[error("The model server failed. The request may have taken effect.")]
    ServerFailed,
    #[error("No answer came in time. The request may have taken effect.")]
    TimedOut,
    #[error("No memory is left to collect the answer. The request may have taken effect.")]
    OutOfMemory,
    #[error("This conductor stops before the answer is complete. The request may have taken effect.")]
    Stopping,
}

impl ApiError {
    /// The error for a request that was refused and never ran, by whether any server could be reached.
    pub(super) fn from_refusal(has_reached_server: bool) -> Self {
        match has_reached_server {
            true => ApiError::Overloaded,
            false => ApiError::NoServerReachable,
        }
    }

    /// The status code, and the error object's type, parameter and code.
    fn status_and_fields(&self) -> (StatusCode, &'static str, Option<&'static str>, Option<&'static str>) {
        const INVALID: &str = "invalid_request_error";
        match self {
            ApiError::Input(e @ InputError::UnknownModel(_)) => {
                (e.status(), INVALID, Some("model"), Some("model_not_found"))
            }
            ApiError::Input(e) if e.is_refusal() => {
                (e.status(), "server_error", None, Some("service_unavailable"))
            }
            ApiError::Input(e) => (e.status(), INVALID, None, None),
            ApiError::Field { param, .. } => (StatusCode::BAD_REQUEST, INVALID, Some(param), None),
            ApiError::Overloaded => {
                (StatusCode::TOO_MANY_REQUESTS, "rate_limit_error", None, Some("rate_limit_exceeded"))
            }
            ApiError::NoServerReachable => {
                (StatusCode::SERVICE_UNAVAILABLE, "server_error", None, Some("service_unavailable"))
            }
            ApiError::ServerFailed | ApiError::OutOfMemory | ApiError::Stopping => {
                (StatusCode::BAD_GATEWAY, "server_error", None, Some("bad_gateway"))
            }
            ApiError::TimedOut => (StatusCode::GATEWAY_TIMEOUT, "server_error", None, Some("timeout")),
        }
    }

    /// Creates the error response.
    pub(super) fn response<E: EventStream>(self) -> Response<ResponseBody<E>> {
        let (status, kind, param, code) = self.status_and_fields();
        let object = json!({"message": self.to_string(), "type": kind, "param": param, "code": code});
        let mut response = full_response(status, JSON, json!({ "error": object }).to_string());
        let may_have_run = matches!(
            self,
            ApiError::ServerFailed
                | ApiError::TimedOut
                | ApiError::OutOfMemory
                | ApiError::Stopping
                | ApiError::Input(InputError::IdInUse | InputError::IdUsed)
        );
        if may_have_run {
            response.headers_mut().insert(SHOULD_RETRY, HeaderValue::from_static("false"));
        }
        response
    }
}
