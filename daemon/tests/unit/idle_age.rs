use super::*;

const MOST: Duration = Duration::from_secs(15);

fn server(name: &str) -> Id {
    name.into()
}

#[test]
fn what_was_idle_for_long_tells_of_all_servers_until_the_age_has_grown_again() {
    let (mut ages, now) = (IdleAges::default(), Instant::now());
    assert_eq!(ages.limit(&server("a"), MOST, now), MOST);
    ages.was_dead(&server("a"), Duration::from_secs(8), MOST, now);
    for name in ["a", "b"] {
        assert_eq!(ages.limit(&server(name), MOST, now), Duration::from_secs(4));
        assert_eq!(ages.limit(&server(name), MOST, now + DOUBLES), Duration::from_secs(8));
        assert_eq!(ages.limit(&server(name), MOST, now + 2 * DOUBLES), MOST);
    }
}

#[test]
fn what_breaks_soon_after_an_answer_tells_of_its_server_and_never_for_good() {
    for idle in [Duration::ZERO, Duration::from_micros(3), Duration::from_millis(900)] {
        let (mut ages, now) = (IdleAges::default(), Instant::now());
        ages.was_dead(&server("a"), idle, MOST, now);
        assert_eq!(ages.limit(&server("a"), MOST, now), (idle / 2).max(LEAST));
        assert_eq!(ages.limit(&server("b"), MOST, now), MOST);
        assert_eq!(ages.limit(&server("a"), MOST, now + 12 * DOUBLES), MOST, "after {idle:?}");
        assert_eq!(ages.limit(&server("a"), MOST, now + Duration::from_secs(86_400)), MOST);
    }
}

#[test]
fn what_has_grown_again_is_forgotten() {
    let (mut ages, now) = (IdleAges::default(), Instant::now());
    for n in 0..100 {
        ages.was_dead(&server(&n.to_string()), Duration::ZERO, MOST, now);
    }
    assert_eq!(ages.servers.len(), 100);
    ages.was_dead(&server("late"), Duration::ZERO, MOST, now + 12 * DOUBLES);
    assert_eq!(ages.servers.len(), 1);
}
