//! Which server a request goes to: with which it leaves, and which writes what has been read.

use super::candidates::Candidates;
use super::*;
use crate::hash::mix;

/// Own streams are compared in steps of this share of the part. Within one they hardly slow each other, and
/// a state stays in its rack, whose link carries little more than its readers send.
const STREAM_STEP_SHARE: f64 = 1.0 / 3.0;
/// Share of a server's memory that all routers together plan to fill.
const MEMORY_SHARE: f64 = 0.9;
/// A writer takes this much of what a mixed server takes whole: a mixed server also reads.
const MIXED_SERVER_WEIGHT: f64 = 1.5;
/// More tokens than this to read are not for a mixed server while there are readers.
const MAX_MIXED_PREFILL_TOKENS: u64 = 3_000;
/// Of the servers that a prefix hashes to, so many are asked before the least full of them is taken.
const MAX_PROBED_SERVERS: usize = 3;
/// Own requests that may wait at one writer or mixed server to begin: a queue there helps nobody.
const MAX_UNSTARTED_STREAMS: f64 = 4.0;
/// Streams of all routers together at one writer, and at a mixed server, whose reads stall its streams.
const DECODE_SLOTS: f64 = 80.0;
const MIXED_SLOTS: f64 = 30.0;
/// Tokens of all routers together at one prefill server past which the next takes over.
const MAX_PREFILL_TOKENS: f64 = 12_000.0;

impl Router {
    /// The server with which a held request leaves now, if any.
    pub(super) fn choose_server(&self, request: &Request) -> Option<usize> {
        let two_stages = request.attempts + 2 <= request.query.class.max_attempts;
        let room = |server_index: usize| self.has_capacity(server_index, request);
        let decode = self.candidates(request, Stage::Decode);
        let prefill = self.candidates(request, Stage::Prefill);
        let no_prefill = prefill.iter().next().is_none();
        let short = |server_index: usize| {
            no_prefill || self.uncached_tokens(&request.query, server_index) <= MAX_MIXED_PREFILL_TOKENS
        };
        let mixed = self.choose_mixed_server(request, short);
        let last = self.last_prefill_server(request);
        if !self.has_decode_capacity(request, &decode) {
            return mixed;
        }
        let reader = if two_stages { self.choose_prefill_server(request, &prefill) } else { None };
        match (reader, mixed) {
            (Some(r), _) if Some(r) == last => Some(r),
            (_, Some(m)) if Some(m) == last => Some(m),
            (Some(r), Some(m)) => {
                // By a hash of the session, so that all its turns fall alike at every router.
                let count = |role| self.listed(role).len() as f64;
                let share =
                    count(Stage::Mixed) / (count(Stage::Mixed) + count(Stage::Decode) * MIXED_SERVER_WEIGHT);
                let whole = share_of(hash(&request.query.session, 1)) < share;
                Some(if whole { m } else { r })
            }
            (Some(r), None) => Some(r),
            (None, Some(m)) => Some(m),
            // Prefill servers are gone or full: a decode server that can read by itself takes a short prompt
            // whole.
            (None, None) if self.settings.decode_can_prefill => {
                let waited = self.now - request.arrived_at > request.query.class.first_token_target / 4;
                let able = |server_index: usize| !two_stages || no_prefill || (waited && short(server_index));
                decode
                    .by_affinity(1, |server_index| able(server_index) && room(server_index))
                    .first()
                    .copied()
            }
            (None, None) => None,
        }
    }

    /// Whether some decode server has room, and all of them for what is being read and will want one soon.
    fn has_decode_capacity(&self, request: &Request, decode: &Candidates) -> bool {
        if self.is_role_full(decode, Stage::Decode, |_| true) {
            return false;
        }
        let coming = self.prefills_in_flight();
        let mut spare = 0.0;
        let mut add = |server_index: usize| {
            spare += self.spare_capacity(server_index, request);
            spare >= f64::from(coming + 1)
        };
        (coming == 0 || decode.iter().any(&mut add))
            && decode.iter().any(|server_index| self.has_capacity(server_index, request))
    }

    fn choose_prefill_server(&self, request: &Request, prefill: &Candidates) -> Option<usize> {
        if self.is_role_full(prefill, Stage::Prefill, |_| true) {
            return None;
        }
        match self.uses_load_probes() {
            true => self.least_loaded(request, prefill),
            false => prefill
                .by_affinity(1, |server_index| self.has_capacity(server_index, request))
                .first()
                .copied(),
        }
    }

    /// The mixed server that takes it whole.
    fn choose_mixed_server(&self, request: &Request, short: impl Fn(usize) -> bool) -> Option<usize> {
        if self.listed(Stage::Mixed).is_empty() {
            return None;
        }
        let mixed = self.candidates(request, Stage::Mixed);
        if self.is_role_full(&mixed, Stage::Mixed, &short) {
            return None;
        }
        mixed
            .by_affinity(1, |server_index| short(server_index) && self.has_capacity(server_index, request))
            .first()
            .copied()
    }

