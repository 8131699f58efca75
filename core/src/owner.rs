//! The task that owns the decisions, and the handle by which others speak to it.

use std::collections::{BTreeSet, HashMap};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use frosttrail::{
    Facade, Id, ListForm, Load, Micros, OpenWork, Outcome, Query, Report, Settings, Snapshot, Verdict,
    Verdicts,
};
use serde::{Deserialize, Serialize};
use slog::{debug, info, warn, Logger};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{yield_now, AbortHandle};
use tokio::time::Instant;
use tokio_util::task::TaskTracker;

use crate::clock::Clock;
use crate::exclusion::{ExclusionError, Exclusions};
use crate::figures::Figures;
use crate::permit::{Admissions, SendPermit};
use crate::reachability::Reachability;
use crate::release::release;
use crate::traits::{MemberList, News, Upstream};

/// How long a release is tried beyond the settings' time: a server that was cut off still holds the state.
const RELEASE_MORE: Duration = Duration::from_secs(4);
/// Share of the settings' time after which the next server is asked beside one that has not answered.
const RELEASE_PACE: u32 = 10;
/// Share of it that the request's next attempt waits for a release to end.
const RELEASE_WAIT: u32 = 2;

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

/// What a conductor has learned, for the process that takes its place.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Learned {
    /// The decisions' part.
    decisions: Snapshot,
    /// Instances that were put back by hand, and how many microseconds before.
    included: Vec<(Id, Micros)>,
}

/// What is still to be taken over from the process before, and when that was said.
struct PendingSnapshot {
    snapshot: Snapshot,
    at: Micros,
}

/// What a conductor is made of.
pub struct Parts<B, M> {
    /// The settings.
    pub settings: Settings,
    /// For random numbers, new with each start.
    pub seed: u64,
    /// The clock, also of whoever converts start times of members.
    pub clock: Clock,
    /// The way to the servers.
    pub upstream: Arc<B>,
    /// The list of members.
    pub members: M,
    /// Instances that operators have taken out of use before.
    pub excluded: Vec<Id>,
    /// What is counted.
    pub figures: Figures,
    /// What the process before has learned, and how long ago it said so.
    pub learned: Option<(Learned, Duration)>,
    /// The log.
    pub log: Logger,
}

/// A handle on a running conductor; clones are cheap and speak to the same one.
pub struct Conductor<B> {
    pub(crate) tell: mpsc::UnboundedSender<Message>,
    pub(crate) upstream: Arc<B>,
    pub(crate) clock: Clock,
    /// The settings in force.
    settings: Arc<watch::Sender<Arc<Settings>>>,
    tickets: Arc<AtomicU64>,
    able: watch::Receiver<bool>,
    releases: TaskTracker,
    exclusions: Arc<Mutex<Exclusions>>,
    admissions: Admissions,
    pub(crate) figures: Figures,
}

/// Whole between any two statements, so that a panic elsewhere does no harm to it.
fn lock(exclusions: &Mutex<Exclusions>) -> MutexGuard<'_, Exclusions> {
    exclusions.lock().unwrap_or_else(PoisonError::into_inner)
}

impl<B> Clone for Conductor<B> {
    fn clone(&self) -> Self {
        Conductor {
            tell: self.tell.clone(),
            upstream: self.upstream.clone(),
            clock: self.clock,
            settings: self.settings.clone(),
            tickets: self.tickets.clone(),
            able: self.able.clone(),
            releases: self.releases.clone(),
            exclusions: self.exclusions.clone(),
            admissions: self.admissions.clone(),
            figures: self.figures.clone(),
        }
    }
}

impl<B: Upstream> Conductor<B> {
    pub(crate) fn ticket(&self) -> Ticket {
        self.tickets.fetch_add(1, Ordering::Relaxed)
    }

    /// How many requests have come since the start.
    pub fn calls(&self) -> u64 {
        self.tickets.load(Ordering::Relaxed)
    }

    /// A front has refused a request of this class by itself.
    pub fn note_refused(&self, class: &str) {
        self.figures.open(class).deferred();
    }

    /// Whether there is a member to send to.
    pub fn able(&self) -> bool {
        *self.able.borrow()
    }

    /// Answers every request that has not begun to stream: the conductor is about to stop.
    pub fn close(&self) {
        let _ = self.tell.send(Message::Close);
    }

    /// This conductor's part of what all that send to the same servers share: of 1. Until it is told, that is
    /// one of the number in the settings.
    pub fn share(&self, part: f64) {
        let _ = self.tell.send(Message::Share(part));
    }

