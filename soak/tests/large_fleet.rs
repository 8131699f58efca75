//! One real conductor before thousands of servers, of which a quarter is replaced in turn: each request
//! gets its final answer in time, and what is held is let go in time.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use frosttrail_soak::plan::Plan;
use frosttrail_soak::run::{run, Options};
use support::program;

/// Sockets of each role, and the ids of each: 3,200 in all.
const SERVERS: usize = 8;
const IDS_PER_SERVER: usize = 200;
const RATE: f64 = 80.0;

/// How often each rule was broken.
fn by_rule(violations: &[String]) -> BTreeMap<&str, usize> {
    let mut counts = BTreeMap::new();
    for found in violations {
        *counts.entry(found.split(':').next().unwrap_or_default()).or_default() += 1;
    }
    counts
}

async fn plays(name: &str, listed_conductors: usize) {
    let folder = std::env::temp_dir().join(format!("frosttrail-{name}-{}", std::process::id()));
    let outcome = run(Options {
        program: program(),
        seed: 1,
        conductors: 1,
        servers: SERVERS,
        ids_per_server: IDS_PER_SERVER,
        listed_conductors,
        plan: Plan::Turnover,
        length: Duration::from_secs(12),
        rate: RATE,
        short_per_mille: 0,
        folder: folder.clone(),
    })
    .await
    .unwrap();
    let report = outcome.report;
    assert_eq!(by_rule(&report.violations), BTreeMap::new(), "{:?}", report.told);
    let told = |name| report.told.get(name).copied().unwrap_or_default();
    assert!(told("served") > 10 * told("refused"), "{:?}", report.told);
    let log = std::fs::read_to_string(folder.join("n0/log-1.txt")).unwrap();
    assert!(log.contains("restarted") && !log.contains("dropped messages"), "{log}");
    std::fs::remove_dir_all(&folder).unwrap();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_quarter_of_3200_servers_is_replaced_before_one_of_8_conductors() {
    plays("fleet-8", 8).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_quarter_of_3200_servers_is_replaced_before_one_of_48_conductors() {
    plays("fleet-48", 48).await;
}
