//! The servers of a role that may take one request, found one by one, as most decisions need few of them.

use std::cell::{Cell, RefCell};
use std::sync::Arc;

use super::*;
use crate::hash::mix;

/// Servers that a prefix hashes to where parts are below one request; the session's hash picks one.
const AFFINITY_SERVERS: usize = 3;
/// So many of the servers that a prefix hashes to are kept in order for each request.
const MAX_RANKED_SERVERS: usize = 16;

/// What has been found out for a request about the servers of one role.
#[derive(Debug, Default)]
pub(super) struct RankingCache {
    ranked: RefCell<PrefixRanking>,
    first: Cell<PreferredServer>,
}

/// The first servers in the order in which the request's prefix hashes to them.
#[derive(Clone, Debug, Default)]
struct PrefixRanking {
    /// Of which state of the list.
    version: u64,
    servers: Arc<[usize]>,
}

/// The server that would take the request were all warm.
#[derive(Clone, Copy, Debug, Default)]
struct PreferredServer {
    /// Of which state of the list.
    version: u64,
    /// Where its KV cache lay.
    kv_cache: Option<usize>,
    server: Option<usize>,
}

/// The servers of a role that may take a request: usable ones, or in a panic all listed.
pub(super) struct Candidates<'a> {
    router: &'a Router,
    request: &'a Request,
    role: Stage,
    pool: fleet_index::Pool,
    /// Some have not failed the request: those that have are passed over.
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

    /// Whether a listed server of the role is one of them.
    pub(super) fn admits(&self, server_index: usize) -> bool {
        self.router.fleet.count_scan();
        self.router.is_in_pool(self.pool, server_index)
            && self.router.may_take(self.request, server_index)
            && !(self.some_untried && self.request.failed_servers.contains(&server_index))
    }

    /// All of them, in the order of their places.
    pub(super) fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        self.router.listed(self.role).iter().copied().filter(|&server_index| self.admits(server_index))
    }

    /// Those of them that have an attempt out which has not been heard of.
    pub(super) fn suspects(&self) -> impl Iterator<Item = usize> + '_ {
        self.router.suspects(self.role).filter(|&server_index| self.admits(server_index))
    }

    /// The first `count` that pass, in the order in which a prefix hashes to them, the one with the session's
    /// last prompt first. Many routers see a session's turns at one each: by its hash they meet at one of the
    /// prefix's homes.
    pub(super) fn by_affinity(&self, count: usize, pass: impl Fn(usize) -> bool) -> Vec<usize> {
        let last = self
            .router
            .last_prefill_server(self.request)
            .filter(|&server_index| self.router.is_listed(server_index, self.role));
        let last = last.filter(|&server_index| self.admits(server_index));
        let mut found: Vec<usize> = last.filter(|&server_index| pass(server_index)).into_iter().collect();
        if found.len() >= count {
            return found;
        }
        let listed = self.router.listed(self.role).len();
        let ranked = self.router.cached_ranking(self.request, self.role);
        let near = self.take_ranked(&ranked, last, count, &mut found, &pass);
        if !near && listed > MAX_RANKED_SERVERS {
            found.truncate(usize::from(last.is_some_and(&pass)));
            let all = self.router.rank_by_prefix(self.request, self.role, listed);
            self.take_ranked(&all, last, count, &mut found, &pass);
        }
        found
    }

    /// Goes through candidates in the order in which the prefix hashes to them; false where there are too
    /// few.
    fn take_ranked(
        &self,
        ranked: &[usize],
        last: Option<usize>,
        count: usize,
        found: &mut Vec<usize>,
        pass: &impl Fn(usize) -> bool,
    ) -> bool {
        let mut able = ranked.iter().copied().filter(|&server_index| self.admits(server_index));
        let homes = if self.router.has_fractional_shares() { AFFINITY_SERVERS } else { 1 };
        let mut head: Vec<usize> = able.by_ref().take(homes).collect();
        let whole = head.len() == homes;
        let session = hash(&self.request.query.session, 2);
        head.sort_by_cached_key(|&server_index| self.router.affinity_score(server_index, session));
        let new = |server_index: &usize| Some(*server_index) != last && pass(*server_index);
        found.extend(head.into_iter().filter(new).take(count - found.len()));
        if whole && found.len() < count {
            found.extend(able.filter(new).take(count - found.len()));
        }
        whole && found.len() >= count
    }
}

