//! The task that owns the decisions: it hears what becomes of requests, and hands out what is decided.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use frosttrail::{
    Facade, Id, ListForm, Load, Micros, OpenWork, Outcome, Query, Report, Settings, Snapshot, Verdict,
    Verdicts,
};
use slog::{debug, info, warn, Logger};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{yield_now, AbortHandle};
use tokio::time::Instant;
use tokio_util::task::TaskTracker;

use crate::clock::Clock;
use crate::conductor::{lock, Conductor, Parts};
use crate::exclusion::Exclusions;
use crate::figures::Figures;
use crate::permit::{Admissions, SendPermit};
use crate::reachability::Reachability;
use crate::release::release;
use crate::traits::{MemberList, News, Upstream};

/// How long a release is tried beyond the settings' time: a server that was cut off still holds the state.
const RELEASE_MORE: Duration = Duration::from_secs(4);
/// Share of the settings' time after which the next server is asked beside one that has not answered.
const RELEASE_PACE: u32 = 10;

/// What the process before has learned is of use for this long.
const INHERIT_WITHIN: Micros = 10_000_000;

/// The figures of instances are read this often.
const READ_FIGURES_EVERY: Micros = 100_000;

/// So much work on what lies in the inbox is done at once: the same thread serves streams and clients' ends.
const TURN: Duration = Duration::from_millis(2);

/// Tells calls apart, also where two name the same id: the second is turned down, and what it says must
/// not touch the first.
pub(crate) type Ticket = u64;

/// A verdict as its request gets it.
#[derive(Debug)]
pub(crate) struct Order {
    pub(crate) verdict: Verdict,
    /// Resolves once the release before it has ended.
    pub(crate) after: Option<oneshot::Receiver<()>>,
    /// Leave for the attempt, where it is one.
    pub(crate) permit: SendPermit,
}

/// What the owner is told.
pub(crate) enum Message {
    /// A request has come; its verdicts go to the sender, which is dropped if the id is taken.
    Pick(Query, Ticket, mpsc::UnboundedSender<Order>),
    /// Something became of a request.
    Report(Id, Ticket, Report),
    News(News),
    Probed(Id, Outcome, Option<Load>),
    /// The conductor is about to stop.
    Close,
    /// This router's part of what all routers share.
    Share(f64),
    Settings(Arc<Settings>),
    Snapshot(oneshot::Sender<Snapshot>),
    OpenWork(oneshot::Sender<OpenWork>),
    ForeignWork(OpenWork),
    /// An instance was taken out of use or put back.
    ExclusionChanged(Id),
    /// Dropped once all that was told before has been seen to.
    Seen(oneshot::Sender<()>),
}

/// What is still to be taken over from the process before, and when that was said.
struct PendingSnapshot {
    snapshot: Snapshot,
    at: Micros,
}

/// Starts a conductor on the current runtime. It runs until every handle has gone.
pub fn start<B: Upstream, M: MemberList>(parts: Parts<B, M>) -> Conductor<B> {
    let Parts { settings, seed, clock, upstream, mut members, excluded, figures, learned, log } = parts;
    figures.add_classes(&settings);
    let (tell, inbox) = mpsc::unbounded_channel();
    let (able_tx, able) = watch::channel(false);
    let (releases, admissions) = (TaskTracker::new(), Admissions::default());
    let release = Duration::from_micros(settings.release);
    let in_force = Arc::new(watch::Sender::new(Arc::new(settings.clone())));
    let exclusions = Arc::new(Mutex::new(Exclusions::new(excluded, settings.warm_within)));
    let pending_snapshot = learned.map(|(learned, age)| {
        let at = clock.now().saturating_sub(age.as_micros() as Micros);
        lock(&exclusions).set_included_before(at, learned.included);
        PendingSnapshot { snapshot: learned.decisions, at }
    });
    let owner = Owner {
        facade: Facade::new(settings, seed),
        clock,
        upstream: upstream.clone(),
        tell: tell.downgrade(),
        open: HashMap::new(),
        reachability: Reachability::default(),
        able: able_tx,
        releases: releases.clone(),
        exclusions: exclusions.clone(),
        admissions: admissions.clone(),
        figures: figures.clone(),
        read_figures_at: 0,
        pending_snapshot,
        release,
        log,
    };
    tokio::spawn(owner.run(inbox));
    let news = tell.downgrade();
    tokio::spawn(async move {
        while let Some(next) = members.next().await {
            let Some(tell) = news.upgrade() else { return };
            // The owner outlives its handles' messages; none is left to tell once it has gone.
            let _ = tell.send(Message::News(next));
        }
    });
    Conductor {
        tell,
        upstream,
        clock,
        settings: in_force,
        tickets: Arc::default(),
        able,
        releases,
        exclusions,
        admissions,
        figures,
    }
}

