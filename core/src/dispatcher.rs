//! The task that owns the decisions: it handles reports of requests and delivers what is decided. What is
//! promised to clients and servers does not depend on its speed.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use frosttrail::{
    Decision, Decisions, Facade, Id, ListUpdateKind, Micros, Outcome, Report, ServerEntry, Settings, Snapshot,
};
use slog::{debug, info, warn, Logger};
use tokio::sync::{mpsc, watch};
use tokio::task::yield_now;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::clock::Clock;
use crate::command::{CallId, Command, Instruction, NewRequest};
use crate::command_queue::{command_queue, CommandInProgress, CommandReceiver, WeakCommandSender};
use crate::conductor::{Conductor, ConductorParts};
use crate::exclusion::Exclusions;
use crate::id_claim::IdRegistry;
use crate::metrics::Metrics;
use crate::permit::{AdmittingServers, PermitConditions, SendPermit};
use crate::release::{lock, ReleaseState, Releaser, UpstreamReleaser};
use crate::traits::{MembershipSource, Upstream};

/// State inherited from the previous process is applied to newly listed servers up to this age.
const INHERITED_STATE_TTL: Micros = 10_000_000;

/// How often the metrics of instances and of the command queue are updated.
const METRICS_INTERVAL: Micros = 100_000;

/// Longest run of work before the task yields, as the same thread serves streams and clients that leave.
const MAX_TURN: Duration = Duration::from_millis(2);

/// A command that has waited for longer than this is logged, at most once per interval.
const LAG_LOG_THRESHOLD: Micros = 250_000;
const LAG_LOG_INTERVAL: Micros = 1_000_000;

/// Inherited state for servers that are not listed yet, and when the previous process exported it.
struct PendingSnapshot {
    snapshot: Snapshot,
    taken_at: Micros,
}

/// Starts a conductor on the current runtime. It runs until every handle has been dropped.
pub fn start<U: Upstream, M: MembershipSource>(parts: ConductorParts<U, M>) -> Conductor<U> {
    let ConductorParts {
        settings,
        seed,
        clock,
        upstream,
        members,
        excluded,
        metrics,
        inherited,
        shared_id_claims,
        log,
    } = parts;
    metrics.add_classes(&settings);
    let (sender, receiver) = command_queue(clock);
    let (has_members_sender, has_members) = watch::channel(false);
    let admitting_servers = AdmittingServers::default();
    let release_timeout = Duration::from_micros(settings.cache_release_timeout);
    let releaser = Arc::new(UpstreamReleaser::new(upstream.clone(), release_timeout, clock, log.clone()));
    let current_settings = Arc::new(watch::Sender::new(Arc::new(settings.clone())));
    let exclusions = Arc::new(Mutex::new(Exclusions::new(excluded, settings.slow_start_duration)));
    let pending_snapshot = inherited.map(|(inherited, age)| {
        let taken_at = clock.now().saturating_sub(age.as_micros() as Micros);
        lock(&exclusions).restore_inclusions(taken_at, inherited.included);
        PendingSnapshot { snapshot: inherited.decisions, taken_at }
    });
    let dispatcher = Dispatcher {
        facade: Facade::new(settings, seed),
        clock,
        upstream: upstream.clone(),
        commands: sender.downgrade(),
        open_requests: HashMap::new(),
        has_members: has_members_sender,
        releaser: releaser.clone(),
        exclusions: exclusions.clone(),
        admitting_servers: admitting_servers.clone(),
        metrics: metrics.clone(),
        next_metrics_at: 0,
        next_lag_log_at: 0,
        pending_snapshot,
        log: log.clone(),
    };
    tokio::spawn(dispatcher.run(receiver));
    let membership_follower = MembershipFollower {
        clock,
        releaser: releaser.clone(),
        exclusions: exclusions.clone(),
        admitting_servers: admitting_servers.clone(),
        commands: sender.downgrade(),
        log: log.clone(),
    };
    tokio::spawn(membership_follower.run(members));
    Conductor {
        commands: sender,
        upstream,
        clock,
        settings: current_settings,
        next_call_id: Arc::default(),
        ids: IdRegistry::new(shared_id_claims),
        has_members,
        releaser,
        exclusions,
        admitting_servers,
        final_answers_due: CancellationToken::new(),
        metrics,
        log,
    }
}

