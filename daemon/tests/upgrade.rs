//! Upgrades under load: real processes that share a listen address and a state folder replace each other,
//! while signals, operators' calls and kills arrive.

mod support;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use support::chat::write_chat_config;
use support::operations::*;
use support::*;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, Instant};

/// Clients that each send one request after another, every one on a new connection, until they are stopped.
struct LoadGenerator {
    stop: Arc<AtomicBool>,
    clients: JoinSet<Vec<(String, u16)>>,
}

impl LoadGenerator {
    fn start(to: SocketAddr) -> Self {
        let (stop, mut clients) = (Arc::new(AtomicBool::new(false)), JoinSet::new());
        for client in 0..8 {
            let stop = stop.clone();
            clients.spawn(async move {
                let mut outcomes = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    let id = format!("load-{client}-{}", outcomes.len());
                    let status = exchange(to, &request(&id)).await.status;
                    outcomes.push((id, status));
                }
                outcomes
            });
        }
        LoadGenerator { stop, clients }
    }

    /// Stops the clients and returns the id and status of each request.
    async fn stop(mut self) -> Vec<(String, u16)> {
        self.stop.store(true, Ordering::Relaxed);
        let mut outcomes = Vec::new();
        while let Some(client) = self.clients.join_next().await {
            outcomes.extend(
                client.expect("a connection of a client was refused, reset or closed without an answer"),
            );
        }
        outcomes
    }
}

#[tokio::test]
async fn every_request_is_served_while_processes_replace_each_other() {
    let (deployment, _reserved) = deployment_with_shared_address("upgrade-load").await;
    let (mut old, _) = deployment.start("upgrade-load").await;
    let load = LoadGenerator::start(old.listen);
    for upgrade in 0..3 {
        let (new, _) = deployment.start(&format!("upgrade-load-{upgrade}")).await;
        old.signal("-TERM");
        old.expect_clean_exit().await;
        old = new;
    }
    let outcomes = load.stop().await;
    let not_served: Vec<_> = outcomes.iter().filter(|(_, status)| *status != 200).collect();
    assert!(
        outcomes.len() > 100 && not_served.is_empty(),
        "of {} requests, not served: {not_served:?}",
        outcomes.len()
    );
}

#[tokio::test]
async fn an_operators_call_to_either_process_applies_to_both() {
    let (deployment, _reserved) = deployment_with_shared_address("upgrade-calls").await;
    let (old, old_ops) = deployment.start("upgrade-calls").await;
    let (_new, new_ops) = deployment.start("upgrade-calls-new").await;
    let wait_for_unhealthy_count = |ops, count: usize| async move {
        let (expected_line, end) =
            (format!("svc_cluster_unhealthy {count}\n"), Instant::now() + WAIT_TIMEOUT);
        while !call(ops, "GET", "/api/telemetry", "").await.1.contains(&expected_line) {
            assert!(Instant::now() < end, "not reported in time: {expected_line}");
            sleep(Duration::from_millis(10)).await;
        }
    };
    assert_eq!(exclude(old_ops, "p").await, 200);
    wait_for_unhealthy_count(new_ops, 1).await;
    assert_eq!(exclude(new_ops, "d").await, 200);
    wait_for_unhealthy_count(old_ops, 2).await;
    // A process that accepts no more clients follows too.
    old.signal("-TERM");
    assert_eq!(include(new_ops, "p").await, 200);
    wait_for_unhealthy_count(old_ops, 1).await;
    assert_eq!(call(old_ops, "GET", "/api/ready", "").await.0, 503);
    old.expect_clean_exit().await;
    assert_eq!(include(new_ops, "d").await, 200);
    wait_for_unhealthy_count(new_ops, 0).await;
}

