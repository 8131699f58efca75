//! Server health: circuit breakers, zones that are cut off, and expected durations.

use super::*;
use crate::hash::mix;
use crate::rate::decay;

/// Where shares are fractional, a wait of more than this share of the shortest first-token target puts the
/// server into backoff.
const BACKOFF_TARGET_SHARE: f64 = 0.25;
/// A server that is silent for this multiple of the expected duration, while a peer responds, is unhealthy.
const SILENCE_MULTIPLE: f64 = 4.0;
/// Lower bound of the silence that counts as unhealthy.
const MIN_SILENCE: Micros = 400_000;
/// Longest time for which a circuit breaker is open before the next trial.
const MAX_BREAKER_TIMEOUT: Micros = 8_000_000;
/// Servers of one zone that fail, with no response from the zone in between, before it is cut off.
const ZONE_FAILURE_THRESHOLD: usize = 3;
/// Weight of the latest sample in the moving average of a stage's time per token.
const DURATION_SAMPLE_WEIGHT: f64 = 0.1;
/// Fixed cost of a stage, in tokens.
const FIXED_COST_TOKENS: f64 = 500.0;

impl Router {
    /// Whether a zone is cut off: several of its servers failed and none responded, so its network or power
    /// is the likely cause. Trials go to the zone as a whole, one at a time.
    pub(super) fn is_zone_cut_off(&self, zone: &usize) -> bool {
        self.zones.get(zone).is_some_and(|zone| {
            zone.failed_servers.len() >= ZONE_FAILURE_THRESHOLD && self.now < zone.next_trial_at
        })
    }

    /// A span with jitter of up to half of it in either direction, so that conductors do not retry in step.
    pub(super) fn jitter(&self, span: Micros, server_index: usize) -> Micros {
        (span as f64 * (0.5 + share_of(mix(self.servers[server_index].hash ^ self.seed ^ self.now))))
            as Micros
    }

    /// Schedules the next trial of a zone that is cut off, with exponential backoff.
    pub(super) fn schedule_zone_trial(&mut self, server_index: usize) {
        let (now, interval) = (self.now, self.jitter(INITIAL_BREAKER_TIMEOUT, server_index));
        let zone = self.zones.entry(self.servers[server_index].zone).or_default();
        if zone.failed_servers.len() >= ZONE_FAILURE_THRESHOLD && now >= zone.next_trial_at {
            zone.next_trial_at = now + (interval << zone.trial_count.min(4));
            zone.trial_count += 1;
        }
    }

    /// Whether a server's circuit breaker is closed, or open long enough for one trial, and the server is not
    /// silent while its peers respond.
    pub(super) fn is_healthy(&self, server_index: usize) -> bool {
        let server = &self.servers[server_index];
        if server.consecutive_failures >= BREAKER_FAILURE_THRESHOLD {
            return self.now >= server.breaker_open_until && server.prefills + server.streams == 0;
        }
        let Some(unanswered_since) = server.unanswered_since else { return true };
        let max_silence = self.expected_duration(server.role, 2_000, SILENCE_MULTIPLE).max(MIN_SILENCE);
        self.now < unanswered_since + max_silence
            || self.last_response_at[server.role as usize] <= unanswered_since + max_silence / 2
    }

    /// A multiple of a stage's expected duration for this many tokens.
    pub(super) fn expected_duration(&self, stage: Stage, tokens: u64, multiple: f64) -> Micros {
        (self.us_per_token[stage as usize] * (tokens as f64 + FIXED_COST_TOKENS) * multiple) as Micros
    }

    /// Adds a sample to the moving average of a stage's time per token.
    pub(super) fn record_duration(&mut self, stage: Stage, elapsed: Micros, tokens: u64) {
        let estimate = &mut self.us_per_token[stage as usize];
        *estimate +=
            (elapsed as f64 / (tokens as f64 + FIXED_COST_TOKENS) - *estimate) * DURATION_SAMPLE_WEIGHT;
        self.fleet.invalidate_health();
    }

    /// Records the end of a prefill or the start of an answer.
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
        self.record_duration(stage, elapsed, tokens);
        self.throttle_after_wait(server_index, elapsed);
        let server = &mut self.servers[server_index];
        server.consecutive_rejections = 0;
        server.completion_rate = decay(server.completion_rate, self.now - server.rate_updated_at) + 1.0 / 4.0;
        server.rate_updated_at = self.now;
        self.fleet.invalidate_rates();
        self.record_response(server_index);
    }

    /// Enforces fractional shares over time. After a wait that used much of the first-token target, the
    /// server is in backoff. Where conductors can't probe, each wait also delays further sends to a role in
    /// which this conductor's share is below one request in total, so that on average no more of its requests
    /// wait there than its share. Of such a wait, at most twice the expected duration counts.
    pub(super) fn throttle_after_wait(&mut self, server_index: usize, elapsed: Micros) {
        if !self.has_fractional_shares() {
            return;
        }
        let backoff = |wait: Micros, share: f64| {
            MAX_SERVER_BACKOFF.min((wait as f64 * (1.0 / share - 1.0).max(0.0)) as Micros)
        };
        if !self.uses_load_probes()
            && self.servers[server_index].consecutive_failures < BREAKER_FAILURE_THRESHOLD
        {
            let role = self.servers[server_index].role;
            let wait = elapsed.min(self.expected_duration(role, 2_000, 2.0));
            let next_send_at = self.now
                + backoff(wait, self.own_share(TARGET_QUEUE_LENGTH) * self.listed(role).len() as f64);
            self.next_send_at[role as usize] = self.next_send_at[role as usize].max(next_send_at);
        }
        let first_token_target =
            self.settings.classes.iter().map(|class| class.first_token_target).min().unwrap_or(0);
        if elapsed as f64 > first_token_target as f64 * BACKOFF_TARGET_SHARE {
            self.servers[server_index].backoff_until = self.servers[server_index]
                .backoff_until
                .max(self.now + backoff(elapsed, self.own_share(PREFILL_SLOTS)));
        }
    }

    /// Records that a server responded: closes its circuit breaker and ends a cut-off of its zone.
    pub(super) fn record_response(&mut self, server_index: usize) {
        let (now, server) = (self.now, &mut self.servers[server_index]);
        self.zones.insert(server.zone, Zone::default());
        self.last_response_at[server.role as usize] = now;
        server.unanswered_since = (server.unacknowledged > 0).then_some(now);
        server.consecutive_failures = 0;
        self.reindex_server(server_index);
    }

    /// Records a failure of a server, which opens its circuit breaker at the threshold.
    pub(super) fn record_failure(&mut self, server_index: usize, weight: u32, actions: &mut Vec<Action>) {
        let now = self.now;
        self.zones.entry(self.servers[server_index].zone).or_default().failed_servers.insert(server_index);
        self.schedule_zone_trial(server_index);
        let timeout = self.jitter(INITIAL_BREAKER_TIMEOUT, server_index);
        let server = &mut self.servers[server_index];
        server.consecutive_failures = server.consecutive_failures.saturating_add(weight);
        if server.unacknowledged == 0 {
            server.unanswered_since = None;
        }
        if server.consecutive_failures >= BREAKER_FAILURE_THRESHOLD {
            let doublings = (server.consecutive_failures - BREAKER_FAILURE_THRESHOLD).min(6);
            if now >= server.breaker_open_until {
                actions.push(Action::Log(format!(
                    "open {}: {} failures in a row",
                    server.id, server.consecutive_failures
                )));
            }
            server.breaker_open_until = now + (timeout << doublings).min(MAX_BREAKER_TIMEOUT);
        }
        self.reindex_server(server_index);
    }
}