/// A request that is open: where its verdicts go, and the servers it went to, latest first.
struct OpenRequest {
    ticket: Ticket,
    verdicts: mpsc::UnboundedSender<Order>,
    sent_to: Vec<Id>,
    /// How the last attempt ended.
    last: Option<Outcome>,
    /// The release that is under way, if one is, and what waits for its end.
    release: Option<(AbortHandle, Option<oneshot::Receiver<()>>)>,
}

impl OpenRequest {
    /// A release that is late would take the state of the attempt that has just ended well. What it was for
    /// goes with the first event, or with the release that follows.
    fn call_off_release(&mut self) {
        if let Some((release, _)) = self.release.take() {
            release.abort();
        }
    }
}

struct Owner<B> {
    facade: Facade,
    clock: Clock,
    upstream: Arc<B>,
    tell: mpsc::WeakUnboundedSender<Message>,
    open: HashMap<Id, OpenRequest>,
    /// The members, for releases.
    reachability: Reachability,
    able: watch::Sender<bool>,
    releases: TaskTracker,
    exclusions: Arc<Mutex<Exclusions>>,
    admissions: Admissions,
    figures: Figures,
    /// When the figures of instances are read next.
    read_figures_at: Micros,
    pending_snapshot: Option<PendingSnapshot>,
    /// The settings' time for what is held.
    release: Duration,
    log: Logger,
}

