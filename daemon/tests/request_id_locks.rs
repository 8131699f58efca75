//! Claims of request ids by processes that share a state folder. Each instance opens the file for itself, as
//! a process does.

use std::fs;
use std::path::PathBuf;

use frosttrail::Id;
use frosttrail_core::SharedIdClaims;
use frosttrail_daemon::request_id_locks::RequestIdLocks;

fn folder(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("frosttrail-{name}-{}", std::process::id()))
}

fn locks(folder: &std::path::Path) -> RequestIdLocks {
    RequestIdLocks::in_folder(folder, slog::Logger::root(slog::Discard, slog::o!()))
}

#[test]
fn one_process_at_a_time_has_an_id() {
    let folder = folder("id-locks");
    let (old, new) = (locks(&folder), locks(&folder));
    let ids: Vec<Id> = (0..1_000).map(|n| format!("id-{n}").into()).collect();
    for id in &ids {
        assert!(old.claim(id), "{id} was claimed by nobody");
    }
    for id in &ids {
        assert!(!new.claim(id), "two processes have {id}");
    }
    old.release(&ids[0]);
    assert!(new.claim(&ids[0]));
    assert!(!old.claim(&ids[0]));
    assert!(!new.claim(&ids[1]), "the claim of another id was given up too");
    // The end of a process ends its claims.
    drop(old);
    assert!(ids.iter().all(|id| new.claim(id)));
    fs::remove_dir_all(&folder).unwrap();
}

/// Guards against claims that are lost because the state folder could not be written when they were made.
#[test]
fn claims_made_without_the_folder_hold_once_it_can_be_written() {
    let folder = folder("id-locks-late");
    let (open, ended): (Id, Id) = ("open".into(), "ended".into());
    fs::write(&folder, "a file in place of the folder").unwrap();
    let old = locks(&folder);
    assert!(old.claim(&open) && old.claim(&ended));
    old.release(&ended);
    fs::remove_file(&folder).unwrap();
    assert!(old.claim(&"later".into()));
    let new = locks(&folder);
    assert!(!new.claim(&open) && !new.claim(&"later".into()));
    assert!(new.claim(&ended));
    fs::remove_dir_all(&folder).unwrap();
}
