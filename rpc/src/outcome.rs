//! "Has it run?" on HTTP/2 and gRPC, in one place. No I/O: whoever carries an attempt says what came of it.

use frosttrail::Outcome;

/// What the server itself said, in a status's details.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Said {
    /// It never ran: no room here.
    TurnedAway,
    /// It never ran: no state was there.
    StateLost,
    /// Nothing of the kind.
    Nothing,
}

/// How an attempt ended before its first message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// No connection came up, or it broke or was closed.
    Connection,
    /// The server closed its connection in good order, and named a last stream before this one.
    BehindGoaway,
    /// The stream was reset with this code.
    Reset(h2::Reason),
    /// A status came, good or bad, with what the server said in its details.
    Status(Said),
    /// What came is no gRPC: another HTTP status, another type, no trailers, a message that can't be read.
    NoGrpc,
    /// Nothing came in time.
    Time,
    /// Given up by us.
    GivenUp,
}

/// The outcome that the decisions hear of. `written`: the whole message and the end of our side have been
/// handed to the connection and flushed; where that can't be told, it is true.
pub fn outcome(end: End, written: bool) -> Outcome {
    match end {
        // The server's own word, and HTTP/2's two ways to say that a stream was not worked on.
        End::Status(Said::TurnedAway) | End::BehindGoaway => Outcome::Rejected,
        End::Reset(h2::Reason::REFUSED_STREAM) => Outcome::Rejected,
        End::Status(Said::StateLost) => Outcome::CacheMissing,
        End::GivenUp => Outcome::Cancelled,
        // It starts with the last byte, which it has not got.
        End::Connection | End::Time if !written => Outcome::NoConnection,
        End::Connection => Outcome::ConnectionLost,
        End::Time => Outcome::NoAnswer,
        End::Reset(_) | End::Status(Said::Nothing) | End::NoGrpc => Outcome::Failed,
    }
}

#[cfg(test)]
#[path = "../tests/unit/outcome.rs"]
mod tests;
