//! Which servers are used: circuit breakers, zones that are cut off, and what counts as slow.

use super::*;
use crate::hash::mix;
use crate::rate::decay;

/// Where parts are below one request: a wait of over this share of the aim rests the server.
const REST_AIM: f64 = 0.25;
/// Quiet for this many times the usual while a peer answers: suspect.
const QUIET: f64 = 4.0;
const QUIET_FLOOR: Micros = 400_000;
/// Longest time for which a circuit breaker is open.
const OPEN_MOST: Micros = 8_000_000;
/// Servers of one zone that fail in a row, with no answer from there, before it is cut off.
const ZONE_TRIP: usize = 3;
/// Weight of the latest sample in a stage's pace.
const BLEND: f64 = 0.1;
/// Tokens' worth of fixed cost in a stage's pace.
const FIXED_TOKENS: f64 = 500.0;

impl Router {
    /// Some servers of this zone failed one after another and none answered: rather the zone's network or
    /// power than each of them. One trial at a time is for all of the zone.
    pub(super) fn cut_off(&self, zone: &usize) -> bool {
        self.zones.get(zone).is_some_and(|z| z.failed.len() >= ZONE_TRIP && self.now < z.next)
    }

    /// A time with up to half more or less of it, so that routers do not try again in step.
    pub(super) fn spread(&self, span: Micros, w: usize) -> Micros {
        (span as f64 * (0.5 + share_of(mix(self.servers[w].hash ^ self.seed ^ self.now)))) as Micros
    }

    pub(super) fn await_zone(&mut self, w: usize) {
        let (now, spread) = (self.now, self.spread(OPEN_FIRST, w));
        let zone = self.zones.entry(self.servers[w].zone).or_default();
        if zone.failed.len() >= ZONE_TRIP && now >= zone.next {
            zone.next = now + (spread << zone.trials.min(4));
            zone.trials += 1;
        }
    }

    /// Breaker closed, or open long enough for one trial; not quiet while peers answer.
    pub(super) fn healthy(&self, w: usize) -> bool {
        let server = &self.servers[w];
        if server.fails >= TRIP {
            return self.now >= server.open_until && server.reads + server.streams == 0;
        }
        let Some(pending) = server.pending else { return true };
        let limit = self.patience(server.role, 2_000, QUIET).max(QUIET_FLOOR);
        self.now < pending + limit || self.heard[server.role as usize] <= pending + limit / 2
    }

    pub(super) fn patience(&self, stage: Stage, tokens: u64, times: f64) -> Micros {
        (self.pace[stage as usize] * (tokens as f64 + FIXED_TOKENS) * times) as Micros
    }

    pub(super) fn sample(&mut self, stage: Stage, elapsed: Micros, tokens: u64) {
        let usual = &mut self.pace[stage as usize];
        *usual += (elapsed as f64 / (tokens as f64 + FIXED_TOKENS) - *usual) * BLEND;
        self.fleet.health_changed();
    }

    pub(super) fn succeeded(&mut self, id: &Id, w: usize, stage: Stage, elapsed: Micros, tokens: u64) {
        if stage != Stage::Write {
            self.keep(id, w);
        }
        self.sample(stage, elapsed, tokens);
        self.ease(w, elapsed);
        let server = &mut self.servers[w];
        server.full = 0;
        server.rate = decay(server.rate, self.now - server.rate_at) + 1.0 / 4.0;
        server.rate_at = self.now;
        self.fleet.rates_changed();
        self.heard(w);
    }

    /// Parts of less than one request are kept in time. A server rests where the wait cost much of the aim;
    /// for routers that can't ask, a role whose parts together are below one rests after each wait until, on
    /// average, no more of this router's wait there than its part: by twice the usual wait at most.
    pub(super) fn ease(&mut self, w: usize, elapsed: Micros) {
        if !self.many() {
            return;
        }
        let rest = |t: Micros, part: f64| REST_MOST.min((t as f64 * (1.0 / part - 1.0).max(0.0)) as Micros);
        if !self.asks() && self.servers[w].fails < TRIP {
            let role = self.servers[w].role;
            let usual = elapsed.min(self.patience(role, 2_000, 2.0));
            let all = self.now + rest(usual, self.part(WAIT_SLOTS) * self.listed(role).len() as f64);
            self.ready[role as usize] = self.ready[role as usize].max(all);
        }
        let aim = self.settings.classes.iter().map(|c| c.first_token_target).min().unwrap_or(0);
        if elapsed as f64 > aim as f64 * REST_AIM {
            self.servers[w].rest = self.servers[w].rest.max(self.now + rest(elapsed, self.part(READ_SLOTS)));
        }
    }

    pub(super) fn heard(&mut self, w: usize) {
        let (now, server) = (self.now, &mut self.servers[w]);
        self.zones.insert(server.zone, Zone::default());
        self.heard[server.role as usize] = now;
        server.pending = (server.silent > 0).then_some(now);
        server.fails = 0;
        self.index_server(w);
    }

    pub(super) fn failed(&mut self, w: usize, weight: u32, out: &mut Vec<Action>) {
        let now = self.now;
        self.zones.entry(self.servers[w].zone).or_default().failed.insert(w);
        self.await_zone(w);
        let spread = self.spread(OPEN_FIRST, w);
        let server = &mut self.servers[w];
        server.fails = server.fails.saturating_add(weight);
        if server.silent == 0 {
            server.pending = None;
        }
        if server.fails >= TRIP {
            let times = (server.fails - TRIP).min(6);
            if now >= server.open_until {
                out.push(Action::Log(format!("open {}: {} failures in a row", server.id, server.fails)));
            }
            server.open_until = now + (spread << times).min(OPEN_MOST);
        }
        self.index_server(w);
    }
}
