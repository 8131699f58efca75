//! "Has it run?" on HTTP/2 and gRPC, in one place. No I/O: whoever carries an attempt says what came of it.

use frosttrail::Outcome;

/// What the box itself said, in a status's details.
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
    /// The box closed its connection in good order, and named a last stream before this one.
    BehindGoaway,
    /// The stream was reset with this code.
    Reset(h2::Reason),
    /// A status came, good or bad, with what the box said in its details.
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
        // The box's own word, and HTTP/2's two ways to say that a stream was not worked on.
        End::Status(Said::TurnedAway) | End::BehindGoaway => Outcome::TurnedAway,
        End::Reset(h2::Reason::REFUSED_STREAM) => Outcome::TurnedAway,
        End::Status(Said::StateLost) => Outcome::StateLost,
        End::GivenUp => Outcome::CalledOff,
        // It starts with the last byte, which it has not got.
        End::Connection | End::Time if !written => Outcome::NoConnection,
        End::Connection => Outcome::ConnectionLost,
        End::Time => Outcome::NoAnswer,
        End::Reset(_) | End::Status(Said::Nothing) | End::NoGrpc => Outcome::Failed,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// All reasons that HTTP/2 names, and one that it does not.
    fn reasons() -> impl Iterator<Item = h2::Reason> {
        (0..15).map(h2::Reason::from)
    }

    fn ends() -> Vec<End> {
        let statuses = [Said::TurnedAway, Said::StateLost, Said::Nothing].map(End::Status);
        let rest = [End::Connection, End::BehindGoaway, End::NoGrpc, End::Time, End::GivenUp];
        reasons().map(End::Reset).chain(statuses).chain(rest).collect()
    }

    /// What the protocol's table says never ran.
    fn never_ran(outcome: Outcome) -> bool {
        matches!(outcome, Outcome::TurnedAway | Outcome::StateLost | Outcome::NoConnection | Outcome::NotSent)
    }

    #[test]
    fn only_what_surely_never_ran_is_said_to_have_never_run() {
        for end in ends() {
            for written in [false, true] {
                let sure = match end {
                    End::Reset(reason) => reason == h2::Reason::REFUSED_STREAM,
                    End::Status(said) => said != Said::Nothing,
                    End::BehindGoaway => true,
                    End::Connection | End::Time => !written,
                    End::NoGrpc | End::GivenUp => false,
                };
                assert_eq!(never_ran(outcome(end, written)), sure, "{end:?} {written}");
            }
        }
    }

    #[test]
    fn the_table_of_the_design_note_is_this_function() {
        let table = [
            (End::Connection, Outcome::NoConnection, Outcome::ConnectionLost),
            (End::Reset(h2::Reason::REFUSED_STREAM), Outcome::TurnedAway, Outcome::TurnedAway),
            (End::Reset(h2::Reason::CANCEL), Outcome::Failed, Outcome::Failed),
            (End::Reset(h2::Reason::INTERNAL_ERROR), Outcome::Failed, Outcome::Failed),
            (End::BehindGoaway, Outcome::TurnedAway, Outcome::TurnedAway),
            (End::Status(Said::TurnedAway), Outcome::TurnedAway, Outcome::TurnedAway),
            (End::Status(Said::StateLost), Outcome::StateLost, Outcome::StateLost),
            (End::Status(Said::Nothing), Outcome::Failed, Outcome::Failed),
            (End::NoGrpc, Outcome::Failed, Outcome::Failed),
            (End::Time, Outcome::NoConnection, Outcome::NoAnswer),
            (End::GivenUp, Outcome::CalledOff, Outcome::CalledOff),
        ];
        for (end, before, after) in table {
            assert_eq!((outcome(end, false), outcome(end, true)), (before, after), "{end:?}");
        }
    }
}
