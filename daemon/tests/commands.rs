//! The command line and the transfer commands, as whole processes.

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};

fn program() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_frosttrail"));
    command.env_remove("EDGE_CONFIG");
    command
}

fn run(args: &[&str]) -> Output {
    program().args(args).output().unwrap()
}

/// A folder of a test's own.
fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("frosttrail-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

fn says(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn what_is_wrong_with_a_command_line_is_one_line_and_exit_2() {
    let cases: [(&[&str], &str); 7] = [
        (&["--what"], "--what"),
        (&["--chat"], "--chat"),
        (&["transfr"], "transfr"),
        (&["transfer", "send"], "--id"),
        (&["transfer", "send", "f", "--id", "a b", "--to", "127.0.0.1:1"], "visible ASCII"),
        (&["transfer", "fetch", "--id", "a", "--from", "here", "--out", "f"], "--from"),
        (&["serve"], "EDGE_CONFIG"),
    ];
    for (args, word) in cases {
        let output = run(args);
        let text = says(&output);
        assert_eq!((output.status.code(), text.lines().count()), (Some(2), 1), "{args:?}: {text}");
        assert!(text.starts_with("frosttrail: ") && text.contains(word), "{text}");
    }
    for args in [&["--help"][..], &["--version"], &["help", "transfer"], &["transfer", "send", "--help"]] {
        let output = run(args);
        assert_eq!(output.status.code(), Some(0), "{args:?}");
        assert!(!output.stdout.is_empty());
    }
}

#[test]
fn a_bad_transfer_file_is_one_line_and_exit_2() {
    let folder = folder("bad-transfer");
    let cases = [
        ("{", "EOF"),
        ("{\"listen\": \"127.0.0.1:0\"}", "name"),
        ("{\"name\": \"n\", \"listen\": \"here\"}", "socket address"),
        ("{\"name\": \"n\", \"listen\": \"127.0.0.1:0\", \"chunk\": 1}", "unknown field `chunk`"),
        ("{\"name\": \"n\", \"listen\": \"127.0.0.1:0\", \"chunk_kib\": 3}", "power of two"),
        ("{\"name\": \"n\", \"listen\": \"127.0.0.1:0\", \"window_kib\": 1}", "window"),
        ("{\"name\": \"n\", \"listen\": \"127.0.0.1:0\", \"window_kib\": 4294967295}", "window_kib"),
        ("{\"name\": \"n\", \"listen\": \"127.0.0.1:0\", \"silence_ms\": 1000}", "silence"),
        ("{\"name\": \"n\", \"listen\": \"127.0.0.1:0\", \"hold_ms\": -1}", "invalid value"),
        ("{\"name\": \"n\", \"listen\": \"127.0.0.1:0\", \"store\": \"/nowhere/at/all\"}", "no folder"),
    ];
    for (text, word) in cases {
        let file = folder.join("transfer.json");
        std::fs::write(&file, text).unwrap();
        let output = run(&["transfer", "serve", "--config", file.to_str().unwrap()]);
        let said = says(&output);
        assert_eq!((output.status.code(), said.lines().count()), (Some(2), 1), "{text}: {said}");
        assert!(said.contains(word) && said.contains("transfer.json"), "{said}");
    }
}

/// A node under way; its log tells where it listens.
struct Serving {
    child: Child,
    log: BufReader<std::process::ChildStderr>,
    at: String,
}

impl Serving {
    fn start(name: &str, more: &str) -> Self {
        let file = folder(name).join("transfer.json");
        std::fs::write(&file, format!("{{\"name\": \"n\", \"listen\": \"127.0.0.1:0\"{more}}}")).unwrap();
        let serve = ["transfer", "serve", "--config", file.to_str().unwrap()];
        let mut child = program().args(serve).stderr(Stdio::piped()).spawn().unwrap();
        let log = BufReader::new(child.stderr.take().unwrap());
        let mut serving = Serving { child, log, at: String::new() };
        let line = serving.wait_for_log("listening, at: ");
        serving.at = line.split_once("at: ").unwrap().1.split(',').next().unwrap().to_string();
        serving
    }

    fn wait_for_log(&mut self, words: &str) -> String {
        let mut line = String::new();
        while !line.contains(words) {
            line.clear();
            assert!(self.log.read_line(&mut line).unwrap() > 0, "it ended and never said {words}");
        }
        line
    }

    fn signal(&self, name: &str) {
        assert!(Command::new("kill").args([name, &self.child.id().to_string()]).status().unwrap().success());
    }

    fn expect_clean_exit(mut self) {
        self.signal("-TERM");
        assert_eq!(self.child.wait().unwrap().code(), Some(0));
    }
}

impl Drop for Serving {
    /// A test that fails leaves no process behind.
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn a_file_goes_from_one_box_to_another_through_a_node_beside_them() {
    let mut serving = Serving::start("relay", "");
    let folder = folder("relay-files");
    let (from, to) = (folder.join("from"), folder.join("to"));
    let state: Vec<u8> = (0..3_000_000u32).map(|n| (n.wrapping_mul(n) >> 7) as u8).collect();
    std::fs::write(&from, &state).unwrap();
    let (from, out, at) = (from.to_str().unwrap(), to.to_str().unwrap(), serving.at.clone());
    let sent = run(&["transfer", "send", from, "--id", "r-1", "--to", &at]);
    assert_eq!(sent.status.code(), Some(0), "{}", says(&sent));
    serving.wait_for_log("held");
    let had = run(&["transfer", "fetch", "--id", "r-1", "--from", &at, "--out", out]);
    assert_eq!(had.status.code(), Some(0), "{}", says(&had));
    assert!(std::fs::read(&to).unwrap() == state);
    let again = run(&["transfer", "fetch", "--id", "r-1", "--from", &at, "--out", out]);
    assert_eq!((again.status.code(), says(&again).lines().count()), (Some(1), 1), "{}", says(&again));
    assert!(says(&again).contains("belongs to another receiver"), "{}", says(&again));
    let status = run(&["transfer", "status", "--at", &at]);
    assert!(String::from_utf8_lossy(&status.stdout).contains("\"given\": 1"));
    serving.signal("-HUP");
    serving.wait_for_log("SIGHUP");
    serving.expect_clean_exit();
    let nobody = run(&["transfer", "status", "--at", &at]);
    assert_eq!((nobody.status.code(), says(&nobody).lines().count()), (Some(1), 1));
}

#[test]
fn what_arrives_is_stored_under_a_name_that_stays_in_its_folder() {
    let store = folder("store");
    let serving = Serving::start("storing", &format!(", \"store\": {:?}", store.to_str().unwrap()));
    let file = folder("store-files").join("state");
    std::fs::write(&file, b"a state").unwrap();
    let long = "/".repeat(128);
    for id in ["../../etc/r-1", "..", "plain-1", &long] {
        let sent = run(&["transfer", "send", file.to_str().unwrap(), "--id", id, "--to", &serving.at]);
        assert_eq!(sent.status.code(), Some(0), "{}", says(&sent));
    }
    serving.expect_clean_exit();
    let mut names: Vec<String> = std::fs::read_dir(&store)
        .unwrap()
        .map(|entry| {
            let entry = entry.unwrap();
            assert_eq!(std::fs::read(entry.path()).unwrap(), b"a state");
            entry.file_name().into_string().unwrap()
        })
        .collect();
    names.sort();
    assert_eq!(names.len(), 4, "{names:?}");
    assert_eq!(names[..2], ["%2E%2E", "%2E%2E%2F%2E%2E%2Fetc%2Fr-1"]);
    assert!(names.contains(&"plain-1".to_string()));
}
