//! Several processes of the program in front of one fleet of stub servers, with faults: links that reset,
//! refuse or stall, a process that is killed and restarted, and one that is paused. The servers record what
//! became of each request.

mod support;

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use frosttrail_standins::ledger::{Ledger, StubServer};
use frosttrail_standins::link::Link;
use serde_json::{json, Value};
use support::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout, Instant};

/// The longest time a KV cache may be held: the release time of the settings, with allowances for sockets and
/// for a busy machine.
const MAX_HOLD: Duration = Duration::from_millis(1_000 + 300 + 700);
/// The longest deadline of a class and an allowance for a busy machine.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8 + 4);
/// How long one process is stopped.
const PAUSE: Duration = Duration::from_millis(700);

/// Servers in two zones, each behind its own link.
struct Fleet {
    ledger: Ledger,
    /// Zone and kind of each server, and its link.
    links: Vec<(&'static str, &'static str, Link)>,
    config: Value,
    _servers: Vec<StubServer>,
}

impl Fleet {
    async fn start() -> Self {
        let (ledger, mut servers, mut links, mut targets) = (Ledger::default(), vec![], vec![], vec![]);
        for zone in ["a", "b"] {
            for (n, kind) in ["prefill", "prefill", "decode", "decode"].into_iter().enumerate() {
                let server = match kind {
                    "prefill" => StubServer::start_prefill(&ledger, Duration::from_millis(20)).await.unwrap(),
                    _ => StubServer::start_decode(&ledger, Duration::from_millis(60)).await.unwrap(),
                };
                let link = Link::start(server.http_address).await.unwrap();
                targets.push(json!({"uid": format!("{zone}{n}"), "endpoint": link.address, "az": zone,
                    "model": kind, "pod_group": links.len() / 4, "state": "active", "capacity_hint": 1.0,
                    "boot_ms": 0}));
                servers.push(server);
                links.push((zone, kind, link));
            }
        }
        let mut settings = setup();
        (settings["zones"], settings["zone"]) = (json!(["a", "b"]), json!("a"));
        settings["balancers"] = json!(3);
        // Enough attempts for a `book` request to run twice, if anything allowed it.
        settings["limits"]["max-attempts"] = json!(6);
        let config = json!({"name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9",
            "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "known": {"rev": 1, "all": true, "targets": targets}, "settings": settings});
        Fleet { ledger, links, config, _servers: servers }
    }

    fn start_process(&self, n: usize) -> DaemonProcess {
        DaemonProcess::start(program(&format!("processes-{n}"), &self.config.to_string()))
    }

    /// Applies an action to the links of a zone or of all servers of a kind.
    fn for_each_link(&self, zone_or_kind: &str, action: impl Fn(&Link)) {
        self.links
            .iter()
            .filter(|(zone, kind, _)| *zone == zone_or_kind || *kind == zone_or_kind)
            .for_each(|(_, _, link)| action(link));
    }
}

/// A request's id, class, status and time to its end. The status is `None` if the connection ended without an
/// answer.
type Outcome = (String, &'static str, Option<u16>, Duration);

/// Sends a request and returns the status of its answer, if one came.
async fn send_request(to: std::net::SocketAddr, class: &str, id: &str) -> Option<u16> {
    let headers = format!(
        "x-txn: {id}\r\nx-lane: {class}\r\nx-entity: s-{id}\r\nx-remaining: 7000m\r\n\
         x-labels: prompt_len=600,max_out=100\r\n"
    );
    let mut stream = TcpStream::connect(to).await.ok()?;
    stream.write_all(post("/v1/chat/completions", &headers, "{}").as_bytes()).await.ok()?;
    let mut text = Vec::new();
    stream.read_to_end(&mut text).await.ok()?;
    String::from_utf8(text).ok()?.split(' ').nth(1)?.parse().ok()
}

/// Sends requests to process `n` one after another until the end, each to its current address.
async fn run_client(
    n: usize,
    address: Arc<Mutex<std::net::SocketAddr>>,
    name: String,
    end: Instant,
) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    while Instant::now() < end {
        let class = ["ask", "book"][(outcomes.len() + n) % 2];
        let id = format!("p{n}-{name}-{}", outcomes.len());
        let (to, begin) = (*address.lock().unwrap(), Instant::now());
        let status = timeout(ANSWER_TIMEOUT, send_request(to, class, &id)).await.expect("an answer in time");
        outcomes.push((id, class, status, begin.elapsed()));
        sleep(Duration::from_millis(20)).await;
    }
    outcomes
}

#[tokio::test]
async fn kv_caches_are_released_in_time_and_no_book_runs_twice_while_links_and_processes_fail() {
    let fleet = Fleet::start().await;
    let mut processes: Vec<DaemonProcess> = (0..3).map(|n| fleet.start_process(n)).collect();
    let addresses: Vec<_> = processes.iter().map(|process| Arc::new(Mutex::new(process.listen))).collect();
    let end = Instant::now() + Duration::from_secs(8);
    let mut clients = JoinSet::new();
    for (n, address) in addresses.iter().enumerate() {
        for name in ["x", "y", "z"] {
            clients.spawn(run_client(n, address.clone(), name.to_string(), end));
        }
    }
    let step = Duration::from_millis(700);
    sleep(step).await;
    // The connections of the decode servers are reset repeatedly while answers stream.
    for _ in 0..5 {
        fleet.for_each_link("decode", Link::reset_connections);
        sleep(step / 5).await;
    }
    // No decode server is reachable, while the prefill servers go on.
    fleet.for_each_link("decode", |link| (link.set_unreachable(true), link.reset_connections()).1);
    sleep(step).await;
    fleet.for_each_link("decode", |link| link.set_unreachable(false));
    sleep(step).await;
    // A zone fails: its open connections are reset, new ones are refused.
    fleet.for_each_link("b", |link| (link.set_unreachable(true), link.reset_connections()).1);
    sleep(step).await;
    processes[2].signal("-KILL");
    processes[2] = fleet.start_process(2);
    *addresses[2].lock().unwrap() = processes[2].listen;
    sleep(step).await;
    fleet.for_each_link("b", |link| link.set_unreachable(false));
    sleep(step).await;
    // The links of the zone stall, and one process is paused meanwhile.
    fleet.for_each_link("b", |link| link.set_stalled(true));
    processes[1].signal("-STOP");
    sleep(PAUSE).await;
    processes[1].signal("-CONT");
    sleep(2 * step).await;
    // When the zone recovers, what was in transit is lost.
    fleet.for_each_link("b", |link| (link.reset_connections(), link.set_stalled(false)).1);
    let mut outcomes = Vec::new();
    while let Some(client) = clients.join_next().await {
        outcomes.extend(client.unwrap());
    }
    for process in processes {
        process.signal("-TERM");
        process.expect_clean_exit().await;
    }
    let records: HashMap<String, _> =
        fleet.ledger.records().into_iter().map(|(id, record)| (id.to_string(), record)).collect();
    let served = outcomes.iter().filter(|(_, _, status, _)| *status == Some(200)).count();
    assert!(served * 2 > outcomes.len(), "only {served} of {} were served", outcomes.len());
    for (id, class, status, after) in &outcomes {
        let killed = id.starts_with("p2") && status.is_none();
        assert!(killed || matches!(status, Some(200 | 502 | 503)), "{id}: {status:?} after {after:?}");
        let Some(record) = records.get(id) else { continue };
        assert!(*class == "ask" || record.decode_runs <= 1, "{id} ran {} times", record.decode_runs);
        let refused = *status == Some(503);
        assert!(!(refused && *class == "book" && record.decode_runs > 0), "{id} had run but was refused");
        let paused = if id.starts_with("p1") { PAUSE } else { Duration::ZERO };
        let longest_hold =
            record.longest_hold.max(record.held_since.map_or(Duration::ZERO, |since| since.elapsed()));
        assert!(
            killed || longest_hold <= MAX_HOLD + paused,
            "the KV cache of {id} was held for {longest_hold:?}, its status is {status:?}"
        );
    }
}
