//! One run: conductors, servers, agents, clients, and the troubles of a seed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use frosttrail_standins::link::Link;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until};

use crate::agent::{Agent, List};
use crate::client::{Ask, Manner};
use crate::conductor::{call, free_address, Process, Site};
use crate::oracle::{Closed, Limits, Oracle, Report};
use crate::plan::{draw, Event, Trouble};
use crate::server::{Mode, Server};
use crate::shim::{Faults, COUNTERS};

/// What the settings say.
pub const LIMITS: Limits =
    Limits { release: Duration::from_secs(1), drain_grace: Duration::from_millis(250) };
/// The longest deadline of a class, and what follows it before SIGKILL.
const KILL_AFTER: Duration = Duration::from_millis(3_000 + 700);
/// After SIGHUP, what the new agent has counts as told.
const TOLD_AFTER_RELOAD: Duration = Duration::from_secs(4);
/// After a silence of its agent, news may be told so late.
const TOLD_AFTER_SILENCE: Duration = Duration::from_secs(6);
/// A process is held up for so long at a time.
const HOLD_UP: Duration = Duration::from_millis(140);

/// What is run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program.
    pub program: PathBuf,
    /// Decides all that is drawn.
    pub seed: u64,
    /// Conductors.
    pub conductors: usize,
    /// Servers of each role.
    pub servers: usize,
    /// How long troubles and clients come.
    pub length: Duration,
    /// Requests a second at each conductor.
    pub rate: f64,
    /// Reads and writes that are cut short while the network fails, of 1,000. By epoll(7) a short read says
    /// that nothing more is there, which the runtime relies on; so none by default.
    pub short_per_mille: u32,
    /// Where files and logs go.
    pub folder: PathBuf,
}

/// What a run has shown.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Rules and requests.
    pub report: Report,
    /// How often each trouble struck.
    pub troubles: BTreeMap<String, usize>,
    /// How often each fault of the shim fired.
    pub fired: BTreeMap<&'static str, u64>,
}

struct Conductor {
    site: Mutex<Site>,
    listen: SocketAddr,
    process: tokio::sync::Mutex<Option<Process>>,
    starts: Mutex<usize>,
    agents: [Agent; 2],
    /// Which agent the configuration names.
    agent: Mutex<usize>,
    links: Vec<Link>,
}

struct World {
    conductors: Vec<Conductor>,
    servers: Vec<Server>,
    oracle: Oracle,
    fired: Mutex<[u64; COUNTERS.len()]>,
    short_per_mille: u32,
    /// Until when news may be late at each conductor.
    late_until: Mutex<Vec<Instant>>,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Settings for so many conductors.
pub fn settings(conductors: usize) -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "slo": 1_500_000, "deadline": 3_000_000, "effect": effect, "late-share": 0.2,
            "points": 1.0, "dedup-scope": "all", "dedup-window": 0})
    };
    json!({"balancers": conductors, "grades": [class("ask", "retryable"), class("book", "fragile")],
        "kinds": ["prefill", "decode"], "zones": ["z"], "zone": "z", "tenants": [], "tick": 2_000,
        "limits": {"cancel": true, "max-attempts": 4, "parallel-tries": false, "may-probe": false,
            "retry-after": true, "max-retry-after": 2_000_000, "connect-timeout": 250_000,
            "conn-idle": 10_000_000},
        "membership-mode": "push", "over-share-worth": 0.1,
        "rules": {"cold-from": 0.25, "drain-grace": LIMITS.drain_grace.as_micros() as u64, "fall": 2_000_000,
            "fall-multiple": 3.0, "grace-to-answer": 8_000, "warm-within": 3_000_000},
        "specifics": {"aim-us-per-1000-prompt-tokens": [40_000.0, 40_000.0], "holds-allowed": false,
            "kind-role": ["read", "write"], "kv-tokens": [200_000, 150_000],
            "release": LIMITS.release.as_micros() as u64, "resume": true, "self-prefill": false,
            "token-aim": [60_000.0, 80_000.0]}})
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

impl World {
    async fn start(options: &Options) -> std::io::Result<Self> {
        let oracle = Oracle::new(LIMITS);
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
        Ok(World { conductors, servers, oracle, fired, short_per_mille, late_until })
    }

    /// Notes what the shim of a process that ends has done.
    fn note_fired(&self, process: &Process) {
        if let Ok(fired) = process.control.fired() {
            let mut sum = lock(&self.fired);
            sum.iter_mut().zip(fired).for_each(|(sum, fired)| *sum += fired);
        }
    }

