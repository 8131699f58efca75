//! Scheduling decisions of one conductor. Types, events and actions are in `src/interface.rs`.
//!
//! Ordinary path: a request is sent as soon as its prefill server and some decode server have room within
//! this conductor's share of their slots; until then it is queued. The queue is served shortest prompt first,
//! with starved requests ahead. The prefix hash selects the prefill server. The decode server is selected
//! when the prefill has ended, by the fewest streams of this conductor.

mod candidates;
mod figures;
mod fleet_index;
pub mod handover;
mod health;
mod placement;
mod queue;
mod reconfigure;
mod slow_start;

use std::collections::{BTreeMap, BTreeSet};

use crate::hash::{hash, share_of, DEFAULT_SALT};
use crate::interface::*;

/// Prefills that all conductors together have at one prefill server, and requests that wait at a mixed
/// server. This is some tenths of a second of prefill work: the rest waits in the conductors, in their order.
const PREFILL_SLOTS: f64 = 12.0;
/// Smallest share of all conductors' capacity and quotas.
const MIN_QUOTA_SHARE: f64 = 1e-6;
/// Backoff after the first rejection by a full server; it doubles with each rejection in a row.
const INITIAL_SERVER_BACKOFF: Micros = 200_000;
/// Longest backoff of a server, and longest delay of sends to a role after a wait.
const MAX_SERVER_BACKOFF: Micros = 12_000_000;
/// Target queue length at one server for all conductors together where shares are fractional (see
/// `Router::has_fractional_shares`).
const TARGET_QUEUE_LENGTH: f64 = 4.0;
/// How long a session's last prefill server is remembered: about as long as the server keeps the KV cache.
const CACHED_SESSION_TTL: Micros = 60_000_000;
/// Share of `Settings::cache_release_timeout` after which a KV cache is released, even while an attempt that
/// has not been acknowledged is in flight. Such an attempt may never have arrived, and the timeout goes on. A
/// release does not affect an attempt that has arrived: it frees only what no attempt waits for.
const CACHE_RELEASE_SHARE: f64 = 0.75;
/// Share of the time until its deadline after which a queued request beyond its tenant's quota is refused.
const OVER_QUOTA_WAIT_SHARE: f64 = 0.1;
/// Longest retry-after for a request that has used up its attempts without meeting overload.
const MAX_RETRY_AFTER_EXHAUSTED: Micros = 200_000;
/// Shortest interval between two sweeps over the requests.
const SWEEP_INTERVAL: Micros = 10_000;
/// Longest delay assumed between a process's last look at its clock and the write to the socket.
const MAX_WRITE_DELAY: Micros = 150_000;
/// Attempt timeout, as a multiple of the expected duration of the stage.
const ATTEMPT_TIMEOUT_MULTIPLE: f64 = 6.0;
/// Lower bound of the attempt timeout, except where a deadline cuts it short.
const MIN_ATTEMPT_TIMEOUT: Micros = 700_000;
/// Consecutive failures that open a server's circuit breaker.
const BREAKER_FAILURE_THRESHOLD: u32 = 2;
/// Time for which a circuit breaker is open at first; also the delay before a lost list is requested again.
const INITIAL_BREAKER_TIMEOUT: Micros = 500_000;
/// How long a prefill server's answer to a probe is used where shares are fractional: as long as a probe may
/// take.
const PROBE_RESULT_TTL: Micros = 250_000;

/// Progress of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    /// Waits in the conductor until a server has room.
    #[default]
    Queued,
    /// An attempt is in flight at a prefill server.
    Prefilling,
    /// The KV cache waits at the prefill server; no attempt is in flight.
    PrefillDone,
    /// An attempt is in flight at a decode server, or at a mixed server for both stages.
    Decoding,
    /// The answer is streaming to the client.
    Streaming,
    /// The request has its final answer; an attempt is still in flight.
    Answered,
}

