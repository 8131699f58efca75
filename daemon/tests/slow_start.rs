//! Several processes of the program before one server that has just started: together they keep within what
//! the settings let a cold server take, and fill it all the same.

mod support;

use std::time::{Duration, Instant};

use serde_json::json;
use support::*;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

const PROCESSES: usize = 3;
const WARM: usize = 3;
/// Requests a second in all, which the warm servers share.
const PER_S: f64 = 120.0;
/// Of the settings: what a cold server takes at once, and the window in which it falls.
const FROM: f64 = 0.25 * 3.0;
const FALL: Duration = Duration::from_secs(2);
const LATEST: Duration = Duration::from_secs(20);

async fn client(to: std::net::SocketAddr, name: usize, every: Duration, end: Instant) -> usize {
    let (mut asked, mut served) = (0, 0);
    while Instant::now() < end {
        let begin = Instant::now();
        let id = format!("c{name}-{asked}");
        let text = chat(&id, "ask", 7_000);
        let answer = timeout(LATEST, exchange(to, &text)).await.expect("an answer in time");
        served += usize::from(answer.status == 200);
        asked += 1;
        sleep(every.saturating_sub(begin.elapsed())).await;
    }
    served
}

#[tokio::test]
async fn processes_that_learn_of_a_start_together_do_not_make_the_server_fall() {
    let (mut prefill, mut decode) = (Vec::new(), Vec::new());
    for _ in 0..WARM {
        prefill.push(StandIn::start(PREFILL_RESPONSE).await);
        decode.push(StandIn::start(COMPLETE_STREAM).await);
    }
    let fresh = StandIn::start(COMPLETE_STREAM).await;
    let target = |uid: String, model: &str, at: &StandIn, boot_ms: u64| {
        json!({"uid": uid, "endpoint": at.address, "az": "z", "model": model, "pod_group": 0,
            "state": "active", "capacity_hint": 1.0, "boot_ms": boot_ms})
    };
    let mut targets = Vec::new();
    for n in 0..WARM {
        targets.push(target(format!("p{n}"), "prefill", &prefill[n], 0));
        targets.push(target(format!("d{n}"), "decode", &decode[n], 0));
    }
    // Watches that bring nothing fall silent after 3 s; those that follow tell of the start.
    let begin = Instant::now();
    let boot_ms = unix_micros() / 1_000 + 3_000;
    let news = json!({"rev": 2, "all": false, "targets": [target("new".into(), "decode", &fresh, boot_ms)]});
    let news: &'static [&'static str] =
        Box::leak(Box::new([&*Box::leak(format!("{news}\n").into_boxed_str())]));
    let (mut agents, mut running) = (Vec::new(), Vec::new());
    for n in 0..PROCESSES {
        let agent = StandIn::start(Behavior::StallsAfter(news)).await;
        agent.next(Behavior::StallsAfter(&["\n"]));
        let mut settings = setup();
        settings["balancers"] = json!(PROCESSES);
        let config = json!({"name": format!("n{n}"), "listen": "127.0.0.1:0", "discovery": agent.address,
            "seed": format!("{n}c1f30d27a5be964"), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "known": {"rev": 1, "all": true, "targets": targets}, "settings": settings});
        running.push(DaemonProcess::start(program(&format!("slow-start-{n}"), &config.to_string())));
        agents.push(agent);
    }
    // The first has as much traffic as the others together.
    let end = begin + Duration::from_secs(9);
    let each = 6;
    let mut clients = JoinSet::new();
    for n in 0..2 * each * PROCESSES {
        let to = running[if n % 2 == 0 { 0 } else { 1 + n / 2 % (PROCESSES - 1) }].listen;
        let every = Duration::from_secs_f64((2 * each * PROCESSES) as f64 / PER_S);
        clients.spawn(client(to, n, every, end));
    }
    let mut curve = Vec::new();
    while Instant::now() < end {
        curve.push((Instant::now(), fresh.posts().len()));
        sleep(Duration::from_millis(20)).await;
    }
    let served: usize = clients.join_all().await.into_iter().sum();
    let at = |when: Instant| curve.iter().take_while(|c| c.0 <= when).last().map_or(0, |c| c.1);
    let most = curve.iter().map(|c| at(c.0 + FALL) - c.1).max().unwrap_or(0) as f64;
    // What the warm ones really got, as a busy machine may ask less.
    let warm: usize = decode.iter().map(|d| d.posts().len()).sum();
    let per_s = warm as f64 / WARM as f64 / 9.0;
    let budget = per_s * FROM * FALL.as_secs_f64();
    assert!(served > 300, "{served} served");
    assert!(most <= budget + 2.0 * budget.sqrt() + 2.0, "{most} in {FALL:?}, budget {budget:.1}");
    assert!(most >= budget * 0.1, "{most} in {FALL:?}, budget {budget:.1}: it starves");
    for process in running {
        process.signal("-TERM");
        process.expect_clean_exit().await;
    }
}