impl<B: Upstream> Owner<B> {
    async fn run(mut self, mut inbox: mpsc::UnboundedReceiver<Message>) {
        let mut worked = Duration::ZERO;
        loop {
            if worked >= TURN {
                yield_now().await;
                worked = Duration::ZERO;
            }
            let wake_at = self.facade.wake_at();
            let bell = async {
                match wake_at {
                    Some(at) => tokio::time::sleep_until(self.clock.instant(at)).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                () = bell => {
                    let begin = Instant::now();
                    let now = self.clock.now();
                    let verdicts = self.facade.tick(now);
                    self.carry_out(verdicts);
                    self.read_figures(now);
                    worked += begin.elapsed();
                }
                message = inbox.recv() => match message {
                    Some(message) => {
                        let begin = Instant::now();
                        self.take(message);
                        worked += begin.elapsed();
                    }
                    None => return,
                },
            }
        }
    }

    fn take(&mut self, message: Message) {
        let now = self.clock.now();
        let verdicts = match message {
            Message::Pick(query, ticket, verdicts) => {
                let id = query.id.clone();
                debug!(self.log, "request"; "id" => %id, "class" => %query.class.name,
                    "budget" => query.budget, "tokens" => query.prompt_tokens, "again" => query.resent);
                let Some(picked) = self.facade.pick(now, query) else { return };
                self.open.insert(
                    id,
                    OpenRequest { ticket, verdicts, sent_to: Vec::new(), release: None, last: None },
                );
                picked
            }
            Message::Report(id, ticket, report) => {
                let Some(seat) = self.open.get_mut(&id).filter(|seat| seat.ticket == ticket) else { return };
                let outcome = match &report {
                    Report::Started => Outcome::Served,
                    Report::Ended { outcome, .. } => *outcome,
                    Report::Left => Outcome::CalledOff,
                };
                if let Some(server) = seat.sent_to.first() {
                    self.reachability.told(server, outcome, now);
                }
                seat.last = Some(outcome);
                if matches!(outcome, Outcome::Served | Outcome::ReadDone) {
                    seat.call_off_release();
                }
                debug!(self.log, "report"; "id" => %id, "is" => ?report);
                let left = report == Report::Left;
                let verdicts = self.facade.report(now, &id, report);
                self.carry_out(verdicts);
                if left {
                    // Its last verdicts, releases among them, have been carried out.
                    self.open.remove(&id);
                }
                return;
            }
            Message::Probed(server, outcome, load) => {
                self.reachability.told(&server, outcome, now);
                self.facade.probed(now, server, outcome, load)
            }
            Message::News(news) => self.news(news),
            Message::Close => self.facade.close(now),
            Message::Share(part) => self.facade.share(now, part),
            Message::OpenWork(to) => {
                let _ = to.send(self.facade.open_work());
                return;
            }
            Message::ForeignWork(work) => {
                self.facade.set_foreign_work(work);
                return;
            }
            Message::Snapshot(to) => {
                let _ = to.send(self.facade.snapshot(now));
                return;
            }
            Message::Settings(settings) => {
                self.release = Duration::from_micros(settings.release);
                self.figures.add_classes(&settings);
                lock(&self.exclusions).set_warm_within(settings.warm_within);
                self.facade.reconfigure(now, (*settings).clone())
            }
            Message::ExclusionChanged(instance) => {
                let entry = lock(&self.exclusions).entry(&instance);
                info!(self.log, "exclusion changed"; "instance" => %instance, "is" => ?entry);
                let entries: Vec<_> = entry.into_iter().collect();
                self.admissions.follow(ListForm::Changes, &entries);
                self.facade.members(now, ListForm::Changes, entries)
            }
            Message::Seen(seen) => {
                let _ = seen.send(());
                return;
            }
        };
        self.carry_out(verdicts);
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
    fn read_figures(&mut self, now: Micros) {
        if now < self.read_figures_at {
            return;
        }
        self.read_figures_at = now + READ_FIGURES_EVERY;
        let listed = self.reachability.count();
        let avoided = listed.saturating_sub(self.facade.usable());
        self.figures.cluster_size.set(listed as i64);
        self.figures.cluster_unhealthy.set(avoided as i64);
    }

    fn news(&mut self, news: News) -> Verdicts {
        let News { form, entries } = news;
        for entry in &entries {
            debug!(self.log, "member"; "is" => ?entry);
        }
        self.reachability.members(form, &entries);
        let up = self.reachability.count();
        info!(self.log, "members"; "form" => ?form, "entries" => entries.len(), "up" => up);
        let now = self.clock.now();
        let entries = lock(&self.exclusions).news(now, form, &entries);
        self.admissions.follow(form, &entries);
        let verdicts = self.facade.members(now, form, entries);
        self.inherit(now);
        self.able.send_replace(up > 0);
        verdicts
    }

    fn carry_out(&mut self, verdicts: Verdicts) {
        for line in verdicts.log {
            info!(self.log, "{}", line);
        }
        for (id, violation) in verdicts.violations {
            warn!(self.log, "withheld, as it would break a rule"; "id" => %id, "rule" => %violation);
            self.figures.violated(violation);
        }
        for server in verdicts.probes {
            self.probe(server);
        }
        for (id, verdict) in verdicts.requests {
            debug!(self.log, "verdict"; "id" => %id, "is" => ?verdict);
            let Some(seat) = self.open.get_mut(&id) else { continue };
            let mut permit = SendPermit::unconditional();
            let after = match verdict {
                Verdict::Release => {
                    seat.call_off_release();
                    let order = self.reachability.order(&seat.sent_to);
                    let (task, end) = self.release(id.clone(), order);
                    if let Some(seat) = self.open.get_mut(&id) {
                        seat.release = Some((task, Some(end)));
                    }
                    continue;
                }
                Verdict::Send { ref server, send_by, .. } => {
                    seat.sent_to.insert(0, server.clone());
                    if let Some(last) = seat.last.filter(|last| *last != Outcome::ReadDone) {
                        self.figures.retried(last);
                    }
                    permit = self.admissions.permit(server, send_by, self.clock, self.figures.clone());
                    // A send that never arrives does not stop the clock of what is held, so the release goes
                    // on beside it until the attempt is known to have arrived.
                    let no_server_heard =
                        matches!(seat.last, Some(Outcome::NoConnection | Outcome::ReadDone));
                    // What is held must not wait for longer.
                    let release = seat.release.as_mut().filter(|_| no_server_heard);
                    release.and_then(|release| release.1.take())
                }
                Verdict::Refuse { .. } => {
                    self.figures.refused(seat.last);
                    None
                }
                _ => None,
            };
            // A request that has just gone says so itself, in a message that lies in the inbox.
            let _ = seat.verdicts.send(Order { verdict, after, permit });
        }
    }

    /// Starts a release; the other half resolves once it has ended.
    fn release(&self, id: Id, order: Vec<Id>) -> (AbortHandle, oneshot::Receiver<()>) {
        let (upstream, log, time) = (self.upstream.clone(), self.log.clone(), self.release);
        let (ended, end) = oneshot::channel();
        let task = self.releases.spawn(async move {
            let _ended: oneshot::Sender<()> = ended;
            let begin = tokio::time::Instant::now();
            let pace = time / RELEASE_PACE;
            match release(upstream, id.clone(), order, pace, time + RELEASE_MORE).await {
                Some(by) => debug!(log, "released"; "id" => %id, "by" => %by, "after" => ?begin.elapsed()),
                None => info!(log, "a release reached no box"; "id" => %id),
            }
        });
        (task.abort_handle(), end)
    }

    fn probe(&self, server: Id) {
        let (upstream, tell) = (self.upstream.clone(), self.tell.clone());
        tokio::spawn(async move {
            let (outcome, load) = upstream.probe(&server).await;
            if let Some(tell) = tell.upgrade() {
                let _ = tell.send(Message::Probed(server, outcome, load));
            }
        });
    }
}
