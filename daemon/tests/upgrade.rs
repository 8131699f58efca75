//! An upgrade in service: two real processes on one client address and one folder, and signals, calls and
//! kills in between.

mod support;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use socket2::{Domain, Protocol, Socket, Type};
use support::operations::*;
use support::*;
use tokio::task::JoinSet;
use tokio::time::{sleep, Instant};

/// Keeps an address for the processes of a test: bound, and not listened at.
fn reserve() -> (Socket, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP)).unwrap();
    socket.set_reuse_port(true).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    (socket, address)
}

/// A deployment whose processes share an address.
async fn shared(name: &str) -> (Deployment, Socket) {
    let mut deployment = Deployment::new(name).await;
    let (reserved, address) = reserve();
    deployment.config["listen"] = json!(address);
    (deployment, reserved)
}

/// Clients that ask one after another, each on a connection of its own, until they are told to stop.
struct Load {
    stop: Arc<AtomicBool>,
    clients: JoinSet<Vec<(String, u16)>>,
}

impl Load {
    fn start(to: SocketAddr) -> Self {
        let (stop, mut clients) = (Arc::new(AtomicBool::new(false)), JoinSet::new());
        for client in 0..8 {
            let stop = stop.clone();
            clients.spawn(async move {
                let mut told = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    let id = format!("load-{client}-{}", told.len());
                    let status = exchange(to, &request(&id)).await.status;
                    told.push((id, status));
                }
                told
            });
        }
        Load { stop, clients }
    }

    /// What each request was told.
    async fn end(mut self) -> Vec<(String, u16)> {
        self.stop.store(true, Ordering::Relaxed);
        let mut told = Vec::new();
        while let Some(client) = self.clients.join_next().await {
            told.extend(client.expect("a client whose connection was refused, reset or left unread"));
        }
        told
    }
}

#[tokio::test]
async fn no_request_ends_at_the_door_while_processes_follow_each_other() {
    let (deployment, _reserved) = shared("upgrade-load").await;
    let (mut old, _) = deployment.start("upgrade-load").await;
    let load = Load::start(old.listen);
    for nth in 0..3 {
        let (new, _) = deployment.start(&format!("upgrade-load-{nth}")).await;
        old.signal("-TERM");
        old.expect_clean_exit().await;
        old = new;
    }
    let told = load.end().await;
    let other: Vec<_> = told.iter().filter(|(_, status)| *status != 200).collect();
    assert!(told.len() > 100 && other.is_empty(), "{} asked, {other:?}", told.len());
}

#[tokio::test]
async fn a_call_to_either_process_binds_both() {
    let (deployment, _reserved) = shared("upgrade-calls").await;
    let (old, old_ops) = deployment.start("upgrade-calls").await;
    let (_new, new_ops) = deployment.start("upgrade-calls-new").await;
    let avoided = |ops, count: usize| async move {
        let (wanted, end) = (format!("svc_cluster_unhealthy {count}\n"), Instant::now() + WAIT_TIMEOUT);
        while !call(ops, "GET", "/api/telemetry", "").await.1.contains(&wanted) {
            assert!(Instant::now() < end, "never {wanted}");
            sleep(Duration::from_millis(10)).await;
        }
    };
    assert_eq!(exclude(old_ops, "p").await, 200);
    avoided(new_ops, 1).await;
    assert_eq!(exclude(new_ops, "d").await, 200);
    avoided(old_ops, 2).await;
    // Also one that takes no new clients any more.
    old.signal("-TERM");
    assert_eq!(include(new_ops, "p").await, 200);
    avoided(old_ops, 1).await;
    assert_eq!(call(old_ops, "GET", "/api/ready", "").await.0, 503);
    old.expect_clean_exit().await;
    assert_eq!(include(new_ops, "d").await, 200);
    avoided(new_ops, 0).await;
}

