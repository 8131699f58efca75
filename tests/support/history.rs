//! A seeded history of one router: requests, servers that answer in all the ways they can, and changes of the
//! list, in simulated time. All that it decides goes into a digest.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use frosttrail::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{entry, MS, SEC};

/// Events of clients and of the list in a history.
const STEPS: usize = 400;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Begins(Id, u32),
    Ends(Id, u32, u8),
    Answers(Id, u8),
    Leaves(Id),
}

/// One router and all that surrounds it.
pub struct History {
    facade: Facade,
    draws: SmallRng,
    now: Micros,
    servers: Vec<ServerEntry>,
    settings: Settings,
    attempts: BTreeMap<Id, u32>,
    due: BTreeSet<(Micros, u64, Due)>,
    order: u64,
    digest: u64,
}

const OUTCOMES: [Outcome; 8] = [
    Outcome::Served,
    Outcome::PrefillDone,
    Outcome::Failed,
    Outcome::Rejected,
    Outcome::CacheMissing,
    Outcome::NoAnswer,
    Outcome::NoConnection,
    Outcome::ConnectionLost,
];

fn settings(draws: &mut SmallRng) -> Settings {
    let class =
        |name: &str, effect| Arc::new(RequestClass { name: name.into(), effect, ..RequestClass::example() });
    let keyed = Effect::Keyed { scope: DedupScope::Zone, window: 400 * MS };
    Settings {
        conductors: [1, 2, 8, 48, 300][draws.random_range(0..5)],
        may_probe: draws.random_bool(0.5),
        decode_can_prefill: draws.random_bool(0.3),
        max_retry_after: SEC,
        tenants: vec![Tenant { name: "t".into(), quota_per_s: 20.0 }],
        over_quota_worth: 0.1,
        classes: vec![class("ask", Effect::Safe), class("book", Effect::Unsafe), class("keyed", keyed)],
        ..Settings::example()
    }
}

impl History {
    /// The one of this seed.
    pub fn new(seed: u64) -> Self {
        let mut draws = SmallRng::seed_from_u64(seed);
        let settings = settings(&mut draws);
        let (zones, cells) = (draws.random_range(1..4), draws.random_range(1..5));
        let counts = [draws.random_range(2..20), draws.random_range(2..20), draws.random_range(0..6)];
        let mut servers = Vec::new();
        for (kind, count) in counts.into_iter().enumerate() {
            for nth in 0..count {
                let (zone, cell) = (draws.random_range(0..zones), draws.random_range(0..cells));
                servers.push(ServerEntry { zone, rack: cell, ..entry(&format!("s{kind}-{nth}"), kind) });
            }
        }
        let facade = Facade::new(settings.clone(), seed);
        let (now, order, digest) = (100 * SEC, 0, 0xcbf2_9ce4_8422_2325);
        let (attempts, due) = (BTreeMap::new(), BTreeSet::new());
        History { facade, draws, now, servers, settings, attempts, due, order, digest }
    }

    /// Plays it; gives the digest of all decisions.
    pub fn play(mut self) -> u64 {
        let verdicts = self.facade.update_servers(self.now, ListUpdateKind::Full, self.servers.clone());
        self.take(verdicts);
        let busy = self.draws.random_range(1..30) * MS;
        for nth in 0..STEPS {
            let until = self.now + self.draws.random_range(0..2 * busy);
            self.pass(until);
            match self.draws.random_range(0..100) {
                0..88 => self.ask(nth),
                _ => self.change(),
            }
        }
        let end = self.now + 20 * SEC;
        self.pass(end);
        self.digest
    }

