//! Files of the state folder: a failed write leaves no partial file behind, and the leftovers of processes
//! that have ended are removed.

use frosttrail::Id;
use frosttrail_daemon::ops::ExclusionStore;
use frosttrail_daemon::state_dir::{remove_leftovers, replace};

/// A new folder for one test.
fn folder(name: &str) -> std::path::PathBuf {
    let folder = std::env::temp_dir().join(format!("frosttrail-files-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// The sorted names of a folder's files.
fn file_names(folder: &std::path::Path) -> Vec<String> {
    let files = std::fs::read_dir(folder).unwrap();
    let mut names: Vec<String> =
        files.map(|file| file.unwrap().file_name().to_string_lossy().into_owned()).collect();
    names.sort();
    names
}

#[test]
fn a_failed_replacement_leaves_no_partial_file() {
    let folder = folder("half");
    // A folder can't be replaced by a file.
    std::fs::create_dir(folder.join("taken")).unwrap();
    for _ in 0..3 {
        assert!(replace(&folder.join("taken"), "text").is_err());
    }
    assert_eq!(file_names(&folder), ["taken"]);
    replace(&folder.join("deeper").join("file"), "text").unwrap();
    assert_eq!(std::fs::read_to_string(folder.join("deeper").join("file")).unwrap(), "text");
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn partial_files_of_ended_processes_are_removed() {
    let folder = folder("gone");
    // 4194305 is above the kernel's limit on process ids, so no process has it.
    let own = format!("file.{}", std::process::id());
    for name in ["file", "file.4194305", &own, "listeners.sock"] {
        std::fs::write(folder.join(name), "half").unwrap();
    }
    remove_leftovers(&folder);
    let mut expected = vec!["file".to_string(), own, "listeners.sock".into()];
    expected.sort();
    assert_eq!(file_names(&folder), expected);
    std::fs::remove_dir_all(&folder).unwrap();
}

/// A retry must not read them again: if any file may fail to be read now and then, hundreds of them would
/// never all be read in one attempt.
#[test]
fn a_retry_reads_only_the_exclusions_that_could_not_be_read_before() {
    let folder = folder("exclusions");
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let store = ExclusionStore::in_folder(&folder);
    let mut all: Vec<Id> = (0..300).map(|n| Id::from(format!("s-{n}").as_str())).collect();
    all.iter().for_each(|id| store.insert(id).unwrap());
    // A folder among the files can't be read as one.
    let unreadable = store.folder().join("unreadable");
    std::fs::create_dir(&unreadable).unwrap();
    assert!(store.load_at_start(&log).is_err(), "an unreadable exclusion was treated as a missing one");
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
