//! The testbed of a run: conductors, servers, and the links and agents between them.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use frosttrail_standins::link::Link;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};

use crate::agent::{DiscoveryAgent, ServerList};
use crate::conductor::{find_free_address, Process, ProcessSpec};
use crate::oracle::{Limits, Oracle, SlowStart};
use crate::run::RunOptions;
use crate::server::Server;
use crate::shim::{SystemFaults, COUNTERS};

/// The slow start of the servers.
const SLOW_START: SlowStart = SlowStart {
    capacity_per_s: 20.0,
    initial_share: 0.25,
    overload_factor: 3.0,
    window: Duration::from_secs(2),
    warm_up_time: Duration::from_secs(3),
};

/// With thousands of ids, slow start lasts longer, so that many servers are in it at once.
const LARGE_FLEET_WARM_UP_TIME: Duration = Duration::from_secs(13);

/// Draws the limits of a run: deployments differ in these times.
pub fn draw_limits(seed: u64) -> Limits {
    let mut rng = SmallRng::seed_from_u64(seed);
    let release_timeout = Duration::from_millis([300, 500, 1_000][rng.random_range(0..3)]);
    let drain_grace = Duration::from_millis([150, 250, 1_000][rng.random_range(0..3)]);
    let max_deadline = Duration::from_millis([1_000, 2_000, 3_000][rng.random_range(0..3)]);
    Limits { release_timeout, drain_grace, slow_start: SLOW_START, max_deadline }
}

impl RunOptions {
    /// Returns the limits of this run. Each socket represents as many servers as it has ids.
    pub(crate) fn limits(&self) -> Limits {
        let mut limits = draw_limits(self.seed);
        if self.ids_per_server > 1 {
            limits.slow_start.capacity_per_s *= self.ids_per_server as f64;
            limits.slow_start.warm_up_time = LARGE_FLEET_WARM_UP_TIME;
        }
        limits
    }
}

impl RunOptions {
    fn memory_mb(&self) -> u64 {
        match self.ids_per_server {
            1 => MEMORY_MB,
            _ => LARGE_FLEET_MEMORY_MB,
        }
    }
}

/// Time from the longest deadline to SIGKILL, which comes as early as it may.
const KILL_DELAY_AFTER_DEADLINE: Duration = Duration::from_millis(700);

/// The limit on memory of a conductor's process, in megabytes.
const MEMORY_MB: u64 = 96;
/// The same with thousands of ids.
const LARGE_FLEET_MEMORY_MB: u64 = 192;
/// The limit on descriptors of a conductor's process.
const MAX_DESCRIPTORS: u64 = 512;

/// A conductor, which outlives its processes.
pub(crate) struct Conductor {
    pub(crate) spec: Mutex<ProcessSpec>,
    pub(crate) listen: SocketAddr,
    pub(crate) process: tokio::sync::Mutex<Option<Process>>,
    start_count: Mutex<usize>,
    /// Held while the process is paused again and again.
    pub(crate) pause_lock: tokio::sync::Mutex<()>,
    /// The system faults that are on now, which a process that starts has too.
    pub(crate) faults: Mutex<SystemFaults>,
    pub(crate) agents: [DiscoveryAgent; 2],
    /// Index of the agent that the configuration names.
    pub(crate) current_agent: Mutex<usize>,
    pub(crate) links: Vec<Link>,
}

/// Conductors, servers and oracle of a run.
pub(crate) struct Testbed {
    pub(crate) conductors: Vec<Conductor>,
    pub(crate) servers: Vec<Server>,
    pub(crate) oracle: Oracle,
    /// Time from SIGTERM to SIGKILL.
    pub(crate) kill_timeout: Duration,
    pub(crate) shim_counts: Mutex<[u64; COUNTERS.len()]>,
    pub(crate) short_per_mille: u32,
    /// The limit on memory of a conductor's process, in bytes.
    pub(crate) memory_limit: u64,
    /// Until when each conductor may lack the latest changes of the list.
    pub(crate) updates_late_until: Mutex<Vec<Instant>>,
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the rules section of the settings.
fn rule_settings(limits: &Limits) -> Value {
    let micros = |time: Duration| time.as_micros() as u64;
    let SlowStart { initial_share, overload_factor, window, warm_up_time, .. } = limits.slow_start;
    json!({"cold-from": initial_share, "drain-grace": micros(limits.drain_grace), "fall": micros(window),
        "fall-multiple": overload_factor, "grace-to-answer": 8_000, "warm-within": micros(warm_up_time)})
}

/// Returns the settings of a deployment with this many conductors.
pub fn conductor_settings(conductors: usize, limits: &Limits) -> Value {
    let class = |name: &str, effect: &str| {
        let deadline = limits.max_deadline.as_micros() as u64;
        json!({"name": name, "slo": deadline / 2, "deadline": deadline, "effect": effect, "late-share": 0.2,
            "points": 1.0, "dedup-scope": "all", "dedup-window": 0})
    };
    json!({"balancers": conductors, "grades": [class("ask", "retryable"), class("book", "fragile")],
        "kinds": ["prefill", "decode"], "zones": ["z"], "zone": "z", "tenants": [], "tick": 2_000,
        "limits": {"cancel": true, "max-attempts": 4, "parallel-tries": false, "may-probe": false,
            "retry-after": true, "max-retry-after": 2_000_000, "connect-timeout": 250_000,
            "conn-idle": 10_000_000},
        "membership-mode": "push", "over-share-worth": 0.1,
        "rules": rule_settings(limits),
        "specifics": {"aim-us-per-1000-prompt-tokens": [40_000.0, 40_000.0], "holds-allowed": false,
            "kind-role": ["read", "write"], "kv-tokens": [200_000, 150_000],
            "release": limits.release_timeout.as_micros() as u64, "resume": true, "self-prefill": false,
            "token-aim": [60_000.0, 80_000.0]}})
}

impl Testbed {
    pub(crate) async fn start(options: &RunOptions) -> std::io::Result<Self> {
        let oracle = Oracle::new(options.limits());
        let mut servers = Vec::new();
        for index in 0..2 * options.servers {
            servers.push(Server::start(index, index >= options.servers, oracle.clone()).await?);
        }
        let mut conductors = Vec::new();
        for conductor_index in 0..options.conductors {
            conductors.push(Conductor::new(options, conductor_index, &servers).await?);
        }
        let updates_late_until = Mutex::new(vec![Instant::now(); options.conductors]);
        let (shim_counts, short_per_mille) = (Mutex::default(), options.short_per_mille);
        let kill_timeout = options.limits().max_deadline + KILL_DELAY_AFTER_DEADLINE;
        Ok(Testbed {
            conductors,
            servers,
            oracle,
            kill_timeout,
            shim_counts,
            short_per_mille,
            memory_limit: options.memory_mb() * 1_000_000,
            updates_late_until,
        })
    }

