//! The operators' API of a real process: what it answers and how soon, and which of its effects outlive the
//! process.

mod support;

use serde_json::json;
use support::operations::*;
use support::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

#[tokio::test]
async fn calls_are_answered_with_200_or_with_an_error_of_one_line() {
    let deployment = Deployment::new("ops-calls").await;
    let (_process, ops) = deployment.start("ops-calls").await;
    assert_eq!(call(ops, "GET", "/api/ready", "").await, (200, "ready\n".into()));
    assert_eq!(call(ops, "GET", "/api/telemetry", "").await.0, 200);
    assert_eq!(exclude(ops, "p").await, 200);
    assert_eq!(exclude(ops, "p\n").await, 200);
    assert_eq!(include(ops, "p").await, 200);
    assert_eq!(include(ops, "p").await, 200);
    let rejected = [
        ("POST", "/api/exclude", "nobody", 404),
        ("POST", "/api/include", "nobody", 404),
        ("POST", "/api/exclude", "", 400),
        ("POST", "/api/exclude", "p d", 400),
        ("POST", "/api/ready", "", 405),
        ("GET", "/api/exclude", "p", 405),
        ("GET", "/api", "", 404),
    ];
    for (method, path, body, status) in rejected {
        let (actual_status, text) = call(ops, method, path, body).await;
        assert_eq!(actual_status, status, "{method} {path} {body}");
        assert_eq!(text.lines().count(), 1, "{text}");
    }
    assert_eq!(call(ops, "POST", "/api/exclude", &"x".repeat(5_000)).await.0, 400);
}

#[tokio::test]
async fn callers_that_finish_no_call_delay_no_others() {
    let deployment = Deployment::new("ops-slow").await;
    let (_process, ops) = deployment.start("ops-slow").await;
    let mut unfinished = Vec::new();
    for n in 0..60 {
        let mut stream = TcpStream::connect(ops).await.unwrap();
        let partial_call =
            ["", "GET /api/re", "POST /api/exclude HTTP/1.1\r\ncontent-length: 9\r\n\r\nhalf"][n % 3];
        stream.write_all(partial_call.as_bytes()).await.unwrap();
        unfinished.push(stream);
        assert_eq!(call(ops, "GET", "/api/ready", "").await.0, 200);
    }
    // The first connection was closed to make room for others, well before its timeout.
    let room_made = timeout(WAIT_TIMEOUT / 10, unfinished.remove(0).read_to_end(&mut Vec::new())).await;
    assert!(room_made.is_ok(), "the number of connections is not bounded");
    // Every other is closed too, by its timeout or to make room.
    for mut stream in unfinished {
        let ended = timeout(WAIT_TIMEOUT, stream.read_to_end(&mut Vec::new())).await;
        assert!(ended.is_ok(), "a connection with an unfinished call was not closed");
    }
}

#[tokio::test]
async fn an_excluded_server_gets_no_request_until_it_is_included_also_from_later_processes() {
    let deployment = Deployment::new("ops-exclude").await;
    let (mut process, mut ops) = deployment.start("ops-exclude").await;
    wait_for_status(process.listen, "before", 200).await;
    assert_eq!(exclude(ops, "p").await, 200);
    wait_for_status(process.listen, "out", 503).await;
    let [prefill, _] = &deployment.servers;
    let sent_before = prefill.posts().len();
    for restart in 0..2 {
        assert_eq!(exchange(process.listen, &request(&format!("still-{restart}"))).await.status, 503);
        process.signal("-KILL");
        (process, ops) = deployment.start("ops-exclude-again").await;
    }
    assert_eq!(prefill.posts().len(), sent_before);
    assert_eq!(include(ops, "p").await, 200);
    wait_for_status(process.listen, "back", 200).await;
}

#[tokio::test]
async fn a_damaged_exclusion_is_ignored() {
    let deployment = Deployment::new("ops-damaged").await;
    let (process, ops) = deployment.start("ops-damaged").await;
    assert_eq!(exclude(ops, "p").await, 200);
    process.signal("-KILL");
    let state = std::fs::read_dir(&deployment.folder).unwrap().next().unwrap().unwrap().path();
    let files: Vec<_> =
        std::fs::read_dir(state.join("excluded")).unwrap().map(|file| file.unwrap().path()).collect();
    std::fs::write(&files[0], "another").unwrap();
    std::fs::write(files[0].with_file_name("half.123"), "p").unwrap();
    let mut command = program("ops-damaged-again", &deployment.config.to_string());
    command.env("TMPDIR", &deployment.folder);
    let process = DaemonProcess::start(command);
    wait_for_status(process.listen, "damaged", 200).await;
}

#[tokio::test]
async fn without_an_ops_address_no_state_is_kept_and_the_environment_overrides_the_file() {
    let mut deployment = Deployment::new("ops-none").await;
    let ops = deployment.config["ops"].take();
    deployment.config.as_object_mut().unwrap().remove("ops");
    let mut command = program("ops-none", &deployment.config.to_string());
    command.env("TMPDIR", &deployment.folder);
    let process = DaemonProcess::start(command);
    wait_for_status(process.listen, "none", 200).await;
    assert_eq!(std::fs::read_dir(&deployment.folder).unwrap().count(), 0);
    drop(process);
    deployment.config["ops"] = json!("192.0.2.1:1");
    let mut command = program("ops-env", &deployment.config.to_string());
    command.env("TMPDIR", &deployment.folder).env("EDGE_OPS", ops.as_str().unwrap());
    let mut process = DaemonProcess::spawn(command);
    assert!(process.wait_for_log("operators' address, at: ").contains("127.0.0.1"));
}
