//! The guard of what goes out, by itself: each rule at its edge.

mod support;

use frosttrail::*;
use support::*;

fn class(effect: Effect) -> std::sync::Arc<RequestClass> {
    std::sync::Arc::new(RequestClass { effect, max_attempts: 3, ..RequestClass::example() })
}

/// A prefill server and two decode servers in different zones, and one request.
fn guard(effect: Effect) -> (Guard, Id) {
    let mut guard = Guard::new(&Settings::example());
    let entries = [entry("r", 0), entry("w1", 1), ServerEntry { zone: 1, ..entry("w2", 1) }];
    guard.update_servers(ListUpdateKind::Full, &entries);
    guard.register_request(&Query { class: class(effect), ..query("a", 900) });
    (guard, "a".into())
}

fn sent(guard: &mut Guard, id: &Id, server: &str) -> Result<(), Violation> {
    guard.authorize_send(SEC, id, &server.into())
}

#[test]
fn one_attempt_is_out_at_a_time_and_no_more_than_the_class_allows() {
    let (mut guard, id) = guard(Effect::Safe);
    for _ in 0..3 {
        assert_eq!(sent(&mut guard, &id, "r"), Ok(()));
        assert_eq!(sent(&mut guard, &id, "w1"), Err(Violation::ConcurrentAttempts));
        guard.record_attempt_end(&id, Outcome::NoConnection);
    }
    assert_eq!(sent(&mut guard, &id, "r"), Err(Violation::TooManyAttempts));
}

#[test]
fn nothing_goes_to_a_server_that_drains_or_is_not_listed() {
    let (mut guard, id) = guard(Effect::Safe);
    guard.update_servers(
        ListUpdateKind::Changes,
        &[ServerEntry { health: Health::Draining, ..entry("w1", 1) }],
    );
    assert_eq!(sent(&mut guard, &id, "w1"), Err(Violation::ServerNotAccepting));
    assert_eq!(sent(&mut guard, &id, "nobody"), Err(Violation::ServerNotAccepting));
    guard.update_servers(ListUpdateKind::Full, &[entry("w1", 1)]);
    assert_eq!(sent(&mut guard, &id, "r"), Err(Violation::ServerNotAccepting));
    assert_eq!(sent(&mut guard, &id, "w1"), Ok(()));
}

#[test]
fn nothing_goes_out_after_the_end_of_a_request_or_of_the_conductor() {
    let (mut guard, id) = guard(Effect::Safe);
    guard.record_answer_start(&id);
    assert_eq!(sent(&mut guard, &id, "w1"), Err(Violation::AfterEnd));
    guard.remove_request(&id);
    assert_eq!(sent(&mut guard, &id, "w1"), Err(Violation::AfterEnd));
    guard.register_request(&Query { class: class(Effect::Safe), ..query("b", 900) });
    guard.begin_closing();
    assert_eq!(sent(&mut guard, &"b".into(), "w1"), Err(Violation::Closing));
    assert_eq!(guard.authorize_answer(&"b".into(), true), Ok(()));
    assert_eq!(guard.authorize_answer(&"b".into(), false), Err(Violation::SecondAnswer));
}

#[test]
fn what_may_have_run_is_repeated_and_refused_only_as_its_class_allows() {
    let window = 10 * SEC;
    let keyed = |scope| Effect::Keyed { scope, window };
    for (effect, near, far, late, refused) in [
        (Effect::Safe, true, true, true, true),
        (Effect::Unsafe, false, false, false, false),
        (keyed(DedupScope::All), true, true, false, true),
        (keyed(DedupScope::Zone), true, false, false, false),
        (keyed(DedupScope::Rack), true, true, false, false),
    ] {
        for (server, now, allowed) in
            [("w1", 2 * SEC, near), ("w2", 2 * SEC, far), ("w1", SEC + window, late)]
        {
            let (mut guard, id) = guard(effect);
            // A read has no effect, however it ends.
            assert_eq!(sent(&mut guard, &id, "r"), Ok(()));
            guard.record_attempt_end(&id, Outcome::ConnectionLost);
            assert_eq!(sent(&mut guard, &id, "w1"), Ok(()));
            guard.record_attempt_end(&id, Outcome::ConnectionLost);
            let repeat = guard.authorize_send(now, &id, &server.into());
            assert_eq!(
                repeat,
                if allowed { Ok(()) } else { Err(Violation::UnsafeRepeat) },
                "{effect:?} {server}"
            );
            let refusal = guard.authorize_answer(&id, true);
            assert_eq!(refusal, if refused { Ok(()) } else { Err(Violation::UnsafeRefusal) }, "{effect:?}");
        }
    }
}

#[test]
fn what_is_out_at_a_server_that_decodes_is_not_refused() {
    for (server, expected) in [("r", Ok(())), ("w1", Err(Violation::UnsafeRefusal))] {
        let (mut guard, id) = guard(Effect::Unsafe);
        assert_eq!(sent(&mut guard, &id, server), Ok(()));
        assert_eq!(guard.authorize_answer(&id, true), expected, "{server}");
    }
}
