//! What goes into the decision module and what comes out of it.
//!
//! Times are microseconds on the caller's monotonic clock. Kinds, zones, classes and tenants are
//! indices into the caller's own lists; server, request, session and prefix ids are stable text.

use std::sync::Arc;

/// Microseconds, as a point in time or as a span.
pub type Micros = u64;
/// A stable id: of a server, a request, a session or a shared prefix.
pub type Id = Arc<str>;

/// What a kind of server does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
    /// Prefill and decode.
    Mixed,
}

/// The servers that together drop repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// Every server.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Rack,
}

/// What a repeat of a request of some class would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Repeats are harmless.
    Safe,
    /// Repeats are dropped within `scope`, for `window` after the first send that may have run.
    Keyed {
        /// The group that remembers.
        scope: DedupScope,
        /// For how long.
        window: Micros,
    },
    /// A repeat would take effect twice.
    Unsafe,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered to the end.
    Served,
    /// The prompt is read; the state waits at the reader.
    PrefillDone,
    /// The server returned an error; it may have run.
    Failed,
    /// Turned away for want of room; it never ran.
    Rejected,
    /// Turned away because no state was there to fetch; it never ran.
    CacheMissing,
    /// No answer in time; it may have run or may still.
    NoAnswer,
    /// No connection; it never ran.
    NoConnection,
    /// The connection broke; it may have run.
    ConnectionLost,
    /// A connection kept from earlier broke as soon as the attempt went out on it. It may have run, but this
    /// tells of the connection's age rather than of the server.
    StaleConnection,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// Whether it proves that the attempt never ran; a read has no effect, however it ends.
    pub fn never_ran(self) -> bool {
        use Outcome::*;
        matches!(self, Rejected | CacheMissing | NoConnection | NotSent | PrefillDone)
    }
}

/// What the list of servers says of one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// Runs.
    Up,
    /// Finishes what it has and takes nothing new.
    Draining,
    /// Removed.
    Gone,
}

/// What kind of report on the list of servers this is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdateKind {
    /// Only what changed.
    Changes,
    /// All of it; a server that is missing is gone.
    Full,
    /// All of it as last held, maybe stale.
    StaleCopy,
    /// A call or the subscription failed; the old list stands.
    SourceUnavailable,
}

/// One line of the list of servers.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// The server.
    pub server: Id,
    /// Its cell (rack).
    pub rack: u64,
    /// Its kind, an index into [`Settings::roles`].
    pub kind: usize,
    /// Its zone.
    pub zone: usize,
    /// When it last started; 0 for long ago.
    pub started: Micros,
    /// Its health as listed.
    pub health: Health,
}

/// A server's own report of its load; a hint, late and noisy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Share of its memory that is held.
    pub memory: Option<f64>,
    /// Prompt tokens waiting to be read or fetched, in thousands.
    pub waiting_ktokens: Option<f64>,
    /// Share of its slots in use.
    pub slots: Option<f64>,
    /// Requests that wait.
    pub queued: Option<f64>,
    /// Requests that it holds, states that wait to be fetched among them.
    pub outstanding: Option<f64>,
}

/// A class of requests. Each request holds its own, so that new settings change nothing for open ones.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Its name.
    pub name: Id,
    /// Attempts allowed for one request.
    pub max_attempts: u32,
    /// The first token is wanted within this time.
    pub first_token_target: Micros,
    /// What each 1,000 prompt tokens add to the aim.
    pub first_token_target_per_ktoken: Micros,
    /// The client's whole patience, over all its tries.
    pub deadline: Micros,
    /// Wanted time between tokens.
    pub inter_token_target: Micros,
    /// What a repeat would do.
    pub effect: Effect,
    /// Worth of an answer in time.
    pub worth: f64,
    /// Share of it that a late answer still earns.
    pub late_share: f64,
}

/// A customer's quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: Id,
    /// Requests a second, over all routers, within its share.
    pub quota_per_s: f64,
}

