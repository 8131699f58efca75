//! The files in which the processes of a conductor tell each other their open work at servers.

use std::time::{Duration, Instant, SystemTime};

use frosttrail::OpenWork;
use frosttrail_daemon::open_work_files::OpenWorkFiles;
use frosttrail_daemon::state_dir;

const WORK_JSON: &str = "{\"p\":{\"reads\":2,\"streams\":0,\"tokens\":1200}}";

fn work() -> OpenWork {
    serde_json::from_str(WORK_JSON).unwrap()
}

#[test]
fn only_whole_files_of_running_processes_are_counted() {
    let folder = std::env::temp_dir().join(format!("frosttrail-open-work-{}", std::process::id()));
    let files = OpenWorkFiles::in_folder(&folder);
    let begin = Instant::now();
    let exchange = |after_ms: u64| files.exchange(&work(), begin + Duration::from_millis(after_ms)).unwrap();
    let file_of = |name: &str| folder.join("open-work").join(name);
    let write = |name: &str, text: &str| state_dir::replace(&file_of(name), text).unwrap();
    assert_eq!(exchange(0), OpenWork::default(), "a process counted its own work as another's");
    write("1", WORK_JSON);
    write("2", &WORK_JSON[..WORK_JSON.len() / 2]);
    std::fs::write(file_of("3.new"), WORK_JSON).unwrap();
    assert_eq!(exchange(100), work());
    write("4", WORK_JSON);
    let mut both = work();
    both.add(work());
    assert_eq!(exchange(200), both);
    // The wall clock is stepped, and with it the modification times. A process that still writes counts as
    // alive.
    for (hours, after_ms) in [(-1, 300), (1, 400)] {
        write("1", WORK_JSON);
        let file = std::fs::File::options().write(true).open(file_of("1")).unwrap();
        let hour = Duration::from_secs(3_600);
        let now = SystemTime::now();
        file.set_modified(if hours < 0 { now - hour } else { now + hour }).unwrap();
        assert_eq!(exchange(after_ms), both, "{hours} h");
    }
    // A killed process writes no more, so its work expires whatever its file says. Its file is removed later.
    assert_eq!(exchange(1_300), work(), "only the file written at 400 ms still counts");
    assert_eq!(exchange(1_500), OpenWork::default());
    assert!(file_of("1").exists());
    assert_eq!(exchange(31_500), OpenWork::default());
    assert!(!file_of("1").exists() && !file_of("4").exists());
    files.remove();
    std::fs::remove_dir_all(&folder).unwrap();
}
