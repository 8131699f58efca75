//! A fixture for tests of one conductor process under the fault shim, with two stub servers and an agent.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

use frosttrail_soak::agent::{DiscoveryAgent, ServerList};
use frosttrail_soak::client::{ClientBehavior, ClientRequest};
use frosttrail_soak::conductor::{call_ops, find_free_address, Process, ProcessSpec};
use frosttrail_soak::oracle::{Oracle, Report};
use frosttrail_soak::server::Server;
use frosttrail_soak::shim::SystemFaults;
use frosttrail_soak::testbed::{conductor_settings, draw_limits};
use serde_json::{json, Value};

/// The seed from which the limits of the settings are drawn.
const SEED: u64 = 1;
/// The longest wait in a test.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Checks that the program exists and no source is newer: an older build would test other code.
fn is_up_to_date(program: &Path) -> bool {
    let modified = |path: &Path| std::fs::metadata(path).and_then(|data| data.modified()).ok();
    let Some(built) = modified(program) else { return false };
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut folders: Vec<PathBuf> =
        ["src", "core/src", "daemon/src", "membership/src"].map(|f| root.join(f)).into();
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(&folder).unwrap() {
            let path = entry.unwrap().path();
            if path.is_dir() {
                folders.push(path);
            } else if modified(&path).is_none_or(|at| at > built) {
                return false;
            }
        }
    }
    true
}

/// Returns the program beside the test's own binary, where the workspace's tests put it. Builds it if needed.
pub fn find_program() -> PathBuf {
    let mut folder = std::env::current_exe().unwrap();
    folder.pop();
    folder.pop();
    let program = folder.join("frosttrail");
    if !is_up_to_date(&program) {
        let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".into());
        let build = ["build", "--locked", "--profile", "test", "-p", "frosttrail-daemon"];
        assert!(Command::new(cargo).args(build).status().unwrap().success());
    }
    program
}

/// The servers, agent and files around a conductor process. Dropping it removes the files.
pub struct Fixture {
    pub oracle: Oracle,
    pub spec: ProcessSpec,
    pub ops: SocketAddr,
    servers: Vec<Server>,
    agent: DiscoveryAgent,
    start_count: usize,
    request_count: usize,
}

impl Fixture {
    /// Starts the servers and the agent, for a conductor with a name that no other test uses.
    pub async fn start(name: &str) -> Self {
        let oracle = Oracle::new(draw_limits(SEED));
        let mut servers = Vec::new();
        for (index, is_decode) in [false, true].into_iter().enumerate() {
            servers.push(Server::start(index, is_decode, oracle.clone()).await.unwrap());
        }
        let target = |(index, model): (usize, &str)| -> Value {
            json!({"uid": format!("s{index}"), "endpoint": servers[index].address, "az": "z", "model": model,
                "pod_group": 0, "state": "active", "capacity_hint": 1.0, "boot_ms": 0})
        };
        let targets: Vec<Value> = ["prefill", "decode"].into_iter().enumerate().map(target).collect();
        let agent =
            DiscoveryAgent::start(ServerList { revision: 1, targets: targets.clone() }).await.unwrap();
        let (listen, ops) = (find_free_address().unwrap(), find_free_address().unwrap());
        let folder = std::env::temp_dir().join(format!("frosttrail-soak-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let config = json!({"name": name, "listen": listen, "discovery": agent.address, "seed": "1f",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512}, "ops": "127.0.0.1:0",
            "known": {"rev": 1, "all": true, "targets": targets},
            "settings": conductor_settings(1, &draw_limits(SEED))});
        let spec = ProcessSpec { program: find_program(), folder, config, listen };
        Fixture { oracle, spec, ops, servers, agent, start_count: 0, request_count: 0 }
    }

    /// Starts a conductor process under these faults.
    pub fn spawn(&mut self, faults: SystemFaults) -> Process {
        self.start_count += 1;
        self.spec.spawn(self.start_count, self.ops, faults).unwrap()
    }

    /// Sends `count` requests, one after another.
    pub async fn send_requests(&mut self, count: usize) {
        for _ in 0..count {
            self.request_count += 1;
            let request = ClientRequest {
                id: format!("r-{}", self.request_count),
                conductor: 0,
                address: self.spec.listen,
                is_fragile: self.request_count % 2 == 0,
                budget: Duration::from_secs(3),
                behavior: ClientBehavior::Waits,
            };
            request.send(self.oracle.clone()).await;
        }
    }

    /// Asserts that all requests were served and no rule was broken.
    pub fn assert_all_served(&self) {
        let Report { results, violations, .. } = self.oracle.report();
        assert_eq!(violations, Vec::<String>::new());
        assert_eq!(results.get("served"), Some(&self.request_count), "{results:?}");
    }

    /// Reads a metric of the process.
    pub async fn metric(&self, name: &str) -> Option<f64> {
        let (_, metrics) = call_ops(self.ops, "GET", "/api/telemetry", "").await.ok()?;
        metrics.lines().find_map(|line| line.strip_prefix(name)?.trim().parse().ok())
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.spec.folder);
    }
}
