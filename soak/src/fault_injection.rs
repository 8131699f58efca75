//! Injects each kind of fault.

use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use frosttrail_standins::link::Link;
use rand::rngs::SmallRng;
use rand::Rng;
use serde_json::{json, Value};
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::bad_clients::{flood, stop_halfway};
use crate::conductor::{call_ops, Process};
use crate::oracle::{ClosedPeriod, Interrupted};
use crate::plan::{FaultKind, ScheduledFault, TURNOVER_BATCHES};
use crate::server::ServerMode;
use crate::shim::SystemFaults;
use crate::testbed::{lock, Testbed};

/// The longest that a conductor may take after SIGHUP to learn what its new agent lists.
const MAX_UPDATE_DELAY_AFTER_RELOAD: Duration = Duration::from_secs(4);
/// The longest that a conductor may take to learn of changes after a silence of its agent.
const MAX_UPDATE_DELAY_AFTER_SILENCE: Duration = Duration::from_secs(6);
/// The series of signals that ends a process.
const SHUTDOWN_SIGNALS: [&str; 3] = ["-TERM", "-HUP", "-TERM"];
const SIGNAL_INTERVAL: Duration = Duration::from_millis(20);
/// Idle clients that connect at once: more than a conductor takes.
const IDLE_CLIENTS: usize = 400;
/// How long a process is paused at a time.
const PAUSE_DURATION: Duration = Duration::from_millis(140);

fn unix_time_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

impl Testbed {
    /// Injects a fault, and returns once it is over.
    pub(crate) async fn inject(&self, fault: ScheduledFault, rng: &mut SmallRng) {
        let conductor = fault.target_draw % self.conductors.len();
        let server = fault.target_draw / 7 % self.servers.len();
        match fault.kind {
            FaultKind::Kill => self.kill_conductor(conductor, fault.duration).await,
            FaultKind::Restart => self.restart_conductor(conductor).await,
            FaultKind::Upgrade => self.upgrade_conductor(conductor).await,
            FaultKind::Reload => self.reload_configuration(conductor).await,
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
                    self.reload_configuration(conductor)
                );
            }
            FaultKind::SilentServer => self.silence_servers(&[server], fault.duration).await,
            FaultKind::SilentHalf => {
                // Always the same half: if all were silent at once, no KV cache could be released.
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
            FaultKind::SlowServer => self.set_server_mode(server, ServerMode::Slow, fault.duration).await,
            FaultKind::HugeChunk => self.set_server_mode(server, ServerMode::HugeChunk, fault.duration).await,
            FaultKind::Comments => self.set_server_mode(server, ServerMode::Comments, fault.duration).await,
            FaultKind::EndlessSizeLine => {
                self.set_server_mode(server, ServerMode::EndlessSizeLine, fault.duration).await
            }
            FaultKind::Noise => self.set_server_mode(server, ServerMode::Noise, fault.duration).await,
            FaultKind::SecondAnswers => {
                self.set_server_mode(server, ServerMode::AnswersTwice, fault.duration).await
            }
            FaultKind::Flood => flood(self.conductors[conductor].listen, fault.duration).await,
            FaultKind::HalfRequests => stop_halfway(self.conductors[conductor].listen, fault.duration).await,
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
        self.check_memory(conductor, &process);
        process.kill().await;
        self.oracle.record_interruption(Interrupted::Conductor(conductor), from, Instant::now());
        self.oracle.record_outage(conductor, from, Instant::now());
        sleep(duration / 4).await;
        *process_slot = self.start_process(conductor).await;
        self.oracle.record_outage(conductor, from, Instant::now());
    }

    /// Connects idle clients to a conductor, as many as it takes.
    async fn connect_idle_clients(&self, conductor: usize, duration: Duration) {
        let mut clients = Vec::new();
        for _ in 0..IDLE_CLIENTS {
            // A client that is refused is left out.
            clients.extend(TcpStream::connect(self.conductors[conductor].listen).await.ok());
        }
        sleep(duration).await;
    }

