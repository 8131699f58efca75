//! What is decided without the decisions: at the door, and at the end of a request's time.

mod support;
use frosttrail::admission::{admits, answer_timeout, release_timeout, retry_after, ExecutionRecord};
use frosttrail::*;
use support::{query, MS, SEC};

fn account(effect: Effect) -> ExecutionRecord {
    let class = std::sync::Arc::new(RequestClass { effect, ..RequestClass::example() });
    ExecutionRecord::new(&Query { class, ..query("q", 100) })
}

#[test]
fn a_request_is_refused_at_the_door_once_its_decision_would_eat_a_quarter_of_its_time() {
    assert!(admits(0, 0) && admits(50 * MS, 0) && admits(250 * MS, SEC));
    assert!(!admits(251 * MS, SEC) && !admits(51 * MS, 0));
}

#[test]
fn those_that_are_refused_together_do_not_come_back_together() {
    let times: std::collections::BTreeSet<Micros> =
        (0..50).map(|n| retry_after(SEC, &query(&format!("q{n}"), 100))).collect();
    assert!(times.len() > 45 && times.iter().all(|at| (SEC / 2..=SEC).contains(at)));
    assert_eq!(retry_after(0, &query("q", 100)), 0);
}

#[test]
fn an_answer_and_a_release_come_within_their_times() {
    assert_eq!((answer_timeout(2 * SEC), answer_timeout(0)), (2 * SEC, 50 * MS));
    assert!(release_timeout(SEC) < SEC && release_timeout(SEC) > SEC * 3 / 4);
}

#[test]
fn what_may_have_run_is_refused_only_where_a_repeat_is_harmless() {
    let keyed = |scope| Effect::Keyed { scope, window: SEC };
    for (effect, harmless) in [
        (Effect::Safe, true),
        (keyed(DedupScope::All), true),
        (keyed(DedupScope::Zone), false),
        (Effect::Unsafe, false),
    ] {
        let mut run = account(effect);
        assert!(run.may_be_refused(), "nothing was sent");
        run.record_send(false);
        run.record_end();
        assert!(run.may_be_refused(), "a prefill takes no effect");
        run.record_send(true);
        assert_eq!(run.may_be_refused(), harmless, "it is out");
        run.record_end();
        assert_eq!(run.may_be_refused(), harmless, "it may have run");
        run.record_send(false);
        run.record_end();
        assert_eq!(run.may_be_refused(), harmless, "it may have run before");
    }
}
