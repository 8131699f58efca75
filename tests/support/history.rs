//! Plays a seeded random history of one router in simulated time: requests, attempts with varied outcomes,
//! and changes of the server list. All decisions go into a digest.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use frosttrail::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{entry, MS, SEC};

/// Requests and server list changes in a history.
const STEP_COUNT: usize = 400;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ScheduledEvent {
    AnswerStarts(Id, u32),
    AttemptEnds(Id, u32, u8),
    ProbeEnds(Id, u8),
    ClientLeaves(Id),
}

/// One router with its simulated clients and servers.
pub struct History {
    facade: Facade,
    rng: SmallRng,
    now: Micros,
    servers: Vec<ServerEntry>,
    settings: Settings,
    attempts: BTreeMap<Id, u32>,
    schedule: BTreeSet<(Micros, u64, ScheduledEvent)>,
    sequence: u64,
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

fn settings(rng: &mut SmallRng) -> Settings {
    let class =
        |name: &str, effect| Arc::new(RequestClass { name: name.into(), effect, ..RequestClass::example() });
    let keyed = Effect::Keyed { scope: DedupScope::Zone, window: 400 * MS };
    Settings {
        conductors: [1, 2, 8, 48, 300][rng.random_range(0..5)],
        may_probe: rng.random_bool(0.5),
        decode_can_prefill: rng.random_bool(0.3),
        max_retry_after: SEC,
        tenants: vec![Tenant { name: "t".into(), quota_per_s: 20.0 }],
        over_quota_worth: 0.1,
        classes: vec![class("ask", Effect::Safe), class("book", Effect::Unsafe), class("keyed", keyed)],
        ..Settings::example()
    }
}

impl History {
    /// Creates the history of this seed.
    pub fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let settings = settings(&mut rng);
        let (zones, racks) = (rng.random_range(1..4), rng.random_range(1..5));
        let counts = [rng.random_range(2..20), rng.random_range(2..20), rng.random_range(0..6)];
        let mut servers = Vec::new();
        for (kind, count) in counts.into_iter().enumerate() {
            for nth in 0..count {
                let (zone, rack) = (rng.random_range(0..zones), rng.random_range(0..racks));
                servers.push(ServerEntry { zone, rack, ..entry(&format!("s{kind}-{nth}"), kind) });
            }
        }
        let facade = Facade::new(settings.clone(), seed);
        let (now, sequence, digest) = (100 * SEC, 0, 0xcbf2_9ce4_8422_2325);
        let (attempts, schedule) = (BTreeMap::new(), BTreeSet::new());
        History { facade, rng, now, servers, settings, attempts, schedule, sequence, digest }
    }

    /// Plays the history and returns the digest of all decisions.
    pub fn play(mut self) -> u64 {
        let decisions = self.facade.update_servers(self.now, ListUpdateKind::Full, self.servers.clone());
        self.apply(decisions);
        let mean_interval = self.rng.random_range(1..30) * MS;
        for nth in 0..STEP_COUNT {
            let until = self.now + self.rng.random_range(0..2 * mean_interval);
            self.advance_to(until);
            match self.rng.random_range(0..100) {
                0..88 => self.submit_request(nth),
                _ => self.change_server(),
            }
        }
        let end = self.now + 20 * SEC;
        self.advance_to(end);
        self.digest
    }

