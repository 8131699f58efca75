//! Servers with a capacity, in simulated time: prefill servers read one prompt after another, decode servers
//! stream so many answers at once; what is over that waits there. One router before them.

use std::collections::BTreeMap;

use frosttrail::*;

use super::SEC;

/// Tokens that a prefill server reads a second, and what each read takes besides.
pub const READS_PER_S: u64 = 15_000;
const READ_FIXED: Micros = 20_000;
/// Answers that a decode server streams at once; each takes so long, its first token a little.
pub const SLOTS: usize = 8;
pub const STREAMS: Micros = SEC;
const FIRST: Micros = 30_000;

/// How a request ended, for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Its first token came after so long.
    Served(Micros),
    Refused,
    Failed,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Asks(usize),
    Read(Id, u32),
    Begins(Id, u32),
    Ends(Id, u32),
    GivenUp(Id, u32),
    Bell(u64),
}

#[derive(Default)]
struct Server {
    /// A prefill server's: when it has read what it has.
    until: Micros,
    /// A decode server's: when each of its places is free.
    slots: Vec<Micros>,
}

/// A router, its servers and its clients.
pub struct Fleet {
    router: Router,
    now: Micros,
    due: std::collections::BTreeSet<(Micros, u64, Due)>,
    order: u64,
    servers: BTreeMap<Id, Server>,
    /// The attempt that is out: number, server, send time.
    out: BTreeMap<Id, (u32, Id, Micros)>,
    numbers: BTreeMap<Id, u32>,
    asked: BTreeMap<Id, (Micros, u64)>,
    queries: Vec<Query>,
    pub ends: BTreeMap<Id, End>,
    pub log: Vec<String>,
}

impl Fleet {
    /// With so many servers of either kind.
    pub fn new(settings: Settings, seed: u64, prefill: usize, decode: usize) -> Self {
        let mut fleet = Fleet {
            router: Router::new(settings, seed),
            now: 100 * SEC,
            due: Default::default(),
            order: 0,
            servers: BTreeMap::new(),
            out: BTreeMap::new(),
            numbers: BTreeMap::new(),
            asked: BTreeMap::new(),
            queries: Vec::new(),
            ends: BTreeMap::new(),
            log: Vec::new(),
        };
        let names =
            (0..prefill).map(|n| (format!("p{n}"), 0)).chain((0..decode).map(|n| (format!("d{n}"), 1)));
        fleet.tell(ListUpdateKind::StaleCopy, names.map(|(name, kind)| super::entry(&name, kind)).collect());
        fleet
    }

    pub fn tell(&mut self, form: ListUpdateKind, entries: Vec<ServerEntry>) {
        for entry in &entries {
            let server = self.servers.entry(entry.server.clone()).or_default();
            server.slots.resize(SLOTS, 0);
        }
        self.feed(Event::Members { form, entries });
    }

    /// A client asks, so long after the start.
    pub fn ask_at(&mut self, after: Micros, query: Query) {
        self.queries.push(query);
        self.plan(100 * SEC + after, Due::Asks(self.queries.len() - 1));
    }

    fn plan(&mut self, at: Micros, due: Due) {
        self.order += 1;
        self.due.insert((at.max(self.now), self.order, due));
    }

    /// Lets time pass until so long after the start.
    pub fn run(&mut self, until: Micros) {
        while let Some((at, ..)) = self.due.first() {
            if *at > 100 * SEC + until {
                return;
            }
            let Some((at, _, due)) = self.due.pop_first() else { return };
            self.now = at;
            self.happens(due);
        }
    }

    fn is_out(&self, id: &Id, attempt: u32) -> Option<(Id, Micros)> {
        self.out.get(id).filter(|out| out.0 == attempt).map(|out| (out.1.clone(), out.2))
    }

    fn happens(&mut self, due: Due) {
        match due {
            Due::Bell(token) => self.feed(Event::TimerFired { token }),
            Due::Asks(n) => {
                let query = self.queries[n].clone();
                self.asked.insert(query.id.clone(), (self.now, query.prompt_tokens));
                self.feed(Event::Query(query));
            }
            Due::Begins(id, attempt) => {
                let Some((_, sent)) = self.is_out(&id, attempt) else { return };
                self.ends.insert(id.clone(), End::Served(self.now - self.asked[&id].0));
                self.feed(Event::AnswerStarted { id, attempt, elapsed: self.now - sent });
            }
            Due::Read(id, attempt) => self.ended(id, attempt, Outcome::PrefillDone),
            Due::Ends(id, attempt) => self.ended(id, attempt, Outcome::Served),
            Due::GivenUp(id, attempt) => match self.ends.get(&id) {
                Some(End::Served(_)) => {}
                _ => self.ended(id, attempt, Outcome::NoAnswer),
            },
        }
    }

    fn ended(&mut self, id: Id, attempt: u32, outcome: Outcome) {
        let Some((server, sent)) = self.is_out(&id, attempt) else { return };
        self.out.remove(&id);
        let (elapsed, finished) = (self.now - sent, outcome == Outcome::Served);
        let cached_tokens = 0;
        let load = None;
        self.feed(Event::AttemptEnded {
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

    fn send(&mut self, id: Id, server: Id, stop_at: Micros) {
        let number = self.numbers.entry(id.clone()).or_default();
        let attempt = *number;
        *number += 1;
        self.out.insert(id.clone(), (attempt, server.clone(), self.now));
        let (now, tokens) = (self.now, self.asked[&id].1);
        let prefills = server.starts_with('p');
        let Some(server) = self.servers.get_mut(&server) else { return };
        if prefills {
            server.until = server.until.max(now) + READ_FIXED + tokens * SEC / READS_PER_S;
            let until = server.until;
            self.plan(until, Due::Read(id.clone(), attempt));
        } else if let Some(slot) = server.slots.iter_mut().min() {
            let begins = (*slot).max(now) + FIRST;
            // Who is given up before it begins leaves its place.
            if begins < stop_at {
                *slot = begins + STREAMS;
                self.plan(begins, Due::Begins(id.clone(), attempt));
                self.plan(begins + STREAMS, Due::Ends(id.clone(), attempt));
            }
        }
        self.plan(stop_at, Due::GivenUp(id, attempt));
    }

    fn feed(&mut self, event: Event) {
        let mut out = Vec::new();
        self.router.handle(self.now, event, &mut out);
        for action in out {
            match action {
                Action::Send { id, server, stop_at, .. } => self.send(id, server, stop_at),
                Action::SetTimer { delay, token } => self.plan(self.now + delay, Due::Bell(token)),
                Action::Refuse { id, .. } => drop(self.ends.insert(id, End::Refused)),
                Action::Fail { id } => drop(self.ends.insert(id, End::Failed)),
                Action::Cancel { id, attempt } => self.ended(id, attempt, Outcome::Cancelled),
                Action::Log(line) => self.log.push(line),
                _ => {}
            }
        }
    }
}