    async fn start_process(&self, nth: usize) -> Option<Process> {
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
    async fn check_alive(&self, nth: usize) {
        let mut process = self.conductors[nth].process.lock().await;
        if let Some(code) = process.as_mut().and_then(Process::ended) {
            self.oracle.violation(format!("crash: conductor {nth} ended with {code}"));
            *process = None;
        }
    }

    async fn strike(&self, event: Event, draws: &mut SmallRng) {
        let nth = event.whom % self.conductors.len();
        let server = event.whom / 7 % self.servers.len();
        match event.trouble {
            Trouble::Kill => self.kill(nth, event.lasts).await,
            Trouble::Restart => self.restart(nth).await,
            Trouble::Upgrade => self.upgrade(nth).await,
            Trouble::Reload => self.reload(nth).await,
            Trouble::HoldUps => self.hold_up(nth, event.lasts).await,
            Trouble::Clock(wall_offset_ms) => {
                self.shim(nth, Faults { wall_offset_ms, ..Faults::default() }, event.lasts).await
            }
            Trouble::Disk => {
                self.shim(nth, Faults { disk_per_mille: 700, ..Faults::default() }, event.lasts).await
            }
            Trouble::Network => {
                let short_per_mille = self.short_per_mille;
                let faults = Faults { network_per_mille: 150, short_per_mille, ..Faults::default() };
                self.shim(nth, faults, event.lasts).await
            }
            Trouble::SilentAgent => self.silence(nth, event.lasts).await,
            Trouble::SilentServer => {
                self.links(
                    server,
                    |link| link.stall(true),
                    event.lasts,
                    |link| {
                        link.cut();
                        link.stall(false);
                    },
                )
                .await
            }
            Trouble::ResetServer => self.links(server, Link::cut, Duration::ZERO, |_| {}).await,
            Trouble::DarkServer => {
                self.links(server, |link| link.dark(true), event.lasts, |link| link.dark(false)).await
            }
            Trouble::HangingServer => self.mode(server, Mode::Hangs, event.lasts).await,
            Trouble::FullServer => self.mode(server, Mode::Full, event.lasts).await,
            Trouble::ErringServer => self.mode(server, Mode::Errs, event.lasts).await,
            Trouble::BreakingServer => self.mode(server, Mode::Breaks, event.lasts).await,
            Trouble::Drain => self.drain(server, event.lasts).await,
            Trouble::Exclusion => self.exclude(nth, server, event.lasts, draws).await,
        }
    }

    async fn kill(&self, nth: usize, lasts: Duration) {
        let from = Instant::now();
        let mut held = self.conductors[nth].process.lock().await;
        let Some(mut process) = held.take() else { return };
        self.note_fired(&process);
        process.kill().await;
        self.oracle.outage(nth, from, Instant::now());
        sleep(lasts / 4).await;
        *held = self.start_process(nth).await;
        self.oracle.outage(nth, from, Instant::now());
    }

    /// Ends a process as the platform does, and checks its end.
    async fn end(&self, nth: usize, mut process: Process) {
        let from = Instant::now();
        process.signal("-TERM").await;
        match process.wait(KILL_AFTER).await {
            Some(0) => {}
            Some(code) => {
                self.oracle.violation(format!("crash: conductor {nth} ended with {code} at its end"))
            }
            None => {
                process.kill().await;
                // What came before it is free; later requests have to be answered by then.
                self.oracle.outage(nth, from, from + Duration::from_millis(700));
            }
        }
        self.note_fired(&process);
    }

    async fn restart(&self, nth: usize) {
        let mut held = self.conductors[nth].process.lock().await;
        let Some(process) = held.take() else { return };
        self.end(nth, process).await;
        let from = Instant::now();
        *held = self.start_process(nth).await;
        // Nobody listens meanwhile.
        self.oracle.outage(nth, from, Instant::now());
    }

    async fn upgrade(&self, nth: usize) {
        let mut held = self.conductors[nth].process.lock().await;
        let Some(old) = held.take() else { return };
        match self.start_process(nth).await {
            Some(new) => {
                self.end(nth, old).await;
                *held = Some(new);
            }
            None => *held = Some(old),
        }
    }

    async fn reload(&self, nth: usize) {
        let conductor = &self.conductors[nth];
        lock(&self.late_until)[nth] = Instant::now() + TOLD_AFTER_RELOAD;
        for _ in 0..2 {
            let written = {
                let mut agent = lock(&conductor.agent);
                *agent = 1 - *agent;
                let mut site = lock(&conductor.site);
                site.config["discovery"] = json!(conductor.agents[*agent].address);
                site.write_config()
            };
            if written.is_err() {
                return;
            }
            if let Some(process) = conductor.process.lock().await.as_ref() {
                process.signal("-HUP").await;
            }
            sleep(Duration::from_millis(60)).await;
        }
    }

    async fn hold_up(&self, nth: usize, lasts: Duration) {
        let begin = Instant::now();
        while begin.elapsed() < lasts {
            if let Some(process) = self.conductors[nth].process.lock().await.as_ref() {
                process.signal("-STOP").await;
                sleep(HOLD_UP).await;
                process.signal("-CONT").await;
            }
            sleep(HOLD_UP).await;
        }
    }

    async fn shim(&self, nth: usize, faults: Faults, lasts: Duration) {
        for faults in [faults, Faults::default()] {
            if let Some(process) = self.conductors[nth].process.lock().await.as_ref() {
                if let Err(e) = process.control.set(faults) {
                    self.oracle.violation(format!("soak: the shim can't be told: {e}"));
                }
            }
            sleep(lasts).await;
        }
    }

    async fn silence(&self, nth: usize, lasts: Duration) {
        lock(&self.late_until)[nth] = Instant::now() + lasts + TOLD_AFTER_SILENCE;
        let agents = &self.conductors[nth].agents;
        agents.iter().for_each(|agent| agent.silence(true));
        sleep(lasts).await;
        agents.iter().for_each(|agent| agent.silence(false));
    }

    async fn links(&self, server: usize, on: impl Fn(&Link), lasts: Duration, off: impl Fn(&Link)) {
        self.conductors.iter().for_each(|conductor| on(&conductor.links[server]));
        sleep(lasts).await;
        self.conductors.iter().for_each(|conductor| off(&conductor.links[server]));
    }

    async fn mode(&self, server: usize, mode: Mode, lasts: Duration) {
        self.servers[server].set(mode);
        sleep(lasts).await;
        self.servers[server].set(Mode::Well);
    }

    /// Tells all agents of a server's state.
    fn tell(&self, server: usize, state: &str, boot_ms: Option<u64>) {
        for agent in self.conductors.iter().flat_map(|conductor| &conductor.agents) {
            agent.change(|list| {
                list.targets[server]["state"] = json!(state);
                if let Some(boot_ms) = boot_ms {
                    list.targets[server]["boot_ms"] = json!(boot_ms);
                }
            });
        }
    }

    async fn drain(&self, server: usize, lasts: Duration) {
        let now = Instant::now();
        self.tell(server, "leaving", None);
        for (nth, late) in lock(&self.late_until).iter().enumerate() {
            let from = now.max(*late);
            let (conductor, until) = (Some(nth), None);
            self.oracle.closed(Closed { server, conductor, from, until });
        }
        sleep(lasts).await;
        (0..self.conductors.len()).for_each(|nth| self.oracle.opened(server, Some(nth)));
        self.tell(server, "active", Some(unix_ms()));
    }

    async fn exclude(&self, nth: usize, server: usize, lasts: Duration, draws: &mut SmallRng) {
        let ops = self.conductors[nth].process.lock().await.as_ref().map(|process| process.ops);
        let Some(ops) = ops else { return };
        let id = format!("s{server}");
        if call(ops, "POST", "/api/exclude", &id).await.is_ok_and(|(status, _)| status == 200) {
            let (conductor, from, until) = (Some(nth), Instant::now(), None);
            self.oracle.closed(Closed { server, conductor, from, until });
        }
        sleep(lasts.mul_f64(draws.random_range(0.5..1.0))).await;
        // Before the call: it is in use as soon as the call has been heard.
        self.oracle.opened(server, Some(nth));
        let ops = self.conductors[nth].process.lock().await.as_ref().map(|process| process.ops);
        if let Some(ops) = ops {
            // A no leaves it out, which breaks no rule here.
            let _ = call(ops, "POST", "/api/include", &id).await;
        }
    }
}

impl Conductor {
    async fn new(options: &Options, nth: usize, servers: &[Server]) -> std::io::Result<Self> {
        let mut links = Vec::new();
        let mut targets = Vec::new();
        for (index, server) in servers.iter().enumerate() {
            let link = Link::start(server.address).await?;
            let model = if index < options.servers { "prefill" } else { "decode" };
            targets.push(
                json!({"uid": format!("s{index}"), "endpoint": link.address, "az": "z", "model": model,
                "pod_group": 0, "state": "active", "capacity_hint": 1.0, "boot_ms": 0}),
            );
            links.push(link);
        }
        let list = List { rev: 1, targets: targets.clone() };
        let agents = [Agent::start(list.clone()).await?, Agent::start(list).await?];
        let (name, listen) = (format!("n{nth}"), free_address()?);
        let folder = options.folder.join(&name);
        std::fs::create_dir_all(&folder)?;
        let config = json!({"name": name, "listen": listen, "discovery": agents[0].address,
            "seed": format!("{:x}", options.seed.wrapping_add(nth as u64)),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512}, "ops": "127.0.0.1:0",
            "known": {"rev": 1, "all": true, "targets": targets}, "settings": settings(options.conductors)});
        let program = options.program.clone();
        let site = Mutex::new(Site { program, folder, config, listen });
        let process = tokio::sync::Mutex::new(None);
        Ok(Conductor { site, listen, process, starts: Mutex::new(0), agents, agent: Mutex::new(0), links })
    }

