//! The command line and the transfer commands, run as real processes.

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};

/// The program without a configuration in its environment.
fn program() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_frosttrail"));
    command.env_remove("EDGE_CONFIG");
    command
}

fn run(args: &[&str]) -> Output {
    program().args(args).output().unwrap()
}

/// A new, empty folder for one test.
fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("frosttrail-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

fn stderr_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn a_bad_command_line_prints_one_line_and_exits_with_2() {
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
        let text = stderr_text(&output);
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
fn a_bad_transfer_file_prints_one_line_and_exits_with_2() {
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
        let message = stderr_text(&output);
        assert_eq!((output.status.code(), message.lines().count()), (Some(2), 1), "{text}: {message}");
        assert!(message.contains(word) && message.contains("transfer.json"), "{message}");
    }
}

/// A running transfer node; the address it listens at is read from its log.
struct TransferNode {
    child: Child,
    log: BufReader<std::process::ChildStderr>,
    address: String,
}

impl TransferNode {
    /// Starts a node; `more_json` is appended to the fields of its configuration.
    fn start(name: &str, more_json: &str) -> Self {
        let file = folder(name).join("transfer.json");
        std::fs::write(&file, format!("{{\"name\": \"n\", \"listen\": \"127.0.0.1:0\"{more_json}}}"))
            .unwrap();
        let serve = ["transfer", "serve", "--config", file.to_str().unwrap()];
        let mut child = program().args(serve).stderr(Stdio::piped()).spawn().unwrap();
        let log = BufReader::new(child.stderr.take().unwrap());
        let mut node = TransferNode { child, log, address: String::new() };
        let line = node.wait_for_log("listening, at: ");
        node.address = line.split_once("at: ").unwrap().1.split(',').next().unwrap().to_string();
        node
    }

    /// Waits for a log line that contains this text and returns it.
    fn wait_for_log(&mut self, text: &str) -> String {
        let mut line = String::new();
        while !line.contains(text) {
            line.clear();
            assert!(self.log.read_line(&mut line).unwrap() > 0, "the node ended and never logged {text}");
        }
        line
    }

    fn signal(&self, name: &str) {
        assert!(Command::new("kill").args([name, &self.child.id().to_string()]).status().unwrap().success());
    }

    /// Sends SIGTERM and checks that the exit code is 0.
    fn expect_clean_exit(mut self) {
        self.signal("-TERM");
        assert_eq!(self.child.wait().unwrap().code(), Some(0));
    }
}

impl Drop for TransferNode {
    /// Kills the process, so that a failed test leaves none behind.
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn a_file_is_sent_to_a_node_and_fetched_from_it_once() {
    let mut node = TransferNode::start("relay", "");
    let folder = folder("relay-files");
    let (from, to) = (folder.join("from"), folder.join("to"));
    let content: Vec<u8> = (0..3_000_000u32).map(|n| (n.wrapping_mul(n) >> 7) as u8).collect();
    std::fs::write(&from, &content).unwrap();
    let (from, out, address) = (from.to_str().unwrap(), to.to_str().unwrap(), node.address.clone());
    let sent = run(&["transfer", "send", from, "--id", "r-1", "--to", &address]);
    assert_eq!(sent.status.code(), Some(0), "{}", stderr_text(&sent));
    node.wait_for_log("held");
    let fetched = run(&["transfer", "fetch", "--id", "r-1", "--from", &address, "--out", out]);
    assert_eq!(fetched.status.code(), Some(0), "{}", stderr_text(&fetched));
    assert!(std::fs::read(&to).unwrap() == content);
    let again = run(&["transfer", "fetch", "--id", "r-1", "--from", &address, "--out", out]);
    assert_eq!(
        (again.status.code(), stderr_text(&again).lines().count()),
        (Some(1), 1),
        "{}",
        stderr_text(&again)
    );
    assert!(stderr_text(&again).contains("belongs to another receiver"), "{}", stderr_text(&again));
    let status = run(&["transfer", "status", "--at", &address]);
    assert!(String::from_utf8_lossy(&status.stdout).contains("\"given\": 1"));
    node.signal("-HUP");
    node.wait_for_log("SIGHUP");
    node.expect_clean_exit();
    let unreachable = run(&["transfer", "status", "--at", &address]);
    assert_eq!((unreachable.status.code(), stderr_text(&unreachable).lines().count()), (Some(1), 1));
}

#[test]
fn a_received_file_is_stored_under_a_name_that_cannot_leave_its_folder() {
    let store = folder("store");
    let node = TransferNode::start("storing", &format!(", \"store\": {:?}", store.to_str().unwrap()));
    let file = folder("store-files").join("state");
    std::fs::write(&file, b"a state").unwrap();
    let long = "/".repeat(128);
    for id in ["../../etc/r-1", "..", "plain-1", &long] {
        let sent = run(&["transfer", "send", file.to_str().unwrap(), "--id", id, "--to", &node.address]);
        assert_eq!(sent.status.code(), Some(0), "{}", stderr_text(&sent));
    }
    node.expect_clean_exit();
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
