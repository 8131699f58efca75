//! Candidate servers of a role for one request, computed lazily because most decisions need few of them.

use std::cell::{Cell, RefCell};
use std::sync::Arc;

use super::*;
use crate::hash::{mix, SESSION_AFFINITY_SALT};

/// The number of servers among which the sessions of one prefix are divided, by the session's hash, if each
/// conductor's share of a server is less than one request (see [`Router::has_fractional_shares`]).
const AFFINITY_SERVERS: usize = 3;
/// Servers whose order by the prefix hash is cached for each request.
const MAX_RANKED_SERVERS: usize = 16;

/// Cached rankings of one role's servers for a request.
#[derive(Debug, Default)]
pub(super) struct RankingCache {
    prefix_ranking: RefCell<PrefixRanking>,
    preferred: Cell<PreferredServer>,
}

/// The first servers in the order of the request's prefix hash.
#[derive(Clone, Debug, Default)]
struct PrefixRanking {
    /// Version of the list of servers.
    version: u64,
    servers: Arc<[usize]>,
}

/// The server that would get the request if none were in slow start.
#[derive(Clone, Copy, Debug, Default)]
struct PreferredServer {
    /// Version of the list of servers.
    version: u64,
    /// The server that held the request's KV cache.
    cache_server: Option<usize>,
    server: Option<usize>,
}

/// The servers of a role that may take a request: the healthy ones, or all listed ones if too few are
/// healthy.
pub(super) struct Candidates<'a> {
    router: &'a Router,
    request: &'a Request,
    role: Stage,
    pool: fleet_index::Pool,
    /// Some candidates have not failed the request, so those that have are skipped.
    some_untried: bool,
}

impl<'a> Candidates<'a> {
    fn new(router: &'a Router, request: &'a Request, role: Stage) -> Self {
        let pool = router.pool(role);
        let mut candidates = Candidates { router, request, role, pool, some_untried: false };
        if !request.failed_servers.is_empty() {
            let some_untried =
                candidates.iter().any(|server_index| !request.failed_servers.contains(&server_index));
            candidates.some_untried = some_untried;
        }
        candidates
    }

    /// Whether a listed server of the role is a candidate.
    pub(super) fn admits(&self, server_index: usize) -> bool {
        self.router.fleet.count_scan();
        self.router.is_in_pool(self.pool, server_index)
            && self.router.may_take(self.request, server_index)
            && !(self.some_untried && self.request.failed_servers.contains(&server_index))
    }

    /// All candidates, in the order of their indices.
    pub(super) fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        self.router.listed(self.role).iter().copied().filter(|&server_index| self.admits(server_index))
    }

    /// The candidates with an unacknowledged attempt or an open circuit breaker.
    pub(super) fn suspects(&self) -> impl Iterator<Item = usize> + '_ {
        self.router.suspects(self.role).filter(|&server_index| self.admits(server_index))
    }

    /// The first `count` candidates that pass the filter, in the order of the prefix hash, but with the
    /// server of the session's last prompt first. Where shares are fractional, each turn of a session may
    /// come to another conductor; the session's hash then leads all turns to the same one of the prefix's
    /// servers.
    pub(super) fn by_affinity(&self, count: usize, filter: impl Fn(usize) -> bool) -> Vec<usize> {
        let last = self
            .router
            .last_prefill_server(self.request)
            .filter(|&server_index| self.router.is_listed(server_index, self.role));
        let last = last.filter(|&server_index| self.admits(server_index));
        let mut found: Vec<usize> = last.filter(|&server_index| filter(server_index)).into_iter().collect();
        if found.len() >= count {
            return found;
        }
        let listed = self.router.listed(self.role).len();
        let ranked = self.router.cached_ranking(self.request, self.role);
        let is_complete = self.take_ranked(&ranked, last, count, &mut found, &filter);
        if !is_complete && listed > MAX_RANKED_SERVERS {
            found.truncate(usize::from(last.is_some_and(&filter)));
            let all = self.router.rank_by_prefix(self.request, self.role, listed);
            self.take_ranked(&all, last, count, &mut found, &filter);
        }
        found
    }

    /// Adds candidates to `found` in the given order until there are `count`; false if `ranked` has too few.
    fn take_ranked(
        &self,
        ranked: &[usize],
        last: Option<usize>,
        count: usize,
        found: &mut Vec<usize>,
        filter: &impl Fn(usize) -> bool,
    ) -> bool {
        let mut eligible = ranked.iter().copied().filter(|&server_index| self.admits(server_index));
        let affinity_count = if self.router.has_fractional_shares() { AFFINITY_SERVERS } else { 1 };
        let mut nearest: Vec<usize> = eligible.by_ref().take(affinity_count).collect();
        let has_all = nearest.len() == affinity_count;
        let session_hash = hash(&self.request.query.session, SESSION_AFFINITY_SALT);
        nearest.sort_by_cached_key(|&server_index| self.router.affinity_score(server_index, session_hash));
        let is_new = |server_index: &usize| Some(*server_index) != last && filter(*server_index);
        found.extend(nearest.into_iter().filter(is_new).take(count - found.len()));
        if has_all && found.len() < count {
            found.extend(eligible.filter(is_new).take(count - found.len()));
        }
        has_all && found.len() >= count
    }
}

