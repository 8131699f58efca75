//! Temporary faults of the state folder: it can't be created, read or written while a process starts or an
//! operator calls. Exclusions that were acknowledged stay in force, and no start fails.

mod support;

use std::path::PathBuf;
use std::time::Duration;

use frosttrail_daemon::ops::ExclusionStore;
use frosttrail_daemon::state_dir;
use serde_json::json;
use support::operations::*;
use support::*;
use tokio::time::{sleep, timeout, Instant};

/// A deployment with a fixed listen address, and the state folder of its processes.
async fn deployment(name: &str) -> (Deployment, PathBuf) {
    let mut deployment = Deployment::new(name).await;
    // The port was free a moment ago. Ports are assigned in turn, so no one else gets this one soon.
    let address = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    deployment.config["listen"] = json!(address);
    let state = state_dir::path_below(&deployment.folder, name, address);
    (deployment, state)
}

/// Starts a process and returns it with its operators' address, before it is ready.
fn start(deployment: &Deployment, name: &str) -> (DaemonProcess, std::net::SocketAddr) {
    let mut process = DaemonProcess::spawn(deployment.command(name));
    let line = process.wait_for_log("operators' address, at: ");
    let ops = line.split_once("at: ").unwrap().1.split(',').next().unwrap().trim().parse().unwrap();
    process.listen = serde_json::from_value(deployment.config["listen"].clone()).unwrap();
    (process, ops)
}

#[tokio::test]
async fn a_start_waits_for_a_folder_that_cannot_be_read_and_serves_once_it_can() {
    let (deployment, state) = deployment("folder-start").await;
    let store = state.join("excluded");
    let exclusions = ExclusionStore::in_folder(&state);
    exclusions.insert(&"p".into()).unwrap();
    // A file in place of the folder makes every access to the folder fail.
    let aside = state.join("aside");
    std::fs::rename(&store, &aside).unwrap();
    std::fs::write(&store, "").unwrap();
    let (process, ops) = start(&deployment, "folder-start");
    let begin = Instant::now();
    while begin.elapsed() < Duration::from_millis(600) {
        assert_eq!(call(ops, "GET", "/api/ready", "").await.0, 503, "ready before the exclusions were read");
        sleep(Duration::from_millis(50)).await;
    }
    std::fs::remove_file(&store).unwrap();
    std::fs::rename(&aside, &store).unwrap();
    wait_until_ready(ops).await;
    assert_eq!(exchange(process.listen, &request("excluded")).await.status, 503);
    assert_eq!(include(ops, "p").await, 200);
    wait_for_status(process.listen, "included", 200).await;
    process.signal("-TERM");
    process.expect_clean_exit().await;
}

#[tokio::test]
async fn a_server_stays_excluded_while_its_exclusion_cannot_be_removed() {
    let (deployment, state) = deployment("folder-include").await;
    let (process, ops) = start(&deployment, "folder-include");
    wait_until_ready(ops).await;
    assert_eq!(exclude(ops, "p").await, 200);
    // A folder in its place can be neither removed nor read as a file.
    let file = std::fs::read_dir(state.join("excluded")).unwrap().next().unwrap().unwrap().path();
    std::fs::remove_file(&file).unwrap();
    std::fs::create_dir(&file).unwrap();
    assert_eq!(include(ops, "p").await, 507);
    let begin = Instant::now();
    for n in 0.. {
        let status = exchange(process.listen, &request(&format!("out-{n}"))).await.status;
        assert_eq!(status, 503, "served though the call to include it failed");
        if begin.elapsed() > Duration::from_millis(500) {
            break;
        }
    }
    std::fs::remove_dir(&file).unwrap();
    assert_eq!(include(ops, "p").await, 200);
    wait_for_status(process.listen, "back", 200).await;
}

/// A pipe among the files blocks the reading of the folder, so that the call arrives during it.
#[tokio::test]
async fn an_exclusion_holds_once_acknowledged_while_the_folder_is_being_read() {
    let (deployment, state) = deployment("folder-race").await;
    let (process, ops) = start(&deployment, "folder-race");
    wait_until_ready(ops).await;
    assert_eq!((exclude(ops, "d").await, include(ops, "d").await), (200, 200));
    let pipe = state.join("excluded").join("pipe");
    assert!(std::process::Command::new("mkfifo").arg(&pipe).status().unwrap().success());
    // Opening the pipe returns once the process reads it.
    let opened = tokio::task::spawn_blocking(move || std::fs::OpenOptions::new().write(true).open(pipe));
    let pipe_writer = opened.await.unwrap().unwrap();
    assert_eq!(exclude(ops, "p").await, 200);
    // Ends the read, whose result is from before the call and must not undo the exclusion.
    drop(pipe_writer);
    for n in 0..3 {
        let text = chat(&format!("race-{n}"), "ask", 200);
        let answer = timeout(CALL_TIMEOUT, exchange(process.listen, &text)).await;
        let answer = answer.expect("reading the folder blocks the process");
        assert_eq!(answer.status, 503, "served after the exclusion was acknowledged");
    }
}
