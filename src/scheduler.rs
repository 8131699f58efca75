//! Every decision of the router. Types, events and actions are in `src/interface.rs`.
//!
//! Ordinary path: a request leaves while its reader and some writer are under this router's own
//! caps, else it is held; held ones leave shortest prompt first, starved ones ahead; the prefix hashes to
//! a reader; the writer is picked after the read by fewest own streams. All else is a guard or departure.

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

use crate::hash::{hash, share_of};
use crate::interface::*;

/// Reads of all routers together at one reader (and what waits at a mixed server): some tenths of a second
/// of reading, so that the order of leaving is ours.
const PREFILL_SLOTS: f64 = 12.0;
/// A server rests after `full`, at first this long, doubling up to the most.
const INITIAL_SERVER_BACKOFF: Micros = 200_000;
const MAX_SERVER_BACKOFF: Micros = 12_000_000;
/// Where parts are below one request, all routers together want this many to wait at one server.
const TARGET_QUEUE_LENGTH: f64 = 4.0;
/// A session's last reader is remembered this long: about as long as a server's memory keeps it.
const CACHED_SESSION_TTL: Micros = 60_000_000;
/// Share of the release time after which what is held is let go, also while an attempt is out that has not
/// been heard of. It may never have arrived, and then the time of what is held goes on; to one that has
/// arrived the release does nothing, as it takes only what no attempt waits for.
const CACHE_RELEASE_SHARE: f64 = 0.75;
/// Share of a client's patience after which a held request beyond its customer's quota is refused.
const OVER_QUOTA_WAIT_SHARE: f64 = 0.1;
/// A request that has used up its attempts is told to come back within this time.
const MAX_RETRY_AFTER_EXHAUSTED: Micros = 200_000;
const SWEEP_INTERVAL: Micros = 10_000;
/// A process may be held up for so long between reading its clock and writing.
const MAX_WRITE_DELAY: Micros = 150_000;
/// Stop waiting after this many times the usual, and never before the floor.
const ATTEMPT_TIMEOUT_MULTIPLE: f64 = 6.0;
const MIN_ATTEMPT_TIMEOUT: Micros = 700_000;
/// Circuit breaker: failures in a row that open it, and the first time for which it is open.
const BREAKER_FAILURE_THRESHOLD: u32 = 2;
const INITIAL_BREAKER_TIMEOUT: Micros = 500_000;
/// Where parts are below one request: what a reader says that it holds counts for this long, as long as a
/// probe may take.
const PROBE_RESULT_TTL: Micros = 250_000;

/// Where a request stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    /// Waits here for room.
    #[default]
    Queued,
    /// Out at a reader.
    Prefilling,
    /// Read; its state waits at the reader, no attempt is out.
    PrefillDone,
    /// Out at a writer, or whole at a mixed server.
    Decoding,
    /// Its answer runs.
    Streaming,
    /// Answered; an attempt is still out.
    Answered,
}

#[derive(Default)]
struct Request {
    query: Query,
    prefix_hash: u64,
    arrived_at: Micros,
    deadline: Micros,
    ready_since: Micros,
    phase: Phase,
    attempts: u32,
    /// The attempt that is out: server, send time, tokens charged to it.
    in_flight: Option<(usize, Micros, u64)>,
    /// The reader whose memory holds the state, and since when no attempt took it that is known to have
    /// reached a server.
    kv_cache: Option<(usize, Micros)>,
    /// Some reader may hold something for it.
    may_hold_cache: bool,
    /// The server whose state a release went out for, beside the attempt that is out and has not been heard
    /// of. It took nothing if that attempt had arrived and waits; what it waits for is still held when it
    /// ends.
    released_during_attempt: Option<usize>,
    /// Server and send time of the first attempt that may have run.
    first_execution: Option<(usize, Micros)>,
    /// Servers that failed it.
    failed_servers: Vec<usize>,
    is_over_quota: bool,
    /// The first token is wanted within this time from its arrival.
    first_token_target: Micros,
    /// What the last attempt is there for.
    stage: Stage,
    /// The attempt that is out has not been heard of yet.
    is_unacknowledged: bool,
    /// Its wait is cut short by the deadline: if nothing comes, that is no mark against its server.
    has_shortened_timeout: bool,
    /// An attempt was turned away or not answered in time: its servers have too much to do.
    has_met_overload: bool,
    /// What has been found out for it about the servers of each role.
    ranking_caches: [candidates::RankingCache; 3],
}

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
    /// Attempts out that have not been heard of: no read done, no first token.
    unacknowledged: u32,
    charged_tokens: u64,
    consecutive_failures: u32,
    breaker_open_until: Micros,
    /// Times turned away in a row; nothing new from here before `rest`.
    consecutive_rejections: u32,
    backoff_until: Micros,
    /// Send time of the oldest attempt since it was last heard.
    unanswered_since: Option<Micros>,
    /// Slow start: when the next send is due.
    next_slow_start_send_at: Micros,
    /// Reads done and answers begun lately, a second.
    completion_rate: f64,
    rate_updated_at: Micros,
    /// What it last said that it holds for all routers, and when; a probe is out.
    reported_outstanding: f64,
    reported_at: Micros,
    has_probe_in_flight: bool,
}

