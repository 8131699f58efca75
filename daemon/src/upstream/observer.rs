//! Counts and logs what attempts show about servers, so that an operator can tell one kind of fault from
//! another.

use std::net::SocketAddr;

use frosttrail::Id;
use frosttrail_core::Metrics;
use prometheus::{IntCounter, IntCounterVec};
use slog::{info, Logger};

use super::sse::PushError;

/// Why a response can't be used although its connection is up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum InvalidResponse {
    #[error("the response head can't be parsed")]
    Head,
    #[error("the response head did not end in time")]
    HeadTimeout,
    #[error("the framing of the body can't be parsed")]
    Framing,
    #[error("a chunk states a size that no body has")]
    ChunkTooLarge,
    #[error("the body holds what is no server-sent event")]
    Event,
    #[error("an event or the whole answer is too large")]
    TooLarge,
    #[error("no memory is left for a large event; raise limits.memory_mb")]
    OutOfMemory,
}

impl From<PushError> for InvalidResponse {
    fn from(error: PushError) -> Self {
        match error {
            PushError::TooLarge => InvalidResponse::TooLarge,
            PushError::OutOfMemory(_) => InvalidResponse::OutOfMemory,
        }
    }
}

impl InvalidResponse {
    /// The label of the metric that counts it.
    fn label(self) -> &'static str {
        match self {
            InvalidResponse::Head => "head",
            InvalidResponse::HeadTimeout => "head_timeout",
            InvalidResponse::Framing => "framing",
            InvalidResponse::ChunkTooLarge => "chunk_too_large",
            InvalidResponse::Event => "event",
            InvalidResponse::TooLarge => "too_large",
            InvalidResponse::OutOfMemory => "out_of_memory",
        }
    }
}

/// The counters and the log of all attempts.
#[derive(Clone, Debug)]
pub struct UpstreamObserver {
    /// Counts the attempts that were written completely.
    pub(super) sends: IntCounter,
    invalid_responses: IntCounterVec,
    log: Logger,
}

impl UpstreamObserver {
    /// Counts in these metrics.
    pub fn new(metrics: &Metrics, log: Logger) -> Self {
        let (sends, invalid_responses) = (metrics.sends.clone(), metrics.invalid_responses.clone());
        UpstreamObserver { sends, invalid_responses, log }
    }

    /// Records a response that ends its attempt, as it can't be used.
    pub(super) fn record_invalid_response(
        &self,
        request: &str,
        server: &Id,
        address: SocketAddr,
        why: InvalidResponse,
    ) {
        self.invalid_responses.with_label_values(&[why.label()]).inc();
        info!(self.log, "invalid response"; "id" => request, "server" => %server, "address" => %address,
            "why" => %why);
    }
}
