//! Tests of private items of `daemon/src/used_id_table.rs`. Each table opens the file for itself, as a
//! process does.

use std::fs;

use super::*;

fn folder(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("frosttrail-used-{name}-{}", std::process::id()))
}

fn id(n: usize) -> Id {
    format!("id-{n}").into()
}

#[test]
fn what_one_process_records_all_processes_find() {
    let folder = folder("shared");
    let (mut old, mut new) = (UsedIdTable::in_folder(&folder), UsedIdTable::in_folder(&folder));
    assert!(!new.contains(&id(0)).unwrap());
    for n in 0..2_000 {
        old.record(&id(n)).unwrap();
    }
    drop(old);
    assert!((0..2_000).all(|n| new.contains(&id(n)).unwrap()));
    assert!((2_000..4_000).all(|n| !new.contains(&id(n)).unwrap()));
    fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn the_file_is_bounded_and_keeps_the_latest() {
    let folder = folder("bounded");
    let mut table = UsedIdTable::in_folder(&folder);
    let capacity = BUCKET_COUNT as usize * RECORDS_PER_BUCKET;
    for n in 0..3 * capacity {
        table.record(&id(n)).unwrap();
    }
    let file = fs::metadata(folder.join("used-request-ids")).unwrap();
    assert!(file.len() <= (capacity * RECORD_BYTES) as u64);
    let latest = 3 * capacity - capacity / 4..3 * capacity;
    assert!(latest.clone().all(|n| table.contains(&id(n)).unwrap()));
    fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn a_record_that_is_damaged_expired_or_of_another_boot_is_ignored() {
    let folder = folder("damaged");
    let mut table = UsedIdTable::in_folder(&folder);
    table.record(&id(0)).unwrap();
    let path = folder.join("used-request-ids");
    let sound = fs::read(&path).unwrap();
    // A kill in the middle of a write leaves a part of the record.
    for length in sound.len() - RECORD_BYTES..sound.len() {
        fs::write(&path, &sound[..length]).unwrap();
        assert!(!UsedIdTable::in_folder(&folder).contains(&id(0)).unwrap(), "{length} bytes");
    }
    let expired = Record { fingerprint: fingerprint(&id(0)), expires_at: uptime() };
    let live = Record { expires_at: uptime() + USED_ID_TTL, ..expired };
    let boot_id = boot_id().unwrap();
    for (record, boot_id, is_found) in
        [(expired, &*boot_id, false), (live, "another boot", false), (live, &boot_id, true)]
    {
        fs::remove_file(&path).unwrap();
        let mut table = UsedIdTable::in_folder(&folder);
        write_record(table.open().unwrap().0, boot_id, &record).unwrap();
        assert_eq!(table.contains(&id(0)).unwrap(), is_found, "{record:?}, {boot_id}");
    }
    fs::remove_dir_all(&folder).unwrap();
}

/// Guards against ids that are forgotten because the folder could not be written for a while.
#[test]
fn what_could_not_be_written_is_written_later() {
    let folder = folder("failing");
    fs::write(&folder, "a file in place of the folder").unwrap();
    let (mut old, mut new) = (UsedIdTable::in_folder(&folder), UsedIdTable::in_folder(&folder));
    assert!(old.record(&id(0)).is_err() && new.contains(&id(0)).is_err());
    assert!(old.contains(&id(0)).unwrap(), "the process that recorded it has forgotten it");
    fs::remove_file(&folder).unwrap();
    old.record(&id(1)).unwrap();
    assert!(new.contains(&id(0)).unwrap() && new.contains(&id(1)).unwrap());
    fs::remove_dir_all(&folder).unwrap();
}
