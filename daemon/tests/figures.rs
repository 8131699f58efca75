//! The metrics of a real process: at any moment each accepted request is counted exactly once, however it
//! ends.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use support::operations::*;
use support::*;
use tokio::task::JoinSet;
use tokio::time::{sleep, Instant};

/// The value of a metric in a scrape, of one class where `class` is given.
fn metric(text: &str, name: &str, class: Option<&str>) -> u64 {
    let prefix = match class {
        Some(class) => format!("svc_{name}{{group=\"{class}\"}} "),
        None => format!("svc_{name} "),
    };
    let line = text.lines().find_map(|line| line.strip_prefix(prefix.as_str()));
    line.unwrap_or_else(|| panic!("no {prefix}in {text}")).trim().parse().unwrap()
}

async fn scrape(ops: SocketAddr) -> String {
    call(ops, "GET", "/api/telemetry", "").await.1
}

/// The number of accepted requests: those that have ended, by any outcome, and those still open.
fn accepted_requests(text: &str) -> u64 {
    let ended = |name| ["ask", "book"].map(|class| metric(text, name, Some(class))).iter().sum::<u64>();
    ended("answered") + ended("deferred") + ended("errored") + metric(text, "current", None)
}

/// Scrapes until a metric has this value.
async fn wait_for_metric(ops: SocketAddr, name: &str, class: Option<&str>, value: u64) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while metric(&scrape(ops).await, name, class) != value {
        assert!(Instant::now() < end, "{name} did not become {value} in time: {}", scrape(ops).await);
        sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test]
async fn request_counts_add_up_under_load_and_client_aborts() {
    let deployment = Deployment::new("figures-sum").await;
    let (process, ops) = deployment.start("figures-sum").await;
    let [prefill, decode] = &deployment.servers;
    for _ in 0..5 {
        decode.next(Behavior::BreaksAfter(&[EVENT]));
        prefill.next(Behavior::Responds(500, false, ""));
    }
    const CLIENTS: u64 = 60;
    let mut clients = JoinSet::new();
    for n in 0..CLIENTS {
        let to = process.listen;
        clients.spawn(async move {
            let stream = send(to, &request(&format!("sum-{n}"))).await;
            match n % 4 {
                // This client disconnects at once, in whatever state its request is.
                0 => drop(stream),
                _ => drop(read_answer(stream).await),
            }
        });
    }
    let (mut before, end) = (0, Instant::now() + WAIT_TIMEOUT);
    while !clients.is_empty() {
        let now = accepted_requests(&scrape(ops).await);
        assert!((before..=CLIENTS).contains(&now), "{before}, then {now}");
        before = now;
        while clients.try_join_next().is_some() {}
        assert!(Instant::now() < end);
    }
    wait_for_metric(ops, "current", None, 0).await;
    let text = scrape(ops).await;
    // A client that disconnected may have done so before its request was read.
    assert!((CLIENTS * 3 / 4..=CLIENTS).contains(&accepted_requests(&text)), "{text}");
    let posts = (prefill.posts().len() + decode.posts().len()) as u64;
    assert_eq!(metric(&text, "sends", None), posts);
    assert!(metric(&text, "answered", Some("ask")) > CLIENTS / 2, "{text}");
}

#[tokio::test]
async fn refusals_exclusions_and_configurations_are_counted() {
    let mut deployment = Deployment::new("figures-each").await;
    let (process, ops) = deployment.start("figures-each").await;
    wait_for_metric(ops, "cluster_size", None, 2).await;
    wait_for_metric(ops, "cluster_unhealthy", None, 0).await;
    assert_eq!(exclude(ops, "p").await, 200);
    wait_for_metric(ops, "cluster_unhealthy", None, 1).await;
    assert_eq!(exchange(process.listen, &request("refused")).await.status, 503);
    wait_for_metric(ops, "deferred", Some("ask"), 1).await;
    assert_eq!(include(ops, "p").await, 200);
    wait_for_metric(ops, "cluster_unhealthy", None, 0).await;
    deployment.rewrite_config("figures-each", "{");
    process.signal("-HUP");
    wait_for_metric(ops, "conf_invalid", None, 1).await;
    let mut added = deployment.config["settings"]["grades"][0].clone();
    added["name"] = "change".into();
    deployment.config["settings"]["grades"].as_array_mut().unwrap().push(added);
    deployment.rewrite_config("figures-each", &deployment.config.to_string());
    process.signal("-HUP");
    wait_for_metric(ops, "conf_loaded", None, 1).await;
    // The metrics of an added class exist from the start.
    assert_eq!(metric(&scrape(ops).await, "answered", Some("change")), 0);
}

/// Guards against a cut stream whose reason no log line and no metric tells.
#[tokio::test]
async fn a_cut_stream_is_logged_and_counted_with_its_reason() {
    const UNREADABLE_SIZE: &str =
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\ndata: x\n\n\r\nzz\r\n";
    let deployment = Deployment::new("figures-cut").await;
    let (mut process, ops) = deployment.start("figures-cut").await;
    deployment.servers[1].next(Behavior::SendsRaw(UNREADABLE_SIZE));
    let answer = exchange(process.listen, &request("cut-1")).await;
    assert_eq!((answer.status, answer.whole), (200, false));
    let lines = [process.wait_for_log("invalid response"), process.wait_for_log("stream cut")];
    for line in &lines {
        assert!(line.contains("id: cut-1") && line.contains("server: d"), "{line}");
    }
    assert!(lines[0].contains("why: the framing of the body can't be parsed"), "{}", lines[0]);
    assert!(lines[1].contains("events: 1"), "{}", lines[1]);
    deployment.servers[1].next(Behavior::Responds(500, false, ""));
    let failed = request("failed-1").replace("x-lane: ask", "x-lane: book");
    assert_eq!(exchange(process.listen, &failed).await.status, 502);
    let lines = [process.wait_for_log("INFO attempt"), process.wait_for_log("request failed")];
    assert!(lines.iter().all(|line| line.contains("id: failed-1")), "{lines:?}");
    assert!(lines[0].contains("server: d") && lines[0].contains("end: failed"), "{}", lines[0]);
    let text = scrape(ops).await;
    for expected in [
        "svc_invalid_responses{reason=\"framing\"} 1\n",
        "svc_streams_cut{reason=\"failed\"} 1\n",
        "svc_failures{reason=\"failed\"} 1\n",
        "svc_client_closes{reason=\"stream_cut\"} 1\n",
    ] {
        assert!(text.contains(expected), "no {expected}in {text}");
    }
}