/// What a router's servers in one zone have shown it together.
#[derive(Default)]
struct Zone {
    /// Servers that failed since one there was last heard.
    failed_servers: BTreeSet<usize>,
    /// Trials since then, and when the next is due.
    trial_count: u32,
    next_trial_at: Micros,
}

/// What an attempt does and a role is there for: to read, to write (to the first token), or both.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum Stage {
    #[default]
    Prefill,
    Decode,
    Mixed,
}

/// One router's decisions. Instances share nothing.
#[derive(Default)]
pub struct Router {
    settings: Settings,
    seed: u64,
    now: Micros,
    servers: Vec<Server>,
    server_indices: BTreeMap<Id, usize>,
    fleet: fleet_index::FleetIndex,
    /// Places among the servers that nobody has.
    free_indices: Vec<usize>,
    requests: BTreeMap<Id, Request>,
    queued: BTreeSet<Id>,
    /// So many of those that are held were tried with the event before, which had no time for the rest.
    tried_count: usize,
    us_per_token: [f64; 3],
    zones: BTreeMap<usize, Zone>,
    /// When the next may leave for each role.
    next_send_at: [Micros; 3],
    /// When some server of each role was last heard.
    last_response_at: [Micros; 3],
    quota_levels: Vec<(f64, Micros)>,
    /// Where each session's last prompt was read, its length, and when.
    cached_sessions: BTreeMap<Id, (usize, u64, Micros)>,
    promoted_at: Micros,
    /// When one that had waited was last given up: for an aim, what comes too late takes no room.
    last_give_up_at: Micros,
    timer_token: u64,
    is_closing: bool,
    next_list_poll_at: Option<Micros>,
    /// As many routers like this one would share all there is: one part's inverse.
    equivalent_conductors: f64,
    foreign_work: handover::OpenWork,
}

