//! Tests of `rpc/src/outcome.rs`.

use super::*;

/// Returns all reset codes that HTTP/2 defines, and one that it does not.
fn reset_reasons() -> impl Iterator<Item = h2::Reason> {
    (0..15).map(h2::Reason::from)
}

fn attempt_ends() -> Vec<AttemptEnd> {
    let statuses = [StatusDetail::Rejected, StatusDetail::CacheMissing, StatusDetail::Unspecified]
        .map(AttemptEnd::Status);
    let rest = [
        AttemptEnd::ConnectionFailed,
        AttemptEnd::ExcludedByGoaway,
        AttemptEnd::InvalidResponse,
        AttemptEnd::Timeout,
        AttemptEnd::Cancelled,
    ];
    reset_reasons().map(AttemptEnd::Reset).chain(statuses).chain(rest).collect()
}

/// Whether the outcome proves that the request never ran, by the table of the protocol.
fn proves_not_run(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Rejected | Outcome::CacheMissing | Outcome::NoConnection | Outcome::NotSent)
}

#[test]
fn only_ends_that_prove_that_nothing_ran_have_such_an_outcome() {
    for end in attempt_ends() {
        for is_written in [false, true] {
            let expected = match end {
                AttemptEnd::Reset(reason) => reason == h2::Reason::REFUSED_STREAM,
                AttemptEnd::Status(detail) => detail != StatusDetail::Unspecified,
                AttemptEnd::ExcludedByGoaway => true,
                AttemptEnd::ConnectionFailed | AttemptEnd::Timeout => !is_written,
                AttemptEnd::InvalidResponse | AttemptEnd::Cancelled => false,
            };
            assert_eq!(proves_not_run(outcome_of(end, is_written)), expected, "{end:?} {is_written}");
        }
    }
}

#[test]
fn outcomes_match_the_table_of_the_design_note() {
    let table = [
        (AttemptEnd::ConnectionFailed, Outcome::NoConnection, Outcome::ConnectionLost),
        (AttemptEnd::Reset(h2::Reason::REFUSED_STREAM), Outcome::Rejected, Outcome::Rejected),
        (AttemptEnd::Reset(h2::Reason::CANCEL), Outcome::Failed, Outcome::Failed),
        (AttemptEnd::Reset(h2::Reason::INTERNAL_ERROR), Outcome::Failed, Outcome::Failed),
        (AttemptEnd::ExcludedByGoaway, Outcome::Rejected, Outcome::Rejected),
        (AttemptEnd::Status(StatusDetail::Rejected), Outcome::Rejected, Outcome::Rejected),
        (AttemptEnd::Status(StatusDetail::CacheMissing), Outcome::CacheMissing, Outcome::CacheMissing),
        (AttemptEnd::Status(StatusDetail::Unspecified), Outcome::Failed, Outcome::Failed),
        (AttemptEnd::InvalidResponse, Outcome::Failed, Outcome::Failed),
        (AttemptEnd::Timeout, Outcome::NoConnection, Outcome::NoAnswer),
        (AttemptEnd::Cancelled, Outcome::Cancelled, Outcome::Cancelled),
    ];
    for (end, before_write, after_write) in table {
        assert_eq!((outcome_of(end, false), outcome_of(end, true)), (before_write, after_write), "{end:?}");
    }
}
