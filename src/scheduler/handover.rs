//! State that a conductor hands over to the process that replaces it, and work shared between processes.
//! Nothing here decides.
//!
//! Times are spans before or after the time of the snapshot, because each process has its own clock.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Router, Server};
use crate::interface::{Id, Micros};

/// Sessions in a snapshot: those that were used last.
const MAX_SESSIONS: usize = 4_096;
/// Start times this close are the same start, because both processes set their clocks by the wall clock's
/// milliseconds.
const SAME_START_TOLERANCE: Micros = 10_000;

/// What a router has learned about its servers, tenants and sessions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    #[serde(rename = "pace")]
    us_per_token: [f64; 3],
    tenants: Vec<TenantSnapshot>,
    #[serde(rename = "workers")]
    servers: Vec<ServerSnapshot>,
    sessions: Vec<SessionSnapshot>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct TenantSnapshot {
    name: Id,
    quota_left: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct ServerSnapshot {
    id: Id,
    /// Time since the start of the server; `None` for long ago.
    #[serde(rename = "started_before")]
    started_ago: Option<Micros>,
    #[serde(rename = "rate")]
    completion_rate: f64,
    #[serde(rename = "rate_before")]
    rate_age: Micros,
    #[serde(rename = "fails")]
    consecutive_failures: u32,
    #[serde(rename = "open_for")]
    breaker_open_for: Micros,
    #[serde(rename = "full")]
    consecutive_rejections: u32,
    #[serde(rename = "rests_for")]
    backoff_for: Micros,
    #[serde(rename = "cold_next_in")]
    next_slow_start_send_in: Micros,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct SessionSnapshot {
    id: Id,
    #[serde(rename = "worker")]
    server: Id,
    prompt_tokens: u64,
    #[serde(rename = "before")]
    age: Micros,
}

impl Snapshot {
    /// Whether the state of all servers has been restored.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }
}

impl Router {
    /// Exports what the router has learned so far.
    pub fn snapshot(&self, now: Micros) -> Snapshot {
        let listed = self.servers.iter().filter(|server| !server.id.is_empty());
        let servers = listed.map(|server| ServerSnapshot {
            id: server.id.clone(),
            started_ago: (server.started_at > 0).then(|| now.saturating_sub(server.started_at)),
            completion_rate: server.completion_rate,
            rate_age: now.saturating_sub(server.rate_updated_at),
            consecutive_failures: server.consecutive_failures,
            breaker_open_for: server.breaker_open_until.saturating_sub(now),
            consecutive_rejections: server.consecutive_rejections,
            backoff_for: server.backoff_until.saturating_sub(now),
            next_slow_start_send_in: server.next_slow_start_send_at.saturating_sub(now),
        });
        let tenants = self.settings.tenants.iter().zip(&self.quota_levels);
        let tenants =
            tenants.map(|(tenant, quota)| TenantSnapshot { name: tenant.name.clone(), quota_left: quota.0 });
        let mut sessions: Vec<_> = self.cached_sessions.iter().collect();
        sessions.sort_by_key(|(_, session)| std::cmp::Reverse(session.2));
        let sessions = sessions.into_iter().take(MAX_SESSIONS).map(|(id, session)| SessionSnapshot {
            id: id.clone(),
            server: self.servers[session.0].id.clone(),
            prompt_tokens: session.1,
            age: now.saturating_sub(session.2),
        });
        Snapshot {
            us_per_token: self.us_per_token,
            tenants: tenants.collect(),
            servers: servers.collect(),
            sessions: sessions.collect(),
        }
    }

    /// Restores what a snapshot of this age says about listed servers. The rest stays in the snapshot until
    /// its servers are listed.
    pub fn restore(&mut self, now: Micros, age: Micros, snapshot: &mut Snapshot) {
        if snapshot.us_per_token.iter().all(|us| *us > 0.0 && us.is_finite()) {
            self.us_per_token = std::mem::take(&mut snapshot.us_per_token);
        }
        for tenant in snapshot.tenants.drain(..) {
            if let Some(index) = self.settings.tenant(&tenant.name) {
                self.quota_levels[index] = (tenant.quota_left, now.saturating_sub(age));
            }
        }
        let (known, unknown) = std::mem::take(&mut snapshot.servers)
            .into_iter()
            .partition::<Vec<_>, _>(|server| self.server_indices.contains_key(&server.id));
        snapshot.servers = unknown;
        for server in known {
            self.restore_server(now, age, &server);
        }
        let (known, unknown) = std::mem::take(&mut snapshot.sessions)
            .into_iter()
            .partition::<Vec<_>, _>(|session| self.server_indices.contains_key(&session.server));
        snapshot.sessions = unknown;
        for session in known {
            let at = now.saturating_sub(age + session.age);
            let cached = (self.server_indices[&session.server], session.prompt_tokens, at);
            self.cached_sessions.entry(session.id).or_insert(cached);
        }
    }

    fn restore_server(&mut self, now: Micros, age: Micros, snapshot: &ServerSnapshot) {
        let server = &mut self.servers[self.server_indices[&snapshot.id]];
        let started_at = snapshot.started_ago.map_or(0, |ago| now.saturating_sub(age + ago));
        if server.started_at > started_at + SAME_START_TOLERANCE {
            // The server has restarted since, so the snapshot no longer applies to it.
            return;
        }
        let remaining = |span: Micros| now + span.saturating_sub(age);
        server.started_at = server.started_at.max(started_at);
        server.completion_rate = snapshot.completion_rate;
        server.rate_updated_at = now.saturating_sub(age + snapshot.rate_age);
        (server.consecutive_failures, server.breaker_open_until) =
            (snapshot.consecutive_failures, remaining(snapshot.breaker_open_for));
        (server.consecutive_rejections, server.backoff_until) =
            (snapshot.consecutive_rejections, remaining(snapshot.backoff_for));
        server.next_slow_start_send_at = remaining(snapshot.next_slow_start_send_in);
        let server_index = self.server_indices[&snapshot.id];
        self.reindex_server(server_index);
        self.fleet.invalidate_rates();
    }
}

/// Work in flight, by server.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OpenWork(BTreeMap<Id, ServerWork>);

/// Work in flight at one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
struct ServerWork {
    #[serde(rename = "reads")]
    prefills: u32,
    streams: u32,
    tokens: u64,
}

impl OpenWork {
    /// Adds the work of another process.
    pub fn add(&mut self, other: OpenWork) {
        for (id, work) in other.0 {
            let sum = self.0.entry(id).or_default();
            *sum = sum.plus(work);
        }
    }
}

impl ServerWork {
    fn of(server: &Server) -> Self {
        ServerWork { prefills: server.prefills, streams: server.streams, tokens: server.charged_tokens }
    }

    fn apply_to(self, server: &mut Server) {
        (server.prefills, server.streams, server.charged_tokens) = (self.prefills, self.streams, self.tokens);
    }

    fn plus(self, other: Self) -> Self {
        ServerWork {
            prefills: self.prefills.saturating_add(other.prefills),
            streams: self.streams.saturating_add(other.streams),
            tokens: self.tokens.saturating_add(other.tokens),
        }
    }

    fn minus(self, other: Self) -> Self {
        ServerWork {
            prefills: self.prefills.saturating_sub(other.prefills),
            streams: self.streams.saturating_sub(other.streams),
            tokens: self.tokens.saturating_sub(other.tokens),
        }
    }
}

impl Router {
    /// The work of this router in flight at servers, without that of other processes.
    pub fn open_work(&self) -> OpenWork {
        let work = self.servers.iter().filter_map(|server| {
            let foreign = self.foreign_work.0.get(&server.id).copied().unwrap_or_default();
            let work = ServerWork::of(server).minus(foreign);
            (work != ServerWork::default()).then(|| (server.id.clone(), work))
        });
        OpenWork(work.collect())
    }

    /// Counts the work of other processes of the same conductor as this router's own, in place of what they
    /// reported before.
    pub fn set_foreign_work(&mut self, foreign: OpenWork) {
        let before = std::mem::replace(&mut self.foreign_work, foreign);
        for (id, work) in &before.0 {
            let Some(&server_index) = self.server_indices.get(id) else { continue };
            let server = &mut self.servers[server_index];
            ServerWork::of(server).minus(*work).apply_to(server);
        }
        // Work at servers that are not listed is not counted, so it must not be subtracted later either.
        self.foreign_work.0.retain(|id, _| self.server_indices.contains_key(id));
        for (id, work) in &self.foreign_work.0 {
            let server = &mut self.servers[self.server_indices[id]];
            ServerWork::of(server).plus(*work).apply_to(server);
        }
        let changed: Vec<usize> = before
            .0
            .keys()
            .chain(self.foreign_work.0.keys())
            .filter_map(|id| self.server_indices.get(id).copied())
            .collect();
        changed.into_iter().for_each(|server_index| self.reindex_server(server_index));
    }
}
