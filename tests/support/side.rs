//! Many routers side by side, in simulated time.

use std::collections::BTreeMap;

use frosttrail::*;

use super::{query, MS, SEC};

/// Routers that share a fleet which answers everything after a fixed time.
pub struct Side {
    pub routers: Vec<Router>,
    pub now: Micros,
    asked: usize,
    /// At which of so many routers a request comes.
    pub whose: Box<dyn Fn(usize, usize) -> usize>,
    /// When, router, request, attempt, server.
    due: Vec<(Micros, usize, Id, u32, Id)>,
    attempts: BTreeMap<Id, u32>,
    bells: BTreeMap<(Micros, usize), u64>,
    /// When, and to which server; who sent it.
    pub sent: Vec<(Micros, Id, usize)>,
    /// The prefix of all requests, and the most that were out at one server.
    pub prefix: Option<Id>,
    pub most: usize,
}

impl Side {
    pub fn new(settings: &Settings, fleet: &[ServerEntry]) -> Self {
        let routers = (0..settings.conductors).map(|i| Router::new(settings.clone(), u64::from(i) * 7 + 1));
        let mut side = Side {
            routers: routers.collect(),
            now: 100 * SEC,
            asked: 0,
            whose: Box::new(|asked, routers| asked * 37 % routers),
            due: Vec::new(),
            attempts: BTreeMap::new(),
            bells: BTreeMap::new(),
            sent: Vec::new(),
            prefix: None,
            most: 0,
        };
        side.tell(fleet);
        side
    }

    pub fn tell(&mut self, entries: &[ServerEntry]) {
        (0..self.routers.len()).for_each(|i| self.tell_one(i, entries));
    }

    pub fn tell_one(&mut self, i: usize, entries: &[ServerEntry]) {
        self.feed(i, Event::Members { form: ListUpdateKind::Changes, entries: entries.to_vec() });
    }

    /// A router ends, and starts from nothing but the list.
    pub fn restart(&mut self, i: usize, settings: &Settings, entries: &[ServerEntry]) {
        self.due.retain(|due| due.1 != i);
        self.bells.retain(|(_, of), _| *of != i);
        self.routers[i] = Router::new(settings.clone(), 1_000_003 + i as u64);
        self.tell_one(i, entries);
    }

    fn feed(&mut self, i: usize, event: Event) {
        let mut out = Vec::new();
        self.routers[i].handle(self.now, event, &mut out);
        for action in out {
            match action {
                Action::Send { id, server, .. } => {
                    let attempt = self.attempts.entry(id.clone()).or_insert(0);
                    self.due.push((self.now + 50 * MS, i, id, *attempt, server.clone()));
                    *attempt += 1;
                    self.most = self.most.max(self.holds(&server));
                    self.sent.push((self.now, server, i));
                }
                Action::Probe { server } => {
                    let load = Some(LoadReport {
                        outstanding: Some(self.holds(&server) as f64),
                        ..LoadReport::default()
                    });
                    self.feed(i, Event::ProbeEnded { server, outcome: Outcome::Served, load });
                }
                Action::SetTimer { delay, token } => {
                    self.bells.insert((self.now + delay, i), token);
                }
                _ => {}
            }
        }
    }

    fn holds(&self, server: &str) -> usize {
        self.due.iter().filter(|d| &*d.4 == server).count()
    }

    /// One new request every five milliseconds, at the routers in turn if `whose` says nothing else.
    pub fn run(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            self.now += 5 * MS;
            let now = self.now;
            while let Some((&(at, i), &token)) = self.bells.first_key_value().filter(|b| b.0 .0 <= now) {
                self.bells.remove(&(at, i));
                self.feed(i, Event::TimerFired { token });
            }
            let (over, due) = std::mem::take(&mut self.due).into_iter().partition(|d| d.0 <= now);
            self.due = due;
            for (_, i, id, attempt, server) in Vec::from_iter::<Vec<_>>(over) {
                let read = server.starts_with('r');
                let outcome = if read { Outcome::PrefillDone } else { Outcome::Served };
                let (elapsed, cached_tokens, load) = (50 * MS, 0, None);
                if !read {
                    self.feed(i, Event::AnswerStarted { id: id.clone(), attempt, elapsed });
                }
                let finished = !read;
                self.feed(
                    i,
                    Event::AttemptEnded {
                        id,
                        attempt,
                        server,
                        outcome,
                        elapsed,
                        cached_tokens,
                        finished,
                        load,
                    },
                );
            }
            self.asked += 1;
            let i = (self.whose)(self.asked, self.routers.len());
            let prefix = self.prefix.clone();
            self.feed(i, Event::Query(Query { prefix, ..query(&format!("q{}", self.asked), 900) }));
        }
    }

    pub fn busiest_second(&self, server: &str, from: Micros) -> usize {
        let times: Vec<Micros> =
            self.sent.iter().filter(|s| &*s.1 == server && s.0 >= from).map(|s| s.0).collect();
        let within = |&t: &Micros| times.iter().filter(|&&u| u >= t && u < t + SEC).count();
        times.iter().map(within).max().unwrap_or(0)
    }
}
