//! The conductors of a run, and what surrounds them.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use frosttrail_standins::link::Link;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};

use crate::agent::{Agent, List};
use crate::conductor::{free_address, Process, Site};
use crate::oracle::{Limits, Oracle, SlowStart};
use crate::run::Options;
use crate::server::Server;
use crate::shim::{Faults, COUNTERS};

/// What a server in slow start may be sent.
const SLOW_START: SlowStart = SlowStart {
    capacity: 20.0,
    from: 0.25,
    multiple: 3.0,
    window: Duration::from_secs(2),
    warm_within: Duration::from_secs(3),
};

/// With thousands of ids a server takes longer to warm up, so that many do so at once.
const LARGE_WARM_WITHIN: Duration = Duration::from_secs(13);

/// What the settings of a run say: deployments differ in these times.
pub fn limits(seed: u64) -> Limits {
    let mut draws = SmallRng::seed_from_u64(seed);
    let release = Duration::from_millis([300, 500, 1_000][draws.random_range(0..3)]);
    let drain_grace = Duration::from_millis([150, 250, 1_000][draws.random_range(0..3)]);
    let deadline = Duration::from_millis([1_000, 2_000, 3_000][draws.random_range(0..3)]);
    Limits { release, drain_grace, slow_start: SLOW_START, deadline }
}

impl Options {
    /// The limits of this run: each socket stands for as many servers as it has ids.
    pub(crate) fn limits(&self) -> Limits {
        let mut limits = limits(self.seed);
        if self.ids_per_server > 1 {
            limits.slow_start.capacity *= self.ids_per_server as f64;
            limits.slow_start.warm_within = LARGE_WARM_WITHIN;
        }
        limits
    }
}

/// What follows the longest deadline before SIGKILL, which comes as early as it may.
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);

/// Descriptors of a conductor's process.
const SOCKETS: u64 = 512;

/// A conductor, whichever process runs it.
pub(crate) struct Conductor {
    pub(crate) site: Mutex<Site>,
    pub(crate) listen: SocketAddr,
    pub(crate) process: tokio::sync::Mutex<Option<Process>>,
    starts: Mutex<usize>,
    /// Taken while it is held up now and then.
    pub(crate) held_up: tokio::sync::Mutex<()>,
    /// What is wrong with its machine now, also for a process that starts.
    pub(crate) faults: Mutex<Faults>,
    pub(crate) agents: [Agent; 2],
    /// Which agent the configuration names.
    pub(crate) agent: Mutex<usize>,
    pub(crate) links: Vec<Link>,
}

/// All that a run consists of.
pub(crate) struct World {
    pub(crate) conductors: Vec<Conductor>,
    pub(crate) servers: Vec<Server>,
    pub(crate) oracle: Oracle,
    /// From SIGTERM to SIGKILL.
    pub(crate) kill_after: Duration,
    pub(crate) fired: Mutex<[u64; COUNTERS.len()]>,
    pub(crate) short_per_mille: u32,
    /// Until when news may be late at each conductor.
    pub(crate) late_until: Mutex<Vec<Instant>>,
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The limits, as settings have them.
fn rules(limits: &Limits) -> Value {
    let micros = |time: Duration| time.as_micros() as u64;
    let SlowStart { from, multiple, window, warm_within, .. } = limits.slow_start;
    json!({"cold-from": from, "drain-grace": micros(limits.drain_grace), "fall": micros(window),
        "fall-multiple": multiple, "grace-to-answer": 8_000, "warm-within": micros(warm_within)})
}

/// Settings for so many conductors.
pub fn settings(conductors: usize, limits: &Limits) -> Value {
    let class = |name: &str, effect: &str| {
        let deadline = limits.deadline.as_micros() as u64;
        json!({"name": name, "slo": deadline / 2, "deadline": deadline, "effect": effect, "late-share": 0.2,
            "points": 1.0, "dedup-scope": "all", "dedup-window": 0})
    };
    json!({"balancers": conductors, "grades": [class("ask", "retryable"), class("book", "fragile")],
        "kinds": ["prefill", "decode"], "zones": ["z"], "zone": "z", "tenants": [], "tick": 2_000,
        "limits": {"cancel": true, "max-attempts": 4, "parallel-tries": false, "may-probe": false,
            "retry-after": true, "max-retry-after": 2_000_000, "connect-timeout": 250_000,
            "conn-idle": 10_000_000},
        "membership-mode": "push", "over-share-worth": 0.1,
        "rules": rules(limits),
        "specifics": {"aim-us-per-1000-prompt-tokens": [40_000.0, 40_000.0], "holds-allowed": false,
            "kind-role": ["read", "write"], "kv-tokens": [200_000, 150_000],
            "release": limits.release.as_micros() as u64, "resume": true, "self-prefill": false,
            "token-aim": [60_000.0, 80_000.0]}})
}

impl World {
    pub(crate) async fn start(options: &Options) -> std::io::Result<Self> {
        let oracle = Oracle::new(options.limits());
        let mut servers = Vec::new();
        for index in 0..2 * options.servers {
            servers.push(Server::start(index, index >= options.servers, oracle.clone()).await?);
        }
        let mut conductors = Vec::new();
        for nth in 0..options.conductors {
            conductors.push(Conductor::new(options, nth, &servers).await?);
        }
        let late_until = Mutex::new(vec![Instant::now(); options.conductors]);
        let (fired, short_per_mille) = (Mutex::default(), options.short_per_mille);
        let kill_after = options.limits().deadline + KILL_AFTER_DEADLINE;
        Ok(World { conductors, servers, oracle, kill_after, fired, short_per_mille, late_until })
    }

