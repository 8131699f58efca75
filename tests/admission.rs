//! Tests the admission functions: refusal on arrival, retry-after advice, timeouts and the execution record.

mod support;
use frosttrail::admission::{admits, answer_timeout, release_timeout, retry_after, ExecutionRecord};
use frosttrail::*;
use support::{query, MS, SEC};

fn execution_record(effect: Effect) -> ExecutionRecord {
    let class = std::sync::Arc::new(RequestClass { effect, ..RequestClass::example() });
    ExecutionRecord::new(&Query { class, ..query("q", 100) })
}

#[test]
fn a_request_is_refused_on_arrival_when_its_expected_wait_exceeds_a_quarter_of_its_budget() {
    assert!(admits(0, 0) && admits(50 * MS, 0) && admits(250 * MS, SEC));
    assert!(!admits(251 * MS, SEC) && !admits(51 * MS, 0));
}

#[test]
fn retry_after_differs_between_requests_refused_together() {
    let times: std::collections::BTreeSet<Micros> =
        (0..50).map(|n| retry_after(SEC, &query(&format!("q{n}"), 100))).collect();
    assert!(times.len() > 45 && times.iter().all(|at| (SEC / 2..=SEC).contains(at)));
    assert_eq!(retry_after(0, &query("q", 100)), 0);
}

#[test]
fn answer_and_release_timeouts_stay_within_their_limits() {
    assert_eq!((answer_timeout(2 * SEC), answer_timeout(0)), (2 * SEC, 50 * MS));
    assert!(release_timeout(SEC) < SEC && release_timeout(SEC) > SEC * 3 / 4);
}

#[test]
fn a_request_that_may_have_run_is_refused_only_where_a_repeat_is_harmless() {
    let keyed = |scope| Effect::Keyed { scope, window: SEC };
    for (effect, harmless) in [
        (Effect::Safe, true),
        (keyed(DedupScope::All), true),
        (keyed(DedupScope::Zone), false),
        (Effect::Unsafe, false),
    ] {
        let mut record = execution_record(effect);
        assert!(record.may_be_refused(), "no attempt was sent");
        record.record_send(false);
        record.record_end();
        assert!(record.may_be_refused(), "a prefill takes no effect");
        record.record_send(true);
        assert_eq!(record.may_be_refused(), harmless, "the attempt is active");
        record.record_end();
        assert_eq!(record.may_be_refused(), harmless, "it may have run");
        record.record_send(false);
        record.record_end();
        assert_eq!(record.may_be_refused(), harmless, "an earlier attempt may have run");
    }
}
