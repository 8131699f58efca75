//! What each trouble does.

use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use frosttrail_standins::link::Link;
use rand::rngs::SmallRng;
use rand::Rng;
use serde_json::{json, Value};
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::conductor::{call, Process};
use crate::oracle::Closed;
use crate::plan::{Event, Trouble, TURNOVER_BATCHES};
use crate::server::Mode;
use crate::shim::Faults;
use crate::world::{lock, World};

/// After SIGHUP, what the new agent has counts as told.
const TOLD_AFTER_RELOAD: Duration = Duration::from_secs(4);
/// After a silence of its agent, news may be told so late.
const TOLD_AFTER_SILENCE: Duration = Duration::from_secs(6);
/// Signals come in series.
const END_SIGNALS: [&str; 3] = ["-TERM", "-HUP", "-TERM"];
const SIGNAL_EVERY: Duration = Duration::from_millis(20);
/// So many idle clients come at once: more than a conductor has places for.
const CROWD: usize = 400;
/// A process is held up for so long at a time.
const HOLD_UP: Duration = Duration::from_millis(140);

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

impl World {
    /// Lets a trouble strike. Resolves once it is over.
    pub(crate) async fn strike(&self, event: Event, draws: &mut SmallRng) {
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
            Trouble::Configuration => {
                let faults = Faults { config_per_mille: 900, ..Faults::default() };
                tokio::join!(self.shim(nth, faults, event.lasts / 3), self.reload(nth));
            }
            Trouble::SilentServer => self.silence_servers(&[server], event.lasts).await,
            Trouble::SilentHalf => {
                // Always the same: where all are silent at once, nobody could let go of anything.
                let half: Vec<usize> = (0..self.servers.len()).step_by(2).collect();
                self.silence_servers(&half, event.lasts).await
            }
            Trouble::ResetServer => self.links(server, Link::reset_connections, Duration::ZERO, |_| {}).await,
            Trouble::DarkServer => {
                self.links(
                    server,
                    |link| link.set_unreachable(true),
                    event.lasts,
                    |link| link.set_unreachable(false),
                )
                .await
            }
            Trouble::HangingServer => self.mode(server, Mode::Hangs, event.lasts).await,
            Trouble::FullServer => self.mode(server, Mode::Full, event.lasts).await,
            Trouble::ErringServer => self.mode(server, Mode::Errs, event.lasts).await,
            Trouble::BreakingServer => self.mode(server, Mode::Breaks, event.lasts).await,
            Trouble::Drain => self.drain(server, event.lasts).await,
            Trouble::Crowd => self.crowd(nth, event.lasts).await,
            Trouble::Exclusion => self.exclude(nth, server, event.lasts, draws).await,
            Trouble::Turnover => self.turn_over(event.whom, event.lasts).await,
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

    /// Idle clients take all places of a conductor, as far as it lets them.
    async fn crowd(&self, nth: usize, lasts: Duration) {
        let mut crowd = Vec::new();
        for _ in 0..CROWD {
            // Who finds no place has not come.
            crowd.extend(TcpStream::connect(self.conductors[nth].listen).await.ok());
        }
        sleep(lasts).await;
    }

    /// Ends a process as the platform does, and checks its end.
    pub(crate) async fn end(&self, nth: usize, mut process: Process) {
        let from = Instant::now();
        for signal in END_SIGNALS {
            process.signal(signal).await;
            sleep(SIGNAL_EVERY).await;
        }
        match process.wait(self.kill_after.saturating_sub(from.elapsed())).await {
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
        // Two at once would hold it up for longer than the rules allow for.
        let Ok(_alone) = self.conductors[nth].held_up.try_lock() else { return };
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
            // A process that starts meanwhile has them too.
            *lock(&self.conductors[nth].faults) = faults;
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

    /// What is sent on their connections, open or new, does not arrive, and nothing says so.
    async fn silence_servers(&self, servers: &[usize], lasts: Duration) {
        let all = || self.conductors.iter().flat_map(|c| servers.iter().map(|server| &c.links[*server]));
        all().for_each(|link| link.set_stalled(true));
        servers.iter().for_each(|server| self.oracle.silent(*server, true));
        sleep(lasts).await;
        all().for_each(|link| {
            link.reset_connections();
            link.set_stalled(false);
        });
        servers.iter().for_each(|server| self.oracle.silent(*server, false));
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

    /// Tells all agents of a server's state, under each of its ids.
    fn tell(&self, server: usize, state: &str, boot_ms: Option<u64>) {
        let servers = self.servers.len();
        self.tell_ids(|id, _| id % servers == server, state, boot_ms);
    }

    /// Tells all agents of the state of some ids, chosen by their number and the state that they have.
    fn tell_ids(&self, whom: impl Fn(usize, &Value) -> bool, state: &str, boot_ms: Option<u64>) {
        for agent in self.conductors.iter().flat_map(|conductor| &conductor.agents) {
            agent.change(|list| {
                for (id, target) in list.targets.iter_mut().enumerate() {
                    if !whom(id, &target["state"]) {
                        continue;
                    }
                    target["state"] = json!(state);
                    if let Some(boot_ms) = boot_ms {
                        target["boot_ms"] = json!(boot_ms);
                    }
                }
            });
        }
    }

    /// A batch of ids goes, and comes back restarted; but for those that drain meanwhile.
    async fn turn_over(&self, nth: usize, lasts: Duration) {
        // Neighbours among the ids have different sockets.
        let batch = |id: usize| id / self.servers.len() % TURNOVER_BATCHES == nth;
        self.tell_ids(|id, state| batch(id) && state == "active", "left", None);
        sleep(lasts).await;
        self.tell_ids(|id, state| batch(id) && state == "left", "active", Some(unix_ms()));
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
        self.oracle.started(server);
        self.tell(server, "active", Some(unix_ms()));
    }

    /// Calls for each id, until one is not answered with a yes; whether all were.
    async fn call_for_each(&self, ops: SocketAddr, path: &str, ids: &[String]) -> bool {
        for id in ids {
            if !call(ops, "POST", path, id).await.is_ok_and(|(status, _)| status == 200) {
                return false;
            }
        }
        true
    }

    async fn exclude(&self, nth: usize, server: usize, lasts: Duration, draws: &mut SmallRng) {
        let ops = self.conductors[nth].process.lock().await.as_ref().map(|process| process.ops);
        let Some(ops) = ops else { return };
        // Under each of its ids, as the oracle knows servers by their sockets.
        let (servers, ids) = (self.servers.len(), self.conductors[nth].agents[0].list().targets.len());
        let ids: Vec<String> = (server..ids).step_by(servers).map(|id| format!("s{id}")).collect();
        if self.call_for_each(ops, "/api/exclude", &ids).await {
            let (conductor, from, until) = (Some(nth), Instant::now(), None);
            self.oracle.closed(Closed { server, conductor, from, until });
        }
        sleep(lasts.mul_f64(draws.random_range(0.5..1.0))).await;
        // Before the call: it is in use as soon as the call has been heard.
        self.oracle.opened(server, Some(nth));
        let ops = self.conductors[nth].process.lock().await.as_ref().map(|process| process.ops);
        let Some(ops) = ops else { return };
        // A no leaves it out, which breaks no rule here.
        self.call_for_each(ops, "/api/include", &ids).await;
    }
}
