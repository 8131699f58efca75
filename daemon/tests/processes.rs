//! Several processes of the program before one fleet of stand-in servers, with faults between them: links
//! that are cut, refuse or go silent, a process that is killed and started anew, one that is paused. What
//! came of each request is counted at the servers.

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

/// The settings' time for what is held, with what sockets add, and for a machine that is busy.
const HELD_MOST: Duration = Duration::from_millis(1_000 + 300 + 700);
/// The longest time of a class, and for a busy machine.
const ANSWER_MOST: Duration = Duration::from_secs(8 + 4);
const PAUSE: Duration = Duration::from_millis(700);

/// Servers of two zones, each behind a link of its own.
struct Fleet {
    ledger: Ledger,
    links: Vec<(&'static str, &'static str, Link)>,
    config: Value,
    _members: Vec<StubServer>,
}

impl Fleet {
    async fn start() -> Self {
        let (ledger, mut members, mut links, mut targets) = (Ledger::default(), vec![], vec![], vec![]);
        for zone in ["a", "b"] {
            for (n, kind) in ["prefill", "prefill", "decode", "decode"].into_iter().enumerate() {
                let member = match kind {
                    "prefill" => StubServer::start_prefill(&ledger, Duration::from_millis(20)).await.unwrap(),
                    _ => StubServer::start_decode(&ledger, Duration::from_millis(60)).await.unwrap(),
                };
                let link = Link::start(member.http_address).await.unwrap();
                targets.push(json!({"uid": format!("{zone}{n}"), "endpoint": link.address, "az": zone,
                    "model": kind, "pod_group": links.len() / 4, "state": "active", "capacity_hint": 1.0,
                    "boot_ms": 0}));
                members.push(member);
                links.push((zone, kind, link));
            }
        }
        let mut settings = setup();
        (settings["zones"], settings["zone"]) = (json!(["a", "b"]), json!("a"));
        settings["balancers"] = json!(3);
        // Enough for a book to run twice, if anything let it.
        settings["limits"]["max-attempts"] = json!(6);
        let config = json!({"name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9",
            "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "known": {"rev": 1, "all": true, "targets": targets}, "settings": settings});
        Fleet { ledger, links, config, _members: members }
    }

    fn process(&self, n: usize) -> DaemonProcess {
        DaemonProcess::start(program(&format!("processes-{n}"), &self.config.to_string()))
    }

    /// To the links of a zone, or of all servers of a kind.
    fn each(&self, of: &str, what: impl Fn(&Link)) {
        self.links.iter().filter(|(zone, kind, _)| *zone == of || *kind == of).for_each(|l| what(&l.2));
    }
}

/// A request, and its status; none where the connection ended without an answer.
type Told = (String, &'static str, Option<u16>, Duration);

async fn ask(to: std::net::SocketAddr, class: &str, id: &str) -> Option<u16> {
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

/// Asks one process, wherever it listens now, again and again until the end.
async fn client(n: usize, at: Arc<Mutex<std::net::SocketAddr>>, name: String, end: Instant) -> Vec<Told> {
    let mut told = Vec::new();
    while Instant::now() < end {
        let class = ["ask", "book"][(told.len() + n) % 2];
        let id = format!("p{n}-{name}-{}", told.len());
        let (to, begin) = (*at.lock().unwrap(), Instant::now());
        let status = timeout(ANSWER_MOST, ask(to, class, &id)).await.expect("an answer in time");
        told.push((id, class, status, begin.elapsed()));
        sleep(Duration::from_millis(20)).await;
    }
    told
}

#[tokio::test]
async fn every_state_ends_in_time_and_no_book_runs_twice_while_links_fail_and_processes_die() {
    let fleet = Fleet::start().await;
    let mut running: Vec<DaemonProcess> = (0..3).map(|n| fleet.process(n)).collect();
    let at: Vec<_> = running.iter().map(|r| Arc::new(Mutex::new(r.listen))).collect();
    let end = Instant::now() + Duration::from_secs(8);
    let mut clients = JoinSet::new();
    for (n, at) in at.iter().enumerate() {
        for name in ["x", "y", "z"] {
            clients.spawn(client(n, at.clone(), name.to_string(), end));
        }
    }
    let step = Duration::from_millis(700);
    sleep(step).await;
    // Writers are reset with answers under way, again and again.
    for _ in 0..5 {
        fleet.each("decode", Link::reset_connections);
        sleep(step / 5).await;
    }
    // Readers go on where no writer can be reached.
    fleet.each("decode", |link| (link.set_unreachable(true), link.reset_connections()).1);
    sleep(step).await;
    fleet.each("decode", |link| link.set_unreachable(false));
    sleep(step).await;
    // A zone is lost: what was open is reset, what is new is refused.
    fleet.each("b", |link| (link.set_unreachable(true), link.reset_connections()).1);
    sleep(step).await;
    running[2].signal("-KILL");
    running[2] = fleet.process(2);
    *at[2].lock().unwrap() = running[2].listen;
    sleep(step).await;
    fleet.each("b", |link| link.set_unreachable(false));
    sleep(step).await;
    // It says nothing at all, and one process is paused meanwhile.
    fleet.each("b", |link| link.set_stalled(true));
    running[1].signal("-STOP");
    sleep(PAUSE).await;
    running[1].signal("-CONT");
    sleep(2 * step).await;
    // What was under way to it when it comes back is lost.
    fleet.each("b", |link| (link.reset_connections(), link.set_stalled(false)).1);
    let mut told = Vec::new();
    while let Some(done) = clients.join_next().await {
        told.extend(done.unwrap());
    }
    for process in running {
        process.signal("-TERM");
        process.expect_clean_exit().await;
    }
    let accounts: HashMap<String, _> =
        fleet.ledger.records().into_iter().map(|(id, account)| (id.to_string(), account)).collect();
    let served = told.iter().filter(|t| t.2 == Some(200)).count();
    assert!(served * 2 > told.len(), "{served} of {} served", told.len());
    for (id, class, status, after) in &told {
        let killed = id.starts_with("p2") && status.is_none();
        assert!(killed || matches!(status, Some(200 | 502 | 503)), "{id}: {status:?} after {after:?}");
        let Some(account) = accounts.get(id) else { continue };
        assert!(*class == "ask" || account.decode_runs <= 1, "{id} ran {} times", account.decode_runs);
        let refused = *status == Some(503);
        assert!(!(refused && *class == "book" && account.decode_runs > 0), "{id} had run, and was refused");
        let paused = if id.starts_with("p1") { PAUSE } else { Duration::ZERO };
        let longest = account.longest_hold.max(account.held_since.map_or(Duration::ZERO, |at| at.elapsed()));
        assert!(killed || longest <= HELD_MOST + paused, "{id} held for {longest:?}, told {status:?}");
    }
}