impl Router {
    pub(super) fn candidates<'a>(&'a self, request: &'a Request, role: Stage) -> Candidates<'a> {
        Candidates::new(self, request, role)
    }

    /// Whether a server may be sent the request: it accepts work, a repeat is allowed there by the effect of
    /// the class, and slow start permits it.
    pub(super) fn may_take(&self, request: &Request, server_index: usize) -> bool {
        let server = &self.servers[server_index];
        let is_throttled = self.now < server.next_slow_start_send_at && self.is_in_slow_start(server_index);
        if !server.is_up || (is_throttled && !self.may_bypass_slow_start(request, server_index)) {
            return false;
        }
        match (request.query.class.effect, request.first_execution) {
            (Effect::Safe, _) | (_, None) => true,
            (Effect::Unsafe, Some(_)) => false,
            (Effect::Keyed { scope, window }, Some((first, sent))) => {
                let first = &self.servers[first];
                let in_scope = match scope {
                    DedupScope::All => true,
                    DedupScope::Zone => first.zone == server.zone,
                    DedupScope::Rack => first.rack == server.rack,
                };
                in_scope && self.now + self.settings.connect_timeout < sent + window
            }
        }
    }

    fn is_listed(&self, server_index: usize, role: Stage) -> bool {
        self.servers[server_index].is_up && self.servers[server_index].role == role
    }

    /// The server that prefilled the last prompt of the request's session.
    pub(super) fn last_prefill_server(&self, request: &Request) -> Option<usize> {
        self.cached_sessions.get(&request.query.session).map(|session| session.0)
    }

    /// Sort key of a server for rendezvous hashing: the highest hash of server and key comes first.
    fn affinity_score(&self, server_index: usize, key: u64) -> std::cmp::Reverse<u64> {
        std::cmp::Reverse(mix(self.servers[server_index].hash ^ key))
    }

    /// The first `count` listed servers of a role in the order of the request's prefix hash.
    fn rank_by_prefix(&self, request: &Request, role: Stage, count: usize) -> Vec<usize> {
        let mut scored: Vec<_> = self
            .listed(role)
            .iter()
            .map(|&server_index| (self.affinity_score(server_index, request.prefix_hash), server_index))
            .collect();
        scored.iter().for_each(|_| self.fleet.count_scan());
        if count < scored.len() {
            scored.select_nth_unstable(count);
            scored.truncate(count);
        }
        scored.sort_unstable();
        scored.into_iter().map(|(_, server_index)| server_index).collect()
    }

    /// The first servers of [`Router::rank_by_prefix`], cached until the list of servers changes.
    fn cached_ranking(&self, request: &Request, role: Stage) -> Arc<[usize]> {
        let version = self.fleet.version();
        let cache = &request.ranking_caches[role as usize].prefix_ranking;
        if cache.borrow().version != version {
            cache.replace(PrefixRanking {
                version,
                servers: self.rank_by_prefix(request, role, MAX_RANKED_SERVERS).into(),
            });
        }
        cache.borrow().servers.clone()
    }

    /// The server of a role that would get the request if none were in slow start.
    pub(super) fn preferred_server(&self, request: &Request, role: Stage) -> Option<usize> {
        let (version, cache_server) = (self.fleet.version(), request.kv_cache.map(|cache| cache.0));
        let last = self
            .last_prefill_server(request)
            .filter(|&server_index| cache_server.is_none() && self.is_listed(server_index, role));
        if last.is_some() {
            return last;
        }
        let cache = &request.ranking_caches[role as usize].preferred;
        let cached = cache.get();
        if cached.version == version && cached.cache_server == cache_server {
            return cached.server;
        }
        let server = match cache_server {
            Some(cache_server) => {
                let proximity = self.proximity(request, cache_server);
                self.listed(role)
                    .iter()
                    .copied()
                    .min_by_key(|&server_index| proximity(&self.servers[server_index]))
            }
            None => {
                let session_hash = hash(&request.query.session, SESSION_AFFINITY_SALT);
                let ranked = self.cached_ranking(request, role);
                let affinity_servers = ranked.iter().copied().take(if self.has_fractional_shares() {
                    AFFINITY_SERVERS
                } else {
                    1
                });
                affinity_servers.min_by_key(|&server_index| self.affinity_score(server_index, session_hash))
            }
        };
        cache.set(PreferredServer { version, cache_server, server });
        server
    }
}
