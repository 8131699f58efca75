//! The task that owns the decisions, and the handle by which others speak to it.

use std::collections::{BTreeSet, HashMap};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use frosttrail::{Facade, Health, Id, ListForm, Load, Outcome, Query, Report, Settings, Verdict, Verdicts};
use slog::{debug, info, Logger};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::AbortHandle;
use tokio_util::task::TaskTracker;

use crate::clock::Clock;
use crate::release::release;
use crate::traits::{Boxes, MemberList, News};

/// How long a release is tried beyond the settings' time: a box that was cut off still holds the state.
const RELEASE_MORE: Duration = Duration::from_secs(4);

/// Tells calls apart, also where two name the same id: the second is turned down, and what it says must
/// not touch the first.
pub(crate) type Ticket = u64;

/// What the owner is told.
pub(crate) enum Message {
    /// A request has come; its verdicts go to the sender, which is dropped if the id is taken.
    Pick(Query, Ticket, mpsc::UnboundedSender<Verdict>),
    /// Something became of a request.
    Report(Id, Ticket, Report),
    News(News),
    Probed(Id, Outcome, Option<Load>),
    /// The conductor is about to stop.
    Close,
    /// This router's part of what all routers share.
    Share(f64),
    /// Dropped once all that was told before has been seen to.
    Seen(oneshot::Sender<()>),
}

/// What a conductor is made of.
pub struct Parts<B, M> {
    /// The settings.
    pub settings: Settings,
    /// For random numbers, new with each start.
    pub seed: u64,
    /// The clock, also of whoever converts start times of members.
    pub clock: Clock,
    /// The way to the boxes.
    pub boxes: Arc<B>,
    /// The list of members.
    pub members: M,
    /// The log.
    pub log: Logger,
}

/// A handle on a running conductor; clones are cheap and speak to the same one.
pub struct Conductor<B> {
    pub(crate) tell: mpsc::UnboundedSender<Message>,
    pub(crate) boxes: Arc<B>,
    pub(crate) clock: Clock,
    tickets: Arc<AtomicU64>,
    able: watch::Receiver<bool>,
    releases: TaskTracker,
}

impl<B> Clone for Conductor<B> {
    fn clone(&self) -> Self {
        Conductor {
            tell: self.tell.clone(),
            boxes: self.boxes.clone(),
            clock: self.clock,
            tickets: self.tickets.clone(),
            able: self.able.clone(),
            releases: self.releases.clone(),
        }
    }
}

impl<B: Boxes> Conductor<B> {
    pub(crate) fn ticket(&self) -> Ticket {
        self.tickets.fetch_add(1, Ordering::Relaxed)
    }

    /// How many requests have come since the start.
    pub fn calls(&self) -> u64 {
        self.tickets.load(Ordering::Relaxed)
    }

    /// Whether there is a member to send to.
    pub fn able(&self) -> bool {
        *self.able.borrow()
    }

    /// Answers every request that has not begun to stream: the conductor is about to stop.
    pub fn close(&self) {
        let _ = self.tell.send(Message::Close);
    }

