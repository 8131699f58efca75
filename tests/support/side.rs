//! Simulates many routers that share one fleet.

use std::collections::BTreeMap;

use frosttrail::*;

use super::{query, MS, SEC};

/// Routers that share a fleet in which every attempt ends after 50 ms.
pub struct RouterGroup {
    pub routers: Vec<Router>,
    pub now: Micros,
    request_count: usize,
    /// Picks the router for a request from the request's number and the number of routers.
    pub choose_router: Box<dyn Fn(usize, usize) -> usize>,
    /// Active attempts: end time, router, request, attempt number, server.
    active: Vec<(Micros, usize, Id, u32, Id)>,
    attempts: BTreeMap<Id, u32>,
    timers: BTreeMap<(Micros, usize), u64>,
    /// Every send: time, server, router.
    pub send_log: Vec<(Micros, Id, usize)>,
    /// The prefix of all requests.
    pub prefix: Option<Id>,
    /// The most attempts that were active at one server.
    pub max_active: usize,
}

impl RouterGroup {
    pub fn new(settings: &Settings, fleet: &[ServerEntry]) -> Self {
        let routers =
            (0..settings.conductors).map(|router| Router::new(settings.clone(), u64::from(router) * 7 + 1));
        let mut group = RouterGroup {
            routers: routers.collect(),
            now: 100 * SEC,
            request_count: 0,
            choose_router: Box::new(|request_count, routers| request_count * 37 % routers),
            active: Vec::new(),
            attempts: BTreeMap::new(),
            timers: BTreeMap::new(),
            send_log: Vec::new(),
            prefix: None,
            max_active: 0,
        };
        group.update_servers(fleet);
        group
    }

    pub fn update_servers(&mut self, entries: &[ServerEntry]) {
        (0..self.routers.len()).for_each(|router| self.update_servers_at(router, entries));
    }

    pub fn update_servers_at(&mut self, router: usize, entries: &[ServerEntry]) {
        self.handle_event(
            router,
            Event::Members { kind: ListUpdateKind::Changes, entries: entries.to_vec() },
        );
    }

    /// Replaces a router with a new one that knows only the server list.
    pub fn restart_router(&mut self, router: usize, settings: &Settings, entries: &[ServerEntry]) {
        self.active.retain(|attempt| attempt.1 != router);
        self.timers.retain(|(_, owner), _| *owner != router);
        self.routers[router] = Router::new(settings.clone(), 1_000_003 + router as u64);
        self.update_servers_at(router, entries);
    }

    fn handle_event(&mut self, router: usize, event: Event) {
        let mut out = Vec::new();
        self.routers[router].handle(self.now, event, &mut out);
        for action in out {
            match action {
                Action::Send { id, server, .. } => {
                    let attempt = self.attempts.entry(id.clone()).or_insert(0);
                    self.active.push((self.now + 50 * MS, router, id, *attempt, server.clone()));
                    *attempt += 1;
                    self.max_active = self.max_active.max(self.active_at(&server));
                    self.send_log.push((self.now, server, router));
                }
                Action::Probe { server } => {
                    let load = Some(LoadReport {
                        outstanding: Some(self.active_at(&server) as f64),
                        ..LoadReport::default()
                    });
                    self.handle_event(router, Event::ProbeEnded { server, outcome: Outcome::Served, load });
                }
                Action::SetTimer { delay, token } => {
                    self.timers.insert((self.now + delay, router), token);
                }
                _ => {}
            }
        }
    }

    fn active_at(&self, server: &str) -> usize {
        self.active.iter().filter(|d| &*d.4 == server).count()
    }

    /// Runs for `span` with one new request every 5 ms. `choose_router` picks the router; the default spreads
    /// requests over all of them.
    pub fn run_for(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            self.now += 5 * MS;
            let now = self.now;
            while let Some((&(at, router), &token)) =
                self.timers.first_key_value().filter(|timer| timer.0 .0 <= now)
            {
                self.timers.remove(&(at, router));
                self.handle_event(router, Event::TimerFired { token });
            }
            let (ended, active) = std::mem::take(&mut self.active).into_iter().partition(|d| d.0 <= now);
            self.active = active;
            for (_, router, id, attempt, server) in Vec::from_iter::<Vec<_>>(ended) {
                let is_prefill = server.starts_with('r');
                let outcome = if is_prefill { Outcome::PrefillDone } else { Outcome::Served };
                let (elapsed, cached_tokens, load) = (50 * MS, 0, None);
                if !is_prefill {
                    self.handle_event(router, Event::AnswerStarted { id: id.clone(), attempt, elapsed });
                }
                let finished = !is_prefill;
                self.handle_event(
                    router,
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
            self.request_count += 1;
            let router = (self.choose_router)(self.request_count, self.routers.len());
            let prefix = self.prefix.clone();
            self.handle_event(
                router,
                Event::Query(Query { prefix, ..query(&format!("q{}", self.request_count), 900) }),
            );
        }
    }

    pub fn max_sends_in_a_second(&self, server: &str, from: Micros) -> usize {
        let times: Vec<Micros> =
            self.send_log.iter().filter(|s| &*s.1 == server && s.0 >= from).map(|s| s.0).collect();
        let sends_in_second = |&t: &Micros| times.iter().filter(|&&u| u >= t && u < t + SEC).count();
        times.iter().map(sends_in_second).max().unwrap_or(0)
    }
}