/// What a router is told when it starts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// How many routers there are.
    pub conductors: u32,
    /// This router's zone.
    pub zone: usize,
    /// Shortest time between two calls.
    pub min_call_interval: Micros,
    /// The role of each kind.
    pub roles: Vec<Role>,
    /// Memory of each kind, in tokens; 0 where not known.
    pub memory_tokens: Vec<u64>,
    /// The classes.
    pub classes: Vec<Arc<RequestClass>>,
    /// The customers; may be none.
    pub tenants: Vec<Tenant>,
    /// What a request beyond its customer's quota is worth.
    pub over_quota_worth: f64,
    /// Two attempts of one request may be out at a time.
    pub parallel_attempts: bool,
    /// An attempt may be cancelled.
    pub may_cancel: bool,
    /// Servers may be probed.
    pub may_probe: bool,
    /// Places may be held ahead.
    pub may_hold: bool,
    /// Advice to stay away reaches clients, up to this long; 0 where it does not.
    pub max_retry_after: Micros,
    /// A writer reads a prompt itself when there is no state.
    pub decode_can_prefill: bool,
    /// A broken or moved stream goes on from its last token.
    pub resume: bool,
    /// A state or place must be taken or let go within this time.
    pub cache_release_timeout: Micros,
    /// A connection that has not come up within this time never will.
    pub connect_timeout: Micros,
    /// A server closes a connection that has been idle this long, or earlier.
    pub connection_idle_timeout: Micros,
    /// Slack after a client's deadline within which a final answer counts.
    pub answer_slack: Micros,
    /// Nothing may go to a server later than this after it is known to drain.
    pub drain_grace: Micros,
    /// A server starts with at least this share of its capacity.
    pub slow_start_initial_share: f64,
    /// It is warm within this time.
    pub slow_start_duration: Micros,
    /// It falls over beyond this multiple of what it can do,
    pub overload_multiple: f64,
    /// kept up for this long.
    pub overload_duration: Micros,
    /// Where the list of servers must be asked for: ask at least this often. `None`: it is pushed.
    pub list_poll_interval: Option<Micros>,
}

/// A client's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Query {
    /// Its id; a client's next try has a fresh one.
    pub id: Id,
    /// Its session.
    pub session: Id,
    /// The prefix that it shares with other sessions.
    pub prefix: Option<Id>,
    /// Tokens of that prefix.
    pub prefix_tokens: u64,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u64,
    /// Most tokens that the answer may have.
    pub max_tokens: u64,
    /// Its class, as the settings had it when the request came.
    pub class: Arc<RequestClass>,
    /// Its customer.
    pub tenant: Option<usize>,
    /// Time left before the client gives this try up.
    pub budget: Micros,
    /// A repeat by the client.
    pub is_client_retry: bool,
    /// Back after a broken or moved stream.
    pub resumes_stream: bool,
}