#[tokio::test]
async fn when_either_process_is_killed_the_other_serves() {
    let (deployment, _reserved) = deployment_with_shared_address("upgrade-kill").await;
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

/// Guards against clients that connect and are never answered: a listener that the new process has inherited
/// and does not serve has to close with the old process.
#[tokio::test]
async fn a_front_that_the_new_process_does_not_open_refuses_connections() {
    let (deployment, _reserved) = deployment_with_shared_address("upgrade-front").await;
    let mut command = deployment.command("upgrade-front");
    command.arg("--chat").arg(write_chat_config("upgrade-front"));
    let mut old = DaemonProcess::start(command);
    let platform = old.listen;
    old.wait_until_listening();
    let chat = old.listen;
    let models = "GET /v1/models HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    assert_eq!(exchange(chat, models).await.status, 200);
    let (_new, _) = deployment.start("upgrade-front-new").await;
    old.signal("-TERM");
    old.expect_clean_exit().await;
    let connected = TcpStream::connect(chat).await;
    assert_eq!(connected.map_err(|e| e.kind()).err(), Some(std::io::ErrorKind::ConnectionRefused));
    wait_for_status(platform, "new", 200).await;
}

#[tokio::test]
async fn connections_not_yet_accepted_by_a_killed_process_are_accepted_by_the_next() {
    let (deployment, _reserved) = deployment_with_shared_address("upgrade-queue").await;
    let (old, _) = deployment.start("upgrade-queue").await;
    let (_new, _) = deployment.start("upgrade-queue-new").await;
    old.signal("-STOP");
    let mut waiting = Vec::new();
    for n in 0..24 {
        waiting.push(send(old.listen, &request(&format!("queue-{n}"))).await);
    }
    old.signal("-KILL");
    for stream in waiting {
        assert_eq!(read_answer(stream).await.status, 200);
    }
}

#[tokio::test]
async fn signals_during_upgrades_lose_no_request() {
    let (mut deployment, _reserved) = deployment_with_shared_address("upgrade-signals").await;
    let (mut old, _) = deployment.start("upgrade-signals").await;
    let load = LoadGenerator::start(old.listen);
    let (mut new, _) = deployment.start("upgrade-signals-new").await;
    // A second upgrade starts during the first, and all three processes get new settings.
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
    let outcomes = load.stop().await;
    let not_served: Vec<_> = outcomes.iter().filter(|(_, status)| *status != 200).collect();
    assert!(!outcomes.is_empty() && not_served.is_empty(), "{not_served:?}");
}

#[tokio::test]
async fn a_damaged_foreign_or_outdated_snapshot_is_skipped_with_one_log_line() {
    let (deployment, _reserved) = deployment_with_shared_address("upgrade-snapshot").await;
    let (old, _) = deployment.start("upgrade-snapshot").await;
    wait_for_status(old.listen, "learn", 200).await;
    let state = std::fs::read_dir(&deployment.folder).unwrap().next().unwrap().unwrap().path();
    let file = state.join("snapshot");
    let end = Instant::now() + WAIT_TIMEOUT;
    while !file.exists() {
        assert!(Instant::now() < end, "no snapshot was written in time");
        sleep(Duration::from_millis(10)).await;
    }
    drop(old);
    let intact = std::fs::read_to_string(&file).unwrap();
    let damaged = intact.replace("\"pace\":[", "\"pace\":[1");
    assert_ne!(intact, damaged);
    let outdated = intact.split(' ').take(3).collect::<Vec<_>>().join(" ") + " 1\n";
    let outdated = outdated + intact.split_once('\n').unwrap().1;
    let bad = [
        (damaged, "damaged"),
        ("something else".into(), "not a snapshot"),
        (outdated, "ago, by a process that is no more"),
    ];
    for (index, (text, reason)) in bad.into_iter().enumerate() {
        std::fs::write(&file, text).unwrap();
        let mut process = DaemonProcess::spawn(deployment.command(&format!("upgrade-snapshot-{index}")));
        let line = process.wait_for_log("passed over");
        assert!(line.contains(reason), "{line}");
        process.wait_until_listening();
        wait_for_status(process.listen, &format!("after-{index}"), 200).await;
    }
}

/// Guards against an upgrade that cuts streams which their clients can't resume: the old process stays for
/// them.
#[tokio::test]
async fn streams_that_clients_can_not_resume_outlive_an_upgrade() {
    let (mut deployment, _reserved) = deployment_with_shared_address("upgrade-streams").await;
    deployment.config["settings"]["specifics"]["resume"] = json!(false);
    for class in deployment.config["settings"]["grades"].as_array_mut().unwrap() {
        class["deadline"] = json!(1_000_000);
    }
    let (old, _) = deployment.start("upgrade-streams").await;
    deployment.servers[1].next(Behavior::StreamsTimestamps(300, 10));
    let stream = send(old.listen, &chat("stream", "book", 1_000)).await;
    stream.readable().await.unwrap();
    let (new, _) = deployment.start("upgrade-streams-new").await;
    old.signal("-TERM");
    // New requests are served meanwhile, and the stream is whole.
    assert_eq!(exchange(new.listen, &request("beside")).await.status, 200);
    assert!(read_answer(stream).await.whole, "the stream was cut off");
    old.expect_clean_exit().await;
    new.signal("-TERM");
    new.expect_clean_exit().await;
}

/// Guards against a request that runs twice at once: the new process does not run an id that is open at the
/// old one.
#[tokio::test]
async fn an_id_that_is_open_at_the_old_process_is_not_run_by_the_new_one() {
    let (deployment, _reserved) = deployment_with_shared_address("upgrade-ids").await;
    let (mut old, _) = deployment.start("upgrade-ids").await;
    let [_, decode] = &deployment.servers;
    decode.next(Behavior::SendsFromChannel);
    decode.output.send(format!("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{EVENT}")).unwrap();
    let open = send(old.listen, &request("same")).await;
    open.readable().await.unwrap();
    let (new, _) = deployment.start("upgrade-ids-new").await;
    old.signal("-TERM");
    old.wait_for_log("SIGTERM: closing");
    // The new process accepts these.
    assert_eq!(exchange(new.listen, &request("other")).await.status, 200);
    assert_eq!(exchange(new.listen, &request("same")).await.status, 409);
    assert_eq!(decode.posts().len(), 2, "the request of the old process was run by the new one");
    // A killed process has no request open.
    drop((open, old));
    assert_eq!(exchange(new.listen, &request("same")).await.status, 200);
}
