//! Selects the server of an attempt: where a queued request is sent, and which server decodes after a
//! prefill.

use super::candidates::Candidates;
use super::*;
use crate::hash::{mix, MIXED_CHOICE_SALT};

/// Decode servers are compared by their number of own streams in steps of this share of the conductor's
/// slots. Streams within one step hardly slow each other, and the KV cache stays in its rack, whose link
/// carries little more than its prefill servers send.
const STREAM_STEP_SHARE: f64 = 1.0 / 3.0;
/// Share of a server's memory that all conductors together plan to fill.
const MEMORY_SHARE: f64 = 0.9;
/// Requests that a decode server takes for each one that a mixed server takes, which also does the prefill.
const MIXED_SERVER_WEIGHT: f64 = 1.5;
/// Most uncached prompt tokens that go to a mixed server while prefill servers are available.
const MAX_MIXED_PREFILL_TOKENS: u64 = 3_000;
/// Servers, in the order of the prefix hash, that are probed before the least loaded of them is taken.
const MAX_PROBED_SERVERS: usize = 3;
/// Own requests at one decode or mixed server whose first token is still due: a longer queue there gains
/// nothing.
const MAX_UNSTARTED_STREAMS: f64 = 4.0;
/// Streams of all conductors together at one decode server.
const DECODE_SLOTS: f64 = 80.0;
/// Streams of all conductors together at one mixed server, whose prefills stall its streams.
const MIXED_SLOTS: f64 = 30.0;
/// Prompt tokens of all conductors together at one prefill server; beyond them the next server is used.
const MAX_PREFILL_TOKENS: f64 = 12_000.0;

impl Router {
    /// The server that a queued request is sent to now; `None` if it stays in the queue.
    pub(super) fn choose_server(&self, request: &Request) -> Option<usize> {
        let may_run_two_stages = request.attempts + 2 <= request.query.class.max_attempts;
        let has_capacity = |server_index: usize| self.has_capacity(server_index, request);
        let decode_servers = self.candidates(request, Stage::Decode);
        let prefill_servers = self.candidates(request, Stage::Prefill);
        let no_prefill_server = prefill_servers.iter().next().is_none();
        let is_short = |server_index: usize| {
            no_prefill_server
                || self.uncached_tokens(&request.query, server_index) <= MAX_MIXED_PREFILL_TOKENS
        };
        let mixed = self.choose_mixed_server(request, is_short);
        let last = self.last_prefill_server(request);
        if !self.has_decode_capacity(request, &decode_servers) {
            return mixed;
        }
        let prefill =
            if may_run_two_stages { self.choose_prefill_server(request, &prefill_servers) } else { None };
        match (prefill, mixed) {
            (Some(prefill), _) if Some(prefill) == last => Some(prefill),
            (_, Some(mixed)) if Some(mixed) == last => Some(mixed),
            (Some(prefill), Some(mixed)) => {
                // Decided by a hash of the session, so that all its turns go the same way at every conductor.
                let count = |role| self.listed(role).len() as f64;
                let share =
                    count(Stage::Mixed) / (count(Stage::Mixed) + count(Stage::Decode) * MIXED_SERVER_WEIGHT);
                let prefers_mixed = share_of(hash(&request.query.session, MIXED_CHOICE_SALT)) < share;
                Some(if prefers_mixed { mixed } else { prefill })
            }
            (Some(prefill), None) => Some(prefill),
            (None, Some(mixed)) => Some(mixed),
            // Prefill servers are gone or full: a decode server that can prefill takes a short prompt whole.
            (None, None) if self.settings.decode_can_prefill => {
                let has_waited = self.now - request.arrived_at > request.query.class.first_token_target / 4;
                let is_eligible = |server_index: usize| {
                    !may_run_two_stages || no_prefill_server || (has_waited && is_short(server_index))
                };
                decode_servers
                    .by_affinity(1, |server_index| is_eligible(server_index) && has_capacity(server_index))
                    .first()
                    .copied()
            }
            (None, None) => None,
        }
    }

