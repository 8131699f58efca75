//! Which server a request goes to: with which it leaves, and which writes what has been read.

use std::collections::BTreeMap;

use super::*;
use crate::hash::mix;

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
/// Of the servers that a prefix hashes to, so many are asked before the least full of them is taken.
const ASK_MOST: usize = 3;
/// Own requests that may wait at one writer or mixed server to begin: a queue there helps nobody.
const BEGIN_CAP: f64 = 4.0;
/// Share of its part of the writers for its part of the readers that a cell keeps of what it reads.
const CELL_SHARE: f64 = 1.5;
/// Streams of all routers together at one writer, and at a mixed server, whose reads stall its streams.
const WRITE_SLOTS: f64 = 80.0;
const MIXED_SLOTS: f64 = 30.0;
/// Tokens of all routers together at one prefill server past which the next takes over.
const READ_TOKENS: f64 = 12_000.0;
/// Share of a role that may be out of use before its breakers are passed over (panic threshold).
const PANIC_SHARE: f64 = 0.5;

impl Router {
    /// The server with which a held request leaves now, if any.
    pub(super) fn place(&self, request: &Request) -> Option<usize> {
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
    pub(super) fn least_full(&self, request: &Request, readers: Vec<usize>) -> Option<usize> {
        let full = |w: usize| self.known(w).unwrap_or(0.0);
        let room = |&w: &usize| self.has_room(w, request) && full(w) < READ_SLOTS;
        let all: Vec<usize> = self.homes(request, readers).into_iter().filter(room).take(ASK_MOST).collect();
        let first = all.iter().copied().find(|&w| full(w) < WAIT_SLOTS);
        first.or_else(|| all.into_iter().min_by(|&a, &b| full(a).total_cmp(&full(b))))
    }

    /// Servers in the order in which a prefix hashes to them, the one with the session's last prompt first.
    /// Many routers see a session's turns at one each: by its hash they meet at one of the prefix's homes.
    pub(super) fn homes(&self, request: &Request, mut all: Vec<usize>) -> Vec<usize> {
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
    pub(super) fn pick_writer(&self, request: &Request) -> Option<usize> {
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

    pub(super) fn nearness(
        &self,
        request: &Request,
        at: usize,
    ) -> impl Fn(&Server) -> (bool, bool, u64) + '_ {
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
    pub(super) fn cell_shares(&self) -> BTreeMap<u64, f64> {
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
    pub(super) fn part_full(&self, peers: &[usize], stage: Stage) -> bool {
        let waits = || peers.iter().map(|&w| self.servers[w].silent).sum::<u32>();
        let over = |n| n > 0 && f64::from(n + 1) > self.part(READ_SLOTS) * peers.len() as f64;
        self.many() && !self.asks() && (self.now < self.ready[stage as usize] || over(waits()))
    }

    /// Under the own cap, in number and in tokens; an empty server always has room for one.
    pub(super) fn has_room(&self, w: usize, request: &Request) -> bool {
        let server = &self.servers[w];
        let empty = server.reads + server.streams == 0;
        self.now >= server.rest && (empty || self.spare(w, request) >= 1.0)
    }

    pub(super) fn part(&self, all: f64) -> f64 {
        all / self.routers
    }

    /// So many routers that each one's part of a server is less than one request.
    pub(super) fn many(&self) -> bool {
        self.part(READ_SLOTS) < 1.0
    }

    pub(super) fn spare(&self, w: usize, request: &Request) -> f64 {
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

    pub(super) fn listed(&self, role: Stage) -> impl Iterator<Item = usize> + '_ {
        (0..self.servers.len()).filter(move |&w| self.servers[w].up && self.servers[w].role == role)
    }

    /// Servers of a role that may take this request: usable ones, or in a panic all listed.
    pub(super) fn candidates(&self, request: &Request, role: Stage) -> Vec<usize> {
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
    pub(super) fn may_take(&self, request: &Request, w: usize) -> bool {
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
}
