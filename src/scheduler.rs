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
const READ_SLOTS: f64 = 12.0;
/// A server rests after `full`, at first this long, doubling up to the most.
const FULL_REST: Micros = 200_000;
const REST_MOST: Micros = 12_000_000;
/// Where parts are below one request, all routers together want this many to wait at one server.
const WAIT_SLOTS: f64 = 4.0;
/// A session's last reader is remembered this long: about as long as a server's memory keeps it.
const KEEP: Micros = 60_000_000;
/// Share of the release time after which what is held is let go, also while an attempt is out that has not
/// been heard of. It may never have arrived, and then the time of what is held goes on; to one that has
/// arrived the release does nothing, as it takes only what no attempt waits for.
const UNHEARD_SHARE: f64 = 0.75;
/// Share of a client's patience after which a held request beyond its customer's quota is refused.
const SURPLUS_SHARE: f64 = 0.1;
/// A request that has used up its attempts is told to come back within this time.
const SPENT_RETRY: Micros = 200_000;
const SWEEP: Micros = 10_000;
/// A process may be held up for so long between reading its clock and writing.
const HELD_UP: Micros = 150_000;
/// Stop waiting after this many times the usual, and never before the floor.
const PATIENCE: f64 = 6.0;
const PATIENCE_FLOOR: Micros = 700_000;
/// Circuit breaker: failures in a row that open it, and the first time for which it is open.
const TRIP: u32 = 2;
const OPEN_FIRST: Micros = 500_000;
/// Where parts are below one request: what a reader says that it holds counts for this long, as long as a
/// probe may take.
const SAID_FOR: Micros = 250_000;

/// Where a request stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    /// Waits here for room.
    #[default]
    Held,
    /// Out at a reader.
    Reading,
    /// Read; its state waits at the reader, no attempt is out.
    Read,
    /// Out at a writer, or whole at a mixed server.
    Writing,
    /// Its answer runs.
    Streaming,
    /// Answered; an attempt is still out.
    Done,
}

#[derive(Default)]
struct Request {
    query: Query,
    key: u64,
    arrived: Micros,
    deadline: Micros,
    since: Micros,
    phase: Phase,
    attempts: u32,
    /// The attempt that is out: server, send time, tokens charged to it.
    out: Option<(usize, Micros, u64)>,
    /// The reader whose memory holds the state, and since when no attempt took it that is known to have
    /// reached a server.
    state: Option<(usize, Micros)>,
    /// Some reader may hold something for it.
    holds: bool,
    /// The server whose state a release went out for, beside the attempt that is out and has not been heard
    /// of. It took nothing if that attempt had arrived and waits; what it waits for is still held when it
    /// ends.
    released_beside: Option<usize>,
    /// Server and send time of the first attempt that may have run.
    ran: Option<(usize, Micros)>,
    /// Servers that failed it.
    failed: Vec<usize>,
    over_quota: bool,
    /// The first token is wanted within this time from its arrival.
    aim: Micros,
    /// What the last attempt is there for.
    stage: Stage,
    /// The attempt that is out has not been heard of yet.
    silent: bool,
    /// Its wait is cut short by the deadline: if nothing comes, that is no mark against its server.
    cut: bool,
    /// An attempt was turned away or not answered in time: its servers have too much to do.
    crowded: bool,
    /// What has been found out for it about the servers of each role.
    memos: [candidates::Memo; 3],
}

#[derive(Default)]
struct Server {
    id: Id,
    hash: u64,
    cell: u64,
    zone: usize,
    kind: usize,
    role: Stage,
    started: Micros,
    up: bool,
    reads: u32,
    streams: u32,
    /// Attempts out that have not been heard of: no read done, no first token.
    silent: u32,
    tokens: u64,
    fails: u32,
    open_until: Micros,
    /// Times turned away in a row; nothing new from here before `rest`.
    full: u32,
    rest: Micros,
    /// Send time of the oldest attempt since it was last heard.
    pending: Option<Micros>,
    /// Slow start: when the next send is due.
    cold_next: Micros,
    /// Reads done and answers begun lately, a second.
    rate: f64,
    rate_at: Micros,
    /// What it last said that it holds for all routers, and when; a probe is out.
    holds: f64,
    said: Micros,
    asked: bool,
}

