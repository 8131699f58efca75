//! Tests of what `rpc/src/outcome.rs` keeps to itself.

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
    matches!(outcome, Outcome::Rejected | Outcome::CacheMissing | Outcome::NoConnection | Outcome::NotSent)
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
        (End::Reset(h2::Reason::REFUSED_STREAM), Outcome::Rejected, Outcome::Rejected),
        (End::Reset(h2::Reason::CANCEL), Outcome::Failed, Outcome::Failed),
        (End::Reset(h2::Reason::INTERNAL_ERROR), Outcome::Failed, Outcome::Failed),
        (End::BehindGoaway, Outcome::Rejected, Outcome::Rejected),
        (End::Status(Said::TurnedAway), Outcome::Rejected, Outcome::Rejected),
        (End::Status(Said::StateLost), Outcome::CacheMissing, Outcome::CacheMissing),
        (End::Status(Said::Nothing), Outcome::Failed, Outcome::Failed),
        (End::NoGrpc, Outcome::Failed, Outcome::Failed),
        (End::Time, Outcome::NoConnection, Outcome::NoAnswer),
        (End::GivenUp, Outcome::Cancelled, Outcome::Cancelled),
    ];
    for (end, before, after) in table {
        assert_eq!((outcome(end, false), outcome(end, true)), (before, after), "{end:?}");
    }
}
