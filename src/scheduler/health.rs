//! Which servers are used: circuit breakers, zones that are cut off, and what counts as slow.

use super::*;
use crate::hash::mix;
use crate::rate::decay;

/// Where parts are below one request: a wait of over this share of the aim rests the server.
const BACKOFF_TARGET_SHARE: f64 = 0.25;
/// Quiet for this many times the usual while a peer answers: suspect.
const SILENCE_MULTIPLE: f64 = 4.0;
const MIN_SILENCE: Micros = 400_000;
/// Longest time for which a circuit breaker is open.
const MAX_BREAKER_TIMEOUT: Micros = 8_000_000;
/// Servers of one zone that fail in a row, with no answer from there, before it is cut off.
const ZONE_FAILURE_THRESHOLD: usize = 3;
/// Weight of the latest sample in a stage's pace.
const PACE_SAMPLE_WEIGHT: f64 = 0.1;
/// Tokens' worth of fixed cost in a stage's pace.
const FIXED_COST_TOKENS: f64 = 500.0;

impl Router {
    /// Some servers of this zone failed one after another and none answered: rather the zone's network or
    /// power than each of them. One trial at a time is for all of the zone.
    pub(super) fn is_zone_cut_off(&self, zone: &usize) -> bool {
        self.zones.get(zone).is_some_and(|zone| {
            zone.failed_servers.len() >= ZONE_FAILURE_THRESHOLD && self.now < zone.next_trial_at
        })
    }

    /// A time with up to half more or less of it, so that routers do not try again in step.
    pub(super) fn jitter(&self, span: Micros, server_index: usize) -> Micros {
        (span as f64 * (0.5 + share_of(mix(self.servers[server_index].hash ^ self.seed ^ self.now))))
            as Micros
    }

    pub(super) fn schedule_zone_trial(&mut self, server_index: usize) {
        let (now, spread) = (self.now, self.jitter(INITIAL_BREAKER_TIMEOUT, server_index));
        let zone = self.zones.entry(self.servers[server_index].zone).or_default();
        if zone.failed_servers.len() >= ZONE_FAILURE_THRESHOLD && now >= zone.next_trial_at {
            zone.next_trial_at = now + (spread << zone.trial_count.min(4));
            zone.trial_count += 1;
        }
    }

    /// Breaker closed, or open long enough for one trial; not quiet while peers answer.
    pub(super) fn is_healthy(&self, server_index: usize) -> bool {
        let server = &self.servers[server_index];
        if server.consecutive_failures >= BREAKER_FAILURE_THRESHOLD {
            return self.now >= server.breaker_open_until && server.prefills + server.streams == 0;
        }
        let Some(pending) = server.unanswered_since else { return true };
        let limit = self.expected_duration(server.role, 2_000, SILENCE_MULTIPLE).max(MIN_SILENCE);
        self.now < pending + limit || self.last_response_at[server.role as usize] <= pending + limit / 2
    }

    pub(super) fn expected_duration(&self, stage: Stage, tokens: u64, times: f64) -> Micros {
        (self.us_per_token[stage as usize] * (tokens as f64 + FIXED_COST_TOKENS) * times) as Micros
    }

    pub(super) fn record_pace(&mut self, stage: Stage, elapsed: Micros, tokens: u64) {
        let usual = &mut self.us_per_token[stage as usize];
        *usual += (elapsed as f64 / (tokens as f64 + FIXED_COST_TOKENS) - *usual) * PACE_SAMPLE_WEIGHT;
        self.fleet.health_changed();
    }

    pub(super) fn record_success(
        &mut self,
        id: &Id,
        server_index: usize,
        stage: Stage,
        elapsed: Micros,
        tokens: u64,
    ) {
        if stage != Stage::Decode {
            self.remember_session(id, server_index);
        }
        self.record_pace(stage, elapsed, tokens);
        self.throttle_after_wait(server_index, elapsed);
        let server = &mut self.servers[server_index];
        server.consecutive_rejections = 0;
        server.completion_rate = decay(server.completion_rate, self.now - server.rate_updated_at) + 1.0 / 4.0;
        server.rate_updated_at = self.now;
        self.fleet.rates_changed();
        self.record_response(server_index);
    }

    /// Parts of less than one request are kept in time. A server rests where the wait cost much of the aim;
    /// for routers that can't ask, a role whose parts together are below one rests after each wait until, on
    /// average, no more of this router's wait there than its part: by twice the usual wait at most.
    pub(super) fn throttle_after_wait(&mut self, server_index: usize, elapsed: Micros) {
        if !self.has_fractional_shares() {
            return;
        }
        let rest =
            |t: Micros, part: f64| MAX_SERVER_BACKOFF.min((t as f64 * (1.0 / part - 1.0).max(0.0)) as Micros);
        if !self.uses_load_probes()
            && self.servers[server_index].consecutive_failures < BREAKER_FAILURE_THRESHOLD
        {
            let role = self.servers[server_index].role;
            let usual = elapsed.min(self.expected_duration(role, 2_000, 2.0));
            let all =
                self.now + rest(usual, self.own_share(TARGET_QUEUE_LENGTH) * self.listed(role).len() as f64);
            self.next_send_at[role as usize] = self.next_send_at[role as usize].max(all);
        }
        let first_token_target =
            self.settings.classes.iter().map(|c| c.first_token_target).min().unwrap_or(0);
        if elapsed as f64 > first_token_target as f64 * BACKOFF_TARGET_SHARE {
            self.servers[server_index].backoff_until = self.servers[server_index]
                .backoff_until
                .max(self.now + rest(elapsed, self.own_share(PREFILL_SLOTS)));
        }
    }

    pub(super) fn record_response(&mut self, server_index: usize) {
        let (now, server) = (self.now, &mut self.servers[server_index]);
        self.zones.insert(server.zone, Zone::default());
        self.last_response_at[server.role as usize] = now;
        server.unanswered_since = (server.unacknowledged > 0).then_some(now);
        server.consecutive_failures = 0;
        self.reindex_server(server_index);
    }

    pub(super) fn record_failure(&mut self, server_index: usize, weight: u32, actions: &mut Vec<Action>) {
        let now = self.now;
        self.zones.entry(self.servers[server_index].zone).or_default().failed_servers.insert(server_index);
        self.schedule_zone_trial(server_index);
        let spread = self.jitter(INITIAL_BREAKER_TIMEOUT, server_index);
        let server = &mut self.servers[server_index];
        server.consecutive_failures = server.consecutive_failures.saturating_add(weight);
        if server.unacknowledged == 0 {
            server.unanswered_since = None;
        }
        if server.consecutive_failures >= BREAKER_FAILURE_THRESHOLD {
            let times = (server.consecutive_failures - BREAKER_FAILURE_THRESHOLD).min(6);
            if now >= server.breaker_open_until {
                actions.push(Action::Log(format!(
                    "open {}: {} failures in a row",
                    server.id, server.consecutive_failures
                )));
            }
            server.breaker_open_until = now + (spread << times).min(MAX_BREAKER_TIMEOUT);
        }
        self.reindex_server(server_index);
    }
}