/// An open request.
#[derive(Default)]
struct Request {
    query: Query,
    /// Hash of the shared prefix, or of the session where there is none.
    prefix_hash: u64,
    arrived_at: Micros,
    deadline: Micros,
    /// Arrival, or the end of the last attempt.
    ready_since: Micros,
    phase: Phase,
    attempts: u32,
    /// The attempt in flight: server index, send time, tokens charged to the server.
    in_flight: Option<(usize, Micros, u64)>,
    /// Index of the prefill server that holds the KV cache, and the time since which no attempt that is known
    /// to have arrived has used the cache.
    kv_cache: Option<(usize, Micros)>,
    /// A prefill server may hold a KV cache for the request.
    may_hold_cache: bool,
    /// The server whose KV cache was released while an unacknowledged attempt was in flight. If that attempt
    /// had arrived, the release freed nothing, and the cache is still there when the attempt ends.
    released_during_attempt: Option<usize>,
    /// Server index and send time of the first attempt that may have run.
    first_execution: Option<(usize, Micros)>,
    /// Servers at which an attempt of the request failed.
    failed_servers: Vec<usize>,
    is_over_quota: bool,
    /// Time from arrival within which the first token is wanted.
    first_token_target: Micros,
    /// Stage of the last attempt.
    stage: Stage,
    /// No prefill end or first token of the attempt in flight has come yet.
    is_unacknowledged: bool,
    /// The deadline shortens the attempt's timeout: a timeout does not count as a failure of the server.
    has_shortened_timeout: bool,
    /// An attempt was rejected or timed out, so the servers are overloaded.
    has_met_overload: bool,
    /// Rankings of the servers of each role for the request.
    ranking_caches: [candidates::RankingCache; 3],
}

/// A listed server, or one that open requests still refer to.
#[derive(Default)]
struct Server {
    id: Id,
    hash: u64,
    rack: u64,
    zone: usize,
    kind: usize,
    role: Stage,
    started_at: Micros,
    is_up: bool,
    prefills: u32,
    streams: u32,
    /// Attempts in flight without a prefill end or a first token so far.
    unacknowledged: u32,
    /// Tokens of the attempts in flight.
    charged_tokens: u64,
    consecutive_failures: u32,
    breaker_open_until: Micros,
    consecutive_rejections: u32,
    /// Nothing new is sent before this time.
    backoff_until: Micros,
    /// Send time of the oldest unacknowledged attempt, or the last response if that came later.
    unanswered_since: Option<Micros>,
    /// In slow start, the time before which nothing more is sent.
    next_slow_start_send_at: Micros,
    /// Decaying rate of ended prefills and started answers, per second.
    completion_rate: f64,
    rate_updated_at: Micros,
    /// Requests of all conductors that the server last reported, plus own sends since.
    reported_outstanding: f64,
    reported_at: Micros,
    has_probe_in_flight: bool,
}

/// Failures of one zone's servers, seen together.
#[derive(Default)]
struct Zone {
    /// Servers that failed since the last response from the zone.
    failed_servers: BTreeSet<usize>,
    /// Trial attempts since the zone was cut off.
    trial_count: u32,
    next_trial_at: Micros,
}

/// What an attempt does, and what servers of a role are for. `Mixed` is prefill and decode in one attempt.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum Stage {
    #[default]
    Prefill,
    Decode,
    Mixed,
}

/// The decisions of one conductor. Instances share nothing.
#[derive(Default)]
pub struct Router {
    settings: Settings,
    seed: u64,
    now: Micros,
    servers: Vec<Server>,
    /// Index in `servers` of each server that is listed or not evicted yet.
    server_indices: BTreeMap<Id, usize>,
    fleet: fleet_index::FleetIndex,
    /// Indices in `servers` that no server uses.
    free_indices: Vec<usize>,
    requests: BTreeMap<Id, Request>,
    queued: BTreeSet<Id>,
    /// How many queued requests the previous event tried before it reached its scan limit.
    tried_count: usize,
    /// Estimated time for each token of a stage, in microseconds.
    us_per_token: [f64; 3],
    zones: BTreeMap<usize, Zone>,
    /// For each role, the time before which no queued request is sent where shares are fractional.
    next_send_at: [Micros; 3],
    /// When a server of each role last responded.
    last_response_at: [Micros; 3],
    /// Requests left in each tenant's quota, and when that was computed.
    quota_levels: Vec<(f64, Micros)>,
    /// For each session: the server that prefilled its last prompt, the prompt's tokens, and the time.
    cached_sessions: BTreeMap<Id, (usize, u64, Micros)>,
    /// When a starved request was last sent ahead of the others.
    promoted_at: Micros,
    /// When a request that had waited was last given up. For one first-token target from then on, a request
    /// that would come too late is given up on arrival, and takes no room.
    last_give_up_at: Micros,
    /// Token of the sweep timer; 0 before the first event.
    timer_token: u64,
    is_closing: bool,
    next_list_poll_at: Option<Micros>,
    /// The share of all conductors' capacity and quotas that has been granted to this one.
    granted_quota_share: Option<f64>,
    foreign_work: handover::OpenWork,
}