/// What a router's servers in one zone have shown it together.
#[derive(Default)]
struct Zone {
    /// Servers that failed since one there was last heard.
    failed: BTreeSet<usize>,
    /// Trials since then, and when the next is due.
    trials: u32,
    next: Micros,
}

/// What an attempt does and a role is there for: to read, to write (to the first token), or both.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum Stage {
    #[default]
    Read,
    Write,
    Whole,
}

/// One router's decisions. Instances share nothing.
#[derive(Default)]
pub struct Router {
    settings: Settings,
    seed: u64,
    now: Micros,
    servers: Vec<Server>,
    index: BTreeMap<Id, usize>,
    fleet: fleet_index::FleetIndex,
    /// Places among the servers that nobody has.
    free: Vec<usize>,
    requests: BTreeMap<Id, Request>,
    held: BTreeSet<Id>,
    /// So many of those that are held were tried with the event before, which had no time for the rest.
    tried: usize,
    pace: [f64; 3],
    zones: BTreeMap<usize, Zone>,
    /// When the next may leave for each role.
    ready: [Micros; 3],
    /// When some server of each role was last heard.
    heard: [Micros; 3],
    quotas: Vec<(f64, Micros)>,
    /// Where each session's last prompt was read, its length, and when.
    kept: BTreeMap<Id, (usize, u64, Micros)>,
    promoted: Micros,
    /// When one that had waited was last given up: for an aim, what comes too late takes no room.
    shed: Micros,
    bell: u64,
    closing: bool,
    watch_at: Option<Micros>,
    /// As many routers like this one would share all there is: one part's inverse.
    routers: f64,
    foreign: handover::OpenWork,
}

