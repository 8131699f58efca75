//! What each trouble does.

use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use frosttrail_standins::link::Link;
use rand::rngs::SmallRng;
use rand::Rng;
use serde_json::{json, Value};
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::conductor::{call_ops, Process};
use crate::oracle::ClosedPeriod;
use crate::plan::{FaultKind, ScheduledFault, TURNOVER_BATCHES};
use crate::server::ServerMode;
use crate::shim::SystemFaults;
use crate::world::{lock, Testbed};

/// After SIGHUP, what the new agent has counts as told.
const MAX_NEWS_DELAY_AFTER_RELOAD: Duration = Duration::from_secs(4);
/// After a silence of its agent, news may be told so late.
const MAX_NEWS_DELAY_AFTER_SILENCE: Duration = Duration::from_secs(6);
/// Signals come in series.
const SHUTDOWN_SIGNALS: [&str; 3] = ["-TERM", "-HUP", "-TERM"];
const SIGNAL_INTERVAL: Duration = Duration::from_millis(20);
/// So many idle clients come at once: more than a conductor has places for.
const IDLE_CLIENTS: usize = 400;
/// A process is held up for so long at a time.
const PAUSE_DURATION: Duration = Duration::from_millis(140);

fn unix_time_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

impl Testbed {
    /// Lets a trouble strike. Resolves once it is over.
    pub(crate) async fn inject(&self, fault: ScheduledFault, rng: &mut SmallRng) {
        let conductor = fault.target_draw % self.conductors.len();
        let server = fault.target_draw / 7 % self.servers.len();
        match fault.kind {
            FaultKind::Kill => self.kill_conductor(conductor, fault.duration).await,
            FaultKind::Restart => self.restart_conductor(conductor).await,
            FaultKind::Upgrade => self.upgrade_conductor(conductor).await,
            FaultKind::Reload => self.reload_settings(conductor).await,
            FaultKind::HoldUps => self.pause_repeatedly(conductor, fault.duration).await,
            FaultKind::Clock(wall_offset_ms) => {
                self.apply_system_faults(
                    conductor,
                    SystemFaults { wall_offset_ms, ..SystemFaults::default() },
                    fault.duration,
                )
                .await
            }
            FaultKind::Disk => {
                self.apply_system_faults(
                    conductor,
                    SystemFaults { disk_per_mille: 700, ..SystemFaults::default() },
                    fault.duration,
                )
                .await
            }
            FaultKind::Network => {
                let short_per_mille = self.short_per_mille;
                let faults =
                    SystemFaults { network_per_mille: 150, short_per_mille, ..SystemFaults::default() };
                self.apply_system_faults(conductor, faults, fault.duration).await
            }
            FaultKind::SilentAgent => self.silence_agents(conductor, fault.duration).await,
            FaultKind::Configuration => {
                let faults = SystemFaults { config_per_mille: 900, ..SystemFaults::default() };
                tokio::join!(
                    self.apply_system_faults(conductor, faults, fault.duration / 3),
                    self.reload_settings(conductor)
                );
            }
            FaultKind::SilentServer => self.silence_servers(&[server], fault.duration).await,
            FaultKind::SilentHalf => {
                // Always the same: where all are silent at once, nobody could let go of anything.
                let half: Vec<usize> = (0..self.servers.len()).step_by(2).collect();
                self.silence_servers(&half, fault.duration).await
            }
            FaultKind::ResetServer => {
                self.change_links(server, Link::reset_connections, Duration::ZERO, |_| {}).await
            }
            FaultKind::DarkServer => {
                self.change_links(
                    server,
                    |link| link.set_unreachable(true),
                    fault.duration,
                    |link| link.set_unreachable(false),
                )
                .await
            }
            FaultKind::HangingServer => {
                self.set_server_mode(server, ServerMode::Hanging, fault.duration).await
            }
            FaultKind::FullServer => self.set_server_mode(server, ServerMode::Full, fault.duration).await,
            FaultKind::ErringServer => {
                self.set_server_mode(server, ServerMode::Failing, fault.duration).await
            }
            FaultKind::BreakingServer => {
                self.set_server_mode(server, ServerMode::Truncating, fault.duration).await
            }
            FaultKind::Drain => self.drain_server(server, fault.duration).await,
            FaultKind::Crowd => self.connect_idle_clients(conductor, fault.duration).await,
            FaultKind::Exclusion => self.exclude_server(conductor, server, fault.duration, rng).await,
            FaultKind::Turnover => self.replace_batch(fault.target_draw, fault.duration).await,
        }
    }