/// Follows the list of servers. What must not wait for the decisions is updated at once: a draining server,
/// for one, must get no new attempt.
struct MembershipFollower<U> {
    clock: Clock,
    releaser: Arc<UpstreamReleaser<U>>,
    exclusions: Arc<Mutex<Exclusions>>,
    admitting_servers: AdmittingServers,
    commands: WeakCommandSender,
    log: Logger,
}

impl<U: Upstream> MembershipFollower<U> {
    async fn run<M: MembershipSource>(self, mut members: M) {
        while let Some(update) = members.next().await {
            let Some(commands) = self.commands.upgrade() else { return };
            let up = self.releaser.apply_update(update.kind, &update.entries);
            info!(self.log, "membership update";
                "form" => ?update.kind, "entries" => update.entries.len(), "up" => up);
            let now = self.clock.now();
            let entries = lock(&self.exclusions).apply_update(now, update.kind, &update.entries);
            self.admitting_servers.apply_update(update.kind, &entries);
            commands.send(Command::UpdateServers(update.kind, entries));
        }
    }
}

/// A request that has not ended.
struct OpenRequest {
    call_id: CallId,
    instructions: mpsc::UnboundedSender<Instruction>,
    release_state: Arc<Mutex<ReleaseState>>,
    has_ended: Arc<AtomicBool>,
    deadline: Micros,
    /// How the last attempt ended.
    last_outcome: Option<Outcome>,
}

struct Dispatcher<U> {
    facade: Facade,
    clock: Clock,
    upstream: Arc<U>,
    commands: WeakCommandSender,
    open_requests: HashMap<Id, OpenRequest>,
    has_members: watch::Sender<bool>,
    releaser: Arc<UpstreamReleaser<U>>,
    exclusions: Arc<Mutex<Exclusions>>,
    admitting_servers: AdmittingServers,
    metrics: Metrics,
    /// When the metrics are updated next.
    next_metrics_at: Micros,
    /// When a waiting command may be logged next.
    next_lag_log_at: Micros,
    pending_snapshot: Option<PendingSnapshot>,
    log: Logger,
}

