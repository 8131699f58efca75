//! Simulates one router in front of servers of limited capacity. A prefill server processes one prompt after
//! another, a decode server streams a fixed number of answers at once; further requests wait at the server.

use std::collections::BTreeMap;

use frosttrail::*;

use super::SEC;

/// Prompt tokens that a prefill server processes a second.
pub const PREFILL_TOKENS_PER_S: u64 = 15_000;
/// Fixed time that each prefill takes in addition to its tokens.
const PREFILL_OVERHEAD: Micros = 20_000;
/// Answers that a decode server streams at once.
pub const DECODE_SLOTS: usize = 8;
/// Time that an answer takes from its first token to its end.
pub const STREAM_DURATION: Micros = SEC;
/// Time from the start of a decode to its first token.
const FIRST_TOKEN_DELAY: Micros = 30_000;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// The time from its arrival to its first token.
    Served(Micros),
    Refused,
    Failed,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ScheduledEvent {
    RequestArrives(usize),
    PrefillEnds(Id, u32),
    AnswerStarts(Id, u32),
    AnswerEnds(Id, u32),
    AttemptTimesOut(Id, u32),
    TimerFires(u64),
}

#[derive(Default)]
struct Server {
    /// When a prefill server has processed all its prompts.
    prefill_busy_until: Micros,
    /// When each slot of a decode server is free.
    slots_free_at: Vec<Micros>,
}

/// A router, its servers and its clients.
pub struct Fleet {
    router: Router,
    now: Micros,
    schedule: std::collections::BTreeSet<(Micros, u64, ScheduledEvent)>,
    sequence: u64,
    servers: BTreeMap<Id, Server>,
    /// The active attempt of each request: number, server, send time.
    active: BTreeMap<Id, (u32, Id, Micros)>,
    next_attempt: BTreeMap<Id, u32>,
    arrivals: BTreeMap<Id, (Micros, u64)>,
    queries: Vec<Query>,
    pub request_ends: BTreeMap<Id, RequestEnd>,
    pub log: Vec<String>,
}

impl Fleet {
    /// Creates a fleet with this many prefill servers (`p0`, ...) and decode servers (`d0`, ...).
    pub fn new(settings: Settings, seed: u64, prefill: usize, decode: usize) -> Self {
        let mut fleet = Fleet {
            router: Router::new(settings, seed),
            now: 100 * SEC,
            schedule: Default::default(),
            sequence: 0,
            servers: BTreeMap::new(),
            active: BTreeMap::new(),
            next_attempt: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            queries: Vec::new(),
            request_ends: BTreeMap::new(),
            log: Vec::new(),
        };
        let names =
            (0..prefill).map(|n| (format!("p{n}"), 0)).chain((0..decode).map(|n| (format!("d{n}"), 1)));
        fleet.update_servers(
            ListUpdateKind::StaleCopy,
            names.map(|(name, kind)| super::entry(&name, kind)).collect(),
        );
        fleet
    }

    pub fn update_servers(&mut self, kind: ListUpdateKind, entries: Vec<ServerEntry>) {
        for entry in &entries {
            let server = self.servers.entry(entry.server.clone()).or_default();
            server.slots_free_at.resize(DECODE_SLOTS, 0);
        }
        self.handle(Event::Members { kind, entries });
    }

    /// Schedules a request that arrives this long after the start.
    pub fn submit_at(&mut self, after: Micros, query: Query) {
        self.queries.push(query);
        self.schedule_at(100 * SEC + after, ScheduledEvent::RequestArrives(self.queries.len() - 1));
    }

    fn schedule_at(&mut self, at: Micros, event: ScheduledEvent) {
        self.sequence += 1;
        self.schedule.insert((at.max(self.now), self.sequence, event));
    }

    /// Runs the simulation until this long after the start.
    pub fn run_until(&mut self, until: Micros) {
        while let Some((at, ..)) = self.schedule.first() {
            if *at > 100 * SEC + until {
                return;
            }
            let Some((at, _, event)) = self.schedule.pop_first() else { return };
            self.now = at;
            self.process(event);
        }
    }