/// What has happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the list of servers.
    Members {
        /// What kind of news.
        form: ListUpdateKind,
        /// The lines.
        entries: Vec<ServerEntry>,
    },
    /// A client asks.
    Query(Query),
    /// An answer has started to stream.
    AnswerStarted {
        /// The request.
        id: Id,
        /// Which attempt, from 0.
        attempt: u32,
        /// Time since the send.
        elapsed: Micros,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The request.
        id: Id,
        /// Which attempt, from 0.
        attempt: u32,
        /// The server.
        server: Id,
        /// How it ended.
        outcome: Outcome,
        /// Time since the send.
        elapsed: Micros,
        /// Prompt tokens that the server still had.
        cached_tokens: u64,
        /// The request has its final answer.
        finished: bool,
        /// The server's load report, if one came along.
        load: Option<LoadReport>,
    },
    /// A place asked for ahead was held or not.
    SlotReservation {
        /// The request.
        id: Id,
        /// The server.
        server: Id,
        /// Held.
        reserved: bool,
    },
    /// The client has left, or its time is up.
    ClientGone {
        /// The request.
        id: Id,
    },
    /// A probe came back.
    ProbeEnded {
        /// The server.
        server: Id,
        /// How it ended.
        outcome: Outcome,
        /// The server's load report, if one came along.
        load: Option<LoadReport>,
    },
    /// This router's part of what all routers share has changed: of 1, and never 0.
    QuotaShare {
        /// The part.
        share: f64,
    },
    /// New settings, for all that comes from now on.
    Settings(Settings),
    /// The router is about to stop: each request that has not begun to stream is owed its answer now.
    Closing,
    /// A timer that was asked for.
    TimerFired {
        /// Its token.
        token: u64,
    },
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to a server; the attempt ends at `stop_at`.
    Send {
        /// The request.
        id: Id,
        /// The server.
        server: Id,
        /// When to stop waiting.
        stop_at: Micros,
        /// Not to be written from then on, as it would be a repeat outside of its window.
        send_by: Option<Micros>,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: Id,
        /// Which attempt, from 0.
        attempt: u32,
    },
    /// Final answer: refused, trying again is harmless.
    Refuse {
        /// The request.
        id: Id,
        /// How long the client should stay away; 0 for no advice.
        retry_after: Micros,
    },
    /// Final answer: failed, nothing promised.
    Fail {
        /// The request.
        id: Id,
    },
    /// Let go of every state and place held for the request.
    ReleaseCache {
        /// The request.
        id: Id,
    },
    /// End a running stream; its client comes back and goes on.
    MoveStream {
        /// The request.
        id: Id,
    },
    /// Probe a server.
    Probe {
        /// The server.
        server: Id,
    },
    /// Subscribe to the list of servers.
    Watch,
    /// Ring after `delay`.
    SetTimer {
        /// From now.
        delay: Micros,
        /// Comes back with the bell.
        token: u64,
    },
    /// A line for the operators.
    Log(String),
}

impl RequestClass {
    /// A class whose repeats are harmless, for examples and tests.
    pub fn example() -> Self {
        RequestClass {
            name: "ask".into(),
            max_attempts: 4,
            first_token_target: 1_000_000,
            first_token_target_per_ktoken: 50_000,
            deadline: 5_000_000,
            inter_token_target: 60_000,
            effect: Effect::Safe,
            worth: 1.0,
            late_share: 0.2,
        }
    }
}

impl Default for RequestClass {
    fn default() -> Self {
        RequestClass::example()
    }
}

impl Settings {
    /// The class of this name.
    pub fn class(&self, name: &str) -> Option<Arc<RequestClass>> {
        self.classes.iter().find(|class| &*class.name == name).cloned()
    }

    /// The index of the customer of this name.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.iter().position(|tenant| &*tenant.name == name)
    }

    /// The longest deadline of a class.
    pub fn longest_deadline(&self) -> Micros {
        self.classes.iter().map(|class| class.deadline).max().unwrap_or(0)
    }

    /// A small fleet of readers, writers and mixed servers with one class, for examples and tests.
    pub fn example() -> Self {
        Settings {
            conductors: 1,
            zone: 0,
            min_call_interval: 1_000,
            roles: vec![Role::Prefill, Role::Decode, Role::Mixed],
            memory_tokens: vec![200_000; 3],
            classes: vec![Arc::new(RequestClass::example())],
            tenants: Vec::new(),
            over_quota_worth: 1.0,
            parallel_attempts: false,
            may_cancel: true,
            may_probe: false,
            may_hold: false,
            max_retry_after: 0,
            decode_can_prefill: false,
            resume: false,
            cache_release_timeout: 500_000,
            connect_timeout: 250_000,
            connection_idle_timeout: 30_000_000,
            answer_slack: 10_000,
            drain_grace: 500_000,
            slow_start_initial_share: 0.25,
            slow_start_duration: 10_000_000,
            overload_multiple: 2.5,
            overload_duration: 1_000_000,
            list_poll_interval: None,
        }
    }
}
