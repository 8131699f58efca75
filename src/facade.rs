//! The decisions in blocking style, for network code: [`Facade::submit`] takes a request,
//! [`Facade::report`] tells what became of it, [`Facade::fire_timers`] lets time pass. Each is given the
//! time and returns [`Decisions`]. The facade decides nothing; it numbers the attempts, keeps the
//! timers, and turns the module's events and actions into words that a caller without knowledge
//! of them can use.

use std::collections::{BTreeSet, HashMap};

use crate::guard::{Guard, Violation};
use crate::interface::*;
use crate::scheduler::handover::{OpenWork, Snapshot};
use crate::scheduler::Router;

/// What is to be done about a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it to this server and stop waiting at `stop_at`.
    Send {
        /// The server.
        server: Id,
        /// On the caller's clock.
        stop_at: Micros,
        /// Nothing is to be written from then on.
        send_by: Option<Micros>,
    },
    /// Final answer: refused, trying again is harmless.
    Refuse {
        /// How long the client should stay away; 0 for no advice.
        retry_after: Micros,
    },
    /// Final answer: failed.
    Fail,
    /// Stop waiting for the attempt that is out.
    Cancel,
    /// Let go of whatever is held for it at any server.
    Release,
    /// End its running stream; the client comes back for the rest.
    Move,
}

/// All that one call brought about.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Decisions {
    /// What to do, request by request, in order.
    pub requests: Vec<(Id, Decision)>,
    /// Servers to probe.
    pub probes: Vec<Id>,
    /// The list of servers must be asked for anew.
    pub watch: bool,
    /// Lines for the operators.
    pub log: Vec<String>,
    /// Actions that would have broken a rule, and were not carried out, by request.
    pub violations: Vec<(Id, Violation)>,
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Report {
    /// The first event of its answer has come.
    Started,
    /// The attempt that was out has ended.
    Ended {
        /// How.
        outcome: Outcome,
        /// Prompt tokens that the server still had.
        cached_tokens: u64,
        /// The server's load report, if one came along.
        load: Option<LoadReport>,
    },
    /// Nobody waits for it any more. The caller says so once for each request, as the last thing;
    /// an attempt that was still out is called off by that.
    Closed,
}

/// A request that has not been left, and its latest attempt.
#[derive(Default)]
struct OpenRequest {
    attempts: u32,
    has_started: bool,
    /// Server and send time of the attempt that is out.
    in_flight: Option<(Id, Micros)>,
}

/// The decision module, its timers and the numbers of its attempts.
pub struct Facade {
    router: Router,
    open_requests: HashMap<Id, OpenRequest>,
    timers: BTreeSet<(Micros, u64)>,
    actions: Vec<Action>,
    guard: Guard,
}

impl Facade {
    /// A facade whose module knows no server yet.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Facade {
            guard: Guard::new(&settings),
            router: Router::new(settings, seed),
            open_requests: HashMap::new(),
            timers: BTreeSet::new(),
            actions: Vec::new(),
        }
    }

    /// Takes a request; `None` if its id is that of one still open, of which the module knows.
    pub fn submit(&mut self, now: Micros, query: Query) -> Option<Decisions> {
        if self.open_requests.contains_key(&query.id) {
            return None;
        }
        self.open_requests.insert(query.id.clone(), OpenRequest::default());
        self.guard.register_request(&query);
        Some(self.handle(now, Event::Query(query)))
    }

    /// Tells what became of a request.
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

    /// News of the list of servers.
    pub fn update_servers(
        &mut self,
        now: Micros,
        form: ListUpdateKind,
        entries: Vec<ServerEntry>,
    ) -> Decisions {
        self.guard.update_servers(form, &entries);
        self.handle(now, Event::Members { form, entries })
    }

    /// The caller is about to stop: answers every request that has not begun to stream.
    pub fn close(&mut self, now: Micros) -> Decisions {
        self.guard.begin_closing();
        self.handle(now, Event::Closing)
    }

    /// New settings, for requests that come from now on.
    pub fn reconfigure(&mut self, now: Micros, settings: Settings) -> Decisions {
        self.handle(now, Event::Settings(settings))
    }

    /// What the module has learned up to now.
    pub fn snapshot(&self, now: Micros) -> Snapshot {
        self.router.snapshot(now)
    }

    /// What is open at servers.
    pub fn open_work(&self) -> OpenWork {
        self.router.open_work()
    }

    /// What other processes of the same conductor have open counts as its own.
    pub fn set_foreign_work(&mut self, foreign: OpenWork) {
        self.router.set_foreign_work(foreign);
    }

    /// Takes over what a snapshot of this age says of servers that are listed; the rest stays in it.
    pub fn restore(&mut self, now: Micros, age: Micros, snapshot: &mut Snapshot) {
        self.router.restore(now, age, snapshot);
    }

    /// The server's start as the decisions know it; `None` where it takes nothing new.
    pub fn server_started(&self, server: &Id) -> Option<Micros> {
        self.guard.started_at(server)
    }

    /// Whether an attempt at a server may take effect: it does more there than a prefill.
    pub fn takes_effect(&self, server: &Id) -> bool {
        self.guard.takes_effect(server)
    }

    /// Servers that requests may go to now.
    pub fn usable_servers(&self) -> usize {
        self.router.usable_servers()
    }

    /// The part of what all routers share that is this one's.
    pub fn set_quota_share(&mut self, now: Micros, share: f64) -> Decisions {
        self.handle(now, Event::QuotaShare { share })
    }

    /// A probe came back.
    pub fn probe_ended(
        &mut self,
        now: Micros,
        server: Id,
        outcome: Outcome,
        load: Option<LoadReport>,
    ) -> Decisions {
        self.handle(now, Event::ProbeEnded { server, outcome, load })
    }

    /// When [`Facade::fire_timers`] is due.
    pub fn next_timer_at(&self) -> Option<Micros> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Rings every timer that is due.
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

    /// How many entries are kept under ids that others give; it stays bounded however long a day is.
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

    /// The end of the attempt that is out, if one is.
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
                    // It promises nothing.
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

    /// An attempt that would break a rule does not go out; to the decisions it has ended as never sent.
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