    fn active_attempt(&self, id: &Id, attempt: u32) -> Option<(Id, Micros)> {
        self.active.get(id).filter(|out| out.0 == attempt).map(|out| (out.1.clone(), out.2))
    }

    fn process(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::TimerFires(token) => self.handle(Event::TimerFired { token }),
            ScheduledEvent::RequestArrives(n) => {
                let query = self.queries[n].clone();
                self.arrivals.insert(query.id.clone(), (self.now, query.prompt_tokens));
                self.handle(Event::Query(query));
            }
            ScheduledEvent::AnswerStarts(id, attempt) => {
                let Some((_, sent)) = self.active_attempt(&id, attempt) else { return };
                self.request_ends.insert(id.clone(), RequestEnd::Served(self.now - self.arrivals[&id].0));
                self.handle(Event::AnswerStarted { id, attempt, elapsed: self.now - sent });
            }
            ScheduledEvent::PrefillEnds(id, attempt) => self.end_attempt(id, attempt, Outcome::PrefillDone),
            ScheduledEvent::AnswerEnds(id, attempt) => self.end_attempt(id, attempt, Outcome::Served),
            ScheduledEvent::AttemptTimesOut(id, attempt) => match self.request_ends.get(&id) {
                Some(RequestEnd::Served(_)) => {}
                _ => self.end_attempt(id, attempt, Outcome::NoAnswer),
            },
        }
    }

    fn end_attempt(&mut self, id: Id, attempt: u32, outcome: Outcome) {
        let Some((server, sent)) = self.active_attempt(&id, attempt) else { return };
        self.active.remove(&id);
        let (elapsed, finished) = (self.now - sent, outcome == Outcome::Served);
        let cached_tokens = 0;
        let load = None;
        self.handle(Event::AttemptEnded {
            id,
            attempt,
            server,
            outcome,
            elapsed,
            cached_tokens,
            finished,
            load,
        });
    }

    fn start_attempt(&mut self, id: Id, server: Id, stop_at: Micros) {
        let number = self.next_attempt.entry(id.clone()).or_default();
        let attempt = *number;
        *number += 1;
        self.active.insert(id.clone(), (attempt, server.clone(), self.now));
        let (now, tokens) = (self.now, self.arrivals[&id].1);
        let is_prefill = server.starts_with('p');
        let Some(server) = self.servers.get_mut(&server) else { return };
        if is_prefill {
            server.prefill_busy_until =
                server.prefill_busy_until.max(now) + PREFILL_OVERHEAD + tokens * SEC / PREFILL_TOKENS_PER_S;
            let until = server.prefill_busy_until;
            self.schedule_at(until, ScheduledEvent::PrefillEnds(id.clone(), attempt));
        } else if let Some(slot) = server.slots_free_at.iter_mut().min() {
            let starts_at = (*slot).max(now) + FIRST_TOKEN_DELAY;
            // An attempt that times out before it starts takes no slot.
            if starts_at < stop_at {
                *slot = starts_at + STREAM_DURATION;
                self.schedule_at(starts_at, ScheduledEvent::AnswerStarts(id.clone(), attempt));
                self.schedule_at(
                    starts_at + STREAM_DURATION,
                    ScheduledEvent::AnswerEnds(id.clone(), attempt),
                );
            }
        }
        self.schedule_at(stop_at, ScheduledEvent::AttemptTimesOut(id, attempt));
    }

    fn handle(&mut self, event: Event) {
        let mut out = Vec::new();
        self.router.handle(self.now, event, &mut out);
        for action in out {
            match action {
                Action::Send { id, server, stop_at, .. } => self.start_attempt(id, server, stop_at),
                Action::SetTimer { delay, token } => {
                    self.schedule_at(self.now + delay, ScheduledEvent::TimerFires(token))
                }
                Action::Refuse { id, .. } => drop(self.request_ends.insert(id, RequestEnd::Refused)),
                Action::Fail { id } => drop(self.request_ends.insert(id, RequestEnd::Failed)),
                Action::Cancel { id, attempt } => self.end_attempt(id, attempt, Outcome::Cancelled),
                Action::Log(line) => self.log.push(line),
                _ => {}
            }
        }
    }
}