    /// Whether a decode server has capacity, and all of them together have enough for the prefills in flight,
    /// which will soon need one each.
    fn has_decode_capacity(&self, request: &Request, decode_servers: &Candidates) -> bool {
        if self.is_role_full(decode_servers, Stage::Decode, |_| true) {
            return false;
        }
        let prefills = self.prefills_in_flight();
        let mut spare = 0.0;
        let mut suffices = |server_index: usize| {
            spare += self.spare_capacity(server_index, request);
            spare >= f64::from(prefills + 1)
        };
        (prefills == 0 || decode_servers.iter().any(&mut suffices))
            && decode_servers.iter().any(|server_index| self.has_capacity(server_index, request))
    }

    fn choose_prefill_server(&self, request: &Request, prefill_servers: &Candidates) -> Option<usize> {
        if self.is_role_full(prefill_servers, Stage::Prefill, |_| true) {
            return None;
        }
        match self.uses_load_probes() {
            true => self.least_loaded(request, prefill_servers),
            false => prefill_servers
                .by_affinity(1, |server_index| self.has_capacity(server_index, request))
                .first()
                .copied(),
        }
    }

    /// The mixed server for both stages of the request.
    fn choose_mixed_server(&self, request: &Request, is_short: impl Fn(usize) -> bool) -> Option<usize> {
        if self.listed(Stage::Mixed).is_empty() {
            return None;
        }
        let mixed_servers = self.candidates(request, Stage::Mixed);
        if self.is_role_full(&mixed_servers, Stage::Mixed, &is_short) {
            return None;
        }
        mixed_servers
            .by_affinity(1, |server_index| is_short(server_index) && self.has_capacity(server_index, request))
            .first()
            .copied()
    }

    /// The first server by affinity whose queue is not known to be at its target, or else the least loaded of
    /// the servers that were probed.
    fn least_loaded(&self, request: &Request, prefill_servers: &Candidates) -> Option<usize> {
        let outstanding = |server_index: usize| self.reported_outstanding(server_index).unwrap_or(0.0);
        let found = prefill_servers.by_affinity(MAX_PROBED_SERVERS, |server_index| {
            self.has_capacity(server_index, request) && outstanding(server_index) < PREFILL_SLOTS
        });
        let first =
            found.iter().copied().find(|&server_index| outstanding(server_index) < TARGET_QUEUE_LENGTH);
        first.or_else(|| found.into_iter().min_by(|&a, &b| outstanding(a).total_cmp(&outstanding(b))))
    }

    /// The server that decodes after a prefill: the one with the fewest own streams in steps, then in the
    /// rack of the prefill server, decode before mixed servers, in its zone, and with the fewest own streams.
    pub(super) fn choose_decode_server(&self, request: &Request) -> Option<usize> {
        let proximity = self.proximity(request, request.kv_cache?.0);
        let decode_servers = self.candidates(request, Stage::Decode);
        let mixed_servers = self.candidates(request, Stage::Mixed);
        // Servers with capacity come first. If none has any, the request waits at the server whose backoff
        // ends first.
        let rank = |&server_index: &usize| {
            let server = &self.servers[server_index];
            let available_at =
                if self.has_capacity(server_index, request) { 0 } else { server.backoff_until.max(self.now) };
            let is_mixed = server.role == Stage::Mixed;
            let slots = self.own_share(if is_mixed { MIXED_SLOTS } else { DECODE_SLOTS });
            let step = (f64::from(server.streams) / (slots * STREAM_STEP_SHARE).max(1.0)) as u32;
            let (other_rack, other_zone, draw) = proximity(server);
            (
                request.failed_servers.contains(&server_index),
                available_at > 0,
                available_at,
                step,
                other_rack,
                is_mixed,
                other_zone,
                server.streams,
                draw,
            )
        };
        decode_servers.iter().chain(mixed_servers.iter()).min_by_key(rank)
    }

