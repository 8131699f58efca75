//! The figures of a real process: what is taken is counted once, at every moment and however it ends.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use support::operations::*;
use support::*;
use tokio::task::JoinSet;
use tokio::time::{sleep, Instant};

/// One figure of one scrape; a class's where one is named.
fn figure(text: &str, name: &str, class: Option<&str>) -> u64 {
    let wanted = match class {
        Some(class) => format!("svc_{name}{{group=\"{class}\"}} "),
        None => format!("svc_{name} "),
    };
    let line = text.lines().find_map(|line| line.strip_prefix(wanted.as_str()));
    line.unwrap_or_else(|| panic!("no {wanted}in {text}")).trim().parse().unwrap()
}

async fn scrape(ops: SocketAddr) -> String {
    call(ops, "GET", "/api/telemetry", "").await.1
}

/// All that was taken, by what became of it and what is open.
fn taken(text: &str) -> u64 {
    let ended = |name| ["ask", "book"].map(|class| figure(text, name, Some(class))).iter().sum::<u64>();
    ended("answered") + ended("deferred") + ended("errored") + figure(text, "current", None)
}

async fn until(ops: SocketAddr, name: &str, class: Option<&str>, value: u64) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while figure(&scrape(ops).await, name, class) != value {
        assert!(Instant::now() < end, "{name} never {value}: {}", scrape(ops).await);
        sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test]
async fn served_refused_failed_and_open_add_up_under_load_and_aborts() {
    let deployment = Deployment::new("figures-sum").await;
    let (running, ops) = deployment.start("figures-sum").await;
    let [prefill, decode] = &deployment.servers;
    for _ in 0..5 {
        decode.next(Behavior::BreaksAfter(&[EVENT]));
        prefill.next(Behavior::Responds(500, false, ""));
    }
    const CLIENTS: u64 = 60;
    let mut clients = JoinSet::new();
    for n in 0..CLIENTS {
        let to = running.listen;
        clients.spawn(async move {
            let stream = send(to, &request(&format!("sum-{n}"))).await;
            match n % 4 {
                // It leaves at once, whatever became of its request.
                0 => drop(stream),
                _ => drop(read_answer(stream).await),
            }
        });
    }
    let (mut before, end) = (0, Instant::now() + WAIT_TIMEOUT);
    while !clients.is_empty() {
        let now = taken(&scrape(ops).await);
        assert!((before..=CLIENTS).contains(&now), "{before}, then {now}");
        before = now;
        while clients.try_join_next().is_some() {}
        assert!(Instant::now() < end);
    }
    until(ops, "current", None, 0).await;
    let text = scrape(ops).await;
    // Those that left may have gone before their request was read.
    assert!((CLIENTS * 3 / 4..=CLIENTS).contains(&taken(&text)), "{text}");
    let posts = (prefill.posts().len() + decode.posts().len()) as u64;
    assert_eq!(figure(&text, "sends", None), posts);
    assert!(figure(&text, "answered", Some("ask")) > CLIENTS / 2, "{text}");
}

#[tokio::test]
async fn refusals_exclusions_and_configurations_are_counted() {
    let mut deployment = Deployment::new("figures-each").await;
    let (running, ops) = deployment.start("figures-each").await;
    until(ops, "cluster_size", None, 2).await;
    until(ops, "cluster_unhealthy", None, 0).await;
    assert_eq!(exclude(ops, "p").await, 200);
    until(ops, "cluster_unhealthy", None, 1).await;
    assert_eq!(exchange(running.listen, &request("refused")).await.status, 503);
    until(ops, "deferred", Some("ask"), 1).await;
    assert_eq!(include(ops, "p").await, 200);
    until(ops, "cluster_unhealthy", None, 0).await;
    deployment.rewrite_config("figures-each", "{");
    running.signal("-HUP");
    until(ops, "conf_invalid", None, 1).await;
    let mut added = deployment.config["settings"]["grades"][0].clone();
    added["name"] = "change".into();
    deployment.config["settings"]["grades"].as_array_mut().unwrap().push(added);
    deployment.rewrite_config("figures-each", &deployment.config.to_string());
    running.signal("-HUP");
    until(ops, "conf_loaded", None, 1).await;
    // A class that is added has its figures from the first moment.
    assert_eq!(figure(&scrape(ops).await, "answered", Some("change")), 0);
}