    /// Notes what the shim of a process that ends has done.
    pub(crate) fn note_fired(&self, process: &Process) {
        if let Ok(fired) = process.control.fired() {
            let mut sum = lock(&self.fired);
            sum.iter_mut().zip(fired).for_each(|(sum, fired)| *sum += fired);
        }
    }

    pub(crate) async fn start_process(&self, nth: usize) -> Option<Process> {
        let conductor = &self.conductors[nth];
        let process = conductor.start();
        let mut process = match process {
            Ok(process) => process,
            Err(e) => {
                self.oracle.violation(format!("start: conductor {nth}: {e}"));
                return None;
            }
        };
        if let Err(why) = process.ready().await {
            self.oracle.violation(format!("{why}: conductor {nth}"));
        }
        Some(process)
    }

    /// The process of a conductor has to run, unless a trouble has ended it.
    pub(crate) async fn check_alive(&self, nth: usize) {
        let mut process = self.conductors[nth].process.lock().await;
        if let Some(code) = process.as_mut().and_then(Process::ended) {
            self.oracle.violation(format!("crash: conductor {nth} ended with {code}"));
            *process = None;
        }
    }
}

impl Conductor {
    async fn new(options: &Options, nth: usize, servers: &[Server]) -> std::io::Result<Self> {
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
        let list = List { rev: 1, targets: targets.clone() };
        let agents = [Agent::start(list.clone()).await?, Agent::start(list).await?];
        let (name, listen) = (format!("n{nth}"), free_address()?);
        let folder = options.folder.join(&name);
        std::fs::create_dir_all(&folder)?;
        let settings = settings(options.listed_conductors, &options.limits());
        let config = json!({"name": name, "listen": listen, "discovery": agents[0].address,
            "seed": format!("{:x}", options.seed.wrapping_add(nth as u64)),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": SOCKETS}, "ops": "127.0.0.1:0",
            "known": {"rev": 1, "all": true, "targets": targets}, "settings": settings});
        let program = options.program.clone();
        let site = Mutex::new(Site { program, folder, config, listen });
        let process = tokio::sync::Mutex::new(None);
        let (starts, faults, agent) = (Mutex::new(0), Mutex::default(), Mutex::new(0));
        let held_up = tokio::sync::Mutex::default();
        Ok(Conductor { site, listen, process, starts, held_up, faults, agents, agent, links })
    }

    /// Starts a process, which is told the list as the agent has it now.
    fn start(&self) -> std::io::Result<Process> {
        let nth = {
            let mut starts = lock(&self.starts);
            *starts += 1;
            *starts
        };
        let mut site = lock(&self.site);
        site.config["known"] = self.agents[*lock(&self.agent)].list().whole();
        site.start(nth, free_address()?, *lock(&self.faults))
    }
}
