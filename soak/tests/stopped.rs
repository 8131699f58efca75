//! A real conductor process is stopped for a second while requests are open and more arrive. After it
//! continues, each request gets its answer, and no attempt starts for a request whose time is over or whose
//! client has left.

mod support;

use std::time::{Duration, Instant};

use frosttrail_soak::client::{ClientBehavior, ClientRequest};
use frosttrail_soak::shim::SystemFaults;
use support::{Fixture, TEST_TIMEOUT};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

const STOP_DURATION: Duration = Duration::from_secs(1);
const REQUESTS_BEFORE_STOP: usize = 20;
const REQUESTS: usize = 60;
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_request_is_answered_after_a_stop_and_none_is_begun_too_late() {
    let mut fixture = Fixture::start("stopped").await;
    let mut process = fixture.spawn(SystemFaults::default());
    process.wait_until_ready().await.unwrap();
    let mut requests = JoinSet::new();
    let mut stopped_at = None;
    for index in 0..REQUESTS {
        if index == REQUESTS_BEFORE_STOP {
            process.signal("-STOP").await;
            stopped_at = Some(Instant::now());
        }
        // When the process continues, some requests have no time left, and some clients have left.
        let leaving = ClientBehavior::Leaves(Duration::from_millis(100 + 10 * index as u64));
        let request = ClientRequest {
            id: format!("r-{index}"),
            conductor: 0,
            address: fixture.spec.listen,
            is_fragile: index % 2 == 0,
            budget: Duration::from_millis(300 + 40 * index as u64),
            behavior: if index % 5 == 0 { leaving } else { ClientBehavior::Waits },
        };
        requests.spawn(request.send(fixture.oracle.clone()));
        sleep(REQUEST_INTERVAL).await;
    }
    sleep(STOP_DURATION.saturating_sub(stopped_at.map_or(STOP_DURATION, |at| at.elapsed()))).await;
    process.signal("-CONT").await;
    timeout(TEST_TIMEOUT, requests.join_all()).await.expect("each request ends in time");
    let report = fixture.oracle.report();
    let is_checked = |found: &&String| !found.contains("answered") && !found.starts_with("pinned");
    let broken: Vec<_> = report.violations.iter().filter(is_checked).collect();
    assert!(broken.is_empty(), "{broken:?}");
    assert_eq!(report.results.get("nothing"), None, "{:?}", report.results);
    assert!(report.results["served"] > REQUESTS / 3, "{:?}", report.results);
    // The decision queue is empty again.
    assert_eq!(fixture.metric("svc_decision_backlog").await, Some(0.0));
}