    fn hash_text(&mut self, text: &str) {
        for byte in text.bytes() {
            self.digest = (self.digest ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }

    fn submit_request(&mut self, nth: usize) {
        let rng = &mut self.rng;
        let prefix = rng.random_bool(0.5).then(|| format!("p{}", rng.random_range(0..4)).as_str().into());
        let query = Query {
            id: format!("q{nth}").as_str().into(),
            session: format!("e{}", rng.random_range(0..40)).as_str().into(),
            prefix_tokens: if prefix.is_some() { 300 } else { 0 },
            prefix,
            prompt_tokens: rng.random_range(100..6_000),
            max_tokens: 200,
            class: self.settings.classes[rng.random_range(0..3)].clone(),
            tenant: rng.random_bool(0.2).then_some(0),
            budget: rng.random_range(0..5 * SEC),
            is_client_retry: rng.random_bool(0.1),
            resumes_stream: false,
        };
        let id = query.id.clone();
        if self.rng.random_bool(0.1) {
            let at = self.rng.random_range(0..SEC);
            self.schedule_after(at, ScheduledEvent::ClientLeaves(id));
        }
        if let Some(decisions) = self.facade.submit(self.now, query) {
            self.apply(decisions);
        }
    }

    /// Makes one server drain, leave the list or restart.
    fn change_server(&mut self) {
        let at = self.rng.random_range(0..self.servers.len());
        let server = &mut self.servers[at];
        match self.rng.random_range(0..4) {
            0 => server.health = Health::Draining,
            1 => server.health = Health::Gone,
            2 if server.health == Health::Up => (server.health, server.started) = (Health::Up, self.now),
            _ => (server.health, server.started) = (Health::Up, self.now),
        }
        let entries = vec![server.clone()];
        let decisions = self.facade.update_servers(self.now, ListUpdateKind::Changes, entries);
        self.apply(decisions);
    }

    fn schedule_after(&mut self, after: Micros, event: ScheduledEvent) {
        self.sequence += 1;
        self.schedule.insert((self.now + after, self.sequence, event));
    }

    fn advance_to(&mut self, until: Micros) {
        loop {
            let due = self.schedule.first().map(|due| due.0).unwrap_or(Micros::MAX);
            let timer_at = self.facade.next_timer_at().unwrap_or(Micros::MAX);
            let next = due.min(timer_at);
            if next > until {
                break;
            }
            self.now = self.now.max(next);
            if timer_at <= due {
                let decisions = self.facade.fire_timers(self.now);
                self.apply(decisions);
            } else if let Some((_, _, event)) = self.schedule.pop_first() {
                self.process(event);
            }
        }
        self.now = self.now.max(until);
    }

    fn process(&mut self, event: ScheduledEvent) {
        let now = self.now;
        let decisions = match event {
            ScheduledEvent::AnswerStarts(id, attempt) if self.attempts.get(&id) == Some(&attempt) => {
                self.schedule_after(500 * MS, ScheduledEvent::AttemptEnds(id.clone(), attempt, 0));
                self.facade.report(now, &id, Report::Started)
            }
            ScheduledEvent::AttemptEnds(id, attempt, outcome) if self.attempts.get(&id) == Some(&attempt) => {
                let outcome = OUTCOMES[usize::from(outcome)];
                let ended = Report::Ended { outcome, cached_tokens: 100, load: None };
                let mut decisions = self.facade.report(now, &id, ended);
                if outcome == Outcome::Served {
                    self.attempts.remove(&id);
                    decisions.requests.extend(self.facade.report(now, &id, Report::Closed).requests);
                }
                decisions
            }
            ScheduledEvent::ProbeEnds(server, outstanding) => {
                let load =
                    Some(LoadReport { outstanding: Some(f64::from(outstanding)), ..LoadReport::default() });
                let outcome = if outstanding > 14 { Outcome::NoConnection } else { Outcome::Served };
                self.facade.probe_ended(now, server, outcome, load)
            }
            ScheduledEvent::ClientLeaves(id) => {
                self.attempts.remove(&id);
                self.facade.report(now, &id, Report::Closed)
            }
            _ => return,
        };
        self.apply(decisions);
    }

    fn apply(&mut self, decisions: Decisions) {
        let now = self.now;
        for (id, decision) in &decisions.requests {
            self.hash_text(&format!("{now} {id} {decision:?};"));
            match decision {
                Decision::Send { server, stop_at, .. } => self.start_attempt(id, server, *stop_at),
                Decision::Refuse { .. } | Decision::Fail => {
                    self.schedule_after(0, ScheduledEvent::ClientLeaves(id.clone()))
                }
                Decision::Cancel => {
                    let attempt = self.attempts.get(id).copied().unwrap_or_default();
                    self.schedule_after(0, ScheduledEvent::AttemptEnds(id.clone(), attempt, 5));
                }
                Decision::Release | Decision::Move => {}
            }
        }
        for server in decisions.probes {
            self.hash_text(&format!("{now} probe {server};"));
            let (after, outstanding) = (self.rng.random_range(0..40) * MS, self.rng.random_range(0..16));
            self.schedule_after(after, ScheduledEvent::ProbeEnds(server, outstanding));
        }
    }

    fn start_attempt(&mut self, id: &Id, server: &Id, stop_at: Micros) {
        let attempt = self.attempts.entry(id.clone()).or_default();
        *attempt += 1;
        let attempt = *attempt;
        let duration = self.rng.random_range(5..200) * MS;
        let time_left = stop_at.saturating_sub(self.now);
        let (is_prefill, percentile) = (server.starts_with("s0"), self.rng.random_range(0..100));
        let (after, event) = match percentile {
            0..5 => (duration.min(time_left), ScheduledEvent::AttemptEnds(id.clone(), attempt, 3)),
            5..8 => (0, ScheduledEvent::AttemptEnds(id.clone(), attempt, 6)),
            8..10 => (duration.min(time_left), ScheduledEvent::AttemptEnds(id.clone(), attempt, 7)),
            10..12 => (duration.min(time_left), ScheduledEvent::AttemptEnds(id.clone(), attempt, 2)),
            12..14 if !is_prefill => {
                (duration.min(time_left), ScheduledEvent::AttemptEnds(id.clone(), attempt, 4))
            }
            14..20 => (time_left, ScheduledEvent::AttemptEnds(id.clone(), attempt, 5)),
            _ if duration >= time_left => (time_left, ScheduledEvent::AttemptEnds(id.clone(), attempt, 5)),
            _ if is_prefill => (duration, ScheduledEvent::AttemptEnds(id.clone(), attempt, 1)),
            _ => (duration, ScheduledEvent::AnswerStarts(id.clone(), attempt)),
        };
        self.schedule_after(after, event);
    }
}
