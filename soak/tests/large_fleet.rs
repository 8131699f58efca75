//! One real conductor routes to thousands of servers, of which a quarter is replaced in turn: each request
//! gets its final answer in time, and each KV cache is claimed or released in time.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use frosttrail_soak::plan::Plan;
use frosttrail_soak::run::{run_soak, RunOptions};
use support::find_program;

/// Server sockets of each role.
const SERVERS: usize = 8;
/// Ids under which each socket is listed: 3,200 in all.
const IDS_PER_SERVER: usize = 200;
const REQUESTS_PER_S: f64 = 80.0;

/// Counts how often each rule was broken.
fn count_by_rule(violations: &[String]) -> BTreeMap<&str, usize> {
    let mut counts = BTreeMap::new();
    for violation in violations {
        *counts.entry(violation.split(':').next().unwrap_or_default()).or_default() += 1;
    }
    counts
}

async fn check_turnover(name: &str, listed_conductors: usize) {
    let folder = std::env::temp_dir().join(format!("frosttrail-{name}-{}", std::process::id()));
    let outcome = run_soak(RunOptions {
        program: find_program(),
        seed: 1,
        conductors: 1,
        servers: SERVERS,
        ids_per_server: IDS_PER_SERVER,
        listed_conductors,
        plan: Plan::Turnover,
        duration: Duration::from_secs(12),
        rate: REQUESTS_PER_S,
        short_per_mille: 0,
        folder: folder.clone(),
    })
    .await
    .unwrap();
    let report = outcome.report;
    assert_eq!(count_by_rule(&report.violations), BTreeMap::new(), "{:?}", report.results);
    let count = |name| report.results.get(name).copied().unwrap_or_default();
    assert!(count("served") > 10 * count("refused"), "{:?}", report.results);
    let log = std::fs::read_to_string(folder.join("n0/log-1.txt")).unwrap();
    assert!(log.contains("restarted") && !log.contains("dropped messages"), "{log}");
    std::fs::remove_dir_all(&folder).unwrap();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_are_answered_while_a_quarter_of_3200_servers_restarts_with_8_conductors() {
    check_turnover("fleet-8", 8).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_are_answered_while_a_quarter_of_3200_servers_restarts_with_48_conductors() {
    check_turnover("fleet-48", 48).await;
}
