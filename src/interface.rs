//! Types of the decisions' interface: settings, requests, events and actions.
//!
//! Times are microseconds on the caller's monotonic clock. Kinds, zones and tenants are indices into the
//! caller's lists. Ids of servers, requests, sessions and prefixes are stable text.

use std::sync::Arc;

/// Microseconds, as a point in time or as a duration.
pub type Micros = u64;
/// Stable id of a server, a request, a session or a shared prefix.
pub type Id = Arc<str>;

/// Stages that a kind of server runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
    /// Prefill and decode.
    Mixed,
}

/// The group of servers that deduplicates repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// Every server.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one rack.
    Rack,
}

/// Effect of repeating a request of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Repeats are harmless.
    Safe,
    /// Servers within `scope` drop repeats, for `window` after the first send that may have run.
    Keyed {
        /// The group of servers that deduplicates.
        scope: DedupScope,
        /// How long it deduplicates.
        window: Micros,
    },
    /// A repeat would take effect twice.
    Unsafe,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The answer was delivered completely.
    Served,
    /// The prefill is done; the KV cache waits at the prefill server.
    PrefillDone,
    /// The server returned an error; the attempt may have run.
    Failed,
    /// The server rejected it for lack of capacity; it never ran.
    Rejected,
    /// The server rejected it because there was no KV cache to fetch; it never ran.
    CacheMissing,
    /// No answer before the timeout; it may have run or may still run.
    NoAnswer,
    /// No connection; it never ran.
    NoConnection,
    /// The connection broke; it may have run.
    ConnectionLost,
    /// A reused connection broke as soon as the attempt was sent on it. The attempt may have run, but the
    /// likely cause is the connection's age rather than the server.
    StaleConnection,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// Whether the outcome proves that the attempt had no effect. A prefill has none, however it ends.
    pub fn never_ran(self) -> bool {
        use Outcome::*;
        matches!(self, Rejected | CacheMissing | NoConnection | NotSent | PrefillDone)
    }
}

/// Health of a server according to the list of servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// The server accepts requests.
    Up,
    /// The server finishes its requests and accepts no new ones.
    Draining,
    /// The server was removed.
    Gone,
}

/// Kind of an update of the list of servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdateKind {
    /// Contains only the servers that changed.
    Changes,
    /// Contains all servers; a server that is missing is gone.
    Full,
    /// Contains all servers from the last known list, which may be stale.
    StaleCopy,
    /// A request for the list or the subscription failed; the previous list stays in force.
    SourceUnavailable,
}

/// Entry of the list of servers.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// Id of the server.
    pub server: Id,
    /// Rack of the server.
    pub rack: u64,
    /// Kind of the server, an index into [`Settings::roles`].
    pub kind: usize,
    /// Zone of the server.
    pub zone: usize,
    /// Time of the server's last start; 0 for long ago.
    pub started: Micros,
    /// Health of the server.
    pub health: Health,
}

/// Load that a server reports about itself. It is a hint, delayed and noisy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Share of the memory that is in use.
    pub memory: Option<f64>,
    /// Prompt tokens waiting for prefill or for the transfer of their KV cache, in thousands.
    pub waiting_ktokens: Option<f64>,
    /// Share of the slots that are in use.
    pub slots: Option<f64>,
    /// Requests that wait in the server's queue.
    pub queued: Option<f64>,
    /// Requests at the server, including KV caches that wait to be fetched.
    pub outstanding: Option<f64>,
}

/// A class of requests. Each request keeps a reference to its class, so that new settings don't affect open
/// requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Name of the class.
    pub name: Id,
    /// Maximum number of attempts for one request.
    pub max_attempts: u32,
    /// Target for the time to the first token.
    pub first_token_target: Micros,
    /// Time added to the first-token target for each 1,000 prompt tokens.
    pub first_token_target_per_ktoken: Micros,
    /// Time for which a client waits in total, over all its retries.
    pub deadline: Micros,
    /// Target for the time between tokens.
    pub inter_token_target: Micros,
    /// Effect of repeating a request.
    pub effect: Effect,
    /// Worth of an answer that comes in time.
    pub worth: f64,
    /// Share of the worth that a late answer still has.
    pub late_share: f64,
}

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name of the tenant.
    pub name: Id,
    /// Requests per second within the quota, over all conductors.
    pub quota_per_s: f64,
}

/// Settings of a router.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Number of conductors.
    pub conductors: u32,
    /// Zone of this conductor.
    pub zone: usize,
    /// Shortest interval between two calls of the router.
    pub min_call_interval: Micros,
    /// Role of each kind of server.
    pub roles: Vec<Role>,
    /// Memory of each kind of server, in tokens; 0 if unknown.
    pub memory_tokens: Vec<u64>,
    /// Request classes.
    pub classes: Vec<Arc<RequestClass>>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a request beyond its tenant's quota.
    pub over_quota_worth: f64,
    /// Whether two attempts of one request may be in flight at a time.
    pub parallel_attempts: bool,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether servers may be probed.
    pub may_probe: bool,
    /// Whether slots may be reserved in advance.
    pub may_hold: bool,
    /// Longest retry-after that reaches clients; 0 if none does.
    pub max_retry_after: Micros,
    /// Whether a decode server computes the prefill itself when there is no KV cache.
    pub decode_can_prefill: bool,
    /// Whether a broken or moved stream resumes after its last token.
    pub resume: bool,
    /// Time within which a KV cache or a reserved slot must be used or released.
    pub cache_release_timeout: Micros,
    /// Time within which a connection comes up, or never will.
    pub connect_timeout: Micros,
    /// Idle time after which a server closes a connection, at the latest.
    pub connection_idle_timeout: Micros,
    /// Time after a client's deadline within which a final answer still counts.
    pub answer_slack: Micros,
    /// Time after which nothing may be sent to a server that is known to drain.
    pub drain_grace: Micros,
    /// Share of its capacity that a server has at least when it starts.
    pub slow_start_initial_share: f64,
    /// Time from a server's start within which it reaches its full capacity.
    pub slow_start_duration: Micros,
    /// Multiple of its capacity beyond which a server fails if the load persists for `overload_duration`.
    pub overload_multiple: f64,
    /// Time for which a load beyond `overload_multiple` makes a server fail.
    pub overload_duration: Micros,
    /// Longest interval at which the list of servers is polled; `None` if the list is pushed.
    pub list_poll_interval: Option<Micros>,
}

