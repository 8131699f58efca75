//! Synchronous interface to the decisions, for network code: [`Facade::submit`] takes a request,
//! [`Facade::report`] reports its progress, and [`Facade::fire_timers`] fires the timers that are due. Each
//! takes the current time and returns [`Decisions`]. The facade makes no decisions itself. It numbers the
//! attempts, keeps the timers, checks each action against the rules, and hides the router's events and
//! actions from its caller.

use std::collections::{BTreeSet, HashMap};

use crate::guard::{Guard, Violation};
use crate::interface::*;
use crate::scheduler::handover::{OpenWork, Snapshot};
use crate::scheduler::Router;

/// What to do with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send the request to a server.
    Send {
        /// Id of the server.
        server: Id,
        /// Time at which the attempt times out, on the caller's clock.
        stop_at: Micros,
        /// Time from which the attempt must not be written.
        send_by: Option<Micros>,
    },
    /// Final answer: the request is refused, and a retry is harmless.
    Refuse {
        /// Time after which the client should retry; 0 for no advice.
        retry_after: Micros,
    },
    /// Final answer: the request failed, and a retry may not be harmless.
    Fail,
    /// Cancel the attempt in flight.
    Cancel,
    /// Release whatever servers hold for the request.
    Release,
    /// End the running stream; the client reconnects and resumes it.
    Move,
}

/// The results of one call.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Decisions {
    /// Decisions about requests, in the order in which they are carried out.
    pub requests: Vec<(Id, Decision)>,
    /// Servers to probe.
    pub probes: Vec<Id>,
    /// Whether the list of servers must be requested again.
    pub watch: bool,
    /// Lines for the log.
    pub log: Vec<String>,
    /// Rules that suppressed actions would have broken, by request.
    pub violations: Vec<(Id, Violation)>,
}

/// Progress of a request, as the caller reports it.
#[derive(Clone, Debug, PartialEq)]
pub enum Report {
    /// The first event of the answer has come.
    Started,
    /// The attempt in flight has ended.
    Ended {
        /// How the attempt ended.
        outcome: Outcome,
        /// Prompt tokens that the server had cached.
        cached_tokens: u64,
        /// Load report of the server, if it sent one.
        load: Option<LoadReport>,
    },
    /// No client waits for the request any more. The caller reports this once for each request, as the last
    /// report. It cancels an attempt that is still in flight.
    Closed,
}

/// A request that is not closed, and its latest attempt.
#[derive(Default)]
struct OpenRequest {
    attempts: u32,
    has_started: bool,
    /// Server and send time of the attempt in flight.
    in_flight: Option<(Id, Micros)>,
}

/// A router with its timers, the numbers of its attempts and the guard of its actions.
pub struct Facade {
    router: Router,
    open_requests: HashMap<Id, OpenRequest>,
    timers: BTreeSet<(Micros, u64)>,
    actions: Vec<Action>,
    guard: Guard,
}