    /// Ranks servers for a KV cache at `cache_server`: other rack, other zone, and a tie-breaking hash.
    pub(super) fn proximity(
        &self,
        request: &Request,
        cache_server: usize,
    ) -> impl Fn(&Server) -> (bool, bool, u64) + '_ {
        let cache_server = &self.servers[cache_server];
        let draw = if self.has_fractional_shares() { hash(&request.query.id, self.seed) } else { self.seed };
        let shares = self.rack_shares();
        let share = move |rack: u64| shares.get(&rack).copied().unwrap_or(1.0);
        let stays_in_rack = !self.has_fractional_shares() || share_of(draw) < share(cache_server.rack);
        let is_preferred_rack =
            move |rack: u64| if stays_in_rack { rack == cache_server.rack } else { share(rack) > 1.0 };
        move |server| {
            (!is_preferred_rack(server.rack), server.zone != cache_server.zone, mix(server.hash ^ draw))
        }
    }

    /// Whether this conductor's share of all servers of a role together is used up, where its share of one
    /// server is less than one request. Without this bound, a conductor always finds one more server at which
    /// it has no request.
    fn is_role_full(&self, candidates: &Candidates, stage: Stage, filter: impl Fn(usize) -> bool) -> bool {
        if !self.has_fractional_shares() || self.uses_load_probes() {
            return false;
        }
        if self.now < self.next_send_at[stage as usize] {
            return true;
        }
        let waiting: u32 = candidates
            .suspects()
            .filter(|&server_index| filter(server_index))
            .map(|server_index| self.servers[server_index].unacknowledged)
            .sum();
        if waiting == 0 {
            return false;
        }
        let (share, mut count) = (self.own_share(PREFILL_SLOTS), 0.0);
        let mut has_room = |_| {
            count += 1.0;
            f64::from(waiting + 1) <= share * count
        };
        !candidates.iter().filter(|&server_index| filter(server_index)).any(&mut has_room)
    }

    /// Whether a server has room within this conductor's share of its slots and tokens. An idle server always
    /// has room for one request.
    pub(super) fn has_capacity(&self, server_index: usize, request: &Request) -> bool {
        let server = &self.servers[server_index];
        let is_idle = server.prefills + server.streams == 0;
        self.now >= server.backoff_until && (is_idle || self.spare_capacity(server_index, request) >= 1.0)
    }

    /// This conductor's share of a total that belongs to all conductors.
    pub(super) fn own_share(&self, total: f64) -> f64 {
        total / self.equivalent_conductors()
    }

    /// Whether there are so many conductors that each one's share of a server is less than one request.
    pub(super) fn has_fractional_shares(&self) -> bool {
        self.own_share(PREFILL_SLOTS) < 1.0
    }

    /// How many more requests like this one fit into this conductor's share of a server.
    pub(super) fn spare_capacity(&self, server_index: usize, request: &Request) -> f64 {
        let server = &self.servers[server_index];
        let slots = [PREFILL_SLOTS, DECODE_SLOTS, MIXED_SLOTS][server.role as usize];
        let free_slots = self.own_share(slots).max(1.0).floor() - f64::from(server.prefills + server.streams);
        let (max_tokens, tokens) = if server.role == Stage::Prefill {
            (self.own_share(MAX_PREFILL_TOKENS), self.uncached_tokens(&request.query, server_index))
        } else {
            let memory = self.settings.memory_tokens.get(server.kind).copied().filter(|&tokens| tokens > 0);
            let usable = memory.map_or(f64::INFINITY, |tokens| tokens as f64 * MEMORY_SHARE);
            (self.own_share(usable), stream_tokens(&request.query))
        };
        // Requests that wait for their first token show a queue at once, whatever its cause.
        let max_unstarted = if server.role == Stage::Prefill { f64::INFINITY } else { MAX_UNSTARTED_STREAMS };
        free_slots
            .min(max_unstarted - f64::from(server.unacknowledged))
            .min((max_tokens - server.charged_tokens as f64) / tokens.max(1) as f64)
            .max(0.0)
    }
}
