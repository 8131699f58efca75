use super::*;

const MS: Duration = Duration::from_millis(1);

/// Guards against a deadline that grows by the time for which a request lay unread: what is read after a
/// stall may have arrived when it began.
#[test]
fn input_read_after_a_stall_may_have_arrived_at_its_beginning() {
    let begin = Instant::now();
    let mut detector = StallDetector::new(begin);
    detector.tick(begin + 20 * MS);
    let stalled_at = begin + 45 * MS;
    detector.tick(stalled_at);
    assert_eq!(detector.earliest_arrival(begin + 60 * MS), begin + 60 * MS, "no stall");
    // The process does not run for a second. Input may be read before the tick that is late, and after it.
    let ended_at = stalled_at + 1_000 * MS;
    assert_eq!(detector.earliest_arrival(ended_at), stalled_at);
    detector.tick(ended_at);
    detector.tick(ended_at + 20 * MS);
    assert_eq!(detector.earliest_arrival(ended_at + 21 * MS), stalled_at);
    for at in (40..=120).step_by(20) {
        detector.tick(ended_at + at * MS);
    }
    let read_at = ended_at + 121 * MS;
    assert_eq!(detector.earliest_arrival(read_at), read_at, "the stall is long over");
}

/// Guards against time that adds up on a busy machine, where each tick is late.
#[test]
fn ticks_that_are_late_in_a_row_are_stalls_of_their_own() {
    let begin = Instant::now();
    let mut detector = StallDetector::new(begin);
    for n in 1..100 {
        let now = begin + n * 90 * MS;
        detector.tick(now);
        assert_eq!(detector.earliest_arrival(now), now - 90 * MS);
    }
}