impl Facade {
    /// A facade without servers.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Facade {
            guard: Guard::new(&settings),
            router: Router::new(settings, seed),
            open_requests: HashMap::new(),
            timers: BTreeSet::new(),
            actions: Vec::new(),
        }
    }

    /// Takes a request; `None` if a request with this id is still open.
    pub fn submit(&mut self, now: Micros, query: Query) -> Option<Decisions> {
        if self.open_requests.contains_key(&query.id) {
            return None;
        }
        self.open_requests.insert(query.id.clone(), OpenRequest::default());
        self.guard.register_request(&query);
        Some(self.handle(now, Event::Query(query)))
    }

    /// Reports the progress of a request.
    pub fn report(&mut self, now: Micros, id: &Id, report: Report) -> Decisions {
        match report {
            Report::Started => self.answer_started(now, id),
            Report::Ended { outcome, cached_tokens, load } => {
                let ended = self.end_attempt(now, id, outcome, cached_tokens, load);
                ended.map_or_else(Decisions::default, |event| self.handle(now, event))
            }
            Report::Closed => self.close_request(now, id),
        }
    }

    /// Updates the list of servers.
    pub fn update_servers(
        &mut self,
        now: Micros,
        kind: ListUpdateKind,
        entries: Vec<ServerEntry>,
    ) -> Decisions {
        self.guard.update_servers(kind, &entries);
        self.handle(now, Event::Members { kind, entries })
    }

    /// Answers every request that has not begun to stream, as the caller is about to stop.
    pub fn close(&mut self, now: Micros) -> Decisions {
        self.guard.begin_closing();
        self.handle(now, Event::Closing)
    }

    /// Applies new settings to requests that come from now on.
    pub fn reconfigure(&mut self, now: Micros, settings: Settings) -> Decisions {
        self.handle(now, Event::Settings(settings))
    }

    /// Exports what the router has learned so far.
    pub fn snapshot(&self, now: Micros) -> Snapshot {
        self.router.snapshot(now)
    }

    /// The work in flight at servers, without that of other processes.
    pub fn open_work(&self) -> OpenWork {
        self.router.open_work()
    }

    /// Counts the work of other processes of the same conductor as its own.
    pub fn set_foreign_work(&mut self, foreign: OpenWork) {
        self.router.set_foreign_work(foreign);
    }

    /// Restores what a snapshot of this age says about listed servers; the rest stays in the snapshot.
    pub fn restore(&mut self, now: Micros, age: Micros, snapshot: &mut Snapshot) {
        self.router.restore(now, age, snapshot);
    }

    /// Start time of a server as the decisions know it; `None` if the server accepts no new requests.
    pub fn server_started(&self, server: &Id) -> Option<Micros> {
        self.guard.started_at(server)
    }

    /// Whether an attempt at a server may take effect, because it does more there than a prefill.
    pub fn takes_effect(&self, server: &Id) -> bool {
        self.guard.takes_effect(server)
    }

    /// Number of servers that requests may be sent to now.
    pub fn usable_servers(&self) -> usize {
        self.router.usable_servers()
    }

    /// Sets this conductor's share of the capacity and quotas of all conductors.
    pub fn set_quota_share(&mut self, now: Micros, share: f64) -> Decisions {
        self.handle(now, Event::QuotaShare { share })
    }

    /// Reports the end of a probe.
    pub fn probe_ended(
        &mut self,
        now: Micros,
        server: Id,
        outcome: Outcome,
        load: Option<LoadReport>,
    ) -> Decisions {
        self.handle(now, Event::ProbeEnded { server, outcome, load })
    }

    /// Time at which [`Facade::fire_timers`] is due.
    pub fn next_timer_at(&self) -> Option<Micros> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Fires every timer that is due.
    pub fn fire_timers(&mut self, now: Micros) -> Decisions {
        let mut decisions = Decisions::default();
        while let Some(&(at, token)) = self.timers.first() {
            if at > now {
                break;
            }
            self.timers.pop_first();
            self.process_event(now, Event::TimerFired { token }, &mut decisions);
        }
        decisions
    }

    /// Number of entries keyed by external ids and of timers; it must stay bounded over the life of the
    /// process.
    pub fn entry_count(&self) -> usize {
        self.router.entry_count() + self.open_requests.len() + self.timers.len()
    }

    fn answer_started(&mut self, now: Micros, id: &Id) -> Decisions {
        let Some(open) = self.open_requests.get_mut(id) else { return Decisions::default() };
        let Some((_, sent)) = &open.in_flight else { return Decisions::default() };
        open.has_started = true;
        self.guard.record_answer_start(id);
        let (attempt, elapsed) = (open.attempts - 1, now.saturating_sub(*sent));
        self.handle(now, Event::AnswerStarted { id: id.clone(), attempt, elapsed })
    }

    /// Ends the attempt in flight; `None` if there is none.
    fn end_attempt(
        &mut self,
        now: Micros,
        id: &Id,
        outcome: Outcome,
        cached_tokens: u64,
        load: Option<LoadReport>,
    ) -> Option<Event> {
        let open = self.open_requests.get_mut(id)?;
        let (server, sent) = open.in_flight.take()?;
        self.guard.record_attempt_end(id, outcome);
        Some(Event::AttemptEnded {
            id: id.clone(),
            attempt: open.attempts - 1,
            server,
            outcome,
            elapsed: now.saturating_sub(sent),
            cached_tokens,
            finished: open.has_started || outcome == Outcome::Served,
            load,
        })
    }

    fn close_request(&mut self, now: Micros, id: &Id) -> Decisions {
        let mut decisions = self.handle(now, Event::ClientGone { id: id.clone() });
        if let Some(cancelled) = self.end_attempt(now, id, Outcome::Cancelled, 0, None) {
            self.process_event(now, cancelled, &mut decisions);
        }
        self.open_requests.remove(id);
        self.guard.remove_request(id);
        decisions
    }

    fn handle(&mut self, now: Micros, event: Event) -> Decisions {
        let mut decisions = Decisions::default();
        self.process_event(now, event, &mut decisions);
        decisions
    }

    fn process_event(&mut self, now: Micros, event: Event, decisions: &mut Decisions) {
        let mut actions = std::mem::take(&mut self.actions);
        self.router.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.apply_action(now, action, decisions);
        }
        self.actions = actions;
    }

    fn apply_action(&mut self, now: Micros, action: Action, decisions: &mut Decisions) {
        let (id, decision) = match action {
            Action::Send { id, server, stop_at, send_by } => {
                if let Err(violation) = self.guard.authorize_send(now, &id, &server) {
                    return self.reject_send(now, id, server, violation, decisions);
                }
                let open = self.open_requests.entry(id.clone()).or_default();
                open.attempts += 1;
                open.in_flight = Some((server.clone(), now));
                (id, Decision::Send { server, stop_at, send_by })
            }
            Action::Cancel { id, .. } => (id, Decision::Cancel),
            Action::Refuse { id, retry_after } => match self.guard.authorize_answer(&id, true) {
                Ok(()) => (id, Decision::Refuse { retry_after }),
                Err(violation) => {
                    decisions.violations.push((id.clone(), violation));
                    if violation == Violation::SecondAnswer {
                        return;
                    }
                    // A failure does not promise that a retry is harmless.
                    (id, Decision::Fail)
                }
            },
            Action::Fail { id } => match self.guard.authorize_answer(&id, false) {
                Ok(()) => (id, Decision::Fail),
                Err(violation) => return decisions.violations.push((id, violation)),
            },
            Action::ReleaseCache { id } => (id, Decision::Release),
            Action::MoveStream { id } => (id, Decision::Move),
            Action::Probe { server } => return decisions.probes.push(server),
            Action::Watch => return decisions.watch = true,
            Action::SetTimer { delay, token } => {
                self.timers.insert((now + delay, token));
                return;
            }
            Action::Log(line) => return decisions.log.push(line),
        };
        decisions.requests.push((id, decision));
    }

    /// Suppresses an attempt that would break a rule. To the router, the attempt has ended as never sent.
    fn reject_send(
        &mut self,
        now: Micros,
        id: Id,
        server: Id,
        violation: Violation,
        decisions: &mut Decisions,
    ) {
        decisions.violations.push((id.clone(), violation));
        let Some(open) = self.open_requests.get_mut(&id) else { return };
        open.attempts += 1;
        let (attempt, outcome) = (open.attempts - 1, Outcome::NotSent);
        let finished = open.has_started;
        let event = Event::AttemptEnded {
            id,
            attempt,
            server,
            outcome,
            elapsed: 0,
            cached_tokens: 0,
            finished,
            load: None,
        };
        self.process_event(now, event, decisions);
    }
}