    /// The first home that is not known to be full, else the least full of those that were asked.
    fn least_loaded(&self, request: &Request, prefill: &Candidates) -> Option<usize> {
        let full = |server_index: usize| self.reported_outstanding(server_index).unwrap_or(0.0);
        let all = prefill.by_affinity(MAX_PROBED_SERVERS, |server_index| {
            self.has_capacity(server_index, request) && full(server_index) < PREFILL_SLOTS
        });
        let first = all.iter().copied().find(|&server_index| full(server_index) < TARGET_QUEUE_LENGTH);
        first.or_else(|| all.into_iter().min_by(|&a, &b| full(a).total_cmp(&full(b))))
    }

    /// The writer for a state: fewest own streams in steps, then the reader's cell, writers before mixed
    /// servers, its zone, and fewest of all.
    pub(super) fn choose_decode_server(&self, request: &Request) -> Option<usize> {
        let near = self.proximity(request, request.kv_cache?.0);
        let writers = self.candidates(request, Stage::Decode);
        let mixed = self.candidates(request, Stage::Mixed);
        // Those with room first; if all are at cap it goes and queues, where it rests the shortest.
        let rank = |&server_index: &usize| {
            let v = &self.servers[server_index];
            let full =
                if self.has_capacity(server_index, request) { 0 } else { v.backoff_until.max(self.now) };
            let whole = v.role == Stage::Mixed;
            let slots = self.own_share(if whole { MIXED_SLOTS } else { DECODE_SLOTS });
            let step = (f64::from(v.streams) / (slots * STREAM_STEP_SHARE).max(1.0)) as u32;
            let (far, zone, draw) = near(v);
            (
                request.failed_servers.contains(&server_index),
                full > 0,
                full,
                step,
                far,
                whole,
                zone,
                v.streams,
                draw,
            )
        };
        writers.iter().chain(mixed.iter()).min_by_key(rank)
    }

    pub(super) fn proximity(
        &self,
        request: &Request,
        at: usize,
    ) -> impl Fn(&Server) -> (bool, bool, u64) + '_ {
        let at = &self.servers[at];
        let draw = if self.has_fractional_shares() { hash(&request.query.id, self.seed) } else { self.seed };
        let keeps = self.rack_shares();
        let keeps = move |cell: u64| keeps.get(&cell).copied().unwrap_or(1.0);
        let stays = !self.has_fractional_shares() || share_of(draw) < keeps(at.rack);
        let near = move |cell: u64| if stays { cell == at.rack } else { keeps(cell) > 1.0 };
        move |v| (!near(v.rack), v.zone != at.zone, mix(v.hash ^ draw))
    }

    /// Where a part of one server is less than one request, the parts of all of a role together bound
    /// what waits there: else a router always finds one more server that it has nothing out at.
    fn is_role_full(&self, peers: &Candidates, stage: Stage, pass: impl Fn(usize) -> bool) -> bool {
        if !self.has_fractional_shares() || self.uses_load_probes() {
            return false;
        }
        if self.now < self.next_send_at[stage as usize] {
            return true;
        }
        let waits: u32 = peers
            .suspects()
            .filter(|&server_index| pass(server_index))
            .map(|server_index| self.servers[server_index].unacknowledged)
            .sum();
        if waits == 0 {
            return false;
        }
        let (most, mut count) = (self.own_share(PREFILL_SLOTS), 0.0);
        let mut enough = |_| {
            count += 1.0;
            f64::from(waits + 1) <= most * count
        };
        !peers.iter().filter(|&server_index| pass(server_index)).any(&mut enough)
    }

    /// Under the own cap, in number and in tokens; an empty server always has room for one.
    pub(super) fn has_capacity(&self, server_index: usize, request: &Request) -> bool {
        let server = &self.servers[server_index];
        let empty = server.prefills + server.streams == 0;
        self.now >= server.backoff_until && (empty || self.spare_capacity(server_index, request) >= 1.0)
    }

    pub(super) fn own_share(&self, all: f64) -> f64 {
        all / self.equivalent_conductors
    }

    /// So many routers that each one's part of a server is less than one request.
    pub(super) fn has_fractional_shares(&self) -> bool {
        self.own_share(PREFILL_SLOTS) < 1.0
    }

    pub(super) fn spare_capacity(&self, server_index: usize, request: &Request) -> f64 {
        let server = &self.servers[server_index];
        let slots = [PREFILL_SLOTS, DECODE_SLOTS, MIXED_SLOTS][server.role as usize];
        let count = self.own_share(slots).max(1.0).floor() - f64::from(server.prefills + server.streams);
        let (bound, each) = if server.role == Stage::Prefill {
            (self.own_share(MAX_PREFILL_TOKENS), self.uncached_tokens(&request.query, server_index))
        } else {
            let memory = self.settings.memory_tokens.get(server.kind).copied().filter(|&m| m > 0);
            let all = memory.map_or(f64::INFINITY, |m| m as f64 * MEMORY_SHARE);
            (self.own_share(all), stream_tokens(&request.query))
        };
        // Those that wait there to begin show a queue at once, whatever makes it.
        let begin = if server.role == Stage::Prefill { f64::INFINITY } else { MAX_UNSTARTED_STREAMS };
        count
            .min(begin - f64::from(server.unacknowledged))
            .min((bound - server.charged_tokens as f64) / each.max(1) as f64)
            .max(0.0)
    }
}