    /// The settings in force, for requests that come now.
    pub fn settings(&self) -> Arc<Settings> {
        self.settings.borrow().clone()
    }

    /// Puts new settings in force. Requests that are open keep the classes with which they came.
    pub fn reconfigure(&self, settings: Settings) {
        let settings = Arc::new(settings);
        // The decisions first: who reads the new settings may ask at once.
        let _ = self.tell.send(Message::Settings(settings.clone()));
        self.settings.send_replace(settings);
    }

    /// How long an attempt waits for the release before it.
    pub(crate) fn release_wait(&self) -> Duration {
        Duration::from_micros(self.settings.borrow().release) / RELEASE_WAIT
    }

    /// Fails for an id that no instance has, in the list or among those taken out.
    pub fn check_known(&self, instance: &Id) -> Result<(), ExclusionError> {
        lock(&self.exclusions).check_known(instance)
    }

    /// Takes an instance out of use until [`Conductor::include`], whatever the list says of it meanwhile.
    pub fn exclude(&self, instance: &Id) -> Result<(), ExclusionError> {
        lock(&self.exclusions).exclude(instance)?;
        // Holds from the answer on, also for attempts that have been decided and not begun.
        self.admissions.close(instance);
        let _ = self.tell.send(Message::ExclusionChanged(instance.clone()));
        Ok(())
    }

    /// Puts an instance back into use. It counts as started now; one that was not out stays as it is.
    pub fn include(&self, instance: &Id) -> Result<(), ExclusionError> {
        lock(&self.exclusions).include(self.clock.now(), instance)?;
        let _ = self.tell.send(Message::ExclusionChanged(instance.clone()));
        Ok(())
    }

    /// What it has learned up to now; `None` once it has ended.
    pub async fn learned(&self) -> Option<Learned> {
        let (to, snapshot) = oneshot::channel();
        let _ = self.tell.send(Message::Snapshot(to));
        let decisions = snapshot.await.ok()?;
        let included = lock(&self.exclusions).included_before(self.clock.now());
        Some(Learned { decisions, included })
    }

    /// What is open at instances; `None` once it has ended.
    pub async fn open_work(&self) -> Option<OpenWork> {
        let (to, work) = oneshot::channel();
        let _ = self.tell.send(Message::OpenWork(to));
        work.await.ok()
    }

    /// What other processes of the same conductor have open at instances counts as its own.
    pub fn set_foreign_work(&self, work: OpenWork) {
        let _ = self.tell.send(Message::ForeignWork(work));
    }

    /// Makes these the excluded instances, as another process of the same conductor was told.
    pub fn replace_excluded(&self, excluded: BTreeSet<Id>) {
        let changed = lock(&self.exclusions).replace(self.clock.now(), excluded);
        for instance in changed {
            let _ = self.tell.send(Message::ExclusionChanged(instance));
        }
    }

    /// Resolves once every release that was asked for has arrived or been given up. Requests must have
    /// ended before.
    pub async fn released(&self) {
        // What the last requests reported lies before this in the owner's inbox.
        let (seen, all_seen) = oneshot::channel();
        let _ = self.tell.send(Message::Seen(seen));
        let _ = all_seen.await;
        self.releases.close();
        self.releases.wait().await;
        self.releases.reopen();
    }
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
        seats: HashMap::new(),
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
struct Seat {
    ticket: Ticket,
    verdicts: mpsc::UnboundedSender<Order>,
    sent_to: Vec<Id>,
    /// How the last attempt ended.
    last: Option<Outcome>,
    /// The release that is under way, if one is, and what waits for its end.
    release: Option<(AbortHandle, Option<oneshot::Receiver<()>>)>,
}

impl Seat {
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
    seats: HashMap<Id, Seat>,
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
                self.seats
                    .insert(id, Seat { ticket, verdicts, sent_to: Vec::new(), release: None, last: None });
                picked
            }
            Message::Report(id, ticket, report) => {
                let Some(seat) = self.seats.get_mut(&id).filter(|seat| seat.ticket == ticket) else { return };
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
                    self.seats.remove(&id);
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
            let Some(seat) = self.seats.get_mut(&id) else { continue };
            let mut permit = SendPermit::unconditional();
            let after = match verdict {
                Verdict::Release => {
                    seat.call_off_release();
                    let order = self.reachability.order(&seat.sent_to);
                    let (task, end) = self.release(id.clone(), order);
                    if let Some(seat) = self.seats.get_mut(&id) {
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