impl Router {
    /// A router that knows no server yet.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let quotas = settings.tenants.iter().map(|t| (t.quota_per_s, 0)).collect();
        let watch_at = settings.list_poll_interval.map(|_| 0);
        let routers = f64::from(settings.conductors);
        let pace = [100.0, 50.0, 150.0];
        Router { settings, seed, pace, quotas, watch_at, routers, ..Router::default() }
    }

    /// Takes one event and appends what to do.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.fleet.begin_event();
        if self.bell == 0 {
            self.ring(out);
        }
        match event {
            Event::Members { form, entries } => self.members(form, entries, out),
            Event::Query(query) => self.query(query, out),
            Event::AnswerStarted { id, attempt, elapsed } => self.headers(&id, attempt, elapsed),
            Event::AttemptEnded { id, attempt, outcome, elapsed, cached_tokens, finished, .. } => {
                self.result(&id, attempt, outcome, elapsed, cached_tokens, finished, out);
            }
            Event::ClientGone { id } => self.end(&id, false, out),
            Event::Closing => self.close(out),
            Event::Settings(settings) => self.reconfigure(settings),
            Event::QuotaShare { share: part } => self.routers = 1.0 / part.clamp(1e-6, 1.0),
            Event::TimerFired { token } if token == self.bell => {
                self.sweep(out);
                self.ring(out);
                // Hundreds of routers ring often; what time alone opens can wait a little there.
                if self.many() && self.bell % 5 > 0 {
                    return;
                }
            }
            Event::ProbeEnded { server, outcome, load } => self.probed(&server, outcome, load, out),
            Event::SlotReservation { .. } | Event::TimerFired { .. } => {}
        }
        self.release(out);
    }

    /// A reader says what all routers together have there.
    fn probed(&mut self, id: &Id, outcome: Outcome, load: Option<LoadReport>, out: &mut Vec<Action>) {
        let Some(&w) = self.index.get(id) else { return };
        self.servers[w].asked = false;
        self.servers[w].said = self.now;
        self.servers[w].holds = match outcome {
            Outcome::Served => load.and_then(|l| l.outstanding).unwrap_or(0.0),
            Outcome::NoConnection | Outcome::NoAnswer => READ_SLOTS,
            // It drains, or too many ask it: the last that is taken.
            _ => READ_SLOTS - 1.0,
        };
        match outcome {
            Outcome::NoConnection | Outcome::NoAnswer => self.failed(w, TRIP, out),
            _ => self.heard(w),
        }
    }

    /// Routers that meet a reader once in many seconds can't know from their own reads what all the others
    /// have there.
    fn asks(&self) -> bool {
        self.many() && self.settings.may_probe
    }

    fn known(&self, w: usize) -> Option<f64> {
        let server = &self.servers[w];
        (server.said > 0 && self.now < server.said + SAID_FOR).then_some(server.holds)
    }

    fn ring(&mut self, out: &mut Vec<Action>) {
        self.bell += 1;
        out.push(Action::SetTimer { delay: SWEEP.max(self.settings.min_call_interval), token: self.bell });
    }

    // The list of servers.

    fn members(&mut self, form: ListUpdateKind, entries: Vec<ServerEntry>, out: &mut Vec<Action>) {
        match form {
            ListUpdateKind::SourceUnavailable if self.settings.list_poll_interval.is_some() => {
                self.watch_at = Some(self.now + OPEN_FIRST);
            }
            // A complete list that lacks a server means that it is gone.
            ListUpdateKind::Full | ListUpdateKind::StaleCopy => {
                self.servers.iter_mut().for_each(|w| w.up = false)
            }
            _ => {}
        }
        let mut restarted = Vec::new();
        let mut known_restarts: Option<(Id, usize)> = None;
        for entry in entries {
            let Some(&role) = self.settings.roles.get(entry.kind) else { continue };
            let known = self.index.get(&entry.server).copied();
            let w = known.unwrap_or_else(|| self.free.pop().unwrap_or(self.servers.len()));
            if known.is_none() {
                self.index.insert(entry.server.clone(), w);
                let (hash, id, kind) = (hash(&entry.server, 0), entry.server, entry.kind);
                self.servers.resize_with(self.servers.len().max(w + 1), Server::default);
                self.servers[w] = Server { hash, id, kind, role: stage_of(role), ..Server::default() };
            }
            let server = &mut self.servers[w];
            (server.up, server.cell, server.zone) = (entry.health == Health::Up, entry.rack, entry.zone);
            if known.is_none() || entry.started > server.started {
                server.started = entry.started;
                (server.fails, server.open_until) = (0, 0);
                self.zones.remove(&server.zone);
                if known.is_some() {
                    let restarts = known_restarts.get_or_insert_with(|| (server.id.clone(), 0_usize));
                    restarts.1 += 1;
                }
                restarted.push(w);
            }
        }
        if let Some((first, count)) = known_restarts {
            out.push(Action::Log(format!("restarted: slow start of {count}, {first} among them")));
        }
        self.index_servers();
        // Once for all of them, as what warm servers take is summed over the whole role.
        restarted.into_iter().for_each(|w| self.warm_up(w));
    }

    /// What has gone, and is no part of an open request, leaves its place to the next that comes.
    fn forget_gone(&mut self) {
        let mut named = vec![false; self.servers.len()];
        for r in self.requests.values() {
            let first = [r.out.map(|out| out.0), r.state.map(|s| s.0), r.ran.map(|ran| ran.0)];
            let named_by = first.into_iter().flatten().chain(r.released_beside);
            named_by.chain(r.failed.iter().copied()).for_each(|w| named[w] = true);
        }
        let gone = |w: &usize| !self.servers[*w].up && !named[*w] && !self.servers[*w].id.is_empty();
        let gone: BTreeSet<usize> = (0..self.servers.len()).filter(gone).collect();
        for &w in &gone {
            let server = std::mem::take(&mut self.servers[w]);
            self.index.remove(&server.id);
            self.free.push(w);
        }
        self.kept.retain(|_, k| !gone.contains(&k.0));
        if !gone.is_empty() {
            self.index_servers();
        }
        self.zones.values_mut().for_each(|zone| zone.failed.retain(|w| !gone.contains(w)));
    }

    fn query(&mut self, query: Query, out: &mut Vec<Action>) {
        if self.requests.contains_key(&query.id) {
            return;
        }
        let class = &query.class;
        let per_token = |us: Micros| us.saturating_mul(query.prompt_tokens) / 1_000;
        let deadline = class.deadline + 2 * per_token(class.first_token_target_per_ktoken);
        // A repeat has waited before: what its client has left of its patience tells how long.
        let waited = if query.is_client_retry { deadline.saturating_sub(query.budget) } else { 0 };
        let aim = (class.first_token_target + per_token(class.first_token_target_per_ktoken))
            .saturating_sub(waited);
        let over_quota = query.tenant.is_some_and(|t| self.over_quota(t));
        let request = Request {
            key: hash(query.prefix.as_ref().unwrap_or(&query.session), 0),
            arrived: self.now,
            deadline: self.now + query.budget,
            since: self.now,
            over_quota,
            aim,
            query,
            ..Request::default()
        };
        let id = request.query.id.clone();
        self.held.insert(id.clone());
        self.requests.insert(id.clone(), request);
        // A client's last try may come with no time left: the answer is due before the next sweep.
        self.advance(&id, out);
    }

    fn over_quota(&mut self, tenant: usize) -> bool {
        let Some(quota) = self.settings.tenants.get(tenant) else { return false };
        let per_s = quota.quota_per_s / self.routers;
        let (level, at) = &mut self.quotas[tenant];
        *level = (*level + per_s * (self.now - *at) as f64 / 1e6).min(per_s.max(1.0));
        *at = self.now;
        let over = *level < 1.0;
        if !over {
            *level -= 1.0;
        }
        over
    }

    fn headers(&mut self, id: &Id, attempt: u32, elapsed: Micros) {
        let Some(request) = self.requests.get_mut(id) else { return };
        if request.phase != Phase::Writing || attempt + 1 != request.attempts {
            return;
        }
        request.phase = Phase::Streaming;
        (request.state, request.released_beside) = (None, None);
        let stage = request.stage;
        let Some((w, ..)) = request.out else { return };
        let tokens = request.query.prompt_tokens;
        request.silent = false;
        self.servers[w].silent -= 1;
        self.succeeded(id, w, stage, elapsed, tokens);
    }

    #[allow(clippy::too_many_arguments)]
    fn result(
        &mut self,
        id: &Id,
        attempt: u32,
        outcome: Outcome,
        elapsed: Micros,
        kept: u64,
        finished: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let Some((w, sent, tokens)) = request.out.filter(|_| attempt + 1 == request.attempts) else { return };
        request.out = None;
        let (phase, prompt) = (request.phase, request.query.prompt_tokens);
        let reading = self.servers[w].role == Stage::Read;
        let (stage, cut) = (request.stage, request.cut);
        if !reading && !outcome.never_ran() && request.ran.is_none() {
            request.ran = Some((w, sent));
        }
        let released_beside = request.released_beside.take();
        // Heard of meanwhile, so that the attempt is likely to have arrived.
        let alive = self.servers[w].pending.is_some_and(|pending| pending > sent);
        if outcome == Outcome::Rejected || (alive && outcome == Outcome::NoAnswer) {
            request.state = request.state.or(released_beside.map(|at| (at, self.now)));
        }
        request.holds |= reading && (outcome == Outcome::PrefillDone || !outcome.never_ran());
        if outcome == Outcome::PrefillDone {
            (request.phase, request.state) = (Phase::Read, Some((w, self.now)));
        } else if (phase == Phase::Reading && request.holds)
            || matches!(outcome, Outcome::CacheMissing | Outcome::Failed)
            || (released_beside.is_some() && request.state.is_none() && outcome != Outcome::Served)
        {
            // A reader that broke off or is cut off from the writer may still hold the state. A writer that
            // answered, though badly, had fetched it: another would only turn the request away.
            request.state = None;
            out.push(Action::ReleaseCache { id: id.clone() });
        } else if outcome == Outcome::Rejected {
            // Only an answer proves that the attempt had arrived and had taken what is held until then.
            request.state.iter_mut().for_each(|state| state.1 = self.now);
        }
        request.since = self.now;
        request.crowded |= matches!(outcome, Outcome::Rejected | Outcome::NoAnswer);
        let server = &mut self.servers[w];
        let open = server.fails >= TRIP;
        server.silent -= u32::from(std::mem::take(&mut request.silent));
        server.tokens = server.tokens.saturating_sub(tokens);
        let count = if reading { &mut server.reads } else { &mut server.streams };
        *count = count.saturating_sub(1);
        self.index_server(w);
        match outcome {
            Outcome::PrefillDone => self.succeeded(id, w, stage, elapsed, prompt.saturating_sub(kept)),
            Outcome::Served | Outcome::CacheMissing => self.heard(w),
            Outcome::Rejected => {
                // Full: others send there too. It rests, longer each time in a row, so that no herd returns.
                let rest = self.spread((FULL_REST << self.servers[w].full.min(6)).min(REST_MOST), w);
                let server = &mut self.servers[w];
                (server.full, server.rest) = (server.full + 1, self.now + rest);
                self.heard(w);
            }
            Outcome::Cancelled | Outcome::NotSent | Outcome::StaleConnection => {}
            Outcome::NoAnswer if cut => {}
            Outcome::NoAnswer => {
                // A wait that was given up is a sample too: when all are slow, waits grow longer.
                if matches!(phase, Phase::Reading | Phase::Writing) {
                    self.sample(stage, elapsed, prompt);
                    self.ease(w, elapsed);
                }
                self.failed(w, 1, out)
            }
            Outcome::NoConnection | Outcome::ConnectionLost => self.failed(w, TRIP, out),
            Outcome::Failed => self.failed(w, 1, out),
        }
        if open && self.servers[w].fails == 0 {
            out.push(Action::Log(format!("closed {}: answers again", self.servers[w].id)));
        }
        if finished || phase == Phase::Done || phase == Phase::Streaming {
            self.end(id, false, out);
            return;
        }
        let Some(request) = self.requests.get_mut(id) else { return };
        if outcome != Outcome::PrefillDone {
            if outcome != Outcome::StaleConnection {
                request.failed.push(w);
            }
            request.phase = if request.state.is_some() { Phase::Read } else { Phase::Held };
        }
        if request.phase == Phase::Held {
            self.held.insert(id.clone());
        }
        self.advance(id, out);
    }

    fn keep(&mut self, id: &Id, w: usize) {
        let Some(request) = self.requests.get(id) else { return };
        let (session, tokens) = (request.query.session.clone(), request.query.prompt_tokens);
        self.kept.insert(session, (w, tokens, self.now));
    }

    /// Takes a request that is read to a writer, or ends it where nothing more can be tried.
    fn advance(&mut self, id: &Id, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else { return };
        if request.out.is_some() {
            return;
        }
        // What is not read yet wants a reader and a writer, where nobody does both.
        let whole = self.settings.decode_can_prefill || !self.listed(Stage::Whole).is_empty();
        let steps = if request.phase == Phase::Held && !whole { 2 } else { 1 };
        let spent = request.attempts + steps > request.query.class.max_attempts;
        let waited = self.now > request.since;
        let held = (waited || self.now < self.shed + request.query.class.first_token_target)
            && self.hopeless(request);
        let late = self.closing || self.now + self.margin() >= request.deadline || held;
        let stuck = matches!((request.query.class.effect, request.ran), (Effect::Unsafe, Some(_)));
        if spent || late || stuck {
            self.shed = if held && waited { self.now } else { self.shed };
            self.end(id, true, out);
        } else if request.phase == Phase::Read {
            // Its state must not stay pinned, whether no writer can be named or none can be reached.
            let pinned = request.state.is_none_or(|s| self.now >= s.1 + self.release_by());
            if let Some(w) = self.pick_writer(request).filter(|_| !pinned) {
                self.send(id, w, out);
            } else if pinned {
                out.push(Action::ReleaseCache { id: id.clone() });
                let Some(request) = self.requests.get_mut(id) else { return };
                (request.phase, request.state) = (Phase::Held, None);
                self.held.insert(id.clone());
            }
        }
    }

    /// The one place that sends. Its guards: drain, attempts, one out at a time, effect, cold.
    fn send(&mut self, id: &Id, w: usize, out: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.get(id) else { return false };
        let allowed = request.out.is_none() && request.attempts < request.query.class.max_attempts;
        if !allowed || !self.may_take(request, w) {
            return false;
        }
        let reading = self.servers[w].role == Stage::Read;
        let stage = match (reading, request.state) {
            (true, _) => Stage::Read,
            (_, Some(_)) => Stage::Write,
            _ => Stage::Whole,
        };
        let query = &request.query;
        let tokens = if reading { self.cost(query, w) } else { footprint(query) };
        let last = request.attempts + 1 >= query.class.max_attempts;
        let limit = self.patience(stage, query.prompt_tokens, PATIENCE).max(PATIENCE_FLOOR);
        let latest = request.deadline.saturating_sub(self.settings.min_call_interval + 1_000);
        let half = self.now + (latest.saturating_sub(self.now)) * 6 / 10;
        let stop_at =
            if last { latest } else { (self.now + limit).min(half.max(self.now + limit / 2)).min(latest) };
        let (gap, now) = (self.cold_gap(w), self.now);
        let server = &mut self.servers[w];
        *if reading { &mut server.reads } else { &mut server.streams } += 1;
        server.tokens += tokens;
        server.pending = server.pending.or(Some(now));
        server.silent += 1;
        server.holds += 1.0;
        if let Some(gap) = gap {
            server.cold_next = now + gap;
        }
        let server_id = server.id.clone();
        let Some(request) = self.requests.get_mut(id) else { return false };
        request.attempts += 1;
        request.out = Some((w, now, tokens));
        (request.stage, request.silent, request.cut) = (stage, true, stop_at < now + limit / 2);
        request.phase = if reading { Phase::Reading } else { Phase::Writing };
        let (id, send_by) = (id.clone(), repeat_by(request));
        out.push(Action::Send { id, server: server_id, stop_at: stop_at.max(now + 1), send_by });
        self.await_zone(w);
        self.index_server(w);
        true
    }

    /// The one place that ends a request; frees what it holds and answers if `owed`.
    fn end(&mut self, id: &Id, owed: bool, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(id) else { return };
        if request.phase == Phase::Held {
            self.held.remove(id);
        }
        if owed {
            let class = &request.query.class;
            // A client that is back for the rest of a stream had it from an attempt that did run.
            let harmless = (request.ran.is_none() && !request.query.resumes_stream)
                || matches!(class.effect, Effect::Safe | Effect::Keyed { scope: DedupScope::All, .. });
            // Those that are refused together must not come back together.
            let spread = 0.5 + 0.5 * share_of(hash(id, self.seed));
            // One whose attempts went wrong met no backlog: it may be in time if it comes back soon.
            let spent = request.attempts + 1 >= class.max_attempts && !request.crowded;
            let most = self.settings.max_retry_after.min(if spent { SPENT_RETRY } else { Micros::MAX });
            let retry_after = (most as f64 * spread) as Micros;
            let id = id.clone();
            out.push(if harmless { Action::Refuse { id, retry_after } } else { Action::Fail { id } });
        }
        if request.out.is_none() {
            // Whatever waits for it anywhere goes now; a stream that began has let go of the rest.
            if request.attempts > 0 && request.phase != Phase::Streaming {
                out.push(Action::ReleaseCache { id: id.clone() });
            }
            self.requests.remove(id);
            return;
        }
        if request.phase != Phase::Streaming && request.phase != Phase::Done && self.settings.may_cancel {
            out.push(Action::Cancel { id: id.clone(), attempt: request.attempts - 1 });
        }
        request.phase = Phase::Done;
    }

    /// Answers all that has not begun to stream, now and from now on; what is out at a writer may have run.
    fn close(&mut self, out: &mut Vec<Action>) {
        self.closing = true;
        let open = |r: &&mut Request| !matches!(r.phase, Phase::Streaming | Phase::Done);
        let mut ids = Vec::new();
        for request in self.requests.values_mut().filter(open) {
            if request.phase == Phase::Writing {
                request.ran = request.ran.or(request.out.map(|(w, sent, _)| (w, sent)));
            }
            ids.push(request.query.id.clone());
        }
        for id in ids {
            self.end(&id, true, out);
        }
    }

    /// Held for so long that it is given up, against a backlog that is served late whole. Beyond its tenant's
    /// quota that comes early. Harms where late answers are worth much and few others wait.
    fn hopeless(&self, r: &Request) -> bool {
        let patience = (r.deadline - r.arrived) as f64 * SURPLUS_SHARE;
        let little = r.over_quota && self.settings.over_quota_worth < 1.0;
        let surplus = little && self.now >= r.arrived + patience as Micros;
        r.phase == Phase::Held && (surplus || self.now >= self.last_start(r))
    }

    /// From then on its first token can't be in time, or before its client leaves, as long as the stages took
    /// of late. Half of either time is left all the same: no long prompt makes their waits longer.
    fn last_start(&self, r: &Request) -> Micros {
        let usual = |stage| self.patience(stage, r.query.prompt_tokens / 2, 1.0);
        let (both, time) = (usual(Stage::Read) + usual(Stage::Write), r.deadline - r.arrived);
        (r.arrived + r.aim - both.min(r.aim / 2)).min(r.deadline - (2 * both).min(time / 2))
    }

    /// Time before a deadline in which nothing can be won any more.
    fn margin(&self) -> Micros {
        2 * self.settings.min_call_interval + SWEEP
    }

    /// Tokens that this server is likely to read: it keeps a session's last prompt, if it read it, and
    /// likely a shared prefix.
    fn cost(&self, query: &Query, w: usize) -> u64 {
        let last = self.kept.get(&query.session).filter(|k| k.0 == w).map_or(0, |k| k.1);
        query.prompt_tokens.saturating_sub(query.prefix_tokens.max(last))
    }

    // Timers.

    fn sweep(&mut self, out: &mut Vec<Action>) {
        if self.watch_at.is_some_and(|at| self.now >= at) {
            self.watch_at = None;
            out.push(Action::Watch);
        }
        if self.bell % 100 == 0 {
            self.kept.retain(|_, k| k.2 + KEEP >= self.now);
            self.forget_gone();
        }
        let due = |r: &&Request| match r.phase {
            Phase::Held => self.now + self.margin() >= r.deadline || self.hopeless(r),
            Phase::Read => true,
            _ => false,
        };
        let ids: Vec<Id> = self.requests.values().filter(due).map(|r| r.query.id.clone()).collect();
        for id in ids {
            self.advance(&id, out);
        }
        self.release_unheard(out);
    }

    /// What is held for so long is let go, so that the release has time of its own.
    fn release_by(&self) -> Micros {
        (self.settings.cache_release_timeout as f64 * UNHEARD_SHARE) as Micros
    }

    /// Lets go of what is held for attempts that may never have arrived, in time for the rule.
    fn release_unheard(&mut self, out: &mut Vec<Action>) {
        let limit = self.release_by();
        for (id, request) in &mut self.requests {
            let unheard = request.phase == Phase::Writing && request.silent;
            if unheard && request.state.is_some_and(|(_, since)| self.now >= since + limit) {
                request.released_beside = request.state.take().map(|state| state.0);
                out.push(Action::ReleaseCache { id: id.clone() });
            }
        }
    }
}

/// Until when a repeat of a request that may have run can be written: a process may be held up between its
/// last look at the clock and the write.
fn repeat_by(request: &Request) -> Option<Micros> {
    match (request.query.class.effect, request.ran) {
        (Effect::Keyed { window, .. }, Some((_, sent))) => Some((sent + window).saturating_sub(HELD_UP)),
        _ => None,
    }
}

fn stage_of(role: Role) -> Stage {
    [Stage::Read, Stage::Write, Stage::Whole][role as usize]
}

/// Tokens that an answer's stream is likely to hold in a writer's memory.
fn footprint(query: &Query) -> u64 {
    query.prompt_tokens + query.max_tokens / 4
}
