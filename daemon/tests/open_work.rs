//! Files in which the processes of a conductor tell each other what they have open at servers.

use std::time::{Duration, SystemTime};

use frosttrail::OpenWork;
use frosttrail_daemon::open_work_files::OpenWorkFiles;

const WORK: &str = "{\"p\":{\"reads\":2,\"streams\":0,\"tokens\":1200}}";

fn work() -> OpenWork {
    serde_json::from_str(WORK).unwrap()
}

#[test]
fn what_lives_is_counted_and_what_is_old_damaged_or_being_written_is_not() {
    let folder = std::env::temp_dir().join(format!("frosttrail-open-work-{}", std::process::id()));
    let files = OpenWorkFiles::open(&folder).unwrap();
    let other = |name: &str| folder.join("open-work").join(name);
    assert_eq!(files.exchange(&work()).unwrap(), OpenWork::default(), "its own is not another's");
    std::fs::write(other("1"), WORK).unwrap();
    std::fs::write(other("2"), &WORK[..WORK.len() / 2]).unwrap();
    std::fs::write(other("3.new"), WORK).unwrap();
    assert_eq!(files.exchange(&work()).unwrap(), work());
    std::fs::write(other("4"), WORK).unwrap();
    let mut both = work();
    both.add(work());
    assert_eq!(files.exchange(&work()).unwrap(), both);
    // A process that was killed writes no more; in the end its file goes.
    let age = |name: &str, seconds| {
        let file = std::fs::File::options().write(true).open(other(name)).unwrap();
        file.set_modified(SystemTime::now() - Duration::from_secs(seconds)).unwrap();
    };
    age("1", 2);
    age("4", 60);
    assert_eq!(files.exchange(&work()).unwrap(), OpenWork::default());
    assert!(other("1").exists() && !other("4").exists());
    files.remove();
    std::fs::remove_dir_all(&folder).unwrap();
}