impl Router {
    /// A router without servers.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let quota_levels = settings.tenants.iter().map(|tenant| (tenant.quota_per_s, 0)).collect();
        let next_list_poll_at = settings.list_poll_interval.map(|_| 0);
        let us_per_token = [100.0, 50.0, 150.0];
        Router { settings, seed, us_per_token, quota_levels, next_list_poll_at, ..Router::default() }
    }

    /// Handles one event and appends the actions to carry out.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.fleet.begin_event();
        if self.timer_token == 0 {
            self.set_sweep_timer(actions);
        }
        match event {
            Event::Members { kind, entries } => self.update_servers(kind, entries, actions),
            Event::Query(query) => self.enqueue(query, actions),
            Event::AnswerStarted { id, attempt, elapsed } => self.answer_started(&id, attempt, elapsed),
            Event::AttemptEnded { id, attempt, outcome, elapsed, cached_tokens, finished, .. } => {
                self.attempt_ended(&id, attempt, outcome, elapsed, cached_tokens, finished, actions);
            }
            Event::ClientGone { id } => self.end_request(&id, false, actions),
            Event::Closing => self.close(actions),
            Event::Settings(settings) => self.reconfigure(settings),
            Event::QuotaShare { share } => {
                self.granted_quota_share = Some(share.clamp(MIN_QUOTA_SHARE, 1.0));
            }
            Event::TimerFired { token } if token == self.timer_token => {
                self.sweep(actions);
                self.set_sweep_timer(actions);
                // With hundreds of conductors, the queue is dispatched at one timer in five only: what the
                // passing of time alone allows can wait a little.
                if self.has_fractional_shares() && self.timer_token % 5 > 0 {
                    return;
                }
            }
            Event::ProbeEnded { server, outcome, load } => self.probe_ended(&server, outcome, load, actions),
            Event::SlotReservation { .. } | Event::TimerFired { .. } => {}
        }
        self.dispatch_queued(actions);
    }

    /// Inverse of this conductor's share: how many conductors with an equal share there would be.
    fn equivalent_conductors(&self) -> f64 {
        self.granted_quota_share.map_or(f64::from(self.settings.conductors), |share| 1.0 / share)
    }

    /// Records how many requests of all conductors a probed server has.
    fn probe_ended(
        &mut self,
        id: &Id,
        outcome: Outcome,
        load: Option<LoadReport>,
        actions: &mut Vec<Action>,
    ) {
        let Some(&server_index) = self.server_indices.get(id) else { return };
        self.servers[server_index].has_probe_in_flight = false;
        self.servers[server_index].reported_at = self.now;
        self.servers[server_index].reported_outstanding = match outcome {
            Outcome::Served => load.and_then(|load| load.outstanding).unwrap_or(0.0),
            Outcome::NoConnection | Outcome::NoAnswer => PREFILL_SLOTS,
            // The server drains or gets too many probes: counts as one below its limit.
            _ => PREFILL_SLOTS - 1.0,
        };
        match outcome {
            Outcome::NoConnection | Outcome::NoAnswer => {
                self.record_failure(server_index, BREAKER_FAILURE_THRESHOLD, actions)
            }
            _ => self.record_response(server_index),
        }
    }

    /// Whether prefill servers are probed for their load. A conductor that sends to a server once in many
    /// seconds can't tell from its own prefills how many others are there.
    fn uses_load_probes(&self) -> bool {
        self.has_fractional_shares() && self.settings.may_probe
    }

    fn reported_outstanding(&self, server_index: usize) -> Option<f64> {
        let server = &self.servers[server_index];
        (server.reported_at > 0 && self.now < server.reported_at + PROBE_RESULT_TTL)
            .then_some(server.reported_outstanding)
    }

    fn set_sweep_timer(&mut self, actions: &mut Vec<Action>) {
        self.timer_token += 1;
        actions.push(Action::SetTimer {
            delay: SWEEP_INTERVAL.max(self.settings.min_call_interval),
            token: self.timer_token,
        });
    }

    fn update_servers(&mut self, kind: ListUpdateKind, entries: Vec<ServerEntry>, actions: &mut Vec<Action>) {
        match kind {
            ListUpdateKind::SourceUnavailable if self.settings.list_poll_interval.is_some() => {
                self.next_list_poll_at = Some(self.now + INITIAL_BREAKER_TIMEOUT);
            }
            // A server that a complete list lacks is gone.
            ListUpdateKind::Full | ListUpdateKind::StaleCopy => {
                self.servers.iter_mut().for_each(|server| server.is_up = false)
            }
            _ => {}
        }
        let mut restarted = Vec::new();
        let mut known_restarts: Option<(Id, usize)> = None;
        for entry in entries {
            let Some(&role) = self.settings.roles.get(entry.kind) else { continue };
            let known = self.server_indices.get(&entry.server).copied();
            let server_index = known.unwrap_or_else(|| self.free_indices.pop().unwrap_or(self.servers.len()));
            if known.is_none() {
                self.server_indices.insert(entry.server.clone(), server_index);
                let (hash, id, kind) = (hash(&entry.server, DEFAULT_SALT), entry.server, entry.kind);
                self.servers.resize_with(self.servers.len().max(server_index + 1), Server::default);
                self.servers[server_index] =
                    Server { hash, id, kind, role: stage_of(role), ..Server::default() };
            }
            let server = &mut self.servers[server_index];
            (server.is_up, server.rack, server.zone) = (entry.health == Health::Up, entry.rack, entry.zone);
            if known.is_none() || entry.started > server.started_at {
                server.started_at = entry.started;
                (server.consecutive_failures, server.breaker_open_until) = (0, 0);
                self.zones.remove(&server.zone);
                if known.is_some() {
                    let restarts = known_restarts.get_or_insert_with(|| (server.id.clone(), 0_usize));
                    restarts.1 += 1;
                }
                restarted.push(server_index);
            }
        }
        if let Some((first, count)) = known_restarts {
            actions.push(Action::Log(format!("restarted: slow start of {count}, {first} among them")));
        }
        self.rebuild_fleet_index();
        // After the index is complete, because the rate of warm servers is a mean over the whole role.
        restarted.into_iter().for_each(|server_index| self.begin_slow_start(server_index));
    }

    /// Evicts servers that are gone and that no open request refers to, and frees their indices.
    fn evict_gone_servers(&mut self) {
        let mut is_referenced = vec![false; self.servers.len()];
        for request in self.requests.values() {
            let indices = [
                request.in_flight.map(|attempt| attempt.0),
                request.kv_cache.map(|cache| cache.0),
                request.first_execution.map(|execution| execution.0),
            ];
            let referenced = indices.into_iter().flatten().chain(request.released_during_attempt);
            referenced
                .chain(request.failed_servers.iter().copied())
                .for_each(|server_index| is_referenced[server_index] = true);
        }
        let gone = |server_index: &usize| {
            !self.servers[*server_index].is_up
                && !is_referenced[*server_index]
                && !self.servers[*server_index].id.is_empty()
        };
        let gone: BTreeSet<usize> = (0..self.servers.len()).filter(gone).collect();
        for &server_index in &gone {
            let server = std::mem::take(&mut self.servers[server_index]);
            self.server_indices.remove(&server.id);
            self.free_indices.push(server_index);
        }
        self.cached_sessions.retain(|_, session| !gone.contains(&session.0));
        if !gone.is_empty() {
            self.rebuild_fleet_index();
        }
        self.zones
            .values_mut()
            .for_each(|zone| zone.failed_servers.retain(|server_index| !gone.contains(server_index)));
    }

    fn enqueue(&mut self, query: Query, actions: &mut Vec<Action>) {
        if self.requests.contains_key(&query.id) {
            return;
        }
        let class = &query.class;
        let for_prompt = |per_ktoken: Micros| per_ktoken.saturating_mul(query.prompt_tokens) / 1_000;
        let deadline = class.deadline + 2 * for_prompt(class.first_token_target_per_ktoken);
        // A client retry has waited before; the budget that is left tells how long.
        let waited = if query.is_client_retry { deadline.saturating_sub(query.budget) } else { 0 };
        let first_token_target = (class.first_token_target + for_prompt(class.first_token_target_per_ktoken))
            .saturating_sub(waited);
        let is_over_quota = query.tenant.is_some_and(|tenant| self.charge_quota(tenant));
        let request = Request {
            prefix_hash: hash(query.prefix.as_ref().unwrap_or(&query.session), DEFAULT_SALT),
            arrived_at: self.now,
            deadline: self.now + query.budget,
            ready_since: self.now,
            is_over_quota,
            first_token_target,
            query,
            ..Request::default()
        };
        let id = request.query.id.clone();
        self.queued.insert(id.clone());
        self.requests.insert(id.clone(), request);
        // A client's last retry may come with no time left: its answer is due before the next sweep.
        self.advance(&id, actions);
    }

    /// Charges one request to the tenant's quota; true if the quota is used up.
    fn charge_quota(&mut self, tenant: usize) -> bool {
        let Some(quota) = self.settings.tenants.get(tenant) else { return false };
        let per_s = quota.quota_per_s / self.equivalent_conductors();
        let (level, at) = &mut self.quota_levels[tenant];
        *level = (*level + per_s * (self.now - *at) as f64 / 1e6).min(per_s.max(1.0));
        *at = self.now;
        let is_used_up = *level < 1.0;
        if !is_used_up {
            *level -= 1.0;
        }
        is_used_up
    }

    fn answer_started(&mut self, id: &Id, attempt: u32, elapsed: Micros) {
        let Some(request) = self.requests.get_mut(id) else { return };
        if request.phase != Phase::Decoding || attempt + 1 != request.attempts {
            return;
        }
        request.phase = Phase::Streaming;
        (request.kv_cache, request.released_during_attempt) = (None, None);
        let stage = request.stage;
        let Some((server_index, ..)) = request.in_flight else { return };
        let tokens = request.query.prompt_tokens;
        request.is_unacknowledged = false;
        self.servers[server_index].unacknowledged -= 1;
        self.record_success(id, server_index, stage, elapsed, tokens);
    }

    #[allow(clippy::too_many_arguments)]
    fn attempt_ended(
        &mut self,
        id: &Id,
        attempt: u32,
        outcome: Outcome,
        elapsed: Micros,
        cached_tokens: u64,
        finished: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let Some((server_index, sent, tokens)) =
            request.in_flight.filter(|_| attempt + 1 == request.attempts)
        else {
            return;
        };
        request.in_flight = None;
        let (phase, prompt_tokens) = (request.phase, request.query.prompt_tokens);
        let is_prefill = self.servers[server_index].role == Stage::Prefill;
        let (stage, has_shortened_timeout) = (request.stage, request.has_shortened_timeout);
        if !is_prefill && !outcome.never_ran() && request.first_execution.is_none() {
            request.first_execution = Some((server_index, sent));
        }
        let released_during_attempt = request.released_during_attempt.take();
        // The server has responded since the send, so the attempt is likely to have arrived.
        let responded_since_send =
            self.servers[server_index].unanswered_since.is_some_and(|since| since > sent);
        if outcome == Outcome::Rejected || (responded_since_send && outcome == Outcome::NoAnswer) {
            request.kv_cache = request.kv_cache.or(released_during_attempt.map(|at| (at, self.now)));
        }
        request.may_hold_cache |= is_prefill && (outcome == Outcome::PrefillDone || !outcome.never_ran());
        if outcome == Outcome::PrefillDone {
            (request.phase, request.kv_cache) = (Phase::PrefillDone, Some((server_index, self.now)));
        } else if (phase == Phase::Prefilling && request.may_hold_cache)
            || matches!(outcome, Outcome::CacheMissing | Outcome::Failed)
            || (released_during_attempt.is_some() && request.kv_cache.is_none() && outcome != Outcome::Served)
        {
            // A prefill server that broke off, or that the decode server can't reach, may still hold the KV
            // cache. A decode server that answered with an error has fetched it, and another would only
            // reject the request.
            request.kv_cache = None;
            actions.push(Action::ReleaseCache { id: id.clone() });
        } else if outcome == Outcome::Rejected {
            // Only a response proves that the attempt had arrived and had used the KV cache until then.
            request.kv_cache.iter_mut().for_each(|cache| cache.1 = self.now);
        }
        request.ready_since = self.now;
        request.has_met_overload |= matches!(outcome, Outcome::Rejected | Outcome::NoAnswer);
        let server = &mut self.servers[server_index];
        let was_open = server.consecutive_failures >= BREAKER_FAILURE_THRESHOLD;
        server.unacknowledged -= u32::from(std::mem::take(&mut request.is_unacknowledged));
        server.charged_tokens = server.charged_tokens.saturating_sub(tokens);
        let count = if is_prefill { &mut server.prefills } else { &mut server.streams };
        *count = count.saturating_sub(1);
        self.reindex_server(server_index);
        match outcome {
            Outcome::PrefillDone => self.record_success(
                id,
                server_index,
                stage,
                elapsed,
                prompt_tokens.saturating_sub(cached_tokens),
            ),
            Outcome::Served | Outcome::CacheMissing => self.record_response(server_index),
            Outcome::Rejected => {
                // Other conductors send there too: a backoff with jitter, doubled for each rejection in a
                // row, keeps them from returning together.
                let backoff = self.jitter(
                    (INITIAL_SERVER_BACKOFF << self.servers[server_index].consecutive_rejections.min(6))
                        .min(MAX_SERVER_BACKOFF),
                    server_index,
                );
                let server = &mut self.servers[server_index];
                (server.consecutive_rejections, server.backoff_until) =
                    (server.consecutive_rejections + 1, self.now + backoff);
                self.record_response(server_index);
            }
            Outcome::Cancelled | Outcome::NotSent | Outcome::StaleConnection => {}
            Outcome::NoAnswer if has_shortened_timeout => {}
            Outcome::NoAnswer => {
                // A timeout is a sample too: when all servers are slow, timeouts grow longer.
                if matches!(phase, Phase::Prefilling | Phase::Decoding) {
                    self.record_duration(stage, elapsed, prompt_tokens);
                    self.throttle_after_wait(server_index, elapsed);
                }
                self.record_failure(server_index, 1, actions)
            }
            Outcome::NoConnection | Outcome::ConnectionLost => {
                self.record_failure(server_index, BREAKER_FAILURE_THRESHOLD, actions)
            }
            Outcome::Failed => self.record_failure(server_index, 1, actions),
        }
        if was_open && self.servers[server_index].consecutive_failures == 0 {
            actions.push(Action::Log(format!("closed {}: answers again", self.servers[server_index].id)));
        }
        if finished || phase == Phase::Answered || phase == Phase::Streaming {
            self.end_request(id, false, actions);
            return;
        }
        let Some(request) = self.requests.get_mut(id) else { return };
        if outcome != Outcome::PrefillDone {
            if outcome != Outcome::StaleConnection {
                request.failed_servers.push(server_index);
            }
            request.phase = if request.kv_cache.is_some() { Phase::PrefillDone } else { Phase::Queued };
        }
        if request.phase == Phase::Queued {
            self.queued.insert(id.clone());
        }
        self.advance(id, actions);
    }

    fn remember_session(&mut self, id: &Id, server_index: usize) {
        let Some(request) = self.requests.get(id) else { return };
        let (session, tokens) = (request.query.session.clone(), request.query.prompt_tokens);
        self.cached_sessions.insert(session, (server_index, tokens, self.now));
    }

    /// Sends a request whose prefill is done to a decode server, or ends it if nothing more can be tried.
    fn advance(&mut self, id: &Id, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else { return };
        if request.in_flight.is_some() {
            return;
        }
        // Before prefill, a request needs two attempts unless some server does both stages.
        let can_run_whole = self.settings.decode_can_prefill || !self.listed(Stage::Mixed).is_empty();
        let needed_attempts = if request.phase == Phase::Queued && !can_run_whole { 2 } else { 1 };
        let is_exhausted = request.attempts + needed_attempts > request.query.class.max_attempts;
        let waited = self.now > request.ready_since;
        let gives_up = (waited || self.now < self.last_give_up_at + request.query.class.first_token_target)
            && self.should_give_up(request);
        let is_too_late = self.is_closing || self.now + self.safety_margin() >= request.deadline || gives_up;
        let is_unrepeatable =
            matches!((request.query.class.effect, request.first_execution), (Effect::Unsafe, Some(_)));
        if is_exhausted || is_too_late || is_unrepeatable {
            self.last_give_up_at = if gives_up && waited { self.now } else { self.last_give_up_at };
            self.end_request(id, true, actions);
        } else if request.phase == Phase::PrefillDone {
            // The KV cache must not stay pinned while no decode server is available or can be reached.
            let is_expired =
                request.kv_cache.is_none_or(|cache| self.now >= cache.1 + self.cache_release_after());
            if let Some(server_index) = self.choose_decode_server(request).filter(|_| !is_expired) {
                self.send(id, server_index, actions);
            } else if is_expired {
                actions.push(Action::ReleaseCache { id: id.clone() });
                let Some(request) = self.requests.get_mut(id) else { return };
                (request.phase, request.kv_cache) = (Phase::Queued, None);
                self.queued.insert(id.clone());
            }
        }
    }

    /// Sends an attempt; false if a rule forbids it. No other function sends. It checks draining, the number
    /// of attempts, that no other attempt is in flight, the effect of a repeat, and slow start.
    fn send(&mut self, id: &Id, server_index: usize, actions: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.get(id) else { return false };
        let may_send = request.in_flight.is_none() && request.attempts < request.query.class.max_attempts;
        if !may_send || !self.may_take(request, server_index) {
            return false;
        }
        let is_prefill = self.servers[server_index].role == Stage::Prefill;
        let stage = match (is_prefill, request.kv_cache) {
            (true, _) => Stage::Prefill,
            (_, Some(_)) => Stage::Decode,
            _ => Stage::Mixed,
        };
        let query = &request.query;
        let tokens =
            if is_prefill { self.uncached_tokens(query, server_index) } else { stream_tokens(query) };
        let is_last_attempt = request.attempts + 1 >= query.class.max_attempts;
        let timeout = self
            .expected_duration(stage, query.prompt_tokens, ATTEMPT_TIMEOUT_MULTIPLE)
            .max(MIN_ATTEMPT_TIMEOUT);
        let latest_stop = request.deadline.saturating_sub(self.settings.min_call_interval + 1_000);
        // An attempt leaves two fifths of the remaining time to the next one, but gets at least half its
        // timeout.
        let latest_for_retry = self.now + (latest_stop.saturating_sub(self.now)) * 6 / 10;
        let stop_at = if is_last_attempt {
            latest_stop
        } else {
            (self.now + timeout).min(latest_for_retry.max(self.now + timeout / 2)).min(latest_stop)
        };
        let (slow_start_interval, now) = (self.slow_start_interval(server_index), self.now);
        let server = &mut self.servers[server_index];
        *if is_prefill { &mut server.prefills } else { &mut server.streams } += 1;
        server.charged_tokens += tokens;
        server.unanswered_since = server.unanswered_since.or(Some(now));
        server.unacknowledged += 1;
        server.reported_outstanding += 1.0;
        if let Some(interval) = slow_start_interval {
            server.next_slow_start_send_at = now + interval;
        }
        let server_id = server.id.clone();
        let Some(request) = self.requests.get_mut(id) else { return false };
        request.attempts += 1;
        request.in_flight = Some((server_index, now, tokens));
        (request.stage, request.is_unacknowledged, request.has_shortened_timeout) =
            (stage, true, stop_at < now + timeout / 2);
        request.phase = if is_prefill { Phase::Prefilling } else { Phase::Decoding };
        let (id, send_by) = (id.clone(), repeat_deadline(request));
        actions.push(Action::Send { id, server: server_id, stop_at: stop_at.max(now + 1), send_by });
        self.schedule_zone_trial(server_index);
        self.reindex_server(server_index);
        true
    }

    /// Ends a request: releases what servers hold for it and answers if `needs_answer`. No other function
    /// ends requests.
    fn end_request(&mut self, id: &Id, needs_answer: bool, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(id) else { return };
        if request.phase == Phase::Queued {
            self.queued.remove(id);
        }
        if needs_answer {
            let class = &request.query.class;
            // A client that resumes a stream had the first part of it from an attempt that did run.
            let is_harmless = (request.first_execution.is_none() && !request.query.resumes_stream)
                || matches!(class.effect, Effect::Safe | Effect::Keyed { scope: DedupScope::All, .. });
            // Spreads the retries of clients that are refused together.
            let spread = 0.5 + 0.5 * share_of(hash(id, self.seed));
            // A request whose attempts failed without overload may still be in time if retried soon.
            let is_exhausted = request.attempts + 1 >= class.max_attempts && !request.has_met_overload;
            let max = self.settings.max_retry_after.min(if is_exhausted {
                MAX_RETRY_AFTER_EXHAUSTED
            } else {
                Micros::MAX
            });
            let retry_after = (max as f64 * spread) as Micros;
            let id = id.clone();
            actions.push(if is_harmless { Action::Refuse { id, retry_after } } else { Action::Fail { id } });
        }
        if request.in_flight.is_none() {
            // Servers may hold a KV cache for the request, unless its stream began: that released the rest.
            if request.attempts > 0 && request.phase != Phase::Streaming {
                actions.push(Action::ReleaseCache { id: id.clone() });
            }
            self.requests.remove(id);
            return;
        }
        if request.phase != Phase::Streaming && request.phase != Phase::Answered && self.settings.may_cancel {
            actions.push(Action::Cancel { id: id.clone(), attempt: request.attempts - 1 });
        }
        request.phase = Phase::Answered;
    }

    /// Answers every request that has not begun to stream, now and from now on. An attempt in flight at a
    /// decode server may have run.
    fn close(&mut self, actions: &mut Vec<Action>) {
        self.is_closing = true;
        let is_unanswered =
            |request: &&mut Request| !matches!(request.phase, Phase::Streaming | Phase::Answered);
        let mut ids = Vec::new();
        for request in self.requests.values_mut().filter(is_unanswered) {
            if request.phase == Phase::Decoding {
                request.first_execution = request
                    .first_execution
                    .or(request.in_flight.map(|(server_index, sent, _)| (server_index, sent)));
            }
            ids.push(request.query.id.clone());
        }
        for id in ids {
            self.end_request(&id, true, actions);
        }
    }

    /// Whether a queued request has waited so long that it is given up, so that not all of a backlog is
    /// served late. Requests beyond their tenant's quota are given up earlier. This costs where late answers
    /// are worth much and few other requests wait.
    fn should_give_up(&self, request: &Request) -> bool {
        let over_quota_wait = (request.deadline - request.arrived_at) as f64 * OVER_QUOTA_WAIT_SHARE;
        let is_worth_less = request.is_over_quota && self.settings.over_quota_worth < 1.0;
        let is_surplus = is_worth_less && self.now >= request.arrived_at + over_quota_wait as Micros;
        request.phase == Phase::Queued && (is_surplus || self.now >= self.latest_start(request))
    }

    /// The time after which the first token would miss its target or the client's deadline, by the recent
    /// duration of the stages. At least half of either time remains for waiting, however long the prompt is.
    fn latest_start(&self, request: &Request) -> Micros {
        let expected = |stage| self.expected_duration(stage, request.query.prompt_tokens / 2, 1.0);
        let (both_stages, time) =
            (expected(Stage::Prefill) + expected(Stage::Decode), request.deadline - request.arrived_at);
        (request.arrived_at + request.first_token_target - both_stages.min(request.first_token_target / 2))
            .min(request.deadline - (2 * both_stages).min(time / 2))
    }

    /// Safety margin before a deadline, within which nothing new is tried.
    fn safety_margin(&self) -> Micros {
        2 * self.settings.min_call_interval + SWEEP_INTERVAL
    }

    /// Prompt tokens that a server is likely to compute: it has the session's last prompt cached if it
    /// prefilled it, and probably the shared prefix.
    fn uncached_tokens(&self, query: &Query, server_index: usize) -> u64 {
        let last = self
            .cached_sessions
            .get(&query.session)
            .filter(|session| session.0 == server_index)
            .map_or(0, |session| session.1);
        query.prompt_tokens.saturating_sub(query.prefix_tokens.max(last))
    }

    fn sweep(&mut self, actions: &mut Vec<Action>) {
        if self.next_list_poll_at.is_some_and(|at| self.now >= at) {
            self.next_list_poll_at = None;
            actions.push(Action::Watch);
        }
        if self.timer_token % 100 == 0 {
            self.cached_sessions.retain(|_, session| session.2 + CACHED_SESSION_TTL >= self.now);
            self.evict_gone_servers();
        }
        let due = |request: &&Request| match request.phase {
            Phase::Queued => {
                self.now + self.safety_margin() >= request.deadline || self.should_give_up(request)
            }
            Phase::PrefillDone => true,
            _ => false,
        };
        let ids: Vec<Id> =
            self.requests.values().filter(due).map(|request| request.query.id.clone()).collect();
        for id in ids {
            self.advance(&id, actions);
        }
        self.release_unacknowledged_caches(actions);
    }

    /// Time after which a KV cache is released, which leaves the release itself time to arrive.
    fn cache_release_after(&self) -> Micros {
        (self.settings.cache_release_timeout as f64 * CACHE_RELEASE_SHARE) as Micros
    }

    /// Releases the KV caches of unacknowledged attempts, which may never have arrived, in time for
    /// `Settings::cache_release_timeout`.
    fn release_unacknowledged_caches(&mut self, actions: &mut Vec<Action>) {
        let release_after = self.cache_release_after();
        for (id, request) in &mut self.requests {
            let awaits_response = request.phase == Phase::Decoding && request.is_unacknowledged;
            if awaits_response && request.kv_cache.is_some_and(|(_, since)| self.now >= since + release_after)
            {
                request.released_during_attempt = request.kv_cache.take().map(|cache| cache.0);
                actions.push(Action::ReleaseCache { id: id.clone() });
            }
        }
    }
}

/// Time from which a repeat of a request that may have run must not be written. A process may be delayed
/// between its last look at the clock and the write.
fn repeat_deadline(request: &Request) -> Option<Micros> {
    match (request.query.class.effect, request.first_execution) {
        (Effect::Keyed { window, .. }, Some((_, sent))) => {
            Some((sent + window).saturating_sub(MAX_WRITE_DELAY))
        }
        _ => None,
    }
}

fn stage_of(role: Role) -> Stage {
    [Stage::Prefill, Stage::Decode, Stage::Mixed][role as usize]
}

/// Tokens that a request's stream is likely to hold in a decode server's memory.
fn stream_tokens(query: &Query) -> u64 {
    query.prompt_tokens + query.max_tokens / 4
}