    /// Adds the shim's counts of a process that ends to those of the run.
    pub(crate) fn add_shim_counts(&self, process: &Process) {
        if let Ok(counts) = process.control.fired_counts() {
            let mut total = lock(&self.shim_counts);
            total.iter_mut().zip(counts).for_each(|(total, count)| *total += count);
        }
    }

    pub(crate) async fn start_process(&self, conductor_index: usize) -> Option<Process> {
        let conductor = &self.conductors[conductor_index];
        let process = conductor.start();
        let mut process = match process {
            Ok(process) => process,
            Err(e) => {
                self.oracle.record_violation(format!("start: conductor {conductor_index}: {e}"));
                return None;
            }
        };
        if let Err(error) = process.wait_until_ready().await {
            self.oracle.record_violation(format!("{error}: conductor {conductor_index}"));
        }
        Some(process)
    }

    /// Records a violation if a conductor's process has ended, unless a fault has ended it.
    pub(crate) async fn check_alive(&self, conductor_index: usize) {
        let mut process = self.conductors[conductor_index].process.lock().await;
        if let Some(code) = process.as_mut().and_then(Process::exit_code) {
            self.oracle.record_violation(format!("crash: conductor {conductor_index} ended with {code}"));
            *process = None;
        }
    }
}

impl Conductor {
    async fn new(options: &RunOptions, conductor_index: usize, servers: &[Server]) -> std::io::Result<Self> {
        let mut links = Vec::new();
        let mut targets = Vec::new();
        for server in servers {
            links.push(Link::start(server.address).await?);
        }
        for id in 0..servers.len() * options.ids_per_server {
            let index = id % servers.len();
            let model = if index < options.servers { "prefill" } else { "decode" };
            targets.push(
                json!({"uid": format!("s{id}"), "endpoint": links[index].address, "az": "z", "model": model,
                "pod_group": 0, "state": "active", "capacity_hint": 1.0, "boot_ms": 0}),
            );
        }
        let list = ServerList { revision: 1, targets: targets.clone() };
        let agents = [DiscoveryAgent::start(list.clone()).await?, DiscoveryAgent::start(list).await?];
        let (name, listen) = (format!("n{conductor_index}"), find_free_address()?);
        let folder = options.folder.join(&name);
        std::fs::create_dir_all(&folder)?;
        let settings = conductor_settings(options.listed_conductors, &options.limits());
        let config = json!({"name": name, "listen": listen, "discovery": agents[0].address,
            "seed": format!("{:x}", options.seed.wrapping_add(conductor_index as u64)),
            "limits": {"cores": 1.0, "memory_mb": options.memory_mb(), "sockets": MAX_DESCRIPTORS},
            "ops": "127.0.0.1:0",
            "known": {"rev": 1, "all": true, "targets": targets}, "settings": settings});
        let program = options.program.clone();
        let spec = Mutex::new(ProcessSpec { program, folder, config, listen });
        let process = tokio::sync::Mutex::new(None);
        let (start_count, faults, current_agent) = (Mutex::new(0), Mutex::default(), Mutex::new(0));
        let pause_lock = tokio::sync::Mutex::default();
        Ok(Conductor { spec, listen, process, start_count, pause_lock, faults, agents, current_agent, links })
    }

    /// Starts a process whose configuration holds the agent's current list.
    fn start(&self) -> std::io::Result<Process> {
        let start_number = {
            let mut start_count = lock(&self.start_count);
            *start_count += 1;
            *start_count
        };
        let mut spec = lock(&self.spec);
        spec.config["known"] = self.agents[*lock(&self.current_agent)].list().to_json();
        spec.spawn(start_number, find_free_address()?, *lock(&self.faults))
    }
}
