use super::*;

const MAX_AGE: Duration = Duration::from_secs(15);

fn server(name: &str) -> Id {
    name.into()
}

#[test]
fn a_stale_connection_idle_for_long_lowers_the_limit_of_all_servers_for_a_while() {
    let (mut limits, now) = (IdleAgeLimits::default(), Instant::now());
    assert_eq!(limits.limit(&server("a"), MAX_AGE, now), MAX_AGE);
    limits.record_stale(&server("a"), Duration::from_secs(8), MAX_AGE, now);
    for name in ["a", "b"] {
        assert_eq!(limits.limit(&server(name), MAX_AGE, now), Duration::from_secs(4));
        assert_eq!(limits.limit(&server(name), MAX_AGE, now + AGE_DOUBLING_INTERVAL), Duration::from_secs(8));
        assert_eq!(limits.limit(&server(name), MAX_AGE, now + 2 * AGE_DOUBLING_INTERVAL), MAX_AGE);
    }
}

#[test]
fn a_reset_soon_after_a_response_lowers_the_limit_of_its_server_for_a_while() {
    for idle in [Duration::ZERO, Duration::from_micros(3), Duration::from_millis(900)] {
        let (mut limits, now) = (IdleAgeLimits::default(), Instant::now());
        limits.record_stale(&server("a"), idle, MAX_AGE, now);
        assert_eq!(limits.limit(&server("a"), MAX_AGE, now), (idle / 2).max(MIN_IDLE_AGE));
        assert_eq!(limits.limit(&server("b"), MAX_AGE, now), MAX_AGE);
        assert_eq!(
            limits.limit(&server("a"), MAX_AGE, now + 12 * AGE_DOUBLING_INTERVAL),
            MAX_AGE,
            "after {idle:?}"
        );
        assert_eq!(limits.limit(&server("a"), MAX_AGE, now + Duration::from_secs(86_400)), MAX_AGE);
    }
}

#[test]
fn learned_limits_that_have_expired_are_removed() {
    let (mut limits, now) = (IdleAgeLimits::default(), Instant::now());
    for n in 0..100 {
        limits.record_stale(&server(&n.to_string()), Duration::ZERO, MAX_AGE, now);
    }
    assert_eq!(limits.servers.len(), 100);
    limits.record_stale(&server("late"), Duration::ZERO, MAX_AGE, now + 12 * AGE_DOUBLING_INTERVAL);
    assert_eq!(limits.servers.len(), 1);
}
