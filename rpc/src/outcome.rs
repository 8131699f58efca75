//! Decides for each way in which an attempt over HTTP/2 and gRPC can end whether the request may have run. It
//! does no I/O: the caller passes the end of the attempt.

use frosttrail::Outcome;

/// What the server stated in the details of its status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusDetail {
    /// The request never ran: the server had no room for it.
    Rejected,
    /// The request never ran: its KV cache was not found.
    CacheMissing,
    /// Neither of these, so it may have run.
    Unspecified,
}

/// How an attempt ended before its first message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The connection could not be opened, broke or was closed.
    ConnectionFailed,
    /// The server sent a GOAWAY whose last stream precedes this one.
    ExcludedByGoaway,
    /// The server reset the stream with this code.
    Reset(h2::Reason),
    /// A status arrived, of success or of failure, with this in its details.
    Status(StatusDetail),
    /// The response is not valid gRPC: it has another HTTP status or content type, no trailers, or a message
    /// that can't be decoded.
    InvalidResponse,
    /// No response arrived in time.
    Timeout,
    /// The conductor cancelled the attempt.
    Cancelled,
}

/// Returns the outcome to report. `is_written` must be true if the whole message and the end of the stream
/// have been flushed to the connection, and also if that is unknown.
pub fn outcome_of(end: AttemptEnd, is_written: bool) -> Outcome {
    match end {
        // The server's own statement, and the two ways of HTTP/2 to state that a stream was not processed.
        AttemptEnd::Status(StatusDetail::Rejected) | AttemptEnd::ExcludedByGoaway => Outcome::Rejected,
        AttemptEnd::Reset(h2::Reason::REFUSED_STREAM) => Outcome::Rejected,
        AttemptEnd::Status(StatusDetail::CacheMissing) => Outcome::CacheMissing,
        AttemptEnd::Cancelled => Outcome::Cancelled,
        // A server starts to work on a request with its last byte, which it has not received.
        AttemptEnd::ConnectionFailed | AttemptEnd::Timeout if !is_written => Outcome::NoConnection,
        AttemptEnd::ConnectionFailed => Outcome::ConnectionLost,
        AttemptEnd::Timeout => Outcome::NoAnswer,
        AttemptEnd::Reset(_)
        | AttemptEnd::Status(StatusDetail::Unspecified)
        | AttemptEnd::InvalidResponse => Outcome::Failed,
    }
}

#[cfg(test)]
#[path = "../tests/unit/outcome.rs"]
mod tests;
