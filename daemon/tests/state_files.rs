//! Files of the state folder: what could not be written whole leaves nothing behind, and what processes
//! that are gone have left is removed.

use frosttrail::Id;
use frosttrail_daemon::ops::ExclusionStore;
use frosttrail_daemon::state_dir::{remove_leftovers, replace};

fn folder(name: &str) -> std::path::PathBuf {
    let folder = std::env::temp_dir().join(format!("frosttrail-files-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

fn files(folder: &std::path::Path) -> Vec<String> {
    let files = std::fs::read_dir(folder).unwrap();
    let mut names: Vec<String> =
        files.map(|file| file.unwrap().file_name().to_string_lossy().into_owned()).collect();
    names.sort();
    names
}

#[test]
fn a_replacement_that_fails_leaves_no_half_file() {
    let folder = folder("half");
    // A folder in its place can't be replaced by a file.
    std::fs::create_dir(folder.join("taken")).unwrap();
    for _ in 0..3 {
        assert!(replace(&folder.join("taken"), "text").is_err());
    }
    assert_eq!(files(&folder), ["taken"]);
    replace(&folder.join("deeper").join("file"), "text").unwrap();
    assert_eq!(std::fs::read_to_string(folder.join("deeper").join("file")).unwrap(), "text");
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn what_processes_that_are_gone_were_writing_is_removed() {
    let folder = folder("gone");
    // No process has this id: it is above the kernel's bound.
    let own = format!("file.{}", std::process::id());
    for name in ["file", "file.4194305", &own, "listeners.sock"] {
        std::fs::write(folder.join(name), "half").unwrap();
    }
    remove_leftovers(&folder);
    let mut expected = vec!["file".to_string(), own, "listeners.sock".into()];
    expected.sort();
    assert_eq!(files(&folder), expected);
    std::fs::remove_dir_all(&folder).unwrap();
}

/// Where each file can't be read now and then, hundreds of them would never be read at once.
#[test]
fn exclusions_that_have_been_read_are_not_read_again_with_those_that_could_not() {
    let folder = folder("exclusions");
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let store = ExclusionStore::in_folder(&folder);
    let mut all: Vec<Id> = (0..300).map(|n| Id::from(format!("s-{n}").as_str())).collect();
    all.iter().for_each(|id| store.insert(id).unwrap());
    // It can't be read for now.
    let unreadable = store.folder().join("unreadable");
    std::fs::create_dir(&unreadable).unwrap();
    assert!(store.load_at_start(&log).is_err(), "one that can't be read is not one that is not there");
    std::fs::remove_dir(&unreadable).unwrap();
    for file in std::fs::read_dir(store.folder()).unwrap() {
        std::fs::write(file.unwrap().path(), "not read again").unwrap();
    }
    let mut loaded = store.load_at_start(&log).unwrap();
    loaded.sort();
    all.sort();
    assert_eq!(loaded, all);
    store.remove(&all[0]).unwrap();
    assert_eq!(store.load(&log).unwrap().len(), 299);
    std::fs::remove_dir_all(&folder).unwrap();
}