impl Router {
    pub(super) fn candidates<'a>(&'a self, request: &'a Request, role: Stage) -> Candidates<'a> {
        Candidates::new(self, request, role)
    }

    /// The rules' guards on a send: drain, effect, slow start.
    pub(super) fn may_take(&self, request: &Request, server_index: usize) -> bool {
        let server = &self.servers[server_index];
        let blocked = self.now < server.next_slow_start_send_at && self.is_in_slow_start(server_index);
        if !server.is_up || (blocked && !self.may_bypass_slow_start(request, server_index)) {
            return false;
        }
        match (request.query.class.effect, request.first_execution) {
            (Effect::Safe, _) | (_, None) => true,
            (Effect::Unsafe, Some(_)) => false,
            (Effect::Keyed { scope, window }, Some((first, sent))) => {
                let first = &self.servers[first];
                let group = match scope {
                    DedupScope::All => true,
                    DedupScope::Zone => first.zone == server.zone,
                    DedupScope::Rack => first.rack == server.rack,
                };
                group && self.now + self.settings.connect_timeout < sent + window
            }
        }
    }

    fn is_listed(&self, server_index: usize, role: Stage) -> bool {
        self.servers[server_index].is_up && self.servers[server_index].role == role
    }

    /// Where the last prompt of the request's session was read.
    pub(super) fn last_prefill_server(&self, request: &Request) -> Option<usize> {
        self.cached_sessions.get(&request.query.session).map(|kept| kept.0)
    }

    fn affinity_score(&self, server_index: usize, key: u64) -> std::cmp::Reverse<u64> {
        std::cmp::Reverse(mix(self.servers[server_index].hash ^ key))
    }

    /// The first `count` listed servers of a role in the order in which the request's prefix hashes to them.
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

    /// The first of [`Router::rank`], kept for as long as the list stays as it is.
    fn cached_ranking(&self, request: &Request, role: Stage) -> Arc<[usize]> {
        let version = self.fleet.version();
        let memo = &request.ranking_caches[role as usize].ranked;
        if memo.borrow().version != version {
            memo.replace(PrefixRanking {
                version,
                servers: self.rank_by_prefix(request, role, MAX_RANKED_SERVERS).into(),
            });
        }
        memo.borrow().servers.clone()
    }

    /// The server of a role that would take the request if none were in slow start.
    pub(super) fn preferred_server(&self, request: &Request, role: Stage) -> Option<usize> {
        let (version, state) = (self.fleet.version(), request.kv_cache.map(|state| state.0));
        let last = self
            .last_prefill_server(request)
            .filter(|&server_index| state.is_none() && self.is_listed(server_index, role));
        if last.is_some() {
            return last;
        }
        let memo = &request.ranking_caches[role as usize].first;
        let known = memo.get();
        if known.version == version && known.kv_cache == state {
            return known.server;
        }
        let server = match state {
            Some(at) => {
                let near = self.proximity(request, at);
                self.listed(role).iter().copied().min_by_key(|&v| near(&self.servers[v]))
            }
            None => {
                let session = hash(&request.query.session, 2);
                let ranked = self.cached_ranking(request, role);
                let homes = ranked.iter().copied().take(if self.has_fractional_shares() {
                    AFFINITY_SERVERS
                } else {
                    1
                });
                homes.min_by_key(|&server_index| self.affinity_score(server_index, session))
            }
        };
        memo.set(PreferredServer { version, kv_cache: state, server });
        server
    }
}
