//! Files in which the processes of a conductor tell each other what they have open at servers.

use std::time::{Duration, Instant, SystemTime};

use frosttrail::OpenWork;
use frosttrail_daemon::open_work_files::OpenWorkFiles;
use frosttrail_daemon::state_dir;

const WORK: &str = "{\"p\":{\"reads\":2,\"streams\":0,\"tokens\":1200}}";

fn work() -> OpenWork {
    serde_json::from_str(WORK).unwrap()
}

#[test]
fn what_lives_is_counted_and_what_is_old_damaged_or_being_written_is_not() {
    let folder = std::env::temp_dir().join(format!("frosttrail-open-work-{}", std::process::id()));
    let files = OpenWorkFiles::in_folder(&folder);
    let begin = Instant::now();
    let exchange = |after: u64| files.exchange(&work(), begin + Duration::from_millis(after)).unwrap();
    let other = |name: &str| folder.join("open-work").join(name);
    let write = |name: &str, text: &str| state_dir::replace(&other(name), text).unwrap();
    assert_eq!(exchange(0), OpenWork::default(), "its own is not another's");
    write("1", WORK);
    write("2", &WORK[..WORK.len() / 2]);
    std::fs::write(other("3.new"), WORK).unwrap();
    assert_eq!(exchange(100), work());
    write("4", WORK);
    let mut both = work();
    both.add(work());
    assert_eq!(exchange(200), both);
    // The wall clock, and with it what the files say of their age, is stepped: who writes, lives.
    for (hours, after) in [(-1, 300), (1, 400)] {
        write("1", WORK);
        let file = std::fs::File::options().write(true).open(other("1")).unwrap();
        let hour = Duration::from_secs(3_600);
        let now = SystemTime::now();
        file.set_modified(if hours < 0 { now - hour } else { now + hour }).unwrap();
        assert_eq!(exchange(after), both, "{hours} h");
    }
    // A process that was killed writes no more, whatever its file says; in the end its file goes.
    assert_eq!(exchange(1_300), work(), "one of them was written at 400 ms");
    assert_eq!(exchange(1_500), OpenWork::default());
    assert!(other("1").exists());
    assert_eq!(exchange(31_500), OpenWork::default());
    assert!(!other("1").exists() && !other("4").exists());
    files.remove();
    std::fs::remove_dir_all(&folder).unwrap();
}
