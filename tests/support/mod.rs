//! Helpers shared by the tests: a router with a clock, short forms of events and checks of actions.
#![allow(dead_code)]

pub mod fleet;
pub mod history;
pub mod side;

use std::sync::Arc;

use frosttrail::*;

pub const MS: Micros = 1_000;
pub const SEC: Micros = 1_000_000;

pub fn entry(name: &str, kind: usize) -> ServerEntry {
    let (server, health) = (name.into(), Health::Up);
    ServerEntry { server, rack: 0, kind, zone: 0, started: 0, health }
}

pub fn query(id: &str, prompt_tokens: u64) -> Query {
    Query {
        id: id.into(),
        session: format!("session of {id}").as_str().into(),
        prefix: None,
        prefix_tokens: 0,
        prompt_tokens,
        max_tokens: 200,
        class: Default::default(),
        tenant: None,
        budget: 5 * SEC,
        is_client_retry: false,
        resumes_stream: false,
    }
}

/// A router with a simulated clock.
pub struct RouterHarness {
    pub router: Router,
    pub now: Micros,
    /// The token of the timer that was set last.
    pub timer_token: u64,
    /// The class of requests that don't name one.
    class: Arc<RequestClass>,
}

/// Returns the settings with this limit of attempts in every class.
pub fn with_max_attempts(max_attempts: u32, mut settings: Settings) -> Settings {
    for class in &mut settings.classes {
        Arc::make_mut(class).max_attempts = max_attempts;
    }
    settings
}

impl RouterHarness {
    /// `fleet` holds names and kinds: 0 for prefill, 1 for decode, 2 for mixed servers.
    pub fn new(settings: Settings, fleet: &[(&str, usize)]) -> Self {
        let mut harness = RouterHarness::with_seed(settings, 7);
        harness.update_servers(ListUpdateKind::StaleCopy, fleet.iter().map(|(n, k)| entry(n, *k)).collect());
        harness
    }

    /// Creates a router with this seed that knows no server yet.
    pub fn with_seed(settings: Settings, seed: u64) -> Self {
        let class = settings.classes[0].clone();
        RouterHarness { router: Router::new(settings, seed), now: 100 * SEC, timer_token: 0, class }
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.router.handle(self.now, event, &mut out);
        for action in &out {
            if let Action::SetTimer { token, .. } = action {
                self.timer_token = *token;
            }
        }
        out
    }

    pub fn update_servers(&mut self, kind: ListUpdateKind, entries: Vec<ServerEntry>) -> Vec<Action> {
        self.handle(Event::Members { kind, entries })
    }

    pub fn submit(&mut self, query: Query) -> Vec<Action> {
        let class = if query.class == Arc::default() { self.class.clone() } else { query.class };
        self.handle(Event::Query(Query { class, ..query }))
    }

    pub fn end_attempt(&mut self, id: &str, attempt: u32, server: &str, outcome: Outcome) -> Vec<Action> {
        self.handle(Event::AttemptEnded {
            id: id.into(),
            attempt,
            server: server.into(),
            outcome,
            elapsed: 50 * MS,
            cached_tokens: 0,
            finished: outcome == Outcome::Served,
            load: None,
        })
    }

    pub fn start_answer(&mut self, id: &str, attempt: u32) -> Vec<Action> {
        self.handle(Event::AnswerStarted { id: id.into(), attempt, elapsed: 50 * MS })
    }

    /// Advances the clock by `span` and fires the latest timer every 10 ms.
    pub fn advance(&mut self, span: Micros) -> Vec<Action> {
        let (mut all, end) = (Vec::new(), self.now + span);
        while self.now < end {
            self.now += 10 * MS;
            all.extend(self.handle(Event::TimerFired { token: self.timer_token }));
        }
        all
    }
}

/// The request and server of each send, in order.
pub fn sends(actions: &[Action]) -> Vec<(String, String)> {
    let pair = |a: &Action| match a {
        Action::Send { id, server, .. } => Some((id.to_string(), server.to_string())),
        _ => None,
    };
    actions.iter().filter_map(pair).collect()
}

pub fn is_refused(actions: &[Action], id: &str) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { id: i, .. } if &**i == id))
}

pub fn is_failed(actions: &[Action], id: &str) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { id: i } if &**i == id))
}

pub fn releases_cache(actions: &[Action], id: &str) -> bool {
    actions.iter().any(|a| matches!(a, Action::ReleaseCache { id: i } if &**i == id))
}
