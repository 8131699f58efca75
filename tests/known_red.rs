//! Tests `.ci/judge`, which lets only the tests listed as known to fail do so, and reports each of them.

use std::io::Write;
use std::path::PathBuf;
use std::process::{Command, Stdio};

const TEST_LIST: &str = "     Running tests/a.rs (target/debug/deps/a-0123abcd)\nlate: test\nnever: test\n\n\
    2 tests, 0 benchmarks\n     Running unittests src/lib.rs (target/debug/deps/frost-0123abcd)\n\
    inner::late: test\n";

/// The output of `cargo test` for two test binaries with these results.
fn cargo_output(late: &str, never: &str, inner: &str) -> String {
    format!(
        "     Running tests/a.rs (target/debug/deps/a-0123abcd)\n\nrunning 2 tests\ntest late ... {late}\n\
         test never ... {never}\n\ntest result: so. 1 passed\n\n     Running unittests src/lib.rs \
         (target/debug/deps/frost-0123abcd)\n\ntest inner::late ... {inner}\ntest result: so.\n"
    )
}

fn judge(case: &str, list: &str, out: &str, code: &str) -> (bool, String) {
    let file = |name: &str, text: &str| -> PathBuf {
        let path =
            std::env::temp_dir().join(format!("frosttrail-judge-{case}-{name}-{}", std::process::id()));
        std::fs::write(&path, text).unwrap();
        path
    };
    let mut judge = Command::new("bash")
        .arg(concat!(env!("CARGO_MANIFEST_DIR"), "/.ci/judge"))
        .args([file("list", list), file("names", TEST_LIST)])
        .arg(code)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    judge.stdin.take().unwrap().write_all(out.as_bytes()).unwrap();
    let output = judge.wait_with_output().unwrap();
    (output.status.success(), String::from_utf8(output.stdout).unwrap())
}

#[test]
fn only_listed_tests_may_fail_and_they_are_printed() {
    let line = "a::late | the clock | issue 9\n";
    let four_lines =
        ["a::late", "a::never", "frost::inner::late", "a::more"].map(|t| format!("{t} | x | issue 1\n"));
    let four_lines = &*four_lines.concat();
    let incomplete = cargo_output("ok", "ok", "ok").replace("test result: so.\n", "");
    for (case, list, out, code, should_pass, expected) in [
        ("green", "", cargo_output("ok", "ok", "ok"), "0", true, ""),
        (
            "red",
            line,
            cargo_output("FAILED", "ok", "ok"),
            "101",
            true,
            "known red: a::late | the clock | issue 9",
        ),
        (
            "leaves",
            line,
            cargo_output("ok", "ok", "ok"),
            "0",
            true,
            "due to leave the list, as it has passed: a::late",
        ),
        ("other", line, cargo_output("FAILED", "FAILED", "ok"), "101", false, "not listed: a::never"),
        (
            "namesake",
            line,
            cargo_output("ok", "ok", "FAILED"),
            "101",
            false,
            "not listed: frost::inner::late",
        ),
        ("unlisted", "", cargo_output("FAILED", "ok", "ok"), "101", false, "not listed: a::late"),
        (
            "no test",
            "a::gone | x | issue 1\n",
            cargo_output("ok", "ok", "ok"),
            "0",
            false,
            "names no test: a::gone",
        ),
        (
            "no cause",
            "a::late\n",
            cargo_output("FAILED", "ok", "ok"),
            "101",
            false,
            "no 'test | cause | issue'",
        ),
        ("four", four_lines, cargo_output("FAILED", "ok", "ok"), "101", false, "4 lines, three at most"),
        ("crash", line, incomplete, "101", false, "gave a result"),
        ("no build", line, String::new(), "101", false, "gave a result"),
        ("silent", line, cargo_output("ok", "ok", "ok"), "101", false, "ended with 101 and no test failed"),
    ] {
        let (passed, printed) = judge(case, list, &out, code);
        assert_eq!(passed, should_pass, "{case}: {printed}");
        assert!(printed.contains(expected), "{case}: {printed}");
    }
}
