//! Several conductor processes and one server that has just started: together they do not overload the
//! server in slow start, and still use what the settings let it take.

mod support;

use std::time::{Duration, Instant};

use serde_json::json;
use support::*;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

const PROCESSES: usize = 3;
const WARM_SERVERS: usize = 3;
/// The request rate in all, shared by the warm servers.
const REQUESTS_PER_S: f64 = 120.0;
/// From the settings: the initial share of a server in slow start times the overload multiple, and the
/// overload duration. A server fails if it gets more than that share of a warm server's requests for that
/// duration.
const OVERLOAD_SHARE: f64 = 0.25 * 3.0;
const OVERLOAD_DURATION: Duration = Duration::from_secs(2);
const LATEST: Duration = Duration::from_secs(20);

async fn client(address: std::net::SocketAddr, client: usize, interval: Duration, end: Instant) -> usize {
    let (mut sent, mut served) = (0, 0);
    while Instant::now() < end {
        let started_at = Instant::now();
        let id = format!("c{client}-{sent}");
        let request = chat(&id, "ask", 7_000);
        let answer = timeout(LATEST, exchange(address, &request)).await.expect("a response in time");
        served += usize::from(answer.status == 200);
        sent += 1;
        sleep(interval.saturating_sub(started_at.elapsed())).await;
    }
    served
}

#[tokio::test]
async fn processes_that_list_a_new_server_together_do_not_overload_it() {
    let (mut prefill, mut decode) = (Vec::new(), Vec::new());
    for _ in 0..WARM_SERVERS {
        prefill.push(StandIn::start(PREFILL_RESPONSE).await);
        decode.push(StandIn::start(COMPLETE_STREAM).await);
    }
    let new_server = StandIn::start(COMPLETE_STREAM).await;
    let target = |uid: String, model: &str, stand_in: &StandIn, boot_ms: u64| {
        json!({"uid": uid, "endpoint": stand_in.address, "az": "z", "model": model, "pod_group": 0,
            "state": "active", "capacity_hint": 1.0, "boot_ms": boot_ms})
    };
    let mut targets = Vec::new();
    for n in 0..WARM_SERVERS {
        targets.push(target(format!("p{n}"), "prefill", &prefill[n], 0));
        targets.push(target(format!("d{n}"), "decode", &decode[n], 0));
    }
    // The first watches deliver nothing and time out after 3 s. Those that follow list the new server.
    let started_at = Instant::now();
    let boot_ms = unix_micros() / 1_000 + 3_000;
    let update =
        json!({"rev": 2, "all": false, "targets": [target("new".into(), "decode", &new_server, boot_ms)]});
    let update: &'static [&'static str] =
        Box::leak(Box::new([&*Box::leak(format!("{update}\n").into_boxed_str())]));
    let (mut agents, mut running) = (Vec::new(), Vec::new());
    for n in 0..PROCESSES {
        let agent = StandIn::start(Behavior::StallsAfter(update)).await;
        agent.next(Behavior::StallsAfter(&["\n"]));
        let mut settings = setup();
        settings["balancers"] = json!(PROCESSES);
        let config = json!({"name": format!("n{n}"), "listen": "127.0.0.1:0", "discovery": agent.address,
            "seed": format!("{n}c1f30d27a5be964"), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "known": {"rev": 1, "all": true, "targets": targets}, "settings": settings});
        running.push(DaemonProcess::start(program(&format!("slow-start-{n}"), &config.to_string())));
        agents.push(agent);
    }
    // The first process gets as many requests as the others together.
    let end = started_at + Duration::from_secs(9);
    let clients_per_process = 6;
    let mut clients = JoinSet::new();
    for n in 0..2 * clients_per_process * PROCESSES {
        let address = running[if n % 2 == 0 { 0 } else { 1 + n / 2 % (PROCESSES - 1) }].listen;
        let interval = Duration::from_secs_f64((2 * clients_per_process * PROCESSES) as f64 / REQUESTS_PER_S);
        clients.spawn(client(address, n, interval, end));
    }
    let mut samples = Vec::new();
    while Instant::now() < end {
        samples.push((Instant::now(), new_server.posts().len()));
        sleep(Duration::from_millis(20)).await;
    }
    let served: usize = clients.join_all().await.into_iter().sum();
    let count_at = |when: Instant| samples.iter().take_while(|c| c.0 <= when).last().map_or(0, |c| c.1);
    let max_in_window =
        samples.iter().map(|c| count_at(c.0 + OVERLOAD_DURATION) - c.1).max().unwrap_or(0) as f64;
    // The budget follows the requests that the warm servers received, as a busy machine may send fewer.
    let warm_requests: usize = decode.iter().map(|d| d.posts().len()).sum();
    let requests_per_s = warm_requests as f64 / WARM_SERVERS as f64 / 9.0;
    let budget = requests_per_s * OVERLOAD_SHARE * OVERLOAD_DURATION.as_secs_f64();
    assert!(served > 300, "{served} served");
    assert!(
        max_in_window <= budget + 2.0 * budget.sqrt() + 2.0,
        "{max_in_window} in {OVERLOAD_DURATION:?}, budget {budget:.1}"
    );
    assert!(
        max_in_window >= budget * 0.1,
        "{max_in_window} in {OVERLOAD_DURATION:?}, budget {budget:.1}: the server starves"
    );
    for process in running {
        process.signal("-TERM");
        process.expect_clean_exit().await;
    }
}