    async fn kill_conductor(&self, conductor: usize, duration: Duration) {
        let from = Instant::now();
        let mut process_slot = self.conductors[conductor].process.lock().await;
        let Some(mut process) = process_slot.take() else { return };
        self.add_shim_counts(&process);
        process.kill().await;
        self.oracle.record_outage(conductor, from, Instant::now());
        sleep(duration / 4).await;
        *process_slot = self.start_process(conductor).await;
        self.oracle.record_outage(conductor, from, Instant::now());
    }

    /// Idle clients take all places of a conductor, as far as it lets them.
    async fn connect_idle_clients(&self, conductor: usize, duration: Duration) {
        let mut clients = Vec::new();
        for _ in 0..IDLE_CLIENTS {
            // Who finds no place has not come.
            clients.extend(TcpStream::connect(self.conductors[conductor].listen).await.ok());
        }
        sleep(duration).await;
    }

    /// Ends a process as the platform does, and checks its end.
    pub(crate) async fn shut_down(&self, conductor: usize, mut process: Process) {
        let from = Instant::now();
        for signal in SHUTDOWN_SIGNALS {
            process.signal(signal).await;
            sleep(SIGNAL_INTERVAL).await;
        }
        match process.wait_for_exit(self.kill_timeout.saturating_sub(from.elapsed())).await {
            Some(0) => {}
            Some(code) => self
                .oracle
                .record_violation(format!("crash: conductor {conductor} ended with {code} at its end")),
            None => {
                process.kill().await;
                // What came before it is free; later requests have to be answered by then.
                self.oracle.record_outage(conductor, from, from + Duration::from_millis(700));
            }
        }
        self.add_shim_counts(&process);
    }

    async fn restart_conductor(&self, conductor: usize) {
        let mut process_slot = self.conductors[conductor].process.lock().await;
        let Some(process) = process_slot.take() else { return };
        self.shut_down(conductor, process).await;
        let from = Instant::now();
        *process_slot = self.start_process(conductor).await;
        // Nobody listens meanwhile.
        self.oracle.record_outage(conductor, from, Instant::now());
    }

    async fn upgrade_conductor(&self, conductor: usize) {
        let mut process_slot = self.conductors[conductor].process.lock().await;
        let Some(old) = process_slot.take() else { return };
        match self.start_process(conductor).await {
            Some(new) => {
                self.shut_down(conductor, old).await;
                *process_slot = Some(new);
            }
            None => *process_slot = Some(old),
        }
    }

    async fn reload_settings(&self, conductor_index: usize) {
        let conductor = &self.conductors[conductor_index];
        lock(&self.news_late_until)[conductor_index] = Instant::now() + MAX_NEWS_DELAY_AFTER_RELOAD;
        for _ in 0..2 {
            let write_result = {
                let mut current_agent = lock(&conductor.current_agent);
                *current_agent = 1 - *current_agent;
                let mut spec = lock(&conductor.spec);
                spec.config["discovery"] = json!(conductor.agents[*current_agent].address);
                spec.write_config()
            };
            if write_result.is_err() {
                return;
            }
            if let Some(process) = conductor.process.lock().await.as_ref() {
                process.signal("-HUP").await;
            }
            sleep(Duration::from_millis(60)).await;
        }
    }

    async fn pause_repeatedly(&self, conductor: usize, duration: Duration) {
        // Two at once would hold it up for longer than the rules allow for.
        let Ok(_guard) = self.conductors[conductor].pause_lock.try_lock() else { return };
        let start = Instant::now();
        while start.elapsed() < duration {
            if let Some(process) = self.conductors[conductor].process.lock().await.as_ref() {
                process.signal("-STOP").await;
                sleep(PAUSE_DURATION).await;
                process.signal("-CONT").await;
            }
            sleep(PAUSE_DURATION).await;
        }
    }

    async fn apply_system_faults(&self, conductor: usize, faults: SystemFaults, duration: Duration) {
        for faults in [faults, SystemFaults::default()] {
            // A process that starts meanwhile has them too.
            *lock(&self.conductors[conductor].faults) = faults;
            if let Some(process) = self.conductors[conductor].process.lock().await.as_ref() {
                if let Err(e) = process.control.set_faults(faults) {
                    self.oracle.record_violation(format!("soak: the shim can't be told: {e}"));
                }
            }
            sleep(duration).await;
        }
    }

    async fn silence_agents(&self, conductor: usize, duration: Duration) {
        lock(&self.news_late_until)[conductor] = Instant::now() + duration + MAX_NEWS_DELAY_AFTER_SILENCE;
        let agents = &self.conductors[conductor].agents;
        agents.iter().for_each(|agent| agent.set_silent(true));
        sleep(duration).await;
        agents.iter().for_each(|agent| agent.set_silent(false));
    }

