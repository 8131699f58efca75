//! Every decision of the router. Types, events and actions are in `src/interface.rs`.
//!
//! Ordinary path: a request leaves while its reader and some writer are under this router's own
//! caps, else it is held; held ones leave shortest prompt first, starved ones ahead; the prefix hashes to
//! a reader; the writer is picked after the read by fewest own streams. All else is a guard or departure.

mod figures;
pub mod handover;
mod reconfigure;

use std::collections::{BTreeMap, BTreeSet};

use crate::hash::{hash, mix, share_of};
use crate::interface::*;
use crate::rate::decay;

/// Reads of all routers together at one reader (and what waits at a mixed server), and the tokens past
/// which the next takes over: some tenths of a second of reading, so that the order of leaving is ours.
const READ_SLOTS: f64 = 12.0;
const READ_TOKENS: f64 = 12_000.0;
/// Own requests that may wait at one writer or mixed server to begin: a queue there helps nobody.
const BEGIN_CAP: f64 = 4.0;
/// A server rests after `full`, at first this long, doubling up to the most.
const FULL_REST: Micros = 200_000;
const REST_MOST: Micros = 12_000_000;
/// Where parts are below one request: a wait of over this share of the aim rests the server, and all routers
/// together want this many to wait at one server.
const REST_AIM: f64 = 0.25;
const WAIT_SLOTS: f64 = 4.0;
/// Share of its part of the writers for its part of the readers that a cell keeps of what it reads.
const CELL_SHARE: f64 = 1.5;
/// Streams of all routers together at one writer, and at a mixed server, whose reads stall its streams.
const WRITE_SLOTS: f64 = 80.0;
const MIXED_SLOTS: f64 = 30.0;
/// Own streams are compared in steps of this share of the part. Within one they hardly slow each other, and
/// a state stays in its rack, whose link carries little more than its readers send.
const STREAM_STEP: f64 = 1.0 / 3.0;
/// Readers that a prefix hashes to where parts are below one request; the session's hash picks one.
const HOMES: usize = 3;
/// Share of a server's memory that all routers together plan to fill.
const MEMORY_SHARE: f64 = 0.9;
/// A writer takes this much of what a mixed server takes whole: a mixed server also reads.
const MIXED_WEIGHT: f64 = 1.5;
/// More tokens than this to read are not for a mixed server while there are readers.
const LONG_READ: u64 = 3_000;
/// A session's last reader is remembered this long: about as long as a server's memory keeps it.
const KEEP: Micros = 60_000_000;
/// Held this long is starved, or for this share of the time after which it is given up.
const STARVED: Micros = 2_000_000;
const STARVED_SHARE: f64 = 0.7;
/// Share of the release time after which what is held is let go, also while an attempt is out that has not
/// been heard of. It may never have arrived, and then the time of what is held goes on; to one that has
/// arrived the release does nothing, as it takes only what no attempt waits for.
const UNHEARD_SHARE: f64 = 0.75;
/// Share of a client's patience after which a held request beyond its customer's quota is refused.
const SURPLUS_SHARE: f64 = 0.1;
/// One starved request leaves ahead in this time, in more where parts are below one request.
const PROMOTE_EVERY: Micros = 100_000;
/// A request that has used up its attempts is told to come back within this time.
const SPENT_RETRY: Micros = 200_000;
const SWEEP: Micros = 10_000;
/// A process may be held up for so long between reading its clock and writing.
const HELD_UP: Micros = 150_000;
const BLEND: f64 = 0.1;
/// Tokens' worth of fixed cost in a stage's pace.
const FIXED_TOKENS: f64 = 500.0;
/// Stop waiting after this many times the usual, and never before the floor.
const PATIENCE: f64 = 6.0;
const PATIENCE_FLOOR: Micros = 700_000;
/// Quiet for this many times the usual while a peer answers: suspect.
const QUIET: f64 = 4.0;
const QUIET_FLOOR: Micros = 400_000;
/// Circuit breaker: failures in a row that open it, first and longest time open.
const TRIP: u32 = 2;
const OPEN_FIRST: Micros = 500_000;
const OPEN_MOST: Micros = 8_000_000;
/// Share of a role that may be out of use before its breakers are passed over (panic threshold).
const PANIC_SHARE: f64 = 0.5;
/// Servers of one zone that fail in a row, with no answer from there, before it is cut off.
const ZONE_TRIP: usize = 3;
/// Slow start: share of a cold server's budget that is used, the rest is for chance. A router that has
/// measured nothing yet takes its part of one send a second.
const COLD_SHARE: f64 = 0.5;
const COLD_LEAST: f64 = 1.0;
/// Where parts are below one request: what a reader says that it holds counts for this long, as long as a
/// probe may take, and so many that a prefix hashes to are asked before the least full of them is taken.
const SAID_FOR: Micros = 250_000;
const ASK_MOST: usize = 3;

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
    /// Places among the servers that nobody has.
    free: Vec<usize>,
    requests: BTreeMap<Id, Request>,
    held: Vec<Id>,
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
        let watch_at = settings.ask_within.map(|_| 0);
        let routers = f64::from(settings.balancers);
        let pace = [100.0, 50.0, 150.0];
        Router { settings, seed, pace, quotas, watch_at, routers, ..Router::default() }
    }

    /// Takes one event and appends what to do.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if self.bell == 0 {
            self.ring(out);
        }
        match event {
            Event::Members { form, entries } => self.members(form, entries, out),
            Event::Query(query) => self.query(query, out),
            Event::Headers { id, attempt, elapsed } => self.headers(&id, attempt, elapsed),
            Event::Result { id, attempt, outcome, elapsed, kept_tokens, finished, .. } => {
                self.result(&id, attempt, outcome, elapsed, kept_tokens, finished, out);
            }
            Event::ClientGone { id } => self.end(&id, false, out),
            Event::Closing => self.close(out),
            Event::Settings(settings) => self.reconfigure(settings),
            Event::Share { part } => self.routers = 1.0 / part.clamp(1e-6, 1.0),
            Event::Bell { token } if token == self.bell => {
                self.sweep(out);
                self.ring(out);
                // Hundreds of routers ring often; what time alone opens can wait a little there.
                if self.many() && self.bell % 5 > 0 {
                    return;
                }
            }
            Event::Probed { server, outcome, load } => self.probed(&server, outcome, load, out),
            Event::Place { .. } | Event::Bell { .. } => {}
        }
        self.release(out);
    }

    /// A reader says what all routers together have there.
    fn probed(&mut self, id: &Id, outcome: Outcome, load: Option<Load>, out: &mut Vec<Action>) {
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
        out.push(Action::Timer { delay: SWEEP.max(self.settings.tick), token: self.bell });
    }

    // The list of servers.

    fn members(&mut self, form: ListForm, entries: Vec<Entry>, out: &mut Vec<Action>) {
        match form {
            ListForm::Lost if self.settings.ask_within.is_some() => {
                self.watch_at = Some(self.now + OPEN_FIRST);
            }
            // A complete list that lacks a server means that it is gone.
            ListForm::Full | ListForm::WarmCopy => self.servers.iter_mut().for_each(|w| w.up = false),
            _ => {}
        }
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
            (server.up, server.cell, server.zone) = (entry.health == Health::Up, entry.cell, entry.zone);
            if known.is_none() || entry.started > server.started {
                server.started = entry.started;
                (server.fails, server.open_until) = (0, 0);
                self.zones.remove(&server.zone);
                if known.is_some() {
                    out.push(Action::Log(format!("restarted {}: slow start", server.id)));
                }
                self.warm_up(w);
            }
        }
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
        self.zones.values_mut().for_each(|zone| zone.failed.retain(|w| !gone.contains(w)));
    }

    fn query(&mut self, query: Query, out: &mut Vec<Action>) {
        if self.requests.contains_key(&query.id) {
            return;
        }
        let class = &query.class;
        let per_token = |us: Micros| us.saturating_mul(query.prompt_tokens) / 1_000;
        let deadline = class.deadline + 2 * per_token(class.aim_per_ktoken);
        // A repeat has waited before: what its client has left of its patience tells how long.
        let waited = if query.resent { deadline.saturating_sub(query.budget) } else { 0 };
        let aim = (class.aim + per_token(class.aim_per_ktoken)).saturating_sub(waited);
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
        self.held.push(id.clone());
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
        if outcome == Outcome::TurnedAway || (alive && outcome == Outcome::NoAnswer) {
            request.state = request.state.or(released_beside.map(|at| (at, self.now)));
        }
        request.holds |= reading && (outcome == Outcome::ReadDone || !outcome.never_ran());
        if outcome == Outcome::ReadDone {
            (request.phase, request.state) = (Phase::Read, Some((w, self.now)));
        } else if (phase == Phase::Reading && request.holds)
            || matches!(outcome, Outcome::StateLost | Outcome::Failed)
            || (released_beside.is_some() && request.state.is_none() && outcome != Outcome::Served)
        {
            // A reader that broke off or is cut off from the writer may still hold the state. A writer that
            // answered, though badly, had fetched it: another would only turn the request away.
            request.state = None;
            out.push(Action::DropState { id: id.clone() });
        } else if outcome == Outcome::TurnedAway {
            // Only an answer proves that the attempt had arrived and had taken what is held until then.
            request.state.iter_mut().for_each(|state| state.1 = self.now);
        }
        request.since = self.now;
        request.crowded |= matches!(outcome, Outcome::TurnedAway | Outcome::NoAnswer);
        let server = &mut self.servers[w];
        let open = server.fails >= TRIP;
        server.silent -= u32::from(std::mem::take(&mut request.silent));
        server.tokens = server.tokens.saturating_sub(tokens);
        let count = if reading { &mut server.reads } else { &mut server.streams };
        *count = count.saturating_sub(1);
        match outcome {
            Outcome::ReadDone => self.succeeded(id, w, stage, elapsed, prompt.saturating_sub(kept)),
            Outcome::Served | Outcome::StateLost => self.heard(w),
            Outcome::TurnedAway => {
                // Full: others send there too. It rests, longer each time in a row, so that no herd returns.
                let rest = self.spread((FULL_REST << self.servers[w].full.min(6)).min(REST_MOST), w);
                let server = &mut self.servers[w];
                (server.full, server.rest) = (server.full + 1, self.now + rest);
                self.heard(w);
            }
            Outcome::CalledOff | Outcome::NotSent | Outcome::StaleConnection => {}
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
        if outcome != Outcome::ReadDone {
            if outcome != Outcome::StaleConnection {
                request.failed.push(w);
            }
            request.phase = if request.state.is_some() { Phase::Read } else { Phase::Held };
        }
        if request.phase == Phase::Held {
            self.held.push(id.clone());
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
        let whole = self.settings.self_prefill || self.listed(Stage::Whole).next().is_some();
        let steps = if request.phase == Phase::Held && !whole { 2 } else { 1 };
        let spent = request.attempts + steps > request.query.class.max_attempts;
        let waited = self.now > request.since;
        let held = (waited || self.now < self.shed + request.query.class.aim) && self.hopeless(request);
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
                out.push(Action::DropState { id: id.clone() });
                let Some(request) = self.requests.get_mut(id) else { return };
                (request.phase, request.state) = (Phase::Held, None);
                self.held.push(id.clone());
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
        let latest = request.deadline.saturating_sub(self.settings.tick + 1_000);
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
        true
    }

    /// The one place that ends a request; frees what it holds and answers if `owed`.
    fn end(&mut self, id: &Id, owed: bool, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(id) else { return };
        if request.phase == Phase::Held {
            self.held.retain(|h| h != id);
        }
        if owed {
            let class = &request.query.class;
            // A client that is back for the rest of a stream had it from an attempt that did run.
            let harmless = (request.ran.is_none() && !request.query.came_back)
                || matches!(class.effect, Effect::Safe | Effect::Keyed { scope: Scope::All, .. });
            // Those that are refused together must not come back together.
            let spread = 0.5 + 0.5 * share_of(hash(id, self.seed));
            // One whose attempts went wrong met no backlog: it may be in time if it comes back soon.
            let spent = request.attempts + 1 >= class.max_attempts && !request.crowded;
            let most = self.settings.max_retry_after.min(if spent { SPENT_RETRY } else { Micros::MAX });
            let retry_after = (most as f64 * spread) as Micros;
            let id = id.clone();
            out.push(if harmless { Action::Decline { id, retry_after } } else { Action::Fail { id } });
        }
        if request.out.is_none() {
            // Whatever waits for it anywhere goes now; a stream that began has let go of the rest.
            if request.attempts > 0 && request.phase != Phase::Streaming {
                out.push(Action::DropState { id: id.clone() });
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
        let little = r.over_quota && self.settings.over_share_worth < 1.0;
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
        2 * self.settings.tick + SWEEP
    }

    /// Tokens that this server is likely to read: it keeps a session's last prompt, if it read it, and
    /// likely a shared prefix.
    fn cost(&self, query: &Query, w: usize) -> u64 {
        let last = self.kept.get(&query.session).filter(|k| k.0 == w).map_or(0, |k| k.1);
        query.prompt_tokens.saturating_sub(query.prefix_tokens.max(last))
    }

    // Leaving: shortest prompt first, starved ones ahead, one at a time.

    fn release(&mut self, out: &mut Vec<Action>) {
        if self.held.is_empty() {
            return;
        }
        let line = |id: &Id| {
            let r = self.requests.get(id)?;
            let last = self.last_start(r);
            Some((self.now >= last, r.query.prompt_tokens, r.arrived, id.clone(), last))
        };
        let mut order: Vec<(bool, u64, Micros, Id, Micros)> = self.held.iter().filter_map(line).collect();
        order.sort();
        if self.now >= self.promoted + (PROMOTE_EVERY as f64 / self.part(READ_SLOTS).min(1.0)) as Micros {
            let starved = |(late, _, arrived, _, last): &(bool, u64, Micros, Id, Micros)| {
                let time = last.saturating_sub(*arrived) as f64 * STARVED_SHARE;
                !late && self.now >= arrived + STARVED.min(time as Micros)
            };
            // The longest of them, as no other way leads past the shorter ones.
            if let Some(i) = (0..order.len()).rev().find(|&i| starved(&order[i])) {
                order[..=i].rotate_right(1);
            }
        }
        let ahead = order.first().map(|o| o.3.clone());
        for (_, _, arrived, id, _) in order {
            let Some(request) = self.requests.get(&id) else { continue };
            let Some(w) = self.place(request) else { continue };
            if self.asks() && self.servers[w].role == Stage::Read && self.known(w).is_none() {
                if !std::mem::replace(&mut self.servers[w].asked, true) {
                    out.push(Action::Probe { server: self.servers[w].id.clone() });
                }
                continue;
            }
            if self.send(&id, w, out) {
                self.held.retain(|h| *h != id);
                if Some(&id) == ahead.as_ref() && self.now > arrived + STARVED / 4 {
                    self.promoted = self.now;
                }
            }
        }
    }

    /// The server with which a held request leaves now, if any.
    fn place(&self, request: &Request) -> Option<usize> {
        let two_stages = request.attempts + 2 <= request.query.class.max_attempts;
        let room = |w: &usize| self.has_room(*w, request);
        // What is being read will want a writer soon: its place is counted as taken.
        let writers = self.candidates(request, Stage::Write);
        let spare: f64 = writers.iter().map(|&w| self.spare(w, request)).sum();
        // Reads at a server that is silent or failing may never come.
        let reads = |w: usize| if self.healthy(w) { self.servers[w].reads } else { 0 };
        let coming: u32 = (0..self.servers.len()).map(reads).sum();
        let full = self.part_full(&writers, Stage::Write);
        let writer = writers.into_iter().filter(room).min_by_key(|&w| self.servers[w].streams);
        let writer = writer.filter(|_| !full && (coming == 0 || spare >= f64::from(coming + 1)));
        let readers = self.candidates(request, Stage::Read);
        let no_readers = readers.is_empty();
        let short = |w: &usize| no_readers || self.cost(&request.query, *w) <= LONG_READ;
        let last = self.kept.get(&request.query.session).map(|k| k.0);
        let home = |all: Vec<usize>| self.homes(request, all).into_iter().find(room);
        let mut mixed = self.candidates(request, Stage::Whole);
        mixed.retain(short);
        let mixed = if self.part_full(&mixed, Stage::Whole) { None } else { home(mixed) };
        let reader = match self.asks() {
            _ if !two_stages || self.part_full(&readers, Stage::Read) => None,
            true => self.least_full(request, readers),
            false => home(readers),
        };
        match (reader, writer, mixed) {
            (Some(r), Some(_), _) if Some(r) == last => Some(r),
            (_, _, Some(m)) if Some(m) == last => Some(m),
            (Some(r), Some(_), Some(m)) => {
                // By a hash of the session, so that all its turns fall alike at every router.
                let count = |role| self.listed(role).count() as f64;
                let share = count(Stage::Whole) / (count(Stage::Whole) + count(Stage::Write) * MIXED_WEIGHT);
                let whole = share_of(hash(&request.query.session, 1)) < share;
                Some(if whole { m } else { r })
            }
            (Some(r), Some(_), None) => Some(r),
            (_, _, Some(m)) => Some(m),
            // Readers are gone or full: a writer that can read by itself takes a short prompt whole.
            (None, Some(_), None) if self.settings.self_prefill => {
                let waited = self.now - request.arrived > request.query.class.aim / 4;
                let mut able = self.candidates(request, Stage::Write);
                able.retain(|w| !two_stages || no_readers || (waited && short(w)));
                home(able)
            }
            _ => None,
        }
    }

    /// The first home that is not known to be full, else the least full of those that were asked.
    fn least_full(&self, request: &Request, readers: Vec<usize>) -> Option<usize> {
        let full = |w: usize| self.known(w).unwrap_or(0.0);
        let room = |&w: &usize| self.has_room(w, request) && full(w) < READ_SLOTS;
        let all: Vec<usize> = self.homes(request, readers).into_iter().filter(room).take(ASK_MOST).collect();
        let first = all.iter().copied().find(|&w| full(w) < WAIT_SLOTS);
        first.or_else(|| all.into_iter().min_by(|&a, &b| full(a).total_cmp(&full(b))))
    }

    /// Servers in the order in which a prefix hashes to them, the one with the session's last prompt first.
    /// Many routers see a session's turns at one each: by its hash they meet at one of the prefix's homes.
    fn homes(&self, request: &Request, mut all: Vec<usize>) -> Vec<usize> {
        let session = hash(&request.query.session, 2);
        let score = |w: usize, key: u64| std::cmp::Reverse(mix(self.servers[w].hash ^ key));
        all.sort_by_cached_key(|&w| score(w, request.key));
        let homes = if self.many() { HOMES } else { 1 }.min(all.len());
        all[..homes].sort_by_cached_key(|&w| score(w, session));
        let last = self.kept.get(&request.query.session).map(|k| k.0);
        all.sort_by_key(|&w| Some(w) != last);
        all
    }

    /// The writer for a state: fewest own streams in steps, then the reader's cell, writers before mixed
    /// servers, its zone, and fewest of all.
    fn pick_writer(&self, request: &Request) -> Option<usize> {
        let near = self.nearness(request, request.state?.0);
        let writers = self.candidates(request, Stage::Write);
        let mixed = self.candidates(request, Stage::Whole);
        // Those with room first; if all are at cap it goes and queues, where it rests the shortest.
        let rank = |&w: &usize| {
            let v = &self.servers[w];
            let full = if self.has_room(w, request) { 0 } else { v.rest.max(self.now) };
            let whole = v.role == Stage::Whole;
            let slots = self.part(if whole { MIXED_SLOTS } else { WRITE_SLOTS });
            let step = (f64::from(v.streams) / (slots * STREAM_STEP).max(1.0)) as u32;
            let (far, zone, draw) = near(v);
            (request.failed.contains(&w), full > 0, full, step, far, whole, zone, v.streams, draw)
        };
        writers.into_iter().chain(mixed).min_by_key(rank)
    }

    fn nearness(&self, request: &Request, at: usize) -> impl Fn(&Server) -> (bool, bool, u64) + '_ {
        let at = &self.servers[at];
        let draw = if self.many() { hash(&request.query.id, self.seed) } else { self.seed };
        let keeps = self.cell_shares();
        let keeps = move |cell: u64| keeps.get(&cell).copied().unwrap_or(1.0);
        let stays = !self.many() || share_of(draw) < keeps(at.cell);
        let near = move |cell: u64| if stays { cell == at.cell } else { keeps(cell) > 1.0 };
        move |v| (!near(v.cell), v.zone != at.zone, mix(v.hash ^ draw))
    }

    /// Share of what it reads that each cell's own writers can take. Many routers have no stream at most
    /// writers, so that a cell with many readers would pile all that they read on its few writers.
    fn cell_shares(&self) -> BTreeMap<u64, f64> {
        let mut cells: BTreeMap<u64, [f64; 3]> = BTreeMap::new();
        for v in self.servers.iter().filter(|v| v.up) {
            cells.entry(v.cell).or_default()[v.role as usize] += 1.0;
        }
        let all = cells.values().fold((0.0, 0.0), |sum, c| (sum.0 + c[0], sum.1 + c[1]));
        let share = |c: [f64; 3]| CELL_SHARE * c[1] * all.0 / (c[0] * all.1).max(0.1);
        cells.into_iter().map(|(cell, c)| (cell, share(c))).collect()
    }

    /// Where a part of one server is less than one request, the parts of all of a role together bound
    /// what waits there: else a router always finds one more server that it has nothing out at.
    fn part_full(&self, peers: &[usize], stage: Stage) -> bool {
        let waits = || peers.iter().map(|&w| self.servers[w].silent).sum::<u32>();
        let over = |n| n > 0 && f64::from(n + 1) > self.part(READ_SLOTS) * peers.len() as f64;
        self.many() && !self.asks() && (self.now < self.ready[stage as usize] || over(waits()))
    }

    /// Under the own cap, in number and in tokens; an empty server always has room for one.
    fn has_room(&self, w: usize, request: &Request) -> bool {
        let server = &self.servers[w];
        let empty = server.reads + server.streams == 0;
        self.now >= server.rest && (empty || self.spare(w, request) >= 1.0)
    }

    fn part(&self, all: f64) -> f64 {
        all / self.routers
    }

    /// So many routers that each one's part of a server is less than one request.
    fn many(&self) -> bool {
        self.part(READ_SLOTS) < 1.0
    }

    fn spare(&self, w: usize, request: &Request) -> f64 {
        let server = &self.servers[w];
        let slots = [READ_SLOTS, WRITE_SLOTS, MIXED_SLOTS][server.role as usize];
        let count = self.part(slots).max(1.0).floor() - f64::from(server.reads + server.streams);
        let (bound, each) = if server.role == Stage::Read {
            (self.part(READ_TOKENS), self.cost(&request.query, w))
        } else {
            let memory = self.settings.memory_tokens.get(server.kind).copied().filter(|&m| m > 0);
            let all = memory.map_or(f64::INFINITY, |m| m as f64 * MEMORY_SHARE);
            (self.part(all), footprint(&request.query))
        };
        // Those that wait there to begin show a queue at once, whatever makes it.
        let begin = if server.role == Stage::Read { f64::INFINITY } else { BEGIN_CAP };
        count
            .min(begin - f64::from(server.silent))
            .min((bound - server.tokens as f64) / each.max(1) as f64)
            .max(0.0)
    }

    // Health.

    fn listed(&self, role: Stage) -> impl Iterator<Item = usize> + '_ {
        (0..self.servers.len()).filter(move |&w| self.servers[w].up && self.servers[w].role == role)
    }

    /// Servers of a role that may take this request: usable ones, or in a panic all listed.
    fn candidates(&self, request: &Request, role: Stage) -> Vec<usize> {
        let listed = || self.listed(role);
        // What cannot be reached is no part of what a panic may pass over, while other zones answer.
        let cut = |w: usize| self.cut_off(&self.servers[w].zone);
        let whole = listed().all(cut);
        let all = || listed().filter(|&w| whole || !cut(w));
        let up = all().count();
        let good: Vec<usize> = all().filter(|&w| self.healthy(w)).collect();
        let panic = (good.len() as f64) < up as f64 * (1.0 - PANIC_SHARE);
        let pool: Vec<usize> = if panic { all().collect() } else { good };
        let mut pool: Vec<usize> = pool.into_iter().filter(|&w| self.may_take(request, w)).collect();
        if pool.iter().any(|w| !request.failed.contains(w)) {
            pool.retain(|w| !request.failed.contains(w));
        }
        pool
    }

    /// The rules' guards on a send: drain, effect, cold.
    fn may_take(&self, request: &Request, w: usize) -> bool {
        let server = &self.servers[w];
        let cold = self.cold_gap(w).is_some() && self.now < server.cold_next;
        if !server.up || (cold && !self.warms(request, w)) {
            return false;
        }
        match (request.query.class.effect, request.ran) {
            (Effect::Safe, _) | (_, None) => true,
            (Effect::Unsafe, Some(_)) => false,
            (Effect::Keyed { scope, window }, Some((first, sent))) => {
                let first = &self.servers[first];
                let group = match scope {
                    Scope::All => true,
                    Scope::Zone => first.zone == server.zone,
                    Scope::Cell => first.cell == server.cell,
                };
                group && self.now + self.settings.connect_timeout < sent + window
            }
        }
    }

    /// Some servers of this zone failed one after another and none answered: rather the zone's network or
    /// power than each of them. One trial at a time is for all of the zone.
    fn cut_off(&self, zone: &usize) -> bool {
        self.zones.get(zone).is_some_and(|z| z.failed.len() >= ZONE_TRIP && self.now < z.next)
    }

    /// A time with up to half more or less of it, so that routers do not try again in step.
    fn spread(&self, span: Micros, w: usize) -> Micros {
        (span as f64 * (0.5 + share_of(mix(self.servers[w].hash ^ self.seed ^ self.now)))) as Micros
    }

    fn await_zone(&mut self, w: usize) {
        let (now, spread) = (self.now, self.spread(OPEN_FIRST, w));
        let zone = self.zones.entry(self.servers[w].zone).or_default();
        if zone.failed.len() >= ZONE_TRIP && now >= zone.next {
            zone.next = now + (spread << zone.trials.min(4));
            zone.trials += 1;
        }
    }

    /// Breaker closed, or open long enough for one trial; not quiet while peers answer.
    fn healthy(&self, w: usize) -> bool {
        let server = &self.servers[w];
        if server.fails >= TRIP {
            return self.now >= server.open_until && server.reads + server.streams == 0;
        }
        let Some(pending) = server.pending else { return true };
        let limit = self.patience(server.role, 2_000, QUIET).max(QUIET_FLOOR);
        self.now < pending + limit || self.heard[server.role as usize] <= pending + limit / 2
    }

    fn patience(&self, stage: Stage, tokens: u64, times: f64) -> Micros {
        (self.pace[stage as usize] * (tokens as f64 + FIXED_TOKENS) * times) as Micros
    }

    fn sample(&mut self, stage: Stage, elapsed: Micros, tokens: u64) {
        let usual = &mut self.pace[stage as usize];
        *usual += (elapsed as f64 / (tokens as f64 + FIXED_TOKENS) - *usual) * BLEND;
    }

    fn succeeded(&mut self, id: &Id, w: usize, stage: Stage, elapsed: Micros, tokens: u64) {
        if stage != Stage::Write {
            self.keep(id, w);
        }
        self.sample(stage, elapsed, tokens);
        self.ease(w, elapsed);
        let server = &mut self.servers[w];
        server.full = 0;
        server.rate = decay(server.rate, self.now - server.rate_at) + 1.0 / 4.0;
        server.rate_at = self.now;
        self.heard(w);
    }

    /// Parts of less than one request are kept in time. A server rests where the wait cost much of the aim;
    /// for routers that can't ask, a role whose parts together are below one rests after each wait until, on
    /// average, no more of this router's wait there than its part: by twice the usual wait at most.
    fn ease(&mut self, w: usize, elapsed: Micros) {
        if !self.many() {
            return;
        }
        let rest = |t: Micros, part: f64| REST_MOST.min((t as f64 * (1.0 / part - 1.0).max(0.0)) as Micros);
        if !self.asks() && self.servers[w].fails < TRIP {
            let role = self.servers[w].role;
            let usual = elapsed.min(self.patience(role, 2_000, 2.0));
            let all = self.now + rest(usual, self.part(WAIT_SLOTS) * self.listed(role).count() as f64);
            self.ready[role as usize] = self.ready[role as usize].max(all);
        }
        let aim = self.settings.classes.iter().map(|c| c.aim).min().unwrap_or(0);
        if elapsed as f64 > aim as f64 * REST_AIM {
            self.servers[w].rest = self.servers[w].rest.max(self.now + rest(elapsed, self.part(READ_SLOTS)));
        }
    }

    fn heard(&mut self, w: usize) {
        let (now, server) = (self.now, &mut self.servers[w]);
        self.zones.insert(server.zone, Zone::default());
        self.heard[server.role as usize] = now;
        server.pending = (server.silent > 0).then_some(now);
        server.fails = 0;
    }

    fn failed(&mut self, w: usize, weight: u32, out: &mut Vec<Action>) {
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
    }

    // The budget of a cold server.

    /// Time between sends to a server that started a short while ago; `None` for a warm one.
    fn cold_gap(&self, w: usize) -> Option<Micros> {
        let server = &self.servers[w];
        if server.started == 0 || self.now >= server.started + self.settings.warm_within {
            return None;
        }
        let least = COLD_LEAST / self.routers;
        if self.many() {
            return Some((1e6 / least) as Micros);
        }
        // What warm peers of the role take from here bounds from below what it can do when warm.
        let warm = |v: &&Server| v.started + self.settings.warm_within < self.now;
        let warm = self.listed(server.role).map(|v| &self.servers[v]).filter(warm);
        let rates = warm.map(|v| decay(v.rate, self.now - v.rate_at));
        let (sum, n) = rates.fold((0.0, 0.0_f64), |(s, n), r| (s + r, n + 1.0));
        let per_s = sum / n.max(1.0) * self.settings.cold_from * self.settings.fall_multiple * COLD_SHARE;
        Some((1e6 / per_s.max(least)) as Micros)
    }

    /// Where parts are below one request, a router's time between sends to a cold server is longer than it
    /// stays cold. There, of what it would get if it were warm, a share goes at once: of what has just come,
    /// as all that is held would come together, and no overflow, which has no bound.
    fn warms(&self, request: &Request, w: usize) -> bool {
        let share = self.settings.cold_from * self.settings.fall_multiple * COLD_SHARE;
        let server = &self.servers[w];
        let drawn = || share_of(hash(&request.query.session, server.hash)) < share;
        let wait = if self.asks() { SAID_FOR } else { 0 };
        if !self.many() || self.now > request.since + wait || !drawn() {
            return false;
        }
        let first = match request.state {
            Some((at, _)) => {
                let near = self.nearness(request, at);
                self.listed(server.role).min_by_key(|&v| near(&self.servers[v]))
            }
            None => self.homes(request, self.listed(server.role).collect()).first().copied(),
        };
        first == Some(w)
    }

    /// A server that turns up is empty to every router at once: each waits for a moment of its own
    /// within its time between sends, so that the first sends do not fall together.
    fn warm_up(&mut self, w: usize) {
        let gap = self.cold_gap(w).unwrap_or(0) as f64;
        let share = share_of(mix(self.servers[w].hash ^ self.seed));
        self.servers[w].cold_next = self.now + (gap * share) as Micros;
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
        (self.settings.release as f64 * UNHEARD_SHARE) as Micros
    }

    /// Lets go of what is held for attempts that may never have arrived, in time for the rule.
    fn release_unheard(&mut self, out: &mut Vec<Action>) {
        let limit = self.release_by();
        for (id, request) in &mut self.requests {
            let unheard = request.phase == Phase::Writing && request.silent;
            if unheard && request.state.is_some_and(|(_, since)| self.now >= since + limit) {
                request.released_beside = request.state.take().map(|state| state.0);
                out.push(Action::DropState { id: id.clone() });
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
