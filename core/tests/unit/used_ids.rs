//! Tests of private items of `core/src/used_ids.rs`.

use super::*;

fn id(n: usize) -> Id {
    format!("id-{n}").into()
}

#[test]
fn an_id_is_remembered_for_its_time_and_from_its_last_record() {
    let (mut used, start) = (UsedIds::default(), Instant::now());
    let half = USED_ID_TTL / 2;
    used.record(&id(0), start);
    used.record(&id(1), start);
    used.record(&id(1), start + half);
    assert!(!used.contains(&id(2), start));
    let just_before = start + USED_ID_TTL - Duration::from_millis(1);
    assert!(used.contains(&id(0), just_before) && used.contains(&id(1), just_before));
    assert!(!used.contains(&id(0), start + USED_ID_TTL));
    assert!(used.contains(&id(1), start + USED_ID_TTL));
    assert!(!used.contains(&id(1), start + half + USED_ID_TTL));
    assert!(used.records.is_empty() && used.recorded_at.is_empty(), "expired ids keep their memory");
}

/// Guards against memory that grows with the ids that clients choose.
#[test]
fn beyond_the_limit_the_oldest_ids_are_forgotten() {
    let (mut used, start) = (UsedIds::default(), Instant::now());
    for n in 0..2 * MAX_USED_IDS {
        used.record(&id(n), start);
        // The same id again and again takes no more than one that is new.
        used.record(&id(n), start);
        assert!(used.records.len() <= MAX_USED_IDS && used.recorded_at.len() <= MAX_USED_IDS);
    }
    assert!(!used.contains(&id(0), start) && used.contains(&id(2 * MAX_USED_IDS - 1), start));
}