    /// This conductor's part of what all that send to the same boxes share: of 1. Until it is told, that is
    /// one of the number in the settings.
    pub fn share(&self, part: f64) {
        let _ = self.tell.send(Message::Share(part));
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
pub fn start<B: Boxes, M: MemberList>(parts: Parts<B, M>) -> Conductor<B> {
    let Parts { settings, seed, clock, boxes, mut members, log } = parts;
    let (tell, inbox) = mpsc::unbounded_channel();
    let (able_tx, able) = watch::channel(false);
    let releases = TaskTracker::new();
    let within = Duration::from_micros(settings.release) + RELEASE_MORE;
    let owner = Owner {
        facade: Facade::new(settings, seed),
        clock,
        boxes: boxes.clone(),
        tell: tell.downgrade(),
        seats: HashMap::new(),
        up: BTreeSet::new(),
        able: able_tx,
        releases: releases.clone(),
        within,
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
    Conductor { tell, boxes, clock, tickets: Arc::default(), able, releases }
}

/// A request that is open: where its verdicts go, and the boxes it went to, latest first.
struct Seat {
    ticket: Ticket,
    verdicts: mpsc::UnboundedSender<Verdict>,
    sent_to: Vec<Id>,
    /// The release that is under way, if one is.
    release: Option<AbortHandle>,
}

struct Owner<B> {
    facade: Facade,
    clock: Clock,
    boxes: Arc<B>,
    tell: mpsc::WeakUnboundedSender<Message>,
    seats: HashMap<Id, Seat>,
    /// Members that run, for releases.
    up: BTreeSet<Id>,
    able: watch::Sender<bool>,
    releases: TaskTracker,
    within: Duration,
    log: Logger,
}

impl<B: Boxes> Owner<B> {
    async fn run(mut self, mut inbox: mpsc::UnboundedReceiver<Message>) {
        loop {
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
                    let verdicts = self.facade.tick(self.clock.now());
                    self.carry_out(verdicts);
                }
                message = inbox.recv() => match message {
                    Some(message) => self.take(message),
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
                debug!(self.log, "request"; "id" => %id, "class" => query.class, "budget" => query.budget,
                    "tokens" => query.prompt_tokens, "again" => query.resent);
                let Some(picked) = self.facade.pick(now, query) else { return };
                self.seats.insert(id, Seat { ticket, verdicts, sent_to: Vec::new(), release: None });
                picked
            }
            Message::Report(id, ticket, report) => {
                if self.seats.get(&id).is_none_or(|seat| seat.ticket != ticket) {
                    return;
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
            Message::Probed(worker, outcome, load) => self.facade.probed(now, worker, outcome, load),
            Message::News(news) => self.news(news),
            Message::Close => self.facade.close(now),
            Message::Share(part) => self.facade.share(now, part),
            Message::Seen(seen) => {
                let _ = seen.send(());
                return;
            }
        };
        self.carry_out(verdicts);
    }

    fn news(&mut self, news: News) -> Verdicts {
        let News { form, entries } = news;
        if matches!(form, ListForm::Full | ListForm::WarmCopy) {
            self.up.clear();
        }
        for entry in &entries {
            debug!(self.log, "member"; "is" => ?entry);
            match entry.health {
                Health::Gone => self.up.remove(&entry.worker),
                Health::Up | Health::Draining => self.up.insert(entry.worker.clone()),
            };
        }
        info!(self.log, "members"; "form" => ?form, "entries" => entries.len(), "up" => self.up.len());
        let verdicts = self.facade.members(self.clock.now(), form, entries);
        self.able.send_replace(!self.up.is_empty());
        verdicts
    }

    fn carry_out(&mut self, verdicts: Verdicts) {
        for line in verdicts.log {
            info!(self.log, "{}", line);
        }
        for worker in verdicts.probes {
            self.probe(worker);
        }
        for (id, verdict) in verdicts.requests {
            debug!(self.log, "verdict"; "id" => %id, "is" => ?verdict);
            let Some(seat) = self.seats.get_mut(&id) else { continue };
            match verdict {
                Verdict::Release => {
                    let order = seat.sent_to.clone();
                    let release = self.release(id.clone(), order);
                    if let Some(seat) = self.seats.get_mut(&id) {
                        seat.release = Some(release);
                    }
                    continue;
                }
                Verdict::Send { ref worker, .. } => {
                    // A release that is late would take the new attempt's state. What it was for goes with
                    // the first event, or with the release that follows on this attempt.
                    if let Some(release) = seat.release.take() {
                        release.abort();
                    }
                    seat.sent_to.insert(0, worker.clone());
                }
                _ => {}
            }
            // A request that has just gone says so itself, in a message that lies in the inbox.
            let _ = seat.verdicts.send(verdict);
        }
    }

    fn release(&self, id: Id, mut order: Vec<Id>) -> AbortHandle {
        let others = self.up.iter().filter(|w| !order.contains(w)).cloned().collect::<Vec<_>>();
        order.extend(others);
        let (boxes, within, log) = (self.boxes.clone(), self.within, self.log.clone());
        let task = self.releases.spawn(async move {
            if !release(boxes, id.clone(), order, within).await {
                info!(log, "a release reached no box"; "id" => %id);
            }
        });
        task.abort_handle()
    }

    fn probe(&self, worker: Id) {
        let (boxes, tell) = (self.boxes.clone(), self.tell.clone());
        tokio::spawn(async move {
            let (outcome, load) = boxes.probe(&worker).await;
            if let Some(tell) = tell.upgrade() {
                let _ = tell.send(Message::Probed(worker, outcome, load));
            }
        });
    }
}
