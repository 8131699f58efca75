//! The task that owns the decisions: it hears what becomes of requests, and hands out what is decided. What
//! is promised to clients and servers does not hang on its speed.

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

use crate::clock::Clock;
use crate::command::{Command, NewRequest, Order, Ticket};
use crate::command_queue::{commands, CommandReceiver, Taken, WeakCommandSender};
use crate::conductor::{Conductor, ConductorParts};
use crate::exclusion::Exclusions;
use crate::metrics::Metrics;
use crate::permit::{Admissions, Conditions, SendPermit};
use crate::release::{lock, Cleanup, Releaser, Releases};
use crate::traits::{MembershipSource, Upstream};

/// What the process before has learned is of use for this long.
const INHERIT_WITHIN: Micros = 10_000_000;

/// The figures of instances and of the queue are read this often.
const READ_FIGURES_EVERY: Micros = 100_000;

/// So much work on what lies in the queue is done at once: the same thread serves streams and clients' ends.
const TURN: Duration = Duration::from_millis(2);

/// A command that has waited for longer than this is told in the log, so often at most.
const LAG_TOLD: Micros = 250_000;
const LAG_TOLD_EVERY: Micros = 1_000_000;

/// What is still to be taken over from the process before, and when that was said.
struct PendingSnapshot {
    snapshot: Snapshot,
    at: Micros,
}

/// Starts a conductor on the current runtime. It runs until every handle has gone.
pub fn start<B: Upstream, M: MembershipSource>(parts: ConductorParts<B, M>) -> Conductor<B> {
    let ConductorParts {
        settings,
        seed,
        clock,
        upstream,
        members,
        excluded,
        metrics,
        inherited: learned,
        log,
    } = parts;
    metrics.add_classes(&settings);
    let (sender, receiver) = commands(clock);
    let (able_tx, able) = watch::channel(false);
    let admissions = Admissions::default();
    let release = Duration::from_micros(settings.cache_release_timeout);
    let releases = Arc::new(Releases::new(upstream.clone(), release, clock, log.clone()));
    let in_force = Arc::new(watch::Sender::new(Arc::new(settings.clone())));
    let exclusions = Arc::new(Mutex::new(Exclusions::new(excluded, settings.slow_start_duration)));
    let pending_snapshot = learned.map(|(learned, age)| {
        let at = clock.now().saturating_sub(age.as_micros() as Micros);
        lock(&exclusions).set_included_before(at, learned.included);
        PendingSnapshot { snapshot: learned.decisions, at }
    });
    let dispatcher = Dispatcher {
        facade: Facade::new(settings, seed),
        clock,
        upstream: upstream.clone(),
        commands: sender.downgrade(),
        open: HashMap::new(),
        able: able_tx,
        releases: releases.clone(),
        exclusions: exclusions.clone(),
        admissions: admissions.clone(),
        metrics: metrics.clone(),
        read_figures_at: 0,
        tell_lag_at: 0,
        pending_snapshot,
        log: log.clone(),
    };
    tokio::spawn(dispatcher.run(receiver));
    let follower = ListFollower {
        clock,
        releases: releases.clone(),
        exclusions: exclusions.clone(),
        admissions: admissions.clone(),
        commands: sender.downgrade(),
        log,
    };
    tokio::spawn(follower.run(members));
    Conductor {
        commands: sender,
        upstream,
        clock,
        settings: in_force,
        tickets: Arc::default(),
        open_ids: Arc::default(),
        able,
        releases,
        exclusions,
        admissions,
        metrics,
    }
}

/// Follows the list of servers. What must not wait for the decisions, as a server that drains must get
/// nothing new, follows it at once.
struct ListFollower<B> {
    clock: Clock,
    releases: Arc<Releases<B>>,
    exclusions: Arc<Mutex<Exclusions>>,
    admissions: Admissions,
    commands: WeakCommandSender,
    log: Logger,
}

impl<B: Upstream> ListFollower<B> {
    async fn run<M: MembershipSource>(self, mut members: M) {
        while let Some(news) = members.next().await {
            let Some(commands) = self.commands.upgrade() else { return };
            let up = self.releases.members(news.kind, &news.entries);
            info!(self.log, "members"; "form" => ?news.kind, "entries" => news.entries.len(), "up" => up);
            let now = self.clock.now();
            let entries = lock(&self.exclusions).news(now, news.kind, &news.entries);
            self.admissions.follow(news.kind, &entries);
            commands.send(Command::Members(news.kind, entries));
        }
    }
}

/// A request that is open.
struct OpenRequest {
    ticket: Ticket,
    orders: mpsc::UnboundedSender<Order>,
    cleanup: Arc<Mutex<Cleanup>>,
    ended: Arc<AtomicBool>,
    deadline: Micros,
    /// How the last attempt ended.
    last: Option<Outcome>,
}