/// A client's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Query {
    /// Id of the request; a client's retry has a new one.
    pub id: Id,
    /// Session of the request.
    pub session: Id,
    /// Prompt prefix that is shared with other sessions.
    pub prefix: Option<Id>,
    /// Tokens of the shared prefix.
    pub prefix_tokens: u64,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u64,
    /// Maximum number of tokens of the answer.
    pub max_tokens: u64,
    /// Class of the request, as the settings had it on arrival.
    pub class: Arc<RequestClass>,
    /// Index of the tenant in [`Settings::tenants`].
    pub tenant: Option<usize>,
    /// Time left until the client gives up.
    pub budget: Micros,
    /// Whether the client sends the request again.
    pub is_client_retry: bool,
    /// Whether the client continues a broken or moved stream.
    pub resumes_stream: bool,
}

/// An event that the router handles.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The list of servers was updated.
    Members {
        /// Kind of the update.
        kind: ListUpdateKind,
        /// Entries of the list.
        entries: Vec<ServerEntry>,
    },
    /// A client sent a request.
    Query(Query),
    /// An answer has started to stream.
    AnswerStarted {
        /// Id of the request.
        id: Id,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// Time since the send.
        elapsed: Micros,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// Id of the request.
        id: Id,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// Id of the server.
        server: Id,
        /// How the attempt ended.
        outcome: Outcome,
        /// Time since the send.
        elapsed: Micros,
        /// Prompt tokens that the server had cached.
        cached_tokens: u64,
        /// Whether the request has its final answer.
        finished: bool,
        /// Load report of the server, if it sent one.
        load: Option<LoadReport>,
    },
    /// Answer to the reservation of a slot.
    SlotReservation {
        /// Id of the request.
        id: Id,
        /// Id of the server.
        server: Id,
        /// Whether the slot is reserved.
        reserved: bool,
    },
    /// The client has disconnected, or its time is up.
    ClientGone {
        /// Id of the request.
        id: Id,
    },
    /// A probe has ended.
    ProbeEnded {
        /// Id of the server.
        server: Id,
        /// How the probe ended.
        outcome: Outcome,
        /// Load report of the server, if it sent one.
        load: Option<LoadReport>,
    },
    /// This conductor's share of the capacity and quotas of all conductors has changed. From now on it counts
    /// in place of [`Settings::conductors`], also of new settings.
    QuotaShare {
        /// The share, above 0 and up to 1.
        share: f64,
    },
    /// New settings, for requests that come from now on.
    Settings(Settings),
    /// The conductor is about to stop: each request that has not begun to stream is answered now.
    Closing,
    /// A timer set by [`Action::SetTimer`] has fired.
    TimerFired {
        /// Token of the timer.
        token: u64,
    },
}

/// An action that the caller carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to a server; the attempt ends at `stop_at`.
    Send {
        /// Id of the request.
        id: Id,
        /// Id of the server.
        server: Id,
        /// Time at which the attempt times out.
        stop_at: Micros,
        /// Time from which the attempt must not be written, as it would be a repeat outside of its window.
        send_by: Option<Micros>,
    },
    /// Cancel an attempt.
    Cancel {
        /// Id of the request.
        id: Id,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// Final answer: the request is refused, and a retry is harmless.
    Refuse {
        /// Id of the request.
        id: Id,
        /// Time after which the client should retry; 0 for no advice.
        retry_after: Micros,
    },
    /// Final answer: the request failed, and a retry may not be harmless.
    Fail {
        /// Id of the request.
        id: Id,
    },
    /// Release every KV cache and reserved slot of the request.
    ReleaseCache {
        /// Id of the request.
        id: Id,
    },
    /// End a running stream; its client reconnects and resumes it.
    MoveStream {
        /// Id of the request.
        id: Id,
    },
    /// Probe a server.
    Probe {
        /// Id of the server.
        server: Id,
    },
    /// Subscribe to the list of servers, or request it again where it is polled.
    Watch,
    /// Set a timer.
    SetTimer {
        /// Time from now at which the timer fires.
        delay: Micros,
        /// Token of the timer, returned in [`Event::TimerFired`].
        token: u64,
    },
    /// Write a line to the log.
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

    /// The index of the tenant of this name.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.iter().position(|tenant| &*tenant.name == name)
    }

    /// The longest deadline of all classes.
    pub fn longest_deadline(&self) -> Micros {
        self.classes.iter().map(|class| class.deadline).max().unwrap_or(0)
    }

    /// Settings with one kind of prefill, decode and mixed server and one class, for examples and tests.
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