impl Router {
    /// A router that knows no server yet.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let quota_levels = settings.tenants.iter().map(|t| (t.quota_per_s, 0)).collect();
        let next_list_poll_at = settings.list_poll_interval.map(|_| 0);
        let equivalent_conductors = f64::from(settings.conductors);
        let us_per_token = [100.0, 50.0, 150.0];
        Router {
            settings,
            seed,
            us_per_token,
            quota_levels,
            next_list_poll_at,
            equivalent_conductors,
            ..Router::default()
        }
    }

    /// Takes one event and appends what to do.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.fleet.begin_event();
        if self.timer_token == 0 {
            self.set_sweep_timer(actions);
        }
        match event {
            Event::Members { form, entries } => self.update_servers(form, entries, actions),
            Event::Query(query) => self.enqueue(query, actions),
            Event::AnswerStarted { id, attempt, elapsed } => self.answer_started(&id, attempt, elapsed),
            Event::AttemptEnded { id, attempt, outcome, elapsed, cached_tokens, finished, .. } => {
                self.attempt_ended(&id, attempt, outcome, elapsed, cached_tokens, finished, actions);
            }
            Event::ClientGone { id } => self.end_request(&id, false, actions),
            Event::Closing => self.close(actions),
            Event::Settings(settings) => self.reconfigure(settings),
            Event::QuotaShare { share: part } => self.equivalent_conductors = 1.0 / part.clamp(1e-6, 1.0),
            Event::TimerFired { token } if token == self.timer_token => {
                self.sweep(actions);
                self.set_sweep_timer(actions);
                // Hundreds of routers ring often; what time alone opens can wait a little there.
                if self.has_fractional_shares() && self.timer_token % 5 > 0 {
                    return;
                }
            }
            Event::ProbeEnded { server, outcome, load } => self.probe_ended(&server, outcome, load, actions),
            Event::SlotReservation { .. } | Event::TimerFired { .. } => {}
        }
        self.dispatch_queued(actions);
    }

    /// A reader says what all routers together have there.
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
            Outcome::Served => load.and_then(|l| l.outstanding).unwrap_or(0.0),
            Outcome::NoConnection | Outcome::NoAnswer => PREFILL_SLOTS,
            // It drains, or too many ask it: the last that is taken.
            _ => PREFILL_SLOTS - 1.0,
        };
        match outcome {
            Outcome::NoConnection | Outcome::NoAnswer => {
                self.record_failure(server_index, BREAKER_FAILURE_THRESHOLD, actions)
            }
            _ => self.record_response(server_index),
        }
    }

    /// Routers that meet a reader once in many seconds can't know from their own reads what all the others
    /// have there.
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

    // The list of servers.

    fn update_servers(&mut self, form: ListUpdateKind, entries: Vec<ServerEntry>, actions: &mut Vec<Action>) {
        match form {
            ListUpdateKind::SourceUnavailable if self.settings.list_poll_interval.is_some() => {
                self.next_list_poll_at = Some(self.now + INITIAL_BREAKER_TIMEOUT);
            }
            // A complete list that lacks a server means that it is gone.
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
                let (hash, id, kind) = (hash(&entry.server, 0), entry.server, entry.kind);
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
        // Once for all of them, as what warm servers take is summed over the whole role.
        restarted.into_iter().for_each(|server_index| self.begin_slow_start(server_index));
    }

    /// What has gone, and is no part of an open request, leaves its place to the next that comes.
    fn evict_gone_servers(&mut self) {
        let mut named = vec![false; self.servers.len()];
        for r in self.requests.values() {
            let first = [
                r.in_flight.map(|attempt| attempt.0),
                r.kv_cache.map(|s| s.0),
                r.first_execution.map(|ran| ran.0),
            ];
            let named_by = first.into_iter().flatten().chain(r.released_during_attempt);
            named_by
                .chain(r.failed_servers.iter().copied())
                .for_each(|server_index| named[server_index] = true);
        }
        let gone = |server_index: &usize| {
            !self.servers[*server_index].is_up
                && !named[*server_index]
                && !self.servers[*server_index].id.is_empty()
        };
        let gone: BTreeSet<usize> = (0..self.servers.len()).filter(gone).collect();
        for &server_index in &gone {
            let server = std::mem::take(&mut self.servers[server_index]);
            self.server_indices.remove(&server.id);
            self.free_indices.push(server_index);
        }
        self.cached_sessions.retain(|_, k| !gone.contains(&k.0));
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
        let per_token = |us: Micros| us.saturating_mul(query.prompt_tokens) / 1_000;
        let deadline = class.deadline + 2 * per_token(class.first_token_target_per_ktoken);
        // A repeat has waited before: what its client has left of its patience tells how long.
        let waited = if query.is_client_retry { deadline.saturating_sub(query.budget) } else { 0 };
        let first_token_target = (class.first_token_target + per_token(class.first_token_target_per_ktoken))
            .saturating_sub(waited);
        let is_over_quota = query.tenant.is_some_and(|t| self.charge_quota(t));
        let request = Request {
            prefix_hash: hash(query.prefix.as_ref().unwrap_or(&query.session), 0),
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
        // A client's last try may come with no time left: the answer is due before the next sweep.
        self.advance(&id, actions);
    }

    fn charge_quota(&mut self, tenant: usize) -> bool {
        let Some(quota) = self.settings.tenants.get(tenant) else { return false };
        let per_s = quota.quota_per_s / self.equivalent_conductors;
        let (level, at) = &mut self.quota_levels[tenant];
        *level = (*level + per_s * (self.now - *at) as f64 / 1e6).min(per_s.max(1.0));
        *at = self.now;
        let over = *level < 1.0;
        if !over {
            *level -= 1.0;
        }
        over
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
        kept: u64,
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
        let (phase, prompt) = (request.phase, request.query.prompt_tokens);
        let reading = self.servers[server_index].role == Stage::Prefill;
        let (stage, cut) = (request.stage, request.has_shortened_timeout);
        if !reading && !outcome.never_ran() && request.first_execution.is_none() {
            request.first_execution = Some((server_index, sent));
        }
        let released_during_attempt = request.released_during_attempt.take();
        // Heard of meanwhile, so that the attempt is likely to have arrived.
        let alive = self.servers[server_index].unanswered_since.is_some_and(|pending| pending > sent);
        if outcome == Outcome::Rejected || (alive && outcome == Outcome::NoAnswer) {
            request.kv_cache = request.kv_cache.or(released_during_attempt.map(|at| (at, self.now)));
        }
        request.may_hold_cache |= reading && (outcome == Outcome::PrefillDone || !outcome.never_ran());
        if outcome == Outcome::PrefillDone {
            (request.phase, request.kv_cache) = (Phase::PrefillDone, Some((server_index, self.now)));
        } else if (phase == Phase::Prefilling && request.may_hold_cache)
            || matches!(outcome, Outcome::CacheMissing | Outcome::Failed)
            || (released_during_attempt.is_some() && request.kv_cache.is_none() && outcome != Outcome::Served)
        {
            // A reader that broke off or is cut off from the writer may still hold the state. A writer that
            // answered, though badly, had fetched it: another would only turn the request away.
            request.kv_cache = None;
            actions.push(Action::ReleaseCache { id: id.clone() });
        } else if outcome == Outcome::Rejected {
            // Only an answer proves that the attempt had arrived and had taken what is held until then.
            request.kv_cache.iter_mut().for_each(|state| state.1 = self.now);
        }
        request.ready_since = self.now;
        request.has_met_overload |= matches!(outcome, Outcome::Rejected | Outcome::NoAnswer);
        let server = &mut self.servers[server_index];
        let open = server.consecutive_failures >= BREAKER_FAILURE_THRESHOLD;
        server.unacknowledged -= u32::from(std::mem::take(&mut request.is_unacknowledged));
        server.charged_tokens = server.charged_tokens.saturating_sub(tokens);
        let count = if reading { &mut server.prefills } else { &mut server.streams };
        *count = count.saturating_sub(1);
        self.reindex_server(server_index);
        match outcome {
            Outcome::PrefillDone => {
                self.record_success(id, server_index, stage, elapsed, prompt.saturating_sub(kept))
            }
            Outcome::Served | Outcome::CacheMissing => self.record_response(server_index),
            Outcome::Rejected => {
                // Full: others send there too. It rests, longer each time in a row, so that no herd returns.
                let rest = self.jitter(
                    (INITIAL_SERVER_BACKOFF << self.servers[server_index].consecutive_rejections.min(6))
                        .min(MAX_SERVER_BACKOFF),
                    server_index,
                );
                let server = &mut self.servers[server_index];
                (server.consecutive_rejections, server.backoff_until) =
                    (server.consecutive_rejections + 1, self.now + rest);
                self.record_response(server_index);
            }
            Outcome::Cancelled | Outcome::NotSent | Outcome::StaleConnection => {}
            Outcome::NoAnswer if cut => {}
            Outcome::NoAnswer => {
                // A wait that was given up is a sample too: when all are slow, waits grow longer.
                if matches!(phase, Phase::Prefilling | Phase::Decoding) {
                    self.record_pace(stage, elapsed, prompt);
                    self.throttle_after_wait(server_index, elapsed);
                }
                self.record_failure(server_index, 1, actions)
            }
            Outcome::NoConnection | Outcome::ConnectionLost => {
                self.record_failure(server_index, BREAKER_FAILURE_THRESHOLD, actions)
            }
            Outcome::Failed => self.record_failure(server_index, 1, actions),
        }
        if open && self.servers[server_index].consecutive_failures == 0 {
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

    /// Takes a request that is read to a writer, or ends it where nothing more can be tried.
    fn advance(&mut self, id: &Id, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else { return };
        if request.in_flight.is_some() {
            return;
        }
        // What is not read yet wants a reader and a writer, where nobody does both.
        let whole = self.settings.decode_can_prefill || !self.listed(Stage::Mixed).is_empty();
        let steps = if request.phase == Phase::Queued && !whole { 2 } else { 1 };
        let spent = request.attempts + steps > request.query.class.max_attempts;
        let waited = self.now > request.ready_since;
        let held = (waited || self.now < self.last_give_up_at + request.query.class.first_token_target)
            && self.should_give_up(request);
        let late = self.is_closing || self.now + self.safety_margin() >= request.deadline || held;
        let stuck =
            matches!((request.query.class.effect, request.first_execution), (Effect::Unsafe, Some(_)));
        if spent || late || stuck {
            self.last_give_up_at = if held && waited { self.now } else { self.last_give_up_at };
            self.end_request(id, true, actions);
        } else if request.phase == Phase::PrefillDone {
            // Its state must not stay pinned, whether no writer can be named or none can be reached.
            let pinned = request.kv_cache.is_none_or(|s| self.now >= s.1 + self.cache_release_after());
            if let Some(server_index) = self.choose_decode_server(request).filter(|_| !pinned) {
                self.send(id, server_index, actions);
            } else if pinned {
                actions.push(Action::ReleaseCache { id: id.clone() });
                let Some(request) = self.requests.get_mut(id) else { return };
                (request.phase, request.kv_cache) = (Phase::Queued, None);
                self.queued.insert(id.clone());
            }
        }
    }

    /// The one place that sends. Its guards: drain, attempts, one out at a time, effect, cold.
    fn send(&mut self, id: &Id, server_index: usize, actions: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.get(id) else { return false };
        let allowed = request.in_flight.is_none() && request.attempts < request.query.class.max_attempts;
        if !allowed || !self.may_take(request, server_index) {
            return false;
        }
        let reading = self.servers[server_index].role == Stage::Prefill;
        let stage = match (reading, request.kv_cache) {
            (true, _) => Stage::Prefill,
            (_, Some(_)) => Stage::Decode,
            _ => Stage::Mixed,
        };
        let query = &request.query;
        let tokens = if reading { self.uncached_tokens(query, server_index) } else { stream_tokens(query) };
        let last = request.attempts + 1 >= query.class.max_attempts;
        let limit = self
            .expected_duration(stage, query.prompt_tokens, ATTEMPT_TIMEOUT_MULTIPLE)
            .max(MIN_ATTEMPT_TIMEOUT);
        let latest = request.deadline.saturating_sub(self.settings.min_call_interval + 1_000);
        let half = self.now + (latest.saturating_sub(self.now)) * 6 / 10;
        let stop_at =
            if last { latest } else { (self.now + limit).min(half.max(self.now + limit / 2)).min(latest) };
        let (gap, now) = (self.slow_start_interval(server_index), self.now);
        let server = &mut self.servers[server_index];
        *if reading { &mut server.prefills } else { &mut server.streams } += 1;
        server.charged_tokens += tokens;
        server.unanswered_since = server.unanswered_since.or(Some(now));
        server.unacknowledged += 1;
        server.reported_outstanding += 1.0;
        if let Some(gap) = gap {
            server.next_slow_start_send_at = now + gap;
        }
        let server_id = server.id.clone();
        let Some(request) = self.requests.get_mut(id) else { return false };
        request.attempts += 1;
        request.in_flight = Some((server_index, now, tokens));
        (request.stage, request.is_unacknowledged, request.has_shortened_timeout) =
            (stage, true, stop_at < now + limit / 2);
        request.phase = if reading { Phase::Prefilling } else { Phase::Decoding };
        let (id, send_by) = (id.clone(), repeat_deadline(request));
        actions.push(Action::Send { id, server: server_id, stop_at: stop_at.max(now + 1), send_by });
        self.schedule_zone_trial(server_index);
        self.reindex_server(server_index);
        true
    }

    /// The one place that ends a request; frees what it holds and answers if `owed`.
    fn end_request(&mut self, id: &Id, owed: bool, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(id) else { return };
        if request.phase == Phase::Queued {
            self.queued.remove(id);
        }
        if owed {
            let class = &request.query.class;
            // A client that is back for the rest of a stream had it from an attempt that did run.
            let harmless = (request.first_execution.is_none() && !request.query.resumes_stream)
                || matches!(class.effect, Effect::Safe | Effect::Keyed { scope: DedupScope::All, .. });
            // Those that are refused together must not come back together.
            let spread = 0.5 + 0.5 * share_of(hash(id, self.seed));
            // One whose attempts went wrong met no backlog: it may be in time if it comes back soon.
            let spent = request.attempts + 1 >= class.max_attempts && !request.has_met_overload;
            let most = self.settings.max_retry_after.min(if spent {
                MAX_RETRY_AFTER_EXHAUSTED
            } else {
                Micros::MAX
            });
            let retry_after = (most as f64 * spread) as Micros;
            let id = id.clone();
            actions.push(if harmless { Action::Refuse { id, retry_after } } else { Action::Fail { id } });
        }
        if request.in_flight.is_none() {
            // Whatever waits for it anywhere goes now; a stream that began has let go of the rest.
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

    /// Answers all that has not begun to stream, now and from now on; what is out at a writer may have run.
    fn close(&mut self, actions: &mut Vec<Action>) {
        self.is_closing = true;
        let open = |r: &&mut Request| !matches!(r.phase, Phase::Streaming | Phase::Answered);
        let mut ids = Vec::new();
        for request in self.requests.values_mut().filter(open) {
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

    /// Held for so long that it is given up, against a backlog that is served late whole. Beyond its tenant's
    /// quota that comes early. Harms where late answers are worth much and few others wait.
    fn should_give_up(&self, r: &Request) -> bool {
        let patience = (r.deadline - r.arrived_at) as f64 * OVER_QUOTA_WAIT_SHARE;
        let little = r.is_over_quota && self.settings.over_quota_worth < 1.0;
        let surplus = little && self.now >= r.arrived_at + patience as Micros;
        r.phase == Phase::Queued && (surplus || self.now >= self.latest_start(r))
    }

    /// From then on its first token can't be in time, or before its client leaves, as long as the stages took
    /// of late. Half of either time is left all the same: no long prompt makes their waits longer.
    fn latest_start(&self, r: &Request) -> Micros {
        let usual = |stage| self.expected_duration(stage, r.query.prompt_tokens / 2, 1.0);
        let (both, time) = (usual(Stage::Prefill) + usual(Stage::Decode), r.deadline - r.arrived_at);
        (r.arrived_at + r.first_token_target - both.min(r.first_token_target / 2))
            .min(r.deadline - (2 * both).min(time / 2))
    }

    /// Time before a deadline in which nothing can be won any more.
    fn safety_margin(&self) -> Micros {
        2 * self.settings.min_call_interval + SWEEP_INTERVAL
    }

    /// Tokens that this server is likely to read: it keeps a session's last prompt, if it read it, and
    /// likely a shared prefix.
    fn uncached_tokens(&self, query: &Query, server_index: usize) -> u64 {
        let last =
            self.cached_sessions.get(&query.session).filter(|k| k.0 == server_index).map_or(0, |k| k.1);
        query.prompt_tokens.saturating_sub(query.prefix_tokens.max(last))
    }

    // Timers.

    fn sweep(&mut self, actions: &mut Vec<Action>) {
        if self.next_list_poll_at.is_some_and(|at| self.now >= at) {
            self.next_list_poll_at = None;
            actions.push(Action::Watch);
        }
        if self.timer_token % 100 == 0 {
            self.cached_sessions.retain(|_, k| k.2 + CACHED_SESSION_TTL >= self.now);
            self.evict_gone_servers();
        }
        let due = |r: &&Request| match r.phase {
            Phase::Queued => self.now + self.safety_margin() >= r.deadline || self.should_give_up(r),
            Phase::PrefillDone => true,
            _ => false,
        };
        let ids: Vec<Id> = self.requests.values().filter(due).map(|r| r.query.id.clone()).collect();
        for id in ids {
            self.advance(&id, actions);
        }
        self.release_unacknowledged(actions);
    }

    /// What is held for so long is let go, so that the release has time of its own.
    fn cache_release_after(&self) -> Micros {
        (self.settings.cache_release_timeout as f64 * CACHE_RELEASE_SHARE) as Micros
    }

    /// Lets go of what is held for attempts that may never have arrived, in time for the rule.
    fn release_unacknowledged(&mut self, actions: &mut Vec<Action>) {
        let limit = self.cache_release_after();
        for (id, request) in &mut self.requests {
            let unheard = request.phase == Phase::Decoding && request.is_unacknowledged;
            if unheard && request.kv_cache.is_some_and(|(_, since)| self.now >= since + limit) {
                request.released_during_attempt = request.kv_cache.take().map(|state| state.0);
                actions.push(Action::ReleaseCache { id: id.clone() });
            }
        }
    }
}

/// Until when a repeat of a request that may have run can be written: a process may be held up between its
/// last look at the clock and the write.
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

/// Tokens that an answer's stream is likely to hold in a writer's memory.
fn stream_tokens(query: &Query) -> u64 {
    query.prompt_tokens + query.max_tokens / 4
}