struct Dispatcher<B> {
    facade: Facade,
    clock: Clock,
    upstream: Arc<B>,
    commands: WeakCommandSender,
    open: HashMap<Id, OpenRequest>,
    able: watch::Sender<bool>,
    releases: Arc<Releases<B>>,
    exclusions: Arc<Mutex<Exclusions>>,
    admissions: Admissions,
    metrics: Metrics,
    /// When figures are read next.
    read_figures_at: Micros,
    /// When the log is told next that commands wait.
    tell_lag_at: Micros,
    pending_snapshot: Option<PendingSnapshot>,
    log: Logger,
}

impl<B: Upstream> Dispatcher<B> {
    async fn run(mut self, mut commands: CommandReceiver) {
        let mut worked = Duration::ZERO;
        // A sweep that takes long must leave as much time to commands.
        let mut sweep_not_before = Instant::now();
        loop {
            if worked >= TURN {
                yield_now().await;
                worked = Duration::ZERO;
            }
            let wake_at = self.facade.next_timer_at().map(|at| self.clock.instant(at).max(sweep_not_before));
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
                    Some((command, taken)) => {
                        let begin = Instant::now();
                        self.note_lag(&taken);
                        self.take(command);
                        let took = begin.elapsed();
                        self.metrics.decided(took);
                        taken.done(took);
                        took
                    }
                    None => return,
                },
            };
            worked += took;
        }
    }

    fn sweep(&mut self, commands: &CommandReceiver) {
        let now = self.clock.now();
        let verdicts = self.facade.fire_timers(now);
        self.carry_out(verdicts);
        if now < self.read_figures_at {
            return;
        }
        self.read_figures_at = now + READ_FIGURES_EVERY;
        let backlog = commands.backlog();
        self.metrics.set_backlog(backlog.waiting(), Duration::from_micros(backlog.age(now)));
        self.read_figures();
    }

    /// Says in the log that commands have waited for long.
    fn note_lag(&mut self, taken: &Taken) {
        let now = self.clock.now();
        let age = now.saturating_sub(taken.sent_at());
        self.metrics.waited(Duration::from_micros(age));
        if age > LAG_TOLD && now >= self.tell_lag_at {
            self.tell_lag_at = now + LAG_TOLD_EVERY;
            let open = self.open.len();
            warn!(self.log, "decisions are behind"; "waited" => ?Duration::from_micros(age), "open" => open);
        }
    }

    fn take(&mut self, command: Command) {
        let now = self.clock.now();
        let verdicts = match command {
            Command::Open(new) => match self.open(now, *new) {
                Some(verdicts) => verdicts,
                None => return,
            },
            Command::Report(id, ticket, report) => return self.report(now, id, ticket, report),
            Command::Probed(server, outcome, load) => self.facade.probe_ended(now, server, outcome, load),
            Command::Members(form, entries) => self.members(now, form, entries),
            Command::Close => self.facade.close(now),
            Command::Share(part) => self.facade.set_quota_share(now, part),
            Command::OpenWork(to) => {
                let _ = to.send(self.facade.open_work());
                return;
            }
            Command::ForeignWork(work) => return self.facade.set_foreign_work(work),
            Command::Snapshot(to) => {
                let _ = to.send(self.facade.snapshot(now));
                return;
            }
            Command::Settings(settings) => self.reconfigure(now, &settings),
            Command::ExclusionChanged(instance) => {
                let entry = lock(&self.exclusions).entry(&instance);
                info!(self.log, "exclusion changed"; "instance" => %instance, "is" => ?entry);
                let entries: Vec<_> = entry.into_iter().collect();
                self.admissions.follow(ListUpdateKind::Changes, &entries);
                self.facade.update_servers(now, ListUpdateKind::Changes, entries)
            }
            Command::Seen(seen) => {
                let _ = seen.send(());
                return;
            }
        };
        self.carry_out(verdicts);
    }

    /// A request has come; nothing is decided for one that has ended meanwhile.
    fn open(&mut self, now: Micros, new: NewRequest) -> Option<Decisions> {
        let NewRequest { mut query, ticket, arrived, deadline, orders, ended, cleanup } = new;
        if ended.load(Ordering::Relaxed) {
            return None;
        }
        // What it has waited here is its client's time.
        query.budget = query.budget.saturating_sub(now.saturating_sub(arrived));
        let id = query.id.clone();
        debug!(self.log, "request"; "id" => %id, "class" => %query.class.name,
            "budget" => query.budget, "tokens" => query.prompt_tokens, "again" => query.is_client_retry);
        let verdicts = self.facade.submit(now, query)?;
        self.open.insert(id, OpenRequest { ticket, orders, cleanup, ended, deadline, last: None });
        Some(verdicts)
    }

    fn report(&mut self, now: Micros, id: Id, ticket: Ticket, report: Report) {
        let Some(open) = self.open.get_mut(&id).filter(|open| open.ticket == ticket) else { return };
        open.last = Some(match &report {
            Report::Started => Outcome::Served,
            Report::Ended { outcome, .. } => *outcome,
            Report::Closed => Outcome::Cancelled,
        });
        debug!(self.log, "report"; "id" => %id, "is" => ?report);
        let left = report == Report::Closed;
        let verdicts = self.facade.report(now, &id, report);
        self.carry_out(verdicts);
        if left {
            // Its last verdicts, releases among them, have been carried out.
            self.open.remove(&id);
        }
    }

    fn reconfigure(&mut self, now: Micros, settings: &Settings) -> Decisions {
        self.releases.set_within(Duration::from_micros(settings.cache_release_timeout));
        self.metrics.add_classes(settings);
        lock(&self.exclusions).set_warm_within(settings.slow_start_duration);
        self.facade.reconfigure(now, settings.clone())
    }

    /// Takes over what the process before has learned of servers that are listed by now.
    fn inherit(&mut self, now: Micros) {
        let Some(PendingSnapshot { mut snapshot, at }) = self.pending_snapshot.take() else { return };
        let age = now.saturating_sub(at);
        self.facade.restore(now, age, &mut snapshot);
        if !snapshot.is_empty() && age < INHERIT_WITHIN {
            self.pending_snapshot = Some(PendingSnapshot { snapshot, at });
        }
    }

    /// How many instances are listed and how many of them are avoided.
    fn read_figures(&self) {
        let listed = self.releases.count();
        let avoided = listed.saturating_sub(self.facade.usable_servers());
        self.metrics.cluster_size.set(listed as i64);
        self.metrics.cluster_unhealthy.set(avoided as i64);
    }

    fn members(&mut self, now: Micros, form: ListUpdateKind, entries: Vec<ServerEntry>) -> Decisions {
        for entry in &entries {
            debug!(self.log, "member"; "is" => ?entry);
        }
        let verdicts = self.facade.update_servers(now, form, entries);
        self.inherit(now);
        self.able.send_replace(self.releases.count() > 0);
        verdicts
    }

    fn carry_out(&mut self, verdicts: Decisions) {
        for line in verdicts.log {
            info!(self.log, "{}", line);
        }
        for (id, violation) in verdicts.violations {
            warn!(self.log, "withheld, as it would break a rule"; "id" => %id, "rule" => %violation);
            self.metrics.violated(violation);
        }
        for server in verdicts.probes {
            self.probe(server);
        }
        for (id, verdict) in verdicts.requests {
            debug!(self.log, "verdict"; "id" => %id, "is" => ?verdict);
            self.order(&id, verdict);
        }
    }

    fn order(&mut self, id: &Id, verdict: Decision) {
        let Some(open) = self.open.get(id) else { return };
        let (mut permit, mut after, mut takes_effect) = (SendPermit::unconditional(), None, false);
        match &verdict {
            Decision::Release => return self.releases.release(id, &open.cleanup),
            Decision::Send { server, send_by, .. } => {
                takes_effect = self.facade.takes_effect(server);
                permit = self.permit(open, server, *send_by);
                // A send that never arrives does not stop the clock of what is held, so the release goes
                // on beside it until the attempt is known to have arrived. What is held must not wait.
                let no_server_heard = matches!(open.last, Some(Outcome::NoConnection | Outcome::PrefillDone));
                let mut cleanup = lock(&open.cleanup);
                cleanup.sent(server);
                after = no_server_heard.then(|| cleanup.end()).flatten();
                if let Some(last) = open.last.filter(|last| *last != Outcome::PrefillDone) {
                    self.metrics.retried(last);
                }
            }
            Decision::Refuse { .. } => self.metrics.refused(open.last),
            _ => {}
        }
        // A request that has just gone says so itself, in a command that lies in the queue.
        let _ = open.orders.send(Order { verdict, after, permit, takes_effect });
    }

    fn permit(&self, open: &OpenRequest, server: &Id, send_by: Option<Micros>) -> SendPermit {
        let (server, started) = (server.clone(), self.facade.server_started(server));
        let (deadline, ended) = (open.deadline, open.ended.clone());
        let conditions = Conditions { server, started, send_by, deadline, ended };
        self.admissions.permit(conditions, self.clock, self.metrics.clone())
    }

    fn probe(&self, server: Id) {
        let (upstream, commands, clock) = (self.upstream.clone(), self.commands.clone(), self.clock);
        let releases = self.releases.clone();
        tokio::spawn(async move {
            let (outcome, load) = upstream.probe(&server).await;
            releases.told(&server, outcome, clock.now());
            if let Some(commands) = commands.upgrade() {
                commands.send(Command::Probed(server, outcome, load));
            }
        });
    }
}
