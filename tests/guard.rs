//! Tests the limits of each rule that the guard enforces on attempts and answers.

mod support;

use frosttrail::*;
use support::*;

fn class(effect: Effect) -> std::sync::Arc<RequestClass> {
    std::sync::Arc::new(RequestClass { effect, max_attempts: 3, ..RequestClass::example() })
}

/// A guard that knows one prefill server, two decode servers in different zones and one request.
fn guard(effect: Effect) -> (Guard, Id) {
    let mut guard = Guard::new(&Settings::example());
    let entries = [entry("r", 0), entry("w1", 1), ServerEntry { zone: 1, ..entry("w2", 1) }];
    guard.update_servers(ListUpdateKind::Full, &entries);
    guard.register_request(&Query { class: class(effect), ..query("a", 900) });
    (guard, "a".into())
}

fn send(guard: &mut Guard, id: &Id, server: &str) -> Result<(), Violation> {
    guard.authorize_send(SEC, id, &server.into())
}

#[test]
fn a_request_has_one_attempt_at_a_time_and_no_more_than_its_class_allows() {
    let (mut guard, id) = guard(Effect::Safe);
    for _ in 0..3 {
        assert_eq!(send(&mut guard, &id, "r"), Ok(()));
        assert_eq!(send(&mut guard, &id, "w1"), Err(Violation::ConcurrentAttempts));
        guard.record_attempt_end(&id, Outcome::NoConnection);
    }
    assert_eq!(send(&mut guard, &id, "r"), Err(Violation::TooManyAttempts));
}

#[test]
fn no_attempt_goes_to_a_draining_or_unlisted_server() {
    let (mut guard, id) = guard(Effect::Safe);
    guard.update_servers(
        ListUpdateKind::Changes,
        &[ServerEntry { health: Health::Draining, ..entry("w1", 1) }],
    );
    assert_eq!(send(&mut guard, &id, "w1"), Err(Violation::ServerNotAccepting));
    assert_eq!(send(&mut guard, &id, "nobody"), Err(Violation::ServerNotAccepting));
    guard.update_servers(ListUpdateKind::Full, &[entry("w1", 1)]);
    assert_eq!(send(&mut guard, &id, "r"), Err(Violation::ServerNotAccepting));
    assert_eq!(send(&mut guard, &id, "w1"), Ok(()));
}

#[test]
fn no_attempt_goes_out_after_the_request_has_ended_or_the_conductor_is_closing() {
    let (mut guard, id) = guard(Effect::Safe);
    guard.record_answer_start(&id);
    assert_eq!(send(&mut guard, &id, "w1"), Err(Violation::AfterEnd));
    guard.remove_request(&id);
    assert_eq!(send(&mut guard, &id, "w1"), Err(Violation::AfterEnd));
    guard.register_request(&Query { class: class(Effect::Safe), ..query("b", 900) });
    guard.begin_closing();
    assert_eq!(send(&mut guard, &"b".into(), "w1"), Err(Violation::Closing));
    assert_eq!(guard.authorize_answer(&"b".into(), true), Ok(()));
    assert_eq!(guard.authorize_answer(&"b".into(), false), Err(Violation::SecondAnswer));
}

#[test]
fn a_request_that_may_have_run_is_repeated_and_refused_only_as_its_class_allows() {
    let window = 10 * SEC;
    let keyed = |scope| Effect::Keyed { scope, window };
    for (effect, may_repeat_in_zone, may_repeat_across_zones, may_repeat_after_window, may_refuse) in [
        (Effect::Safe, true, true, true, true),
        (Effect::Unsafe, false, false, false, false),
        (keyed(DedupScope::All), true, true, false, true),
        (keyed(DedupScope::Zone), true, false, false, false),
        (keyed(DedupScope::Rack), true, true, false, false),
    ] {
        for (server, now, may_repeat) in [
            ("w1", 2 * SEC, may_repeat_in_zone),
            ("w2", 2 * SEC, may_repeat_across_zones),
            ("w1", SEC + window, may_repeat_after_window),
        ] {
            let (mut guard, id) = guard(effect);
            // A prefill has no effect, however it ends.
            assert_eq!(send(&mut guard, &id, "r"), Ok(()));
            guard.record_attempt_end(&id, Outcome::ConnectionLost);
            assert_eq!(send(&mut guard, &id, "w1"), Ok(()));
            guard.record_attempt_end(&id, Outcome::ConnectionLost);
            let repeat = guard.authorize_send(now, &id, &server.into());
            assert_eq!(
                repeat,
                if may_repeat { Ok(()) } else { Err(Violation::UnsafeRepeat) },
                "{effect:?} {server}"
            );
            let refusal = guard.authorize_answer(&id, true);
            assert_eq!(
                refusal,
                if may_refuse { Ok(()) } else { Err(Violation::UnsafeRefusal) },
                "{effect:?}"
            );
        }
    }
}

#[test]
fn an_unsafe_request_with_an_active_decode_attempt_is_not_refused() {
    for (server, expected) in [("r", Ok(())), ("w1", Err(Violation::UnsafeRefusal))] {
        let (mut guard, id) = guard(Effect::Unsafe);
        assert_eq!(send(&mut guard, &id, server), Ok(()));
        assert_eq!(guard.authorize_answer(&id, true), expected, "{server}");
    }
}
