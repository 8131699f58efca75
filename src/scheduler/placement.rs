//! Which server a request goes to: with which it leaves, and which writes what has been read.

use super::candidates::Candidates;
use super::*;
use crate::hash::mix;

/// Own streams are compared in steps of this share of the part. Within one they hardly slow each other, and
/// a state stays in its rack, whose link carries little more than its readers send.
const STREAM_STEP: f64 = 1.0 / 3.0;
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
/// Streams of all routers together at one writer, and at a mixed server, whose reads stall its streams.
const WRITE_SLOTS: f64 = 80.0;
const MIXED_SLOTS: f64 = 30.0;
/// Tokens of all routers together at one prefill server past which the next takes over.
const READ_TOKENS: f64 = 12_000.0;

impl Router {
    /// The server with which a held request leaves now, if any.
    pub(super) fn place(&self, request: &Request) -> Option<usize> {
        let two_stages = request.attempts + 2 <= request.query.class.max_attempts;
        let room = |w: usize| self.has_room(w, request);
        let decode = self.candidates(request, Stage::Write);
        let prefill = self.candidates(request, Stage::Read);
        let no_prefill = prefill.iter().next().is_none();
        let short = |w: usize| no_prefill || self.cost(&request.query, w) <= LONG_READ;
        let mixed = self.place_whole(request, short);
        let last = self.last_prefill(request);
        if !self.has_decode_room(request, &decode) {
            return mixed;
        }
        let reader = if two_stages { self.place_prefill(request, &prefill) } else { None };
        match (reader, mixed) {
            (Some(r), _) if Some(r) == last => Some(r),
            (_, Some(m)) if Some(m) == last => Some(m),
            (Some(r), Some(m)) => {
                // By a hash of the session, so that all its turns fall alike at every router.
                let count = |role| self.listed(role).len() as f64;
                let share = count(Stage::Whole) / (count(Stage::Whole) + count(Stage::Write) * MIXED_WEIGHT);
                let whole = share_of(hash(&request.query.session, 1)) < share;
                Some(if whole { m } else { r })
            }
            (Some(r), None) => Some(r),
            (None, Some(m)) => Some(m),
            // Prefill servers are gone or full: a decode server that can read by itself takes a short prompt
            // whole.
            (None, None) if self.settings.decode_can_prefill => {
                let waited = self.now - request.arrived > request.query.class.first_token_target / 4;
                let able = |w: usize| !two_stages || no_prefill || (waited && short(w));
                decode.homes(1, |w| able(w) && room(w)).first().copied()
            }
            (None, None) => None,
        }
    }

    /// Whether some decode server has room, and all of them for what is being read and will want one soon.
    fn has_decode_room(&self, request: &Request, decode: &Candidates) -> bool {
        if self.part_full(decode, Stage::Write, |_| true) {
            return false;
        }
        let coming = self.prefills_out();
        let mut spare = 0.0;
        let mut add = |w: usize| {
            spare += self.spare(w, request);
            spare >= f64::from(coming + 1)
        };
        (coming == 0 || decode.iter().any(&mut add)) && decode.iter().any(|w| self.has_room(w, request))
    }

    fn place_prefill(&self, request: &Request, prefill: &Candidates) -> Option<usize> {
        if self.part_full(prefill, Stage::Read, |_| true) {
            return None;
        }
        match self.asks() {
            true => self.least_full(request, prefill),
            false => prefill.homes(1, |w| self.has_room(w, request)).first().copied(),
        }
    }

    /// The mixed server that takes it whole.
    fn place_whole(&self, request: &Request, short: impl Fn(usize) -> bool) -> Option<usize> {
        if self.listed(Stage::Whole).is_empty() {
            return None;
        }
        let mixed = self.candidates(request, Stage::Whole);
        if self.part_full(&mixed, Stage::Whole, &short) {
            return None;
        }
        mixed.homes(1, |w| short(w) && self.has_room(w, request)).first().copied()
    }

    /// The first home that is not known to be full, else the least full of those that were asked.
    fn least_full(&self, request: &Request, prefill: &Candidates) -> Option<usize> {
        let full = |w: usize| self.known(w).unwrap_or(0.0);
        let all = prefill.homes(ASK_MOST, |w| self.has_room(w, request) && full(w) < READ_SLOTS);
        let first = all.iter().copied().find(|&w| full(w) < WAIT_SLOTS);
        first.or_else(|| all.into_iter().min_by(|&a, &b| full(a).total_cmp(&full(b))))
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
        writers.iter().chain(mixed.iter()).min_by_key(rank)
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

    /// Where a part of one server is less than one request, the parts of all of a role together bound
    /// what waits there: else a router always finds one more server that it has nothing out at.
    fn part_full(&self, peers: &Candidates, stage: Stage, pass: impl Fn(usize) -> bool) -> bool {
        if !self.many() || self.asks() {
            return false;
        }
        if self.now < self.ready[stage as usize] {
            return true;
        }
        let waits: u32 = peers.suspects().filter(|&w| pass(w)).map(|w| self.servers[w].silent).sum();
        if waits == 0 {
            return false;
        }
        let (most, mut count) = (self.part(READ_SLOTS), 0.0);
        let mut enough = |_| {
            count += 1.0;
            f64::from(waits + 1) <= most * count
        };
        !peers.iter().filter(|&w| pass(w)).any(&mut enough)
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
}