    /// Starts a process, which is told the list as the agent has it now.
    fn start(&self) -> std::io::Result<Process> {
        let nth = {
            let mut starts = lock(&self.starts);
            *starts += 1;
            *starts
        };
        let mut site = lock(&self.site);
        let List { rev, targets } = self.agents[*lock(&self.agent)].list();
        site.config["known"] = json!({"rev": rev, "all": true, "targets": targets});
        site.start(nth, free_address()?, Faults::default())
    }
}

/// Clients of one conductor, until the end.
async fn clients(world: Arc<World>, nth: usize, options: Options, end: Instant) {
    let mut draws = SmallRng::seed_from_u64(options.seed ^ (nth as u64 + 1).wrapping_mul(0x9e37_79b9));
    let mut asks = JoinSet::new();
    for count in 0.. {
        if Instant::now() >= end {
            break;
        }
        let manner = match draws.random_range(0..100) {
            0..12 => Manner::Leaves(Duration::from_millis(draws.random_range(0..400))),
            12..14 => Manner::Stops,
            14..16 => Manner::StopsAgain,
            _ => Manner::Waits,
        };
        let ask = Ask {
            id: format!("{}-{nth}-{count}", options.seed),
            conductor: nth,
            to: world.conductors[nth].listen,
            fragile: draws.random_range(0..3) == 0,
            budget: Duration::from_millis(draws.random_range(400..3_000)),
            manner,
        };
        asks.spawn(ask.run(world.oracle.clone()));
        // Open-loop: exponential times between arrivals.
        let gap = -draws.random_range(f64::EPSILON..1.0).ln() / options.rate;
        sleep(Duration::from_secs_f64(gap)).await;
        while asks.try_join_next().is_some() {}
    }
    asks.join_all().await;
}

