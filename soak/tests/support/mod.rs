//! One conductor's process under the fault shim, with two servers and an agent around it.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

use frosttrail_soak::agent::{Agent, List};
use frosttrail_soak::client::{Ask, Manner};
use frosttrail_soak::conductor::{call, free_address, Process, Site};
use frosttrail_soak::oracle::{Oracle, Report};
use frosttrail_soak::server::Server;
use frosttrail_soak::shim::Faults;
use frosttrail_soak::world::{limits, settings};
use serde_json::{json, Value};

/// Decides the times of the settings.
const SEED: u64 = 1;
/// No wait in a test is longer.
pub const LATEST: Duration = Duration::from_secs(20);

/// Whether the program is there and no source is newer: one from an earlier build would show nothing.
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

/// The program, beside the test's own binary, where the workspace's tests have put it.
pub fn program() -> PathBuf {
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

/// What surrounds a process. Its files go with it.
pub struct Surroundings {
    pub oracle: Oracle,
    pub site: Site,
    pub ops: SocketAddr,
    servers: Vec<Server>,
    agent: Agent,
    starts: usize,
    asked: usize,
}

impl Surroundings {
    /// For a conductor of this name, which no other test has.
    pub async fn start(name: &str) -> Self {
        let oracle = Oracle::new(limits(SEED));
        let mut servers = Vec::new();
        for (index, decode) in [false, true].into_iter().enumerate() {
            servers.push(Server::start(index, decode, oracle.clone()).await.unwrap());
        }
        let target = |(index, model): (usize, &str)| -> Value {
            json!({"uid": format!("s{index}"), "endpoint": servers[index].address, "az": "z", "model": model,
                "pod_group": 0, "state": "active", "capacity_hint": 1.0, "boot_ms": 0})
        };
        let targets: Vec<Value> = ["prefill", "decode"].into_iter().enumerate().map(target).collect();
        let agent = Agent::start(List { rev: 1, targets: targets.clone() }).await.unwrap();
        let (listen, ops) = (free_address().unwrap(), free_address().unwrap());
        let folder = std::env::temp_dir().join(format!("frosttrail-soak-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let config = json!({"name": name, "listen": listen, "discovery": agent.address, "seed": "1f",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512}, "ops": "127.0.0.1:0",
            "known": {"rev": 1, "all": true, "targets": targets}, "settings": settings(1, &limits(SEED))});
        let site = Site { program: program(), folder, config, listen };
        Surroundings { oracle, site, ops, servers, agent, starts: 0, asked: 0 }
    }

    /// Starts a process under these faults.
    pub fn process(&mut self, faults: Faults) -> Process {
        self.starts += 1;
        self.site.start(self.starts, self.ops, faults).unwrap()
    }

    /// Makes so many requests, one after another.
    pub async fn ask(&mut self, count: usize) {
        for _ in 0..count {
            self.asked += 1;
            let ask = Ask {
                id: format!("r-{}", self.asked),
                conductor: 0,
                to: self.site.listen,
                fragile: self.asked % 2 == 0,
                budget: Duration::from_secs(3),
                manner: Manner::Waits,
            };
            ask.run(self.oracle.clone()).await;
        }
    }

    /// Asserts that all requests were served, and no rule broken.
    pub fn all_served(&self) {
        let Report { told, violations, .. } = self.oracle.report();
        assert_eq!(violations, Vec::<String>::new());
        assert_eq!(told.get("served"), Some(&self.asked), "{told:?}");
    }

    /// A figure as the process reports it.
    pub async fn figure(&self, name: &str) -> Option<f64> {
        let (_, text) = call(self.ops, "GET", "/api/telemetry", "").await.ok()?;
        text.lines().find_map(|line| line.strip_prefix(name)?.trim().parse().ok())
    }
}

impl Drop for Surroundings {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.site.folder);
    }
}