    /// Ends a process as the platform does, and checks how it exits.
    pub(crate) async fn shut_down(&self, conductor: usize, mut process: Process) {
        let from = Instant::now();
        self.check_memory(conductor, &process);
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
                // Requests of the first 700 ms after SIGTERM may be lost; later ones have to be answered
                // before the kill.
                self.oracle.record_outage(conductor, from, from + Duration::from_millis(700));
            }
        }
        // Streams that still run are cut, as clients ask for the rest.
        self.oracle.record_interruption(Interrupted::Conductor(conductor), from, Instant::now());
        self.add_shim_counts(&process);
    }

    /// Records a violation if a process has taken more memory than its limit.
    fn check_memory(&self, conductor: usize, process: &Process) {
        let Some(peak) = process.peak_memory_bytes() else { return };
        if peak > self.memory_limit {
            self.oracle.record_violation(format!("crash: conductor {conductor} took {peak} bytes of memory"));
        }
    }

    async fn restart_conductor(&self, conductor: usize) {
        let mut process_slot = self.conductors[conductor].process.lock().await;
        let Some(process) = process_slot.take() else { return };
        self.shut_down(conductor, process).await;
        let from = Instant::now();
        *process_slot = self.start_process(conductor).await;
        // Nothing listens meanwhile.
        self.oracle.record_outage(conductor, from, Instant::now());
    }

    async fn upgrade_conductor(&self, conductor: usize) {
        let mut process_slot = self.conductors[conductor].process.lock().await;
        let Some(old_process) = process_slot.take() else { return };
        match self.start_process(conductor).await {
            Some(new_process) => {
                self.shut_down(conductor, old_process).await;
                *process_slot = Some(new_process);
            }
            None => *process_slot = Some(old_process),
        }
    }

    async fn reload_configuration(&self, conductor_index: usize) {
        let conductor = &self.conductors[conductor_index];
        lock(&self.updates_late_until)[conductor_index] = Instant::now() + MAX_UPDATE_DELAY_AFTER_RELOAD;
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
        // Two at once would pause the process for longer than the rules allow for.
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
            // A process that starts meanwhile has the faults too.
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
        lock(&self.updates_late_until)[conductor] =
            Instant::now() + duration + MAX_UPDATE_DELAY_AFTER_SILENCE;
        let agents = &self.conductors[conductor].agents;
        agents.iter().for_each(|agent| agent.set_silent(true));
        sleep(duration).await;
        agents.iter().for_each(|agent| agent.set_silent(false));
    }

    /// Stalls all connections to servers, open or new: what is sent is lost without an error.
    async fn silence_servers(&self, servers: &[usize], duration: Duration) {
        let all_links =
            || self.conductors.iter().flat_map(|c| servers.iter().map(|server| &c.links[*server]));
        let from = Instant::now();
        all_links().for_each(|link| link.set_stalled(true));
        servers.iter().for_each(|server| self.oracle.set_server_silent(*server, true));
        sleep(duration).await;
        all_links().for_each(|link| {
            link.reset_connections();
            link.set_stalled(false);
        });
        for server in servers {
            self.oracle.set_server_silent(*server, false);
            self.oracle.record_interruption(Interrupted::Server(*server), from, Instant::now());
        }
    }

    async fn change_links(
        &self,
        server: usize,
        apply: impl Fn(&Link),
        duration: Duration,
        undo: impl Fn(&Link),
    ) {
        let from = Instant::now();
        self.conductors.iter().for_each(|conductor| apply(&conductor.links[server]));
        sleep(duration).await;
        self.conductors.iter().for_each(|conductor| undo(&conductor.links[server]));
        self.oracle.record_interruption(Interrupted::Server(server), from, Instant::now());
    }

    async fn set_server_mode(&self, server: usize, mode: ServerMode, duration: Duration) {
        self.servers[server].set_mode(mode);
        sleep(duration).await;
        self.servers[server].set_mode(ServerMode::Healthy);
    }

    /// Sets a server's state in the lists of all agents, under each of its ids.
    fn announce_server(&self, server: usize, state: &str, boot_ms: Option<u64>) {
        let server_count = self.servers.len();
        self.announce_ids(|id, _| id % server_count == server, state, boot_ms);
    }

    /// Sets the state of some ids in the lists of all agents, selected by number and current state.
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

    /// Removes a batch of ids from the lists, and brings them back restarted, except for ids that drain.
    async fn replace_batch(&self, batch: usize, duration: Duration) {
        // Neighbouring ids belong to different sockets.
        let is_in_batch = |id: usize| id / self.servers.len() % TURNOVER_BATCHES == batch;
        self.announce_ids(|id, state| is_in_batch(id) && state == "active", "left", None);
        sleep(duration).await;
        self.announce_ids(|id, state| is_in_batch(id) && state == "left", "active", Some(unix_time_ms()));
    }

    async fn drain_server(&self, server: usize, duration: Duration) {
        let now = Instant::now();
        self.announce_server(server, "leaving", None);
        for (conductor, late_until) in lock(&self.updates_late_until).iter().enumerate() {
            let from = now.max(*late_until);
            let (conductor, until) = (Some(conductor), None);
            self.oracle.record_closed_server(ClosedPeriod { server, conductor, from, until });
        }
        sleep(duration).await;
        (0..self.conductors.len())
            .for_each(|conductor| self.oracle.record_reopened_server(server, Some(conductor)));
        self.oracle.record_server_start(server);
        self.announce_server(server, "active", Some(unix_time_ms()));
    }

    /// Posts each id to a path until one call fails. Returns whether all succeeded.
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
        // Under each of its ids, as the oracle identifies servers by their sockets.
        let (server_count, id_count) =
            (self.servers.len(), self.conductors[conductor].agents[0].list().targets.len());
        let ids: Vec<String> = (server..id_count).step_by(server_count).map(|id| format!("s{id}")).collect();
        if self.call_for_each_id(ops, "/api/exclude", &ids).await {
            let (conductor, from, until) = (Some(conductor), Instant::now(), None);
            self.oracle.record_closed_server(ClosedPeriod { server, conductor, from, until });
        }
        sleep(duration.mul_f64(rng.random_range(0.5..1.0))).await;
        // Recorded before the call, which takes effect before it returns.
        self.oracle.record_reopened_server(server, Some(conductor));
        let ops = self.conductors[conductor].process.lock().await.as_ref().map(|process| process.ops);
        let Some(ops) = ops else { return };
        // If a call fails, the server stays excluded, which breaks no rule here.
        self.call_for_each_id(ops, "/api/include", &ids).await;
    }
}