    fn fold(&mut self, text: &str) {
        for byte in text.bytes() {
            self.digest = (self.digest ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }

    fn ask(&mut self, nth: usize) {
        let draws = &mut self.draws;
        let prefix = draws.random_bool(0.5).then(|| format!("p{}", draws.random_range(0..4)).as_str().into());
        let query = Query {
            id: format!("q{nth}").as_str().into(),
            session: format!("e{}", draws.random_range(0..40)).as_str().into(),
            prefix_tokens: if prefix.is_some() { 300 } else { 0 },
            prefix,
            prompt_tokens: draws.random_range(100..6_000),
            max_tokens: 200,
            class: self.settings.classes[draws.random_range(0..3)].clone(),
            tenant: draws.random_bool(0.2).then_some(0),
            budget: draws.random_range(0..5 * SEC),
            is_client_retry: draws.random_bool(0.1),
            resumes_stream: false,
        };
        let id = query.id.clone();
        if self.draws.random_bool(0.1) {
            let at = self.draws.random_range(0..SEC);
            self.at(at, Due::Leaves(id));
        }
        if let Some(verdicts) = self.facade.submit(self.now, query) {
            self.take(verdicts);
        }
    }

    /// One server drains, goes, or starts anew.
    fn change(&mut self) {
        let at = self.draws.random_range(0..self.servers.len());
        let server = &mut self.servers[at];
        match self.draws.random_range(0..4) {
            0 => server.health = Health::Draining,
            1 => server.health = Health::Gone,
            2 if server.health == Health::Up => (server.health, server.started) = (Health::Up, self.now),
            _ => (server.health, server.started) = (Health::Up, self.now),
        }
        let entries = vec![server.clone()];
        let verdicts = self.facade.update_servers(self.now, ListUpdateKind::Changes, entries);
        self.take(verdicts);
    }

    fn at(&mut self, after: Micros, due: Due) {
        self.order += 1;
        self.due.insert((self.now + after, self.order, due));
    }

    fn pass(&mut self, until: Micros) {
        loop {
            let due = self.due.first().map(|due| due.0).unwrap_or(Micros::MAX);
            let wake = self.facade.next_timer_at().unwrap_or(Micros::MAX);
            let next = due.min(wake);
            if next > until {
                break;
            }
            self.now = self.now.max(next);
            if wake <= due {
                let verdicts = self.facade.fire_timers(self.now);
                self.take(verdicts);
            } else if let Some((_, _, due)) = self.due.pop_first() {
                self.happen(due);
            }
        }
        self.now = self.now.max(until);
    }

    fn happen(&mut self, due: Due) {
        let now = self.now;
        let verdicts = match due {
            Due::Begins(id, attempt) if self.attempts.get(&id) == Some(&attempt) => {
                self.at(500 * MS, Due::Ends(id.clone(), attempt, 0));
                self.facade.report(now, &id, Report::Started)
            }
            Due::Ends(id, attempt, outcome) if self.attempts.get(&id) == Some(&attempt) => {
                let outcome = OUTCOMES[usize::from(outcome)];
                let ended = Report::Ended { outcome, cached_tokens: 100, load: None };
                let mut verdicts = self.facade.report(now, &id, ended);
                if outcome == Outcome::Served {
                    self.attempts.remove(&id);
                    verdicts.requests.extend(self.facade.report(now, &id, Report::Closed).requests);
                }
                verdicts
            }
            Due::Answers(server, says) => {
                let load = Some(LoadReport { outstanding: Some(f64::from(says)), ..LoadReport::default() });
                let outcome = if says > 14 { Outcome::NoConnection } else { Outcome::Served };
                self.facade.probe_ended(now, server, outcome, load)
            }
            Due::Leaves(id) => {
                self.attempts.remove(&id);
                self.facade.report(now, &id, Report::Closed)
            }
            _ => return,
        };
        self.take(verdicts);
    }

    fn take(&mut self, verdicts: Decisions) {
        let now = self.now;
        for (id, verdict) in &verdicts.requests {
            self.fold(&format!("{now} {id} {verdict:?};"));
            match verdict {
                Decision::Send { server, stop_at, .. } => self.sent(id, server, *stop_at),
                Decision::Refuse { .. } | Decision::Fail => self.at(0, Due::Leaves(id.clone())),
                Decision::Cancel => {
                    let attempt = self.attempts.get(id).copied().unwrap_or_default();
                    self.at(0, Due::Ends(id.clone(), attempt, 5));
                }
                Decision::Release | Decision::Move => {}
            }
        }
        for server in verdicts.probes {
            self.fold(&format!("{now} probe {server};"));
            let (after, says) = (self.draws.random_range(0..40) * MS, self.draws.random_range(0..16));
            self.at(after, Due::Answers(server, says));
        }
    }

    fn sent(&mut self, id: &Id, server: &Id, stop_at: Micros) {
        let attempt = self.attempts.entry(id.clone()).or_default();
        *attempt += 1;
        let attempt = *attempt;
        let takes = self.draws.random_range(5..200) * MS;
        let left = stop_at.saturating_sub(self.now);
        let (reads, odds) = (server.starts_with("s0"), self.draws.random_range(0..100));
        let (after, due) = match odds {
            0..5 => (takes.min(left), Due::Ends(id.clone(), attempt, 3)),
            5..8 => (0, Due::Ends(id.clone(), attempt, 6)),
            8..10 => (takes.min(left), Due::Ends(id.clone(), attempt, 7)),
            10..12 => (takes.min(left), Due::Ends(id.clone(), attempt, 2)),
            12..14 if !reads => (takes.min(left), Due::Ends(id.clone(), attempt, 4)),
            14..20 => (left, Due::Ends(id.clone(), attempt, 5)),
            _ if takes >= left => (left, Due::Ends(id.clone(), attempt, 5)),
            _ if reads => (takes, Due::Ends(id.clone(), attempt, 1)),
            _ => (takes, Due::Begins(id.clone(), attempt)),
        };
        self.at(after, due);
    }
}