/// Plays one seed.
pub async fn run(options: Options) -> std::io::Result<Outcome> {
    let world = Arc::new(World::start(&options).await?);
    let mut starting = JoinSet::new();
    for nth in 0..options.conductors {
        let world = world.clone();
        starting.spawn(async move {
            let process = world.start_process(nth).await;
            *world.conductors[nth].process.lock().await = process;
        });
    }
    starting.join_all().await;
    let begin = Instant::now();
    let mut asking = JoinSet::new();
    for nth in 0..options.conductors {
        asking.spawn(clients(world.clone(), nth, options.clone(), begin + options.length));
    }
    let (mut troubles, mut counts) = (JoinSet::new(), BTreeMap::new());
    for event in draw(options.seed, options.length) {
        sleep_until((begin + event.at).into()).await;
        for nth in 0..options.conductors {
            world.check_alive(nth).await;
        }
        *counts.entry(format!("{:?}", event.trouble)).or_default() += 1;
        let world = world.clone();
        let mut draws = SmallRng::seed_from_u64(options.seed ^ event.whom as u64);
        troubles.spawn(async move { world.strike(event, &mut draws).await });
    }
    troubles.join_all().await;
    asking.join_all().await;
    for (nth, conductor) in world.conductors.iter().enumerate() {
        world.check_alive(nth).await;
        let Some(process) = conductor.process.lock().await.take() else { continue };
        if let Some(violations @ 1..) = process.violations().await {
            world.oracle.violation(format!("invariant: conductor {nth} counted {violations} of its own"));
        }
        world.end(nth, process).await;
    }
    let fired = lock(&world.fired);
    let fired = COUNTERS.iter().copied().zip(fired.iter().copied()).collect();
    Ok(Outcome { report: world.oracle.report(), troubles: counts, fired })
}