#[tokio::test]
async fn the_kill_of_either_leaves_the_other_in_service() {
    let (deployment, _reserved) = shared("upgrade-kill").await;
    let (old, _) = deployment.start("upgrade-kill").await;
    let (new, _) = deployment.start("upgrade-kill-new").await;
    let address = old.listen;
    drop(new);
    wait_for_status(address, "old", 200).await;
    let (newer, _) = deployment.start("upgrade-kill-newer").await;
    drop(old);
    wait_for_status(address, "newer", 200).await;
    newer.signal("-TERM");
    newer.expect_clean_exit().await;
}

#[tokio::test]
async fn what_waits_unaccepted_at_a_process_that_dies_is_accepted_by_the_next() {
    let (deployment, _reserved) = shared("upgrade-queue").await;
    let (old, _) = deployment.start("upgrade-queue").await;
    let (_new, _) = deployment.start("upgrade-queue-new").await;
    old.signal("-STOP");
    let mut waiting = Vec::new();
    for nth in 0..24 {
        waiting.push(send(old.listen, &request(&format!("queue-{nth}"))).await);
    }
    old.signal("-KILL");
    for stream in waiting {
        assert_eq!(read_answer(stream).await.status, 200);
    }
}

#[tokio::test]
async fn signals_between_start_and_end_change_nothing_that_is_owed() {
    let (mut deployment, _reserved) = shared("upgrade-signals").await;
    let (mut old, _) = deployment.start("upgrade-signals").await;
    let load = Load::start(old.listen);
    let (mut new, _) = deployment.start("upgrade-signals-new").await;
    // A second upgrade while the first is under way, and new settings for all three.
    let (mut newer, _) = deployment.start("upgrade-signals-newer").await;
    let class = deployment.config["settings"]["grades"][0].clone();
    let classes = deployment.config["settings"]["grades"].as_array_mut().unwrap();
    classes.push(class);
    classes[2]["name"] = json!("change");
    for name in ["upgrade-signals", "upgrade-signals-new", "upgrade-signals-newer"] {
        deployment.rewrite_config(name, &deployment.config.to_string());
    }
    for process in [&mut old, &mut new, &mut newer] {
        process.signal("-HUP");
        process.wait_for_log("configuration read");
    }
    new.signal("-TERM");
    old.signal("-TERM");
    old.signal("-HUP");
    old.expect_clean_exit().await;
    new.expect_clean_exit().await;
    let told = load.end().await;
    let other: Vec<_> = told.iter().filter(|(_, status)| *status != 200).collect();
    assert!(!told.is_empty() && other.is_empty(), "{other:?}");
}

#[tokio::test]
async fn a_snapshot_that_is_damaged_or_foreign_is_passed_over_with_one_line() {
    let (deployment, _reserved) = shared("upgrade-snapshot").await;
    let (old, _) = deployment.start("upgrade-snapshot").await;
    wait_for_status(old.listen, "learn", 200).await;
    let state = std::fs::read_dir(&deployment.folder).unwrap().next().unwrap().unwrap().path();
    let file = state.join("snapshot");
    let end = Instant::now() + WAIT_TIMEOUT;
    while !file.exists() {
        assert!(Instant::now() < end, "nothing was written");
        sleep(Duration::from_millis(10)).await;
    }
    drop(old);
    let whole = std::fs::read_to_string(&file).unwrap();
    let damaged = whole.replace("\"pace\":[", "\"pace\":[1");
    assert_ne!(whole, damaged);
    let of_another_time = whole.split(' ').take(3).collect::<Vec<_>>().join(" ") + " 1\n";
    let of_another_time = of_another_time + whole.split_once('\n').unwrap().1;
    let bad = [
        (damaged, "damaged"),
        ("something else".into(), "not a snapshot"),
        (of_another_time, "ago, by a process that is no more"),
    ];
    for (nth, (text, why)) in bad.into_iter().enumerate() {
        std::fs::write(&file, text).unwrap();
        let mut process = DaemonProcess::spawn(deployment.command(&format!("upgrade-snapshot-{nth}")));
        let line = process.wait_for_log("passed over");
        assert!(line.contains(why), "{line}");
        process.wait_until_listening();
        wait_for_status(process.listen, &format!("after-{nth}"), 200).await;
    }
}
