//! "Has it run?" on HTTP/2 and gRPC, in one place. No I/O: whoever carries an attempt says what came of it.

use frosttrail::Outcome;

/// What the server itself said, in a status's details.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusDetail {
    /// It never ran: no room here.
    Rejected,
    /// It never ran: no state was there.
    CacheMissing,
    /// Nothing of the kind.
    Unspecified,
}

/// How an attempt ended before its first message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No connection came up, or it broke or was closed.
    ConnectionFailed,
    /// The server closed its connection in good order, and named a last stream before this one.
    ExcludedByGoaway,
    /// The stream was reset with this code.
    Reset(h2::Reason),
    /// A status came, good or bad, with what the server said in its details.
    Status(StatusDetail),
    /// What came is no gRPC: another HTTP status, another type, no trailers, a message that can't be read.
    InvalidResponse,
    /// Nothing came in time.
    Timeout,
    /// Given up by us.
    Cancelled,
}

/// The outcome that the decisions hear of. `written`: the whole message and the end of our side have been
/// handed to the connection and flushed; where that can't be told, it is true.
pub fn outcome_of(end: AttemptEnd, is_written: bool) -> Outcome {
    match end {
        // The server's own word, and HTTP/2's two ways to say that a stream was not worked on.
        AttemptEnd::Status(StatusDetail::Rejected) | AttemptEnd::ExcludedByGoaway => Outcome::Rejected,
        AttemptEnd::Reset(h2::Reason::REFUSED_STREAM) => Outcome::Rejected,
        AttemptEnd::Status(StatusDetail::CacheMissing) => Outcome::CacheMissing,
        AttemptEnd::Cancelled => Outcome::Cancelled,
        // It starts with the last byte, which it has not got.
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
