//! The servers of a role that may take one request, found one by one, as most decisions need few of them.

use std::cell::{Cell, RefCell};
use std::sync::Arc;

use super::*;
use crate::hash::mix;

/// Servers that a prefix hashes to where parts are below one request; the session's hash picks one.
const HOMES: usize = 3;
/// So many of the servers that a prefix hashes to are kept in order for each request.
const RANKED: usize = 16;

/// What has been found out for a request about the servers of one role.
#[derive(Debug, Default)]
pub(super) struct Memo {
    ranked: RefCell<Ranked>,
    first: Cell<FirstIfWarm>,
}

/// The first servers in the order in which the request's prefix hashes to them.
#[derive(Clone, Debug, Default)]
struct Ranked {
    /// Of which state of the list.
    version: u64,
    servers: Arc<[usize]>,
}

/// The server that would take the request were all warm.
#[derive(Clone, Copy, Debug, Default)]
struct FirstIfWarm {
    /// Of which state of the list.
    version: u64,
    /// Where its KV cache lay.
    state: Option<usize>,
    server: Option<usize>,
}

/// The servers of a role that may take a request: usable ones, or in a panic all listed.
pub(super) struct Candidates<'a> {
    router: &'a Router,
    request: &'a Request,
    role: Stage,
    pool: fleet_index::Pool,
    /// Some have not failed the request: those that have are passed over.
    some_new: bool,
}

impl<'a> Candidates<'a> {
    fn new(router: &'a Router, request: &'a Request, role: Stage) -> Self {
        let pool = router.pool(role);
        let mut candidates = Candidates { router, request, role, pool, some_new: false };
        if !request.failed.is_empty() {
            let some_new = candidates.iter().any(|w| !request.failed.contains(&w));
            candidates.some_new = some_new;
        }
        candidates
    }

    /// Whether a listed server of the role is one of them.
    pub(super) fn admit(&self, w: usize) -> bool {
        self.router.fleet.look();
        self.router.is_in(self.pool, w)
            && self.router.may_take(self.request, w)
            && !(self.some_new && self.request.failed.contains(&w))
    }

    /// All of them, in the order of their places.
    pub(super) fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        self.router.listed(self.role).iter().copied().filter(|&w| self.admit(w))
    }

    /// Those of them that have an attempt out which has not been heard of.
    pub(super) fn suspects(&self) -> impl Iterator<Item = usize> + '_ {
        self.router.suspects(self.role).filter(|&w| self.admit(w))
    }

    /// The first `count` that pass, in the order in which a prefix hashes to them, the one with the session's
    /// last prompt first. Many routers see a session's turns at one each: by its hash they meet at one of the
    /// prefix's homes.
    pub(super) fn homes(&self, count: usize, pass: impl Fn(usize) -> bool) -> Vec<usize> {
        let last = self.router.last_prefill(self.request).filter(|&w| self.router.is_listed(w, self.role));
        let last = last.filter(|&w| self.admit(w));
        let mut found: Vec<usize> = last.filter(|&w| pass(w)).into_iter().collect();
        if found.len() >= count {
            return found;
        }
        let listed = self.router.listed(self.role).len();
        let ranked = self.router.ranked(self.request, self.role);
        let near = self.first_of(&ranked, last, count, &mut found, &pass);
        if !near && listed > RANKED {
            found.truncate(usize::from(last.is_some_and(&pass)));
            let all = self.router.rank(self.request, self.role, listed);
            self.first_of(&all, last, count, &mut found, &pass);
        }
        found
    }

    /// Goes through candidates in the order in which the prefix hashes to them; false where there are too
    /// few.
    fn first_of(
        &self,
        ranked: &[usize],
        last: Option<usize>,
        count: usize,
        found: &mut Vec<usize>,
        pass: &impl Fn(usize) -> bool,
    ) -> bool {
        let mut able = ranked.iter().copied().filter(|&w| self.admit(w));
        let homes = if self.router.many() { HOMES } else { 1 };
        let mut head: Vec<usize> = able.by_ref().take(homes).collect();
        let whole = head.len() == homes;
        let session = hash(&self.request.query.session, 2);
        head.sort_by_cached_key(|&w| self.router.score(w, session));
        let new = |w: &usize| Some(*w) != last && pass(*w);
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
    pub(super) fn may_take(&self, request: &Request, w: usize) -> bool {
        let server = &self.servers[w];
        let blocked = self.now < server.cold_next && self.in_slow_start(w);
        if !server.up || (blocked && !self.warms(request, w)) {
            return false;
        }
        match (request.query.class.effect, request.ran) {
            (Effect::Safe, _) | (_, None) => true,
            (Effect::Unsafe, Some(_)) => false,
            (Effect::Keyed { scope, window }, Some((first, sent))) => {
                let first = &self.servers[first];
                let group = match scope {
                    DedupScope::All => true,
                    DedupScope::Zone => first.zone == server.zone,
                    DedupScope::Rack => first.cell == server.cell,
                };
                group && self.now + self.settings.connect_timeout < sent + window
            }
        }
    }

    fn is_listed(&self, w: usize, role: Stage) -> bool {
        self.servers[w].up && self.servers[w].role == role
    }

    /// Where the last prompt of the request's session was read.
    pub(super) fn last_prefill(&self, request: &Request) -> Option<usize> {
        self.kept.get(&request.query.session).map(|kept| kept.0)
    }

    fn score(&self, w: usize, key: u64) -> std::cmp::Reverse<u64> {
        std::cmp::Reverse(mix(self.servers[w].hash ^ key))
    }

    /// The first `count` listed servers of a role in the order in which the request's prefix hashes to them.
    fn rank(&self, request: &Request, role: Stage, count: usize) -> Vec<usize> {
        let mut scored: Vec<_> = self.listed(role).iter().map(|&w| (self.score(w, request.key), w)).collect();
        scored.iter().for_each(|_| self.fleet.look());
        if count < scored.len() {
            scored.select_nth_unstable(count);
            scored.truncate(count);
        }
        scored.sort_unstable();
        scored.into_iter().map(|(_, w)| w).collect()
    }

    /// The first of [`Router::rank`], kept for as long as the list stays as it is.
    fn ranked(&self, request: &Request, role: Stage) -> Arc<[usize]> {
        let version = self.fleet.version();
        let memo = &request.memos[role as usize].ranked;
        if memo.borrow().version != version {
            memo.replace(Ranked { version, servers: self.rank(request, role, RANKED).into() });
        }
        memo.borrow().servers.clone()
    }

    /// The server of a role that would take the request if none were in slow start.
    pub(super) fn first_if_warm(&self, request: &Request, role: Stage) -> Option<usize> {
        let (version, state) = (self.fleet.version(), request.state.map(|state| state.0));
        let last = self.last_prefill(request).filter(|&w| state.is_none() && self.is_listed(w, role));
        if last.is_some() {
            return last;
        }
        let memo = &request.memos[role as usize].first;
        let known = memo.get();
        if known.version == version && known.state == state {
            return known.server;
        }
        let server = match state {
            Some(at) => {
                let near = self.nearness(request, at);
                self.listed(role).iter().copied().min_by_key(|&v| near(&self.servers[v]))
            }
            None => {
                let session = hash(&request.query.session, 2);
                let ranked = self.ranked(request, role);
                let homes = ranked.iter().copied().take(if self.many() { HOMES } else { 1 });
                homes.min_by_key(|&w| self.score(w, session))
            }
        };
        memo.set(FirstIfWarm { version, state, server });
        server
    }
}