impl<U: Upstream> Dispatcher<U> {
    async fn run(mut self, mut commands: CommandReceiver) {
        let mut turn_time = Duration::ZERO;
        // After a long sweep, commands get at least as much time.
        let mut sweep_not_before = Instant::now();
        loop {
            if turn_time >= MAX_TURN {
                yield_now().await;
                turn_time = Duration::ZERO;
            }
            let wake_at =
                self.facade.next_timer_at().map(|at| self.clock.to_instant(at).max(sweep_not_before));
            let sweep_due = async {
                match wake_at {
                    Some(at) => tokio::time::sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            let took = tokio::select! {
                biased;
                () = sweep_due => {
                    let begin = Instant::now();
                    self.sweep(&commands);
                    let end = Instant::now();
                    sweep_not_before = end + (end - begin);
                    end - begin
                }
                command = commands.recv() => match command {
                    Some((command, in_progress)) => {
                        let begin = Instant::now();
                        self.report_lag(&in_progress);
                        self.handle(command);
                        let took = begin.elapsed();
                        self.metrics.observe_decision(took);
                        in_progress.finish(took);
                        took
                    }
                    None => return,
                },
            };
            turn_time += took;
        }
    }

    fn sweep(&mut self, commands: &CommandReceiver) {
        let now = self.clock.now();
        let decisions = self.facade.fire_timers(now);
        self.carry_out(decisions);
        if now < self.next_metrics_at {
            return;
        }
        self.next_metrics_at = now + METRICS_INTERVAL;
        let backlog = commands.backlog();
        self.metrics.set_backlog(backlog.waiting_count(), Duration::from_micros(backlog.oldest_age(now)));
        self.update_cluster_metrics();
    }

    /// Logs that a command has waited for long.
    fn report_lag(&mut self, in_progress: &CommandInProgress) {
        let now = self.clock.now();
        let age = now.saturating_sub(in_progress.sent_at());
        self.metrics.observe_wait(Duration::from_micros(age));
        if age > LAG_LOG_THRESHOLD && now >= self.next_lag_log_at {
            self.next_lag_log_at = now + LAG_LOG_INTERVAL;
            let open = self.open_requests.len();
            warn!(self.log, "decisions lag behind"; "waited" => ?Duration::from_micros(age), "open" => open);
        }
    }

    fn handle(&mut self, command: Command) {
        let now = self.clock.now();
        let decisions = match command {
            Command::Submit(new) => match self.submit(now, *new) {
                Some(decisions) => decisions,
                None => return,
            },
            Command::Report(id, call_id, report) => return self.report(now, id, call_id, report),
            Command::ProbeEnded(server, outcome, load) => self.facade.probe_ended(now, server, outcome, load),
            Command::UpdateServers(kind, entries) => self.update_servers(now, kind, entries),
            Command::Close => self.facade.close(now),
            Command::SetQuotaShare(share) => self.facade.set_quota_share(now, share),
            Command::ExportOpenWork(reply) => {
                let _ = reply.send(self.facade.open_work());
                return;
            }
            Command::SetForeignWork(work) => return self.facade.set_foreign_work(work),
            Command::ExportSnapshot(reply) => {
                let _ = reply.send(self.facade.snapshot(now));
                return;
            }
            Command::Reconfigure(settings) => self.reconfigure(now, &settings),
            Command::ExclusionChanged(instance) => {
                let entry = lock(&self.exclusions).effective_entry(&instance);
                info!(self.log, "exclusion changed"; "instance" => %instance, "is" => ?entry);
                let entries: Vec<_> = entry.into_iter().collect();
                self.admitting_servers.apply_update(ListUpdateKind::Changes, &entries);
                self.facade.update_servers(now, ListUpdateKind::Changes, entries)
            }
            Command::Barrier(barrier) => {
                let _ = barrier.send(());
                return;
            }
        };
        self.carry_out(decisions);
    }

    /// Passes a new request to the decisions; one that has ended in the meantime is dropped.
    fn submit(&mut self, now: Micros, new: NewRequest) -> Option<Decisions> {
        let NewRequest { mut query, call_id, arrived_at, deadline, instructions, has_ended, release_state } =
            new;
        if has_ended.load(Ordering::Relaxed) {
            return None;
        }
        // The wait in the queue comes out of the client's budget.
        query.budget = query.budget.saturating_sub(now.saturating_sub(arrived_at));
        let id = query.id.clone();
        debug!(self.log, "request"; "id" => %id, "class" => %query.class.name,
            "budget" => query.budget, "tokens" => query.prompt_tokens, "again" => query.is_client_retry);
        let decisions = self.facade.submit(now, query)?;
        self.open_requests.insert(
            id,
            OpenRequest { call_id, instructions, release_state, has_ended, deadline, last_outcome: None },
        );
        Some(decisions)
    }

    fn report(&mut self, now: Micros, id: Id, call_id: CallId, report: Report) {
        let Some(open) = self.open_requests.get_mut(&id).filter(|open| open.call_id == call_id) else {
            return;
        };
        open.last_outcome = Some(match &report {
            Report::Started => Outcome::Served,
            Report::Ended { outcome, .. } => *outcome,
            Report::Closed => Outcome::Cancelled,
        });
        debug!(self.log, "report"; "id" => %id, "is" => ?report);
        let is_closed = report == Report::Closed;
        let decisions = self.facade.report(now, &id, report);
        self.carry_out(decisions);
        if is_closed {
            // The last decisions for it, releases among them, have been carried out.
            self.open_requests.remove(&id);
        }
    }

    fn reconfigure(&mut self, now: Micros, settings: &Settings) -> Decisions {
        self.releaser.set_release_timeout(Duration::from_micros(settings.cache_release_timeout));
        self.metrics.add_classes(settings);
        lock(&self.exclusions).set_slow_start_duration(settings.slow_start_duration);
        self.facade.reconfigure(now, settings.clone())
    }

    /// Applies the state of the previous process to the servers that are listed by now.
    fn inherit(&mut self, now: Micros) {
        let Some(PendingSnapshot { mut snapshot, taken_at }) = self.pending_snapshot.take() else { return };
        let age = now.saturating_sub(taken_at);
        self.facade.restore(now, age, &mut snapshot);
        if !snapshot.is_empty() && age < INHERITED_STATE_TTL {
            self.pending_snapshot = Some(PendingSnapshot { snapshot, taken_at });
        }
    }

    /// Updates how many instances are listed and how many of them are avoided.
    fn update_cluster_metrics(&self) {
        let listed = self.releaser.listed_count();
        let avoided = listed.saturating_sub(self.facade.usable_servers());
        self.metrics.cluster_size.set(listed as i64);
        self.metrics.cluster_unhealthy.set(avoided as i64);
    }

    fn update_servers(&mut self, now: Micros, kind: ListUpdateKind, entries: Vec<ServerEntry>) -> Decisions {
        for entry in &entries {
            debug!(self.log, "server entry"; "is" => ?entry);
        }
        let decisions = self.facade.update_servers(now, kind, entries);
        self.inherit(now);
        self.has_members.send_replace(self.releaser.listed_count() > 0);
        decisions
    }

    fn carry_out(&mut self, decisions: Decisions) {
        for line in decisions.log {
            info!(self.log, "{}", line);
        }
        for (id, violation) in decisions.violations {
            warn!(self.log, "action withheld: it would break a rule"; "id" => %id, "rule" => %violation);
            self.metrics.count_violation(violation);
        }
        for server in decisions.probes {
            self.probe(server);
        }
        for (id, decision) in decisions.requests {
            debug!(self.log, "decision"; "id" => %id, "is" => ?decision);
            self.deliver(&id, decision);
        }
    }

    fn deliver(&mut self, id: &Id, decision: Decision) {
        let Some(open) = self.open_requests.get(id) else { return };
        let (mut permit, mut previous_release, mut may_take_effect) =
            (SendPermit::unconditional(), None, false);
        match &decision {
            Decision::Release => return self.releaser.release(id, &open.release_state),
            Decision::Send { server, send_by, .. } => {
                may_take_effect = self.facade.takes_effect(server);
                permit = self.issue_permit(open, server, *send_by);
                // A send that never arrives does not end the wait of the KV cache, which must not be held for
                // long. The release therefore continues until the attempt is known to have arrived.
                let no_server_heard =
                    matches!(open.last_outcome, Some(Outcome::NoConnection | Outcome::PrefillDone));
                let mut release_state = lock(&open.release_state);
                release_state.record_send(server);
                previous_release = no_server_heard.then(|| release_state.take_release_end()).flatten();
                if let Some(last_outcome) = open.last_outcome.filter(|last| *last != Outcome::PrefillDone) {
                    self.metrics.count_retry(last_outcome);
                }
            }
            Decision::Refuse { .. } => self.metrics.count_refusal(open.last_outcome),
            _ => {}
        }
        // A request that has just ended reports that itself; its command is in the queue.
        let _ = open.instructions.send(Instruction { decision, previous_release, permit, may_take_effect });
    }

    fn issue_permit(&self, open: &OpenRequest, server: &Id, send_by: Option<Micros>) -> SendPermit {
        let (server, server_started_at) = (server.clone(), self.facade.server_started(server));
        let (deadline, has_ended) = (open.deadline, open.has_ended.clone());
        let conditions = PermitConditions { server, server_started_at, send_by, deadline, has_ended };
        self.admitting_servers.issue_permit(conditions, self.clock, self.metrics.clone())
    }

    fn probe(&self, server: Id) {
        let (upstream, commands, clock) = (self.upstream.clone(), self.commands.clone(), self.clock);
        let releaser = self.releaser.clone();
        tokio::spawn(async move {
            let (outcome, load) = upstream.probe(&server).await;
            releaser.record_outcome(&server, outcome, clock.now());
            if let Some(commands) = commands.upgrade() {
                commands.send(Command::ProbeEnded(server, outcome, load));
            }
        });
    }
}