    /// What is sent on their connections, open or new, does not arrive, and nothing says so.
    async fn silence_servers(&self, servers: &[usize], duration: Duration) {
        let all_links =
            || self.conductors.iter().flat_map(|c| servers.iter().map(|server| &c.links[*server]));
        all_links().for_each(|link| link.set_stalled(true));
        servers.iter().for_each(|server| self.oracle.set_server_silent(*server, true));
        sleep(duration).await;
        all_links().for_each(|link| {
            link.reset_connections();
            link.set_stalled(false);
        });
        servers.iter().for_each(|server| self.oracle.set_server_silent(*server, false));
    }

    async fn change_links(
        &self,
        server: usize,
        apply: impl Fn(&Link),
        duration: Duration,
        undo: impl Fn(&Link),
    ) {
        self.conductors.iter().for_each(|conductor| apply(&conductor.links[server]));
        sleep(duration).await;
        self.conductors.iter().for_each(|conductor| undo(&conductor.links[server]));
    }

    async fn set_server_mode(&self, server: usize, mode: ServerMode, duration: Duration) {
        self.servers[server].set_mode(mode);
        sleep(duration).await;
        self.servers[server].set_mode(ServerMode::Healthy);
    }

    /// Tells all agents of a server's state, under each of its ids.
    fn announce_server(&self, server: usize, state: &str, boot_ms: Option<u64>) {
        let servers = self.servers.len();
        self.announce_ids(|id, _| id % servers == server, state, boot_ms);
    }

    /// Tells all agents of the state of some ids, chosen by their number and the state that they have.
    fn announce_ids(&self, is_selected: impl Fn(usize, &Value) -> bool, state: &str, boot_ms: Option<u64>) {
        for agent in self.conductors.iter().flat_map(|conductor| &conductor.agents) {
            agent.update(|list| {
                for (id, target) in list.targets.iter_mut().enumerate() {
                    if !is_selected(id, &target["state"]) {
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
    async fn replace_batch(&self, batch: usize, duration: Duration) {
        // Neighbours among the ids have different sockets.
        let is_in_batch = |id: usize| id / self.servers.len() % TURNOVER_BATCHES == batch;
        self.announce_ids(|id, state| is_in_batch(id) && state == "active", "left", None);
        sleep(duration).await;
        self.announce_ids(|id, state| is_in_batch(id) && state == "left", "active", Some(unix_time_ms()));
    }

    async fn drain_server(&self, server: usize, duration: Duration) {
        let now = Instant::now();
        self.announce_server(server, "leaving", None);
        for (conductor, late) in lock(&self.news_late_until).iter().enumerate() {
            let from = now.max(*late);
            let (conductor, until) = (Some(conductor), None);
            self.oracle.record_closed_server(ClosedPeriod { server, conductor, from, until });
        }
        sleep(duration).await;
        (0..self.conductors.len())
            .for_each(|conductor| self.oracle.record_reopened_server(server, Some(conductor)));
        self.oracle.record_server_start(server);
        self.announce_server(server, "active", Some(unix_time_ms()));
    }

    /// Calls for each id, until one is not answered with a yes; whether all were.
    async fn call_for_each_id(&self, ops: SocketAddr, path: &str, ids: &[String]) -> bool {
        for id in ids {
            if !call_ops(ops, "POST", path, id).await.is_ok_and(|(status, _)| status == 200) {
                return false;
            }
        }
        true
    }

    async fn exclude_server(&self, conductor: usize, server: usize, duration: Duration, rng: &mut SmallRng) {
        let ops = self.conductors[conductor].process.lock().await.as_ref().map(|process| process.ops);
        let Some(ops) = ops else { return };
        // Under each of its ids, as the oracle knows servers by their sockets.
        let (servers, ids) = (self.servers.len(), self.conductors[conductor].agents[0].list().targets.len());
        let ids: Vec<String> = (server..ids).step_by(servers).map(|id| format!("s{id}")).collect();
        if self.call_for_each_id(ops, "/api/exclude", &ids).await {
            let (conductor, from, until) = (Some(conductor), Instant::now(), None);
            self.oracle.record_closed_server(ClosedPeriod { server, conductor, from, until });
        }
        sleep(duration.mul_f64(rng.random_range(0.5..1.0))).await;
        // Before the call: it is in use as soon as the call has been heard.
        self.oracle.record_reopened_server(server, Some(conductor));
        let ops = self.conductors[conductor].process.lock().await.as_ref().map(|process| process.ops);
        let Some(ops) = ops else { return };
        // A no leaves it out, which breaks no rule here.
        self.call_for_each_id(ops, "/api/include", &ids).await;
    }
}
