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
    Read,
    /// Decode only.
    Write,
    /// Prefill and decode.
    Both,
}

/// The servers that together drop repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Every server.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// What a repeat of a request of some class would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Repeats are harmless.
    Safe,
    /// Repeats are dropped within `scope`, for `window` after the first send that may have run.
    Keyed {
        /// The group that remembers.
        scope: Scope,
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
    ReadDone,
    /// The server returned an error; it may have run.
    Failed,
    /// Turned away for want of room; it never ran.
    TurnedAway,
    /// Turned away because no state was there to fetch; it never ran.
    StateLost,
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
    CalledOff,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// Whether it proves that the attempt never ran; a read has no effect, however it ends.
    pub fn never_ran(self) -> bool {
        use Outcome::*;
        matches!(self, TurnedAway | StateLost | NoConnection | NotSent | ReadDone)
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
pub enum ListForm {
    /// Only what changed.
    Changes,
    /// All of it; a server that is missing is gone.
    Full,
    /// All of it as last held, maybe stale.
    WarmCopy,
    /// A call or the subscription failed; the old list stands.
    Lost,
}

/// One line of the list of servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The server.
    pub server: Id,
    /// Its cell (rack).
    pub cell: u64,
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
pub struct Load {
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
pub struct Class {
    /// Its name.
    pub name: Id,
    /// Attempts allowed for one request.
    pub max_attempts: u32,
    /// The first token is wanted within this time.
    pub aim: Micros,
    /// What each 1,000 prompt tokens add to the aim.
    pub aim_per_ktoken: Micros,
    /// The client's whole patience, over all its tries.
    pub deadline: Micros,
    /// Wanted time between tokens.
    pub token_aim: Micros,
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
    pub balancers: u32,
    /// This router's zone.
    pub zone: usize,
    /// Shortest time between two calls.
    pub tick: Micros,
    /// The role of each kind.
    pub roles: Vec<Role>,
    /// Memory of each kind, in tokens; 0 where not known.
    pub memory_tokens: Vec<u64>,
    /// The classes.
    pub classes: Vec<Arc<Class>>,
    /// The customers; may be none.
    pub tenants: Vec<Tenant>,
    /// What a request beyond its customer's quota is worth.
    pub over_share_worth: f64,
    /// Two attempts of one request may be out at a time.
    pub parallel_tries: bool,
    /// An attempt may be cancelled.
    pub may_cancel: bool,
    /// Servers may be probed.
    pub may_probe: bool,
    /// Places may be held ahead.
    pub may_hold: bool,
    /// Advice to stay away reaches clients, up to this long; 0 where it does not.
    pub max_retry_after: Micros,
    /// A writer reads a prompt itself when there is no state.
    pub self_prefill: bool,
    /// A broken or moved stream goes on from its last token.
    pub resume: bool,
    /// A state or place must be taken or let go within this time.
    pub release: Micros,
    /// A connection that has not come up within this time never will.
    pub connect_timeout: Micros,
    /// A server closes a connection that has been idle this long, or earlier.
    pub conn_idle: Micros,
    /// Slack after a client's deadline within which a final answer counts.
    pub answer_slack: Micros,
    /// Nothing may go to a server later than this after it is known to drain.
    pub drain_grace: Micros,
    /// A server starts with at least this share of its capacity.
    pub cold_from: f64,
    /// It is warm within this time.
    pub warm_within: Micros,
    /// It falls over beyond this multiple of what it can do,
    pub fall_multiple: f64,
    /// kept up for this long.
    pub fall: Micros,
    /// Where the list of servers must be asked for: ask at least this often. `None`: it is pushed.
    pub ask_within: Option<Micros>,
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
    pub class: Arc<Class>,
    /// Its customer.
    pub tenant: Option<usize>,
    /// Time left before the client gives this try up.
    pub budget: Micros,
    /// A repeat by the client.
    pub resent: bool,
    /// Back after a broken or moved stream.
    pub came_back: bool,
}

/// What has happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the list of servers.
    Members {
        /// What kind of news.
        form: ListForm,
        /// The lines.
        entries: Vec<Entry>,
    },
    /// A client asks.
    Query(Query),
    /// An answer has started to stream.
    Headers {
        /// The request.
        id: Id,
        /// Which attempt, from 0.
        attempt: u32,
        /// Time since the send.
        elapsed: Micros,
    },
    /// An attempt has ended.
    Result {
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
        kept_tokens: u64,
        /// The request has its final answer.
        finished: bool,
        /// The server's load report, if one came along.
        load: Option<Load>,
    },
    /// A place asked for ahead was held or not.
    Place {
        /// The request.
        id: Id,
        /// The server.
        server: Id,
        /// Held.
        held: bool,
    },
    /// The client has left, or its time is up.
    ClientGone {
        /// The request.
        id: Id,
    },
    /// A probe came back.
    Probed {
        /// The server.
        server: Id,
        /// How it ended.
        outcome: Outcome,
        /// The server's load report, if one came along.
        load: Option<Load>,
    },
    /// This router's part of what all routers share has changed: of 1, and never 0.
    Share {
        /// The part.
        part: f64,
    },
    /// New settings, for all that comes from now on.
    Settings(Settings),
    /// The router is about to stop: each request that has not begun to stream is owed its answer now.
    Closing,
    /// A timer that was asked for.
    Bell {
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
    Decline {
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
    DropState {
        /// The request.
        id: Id,
    },
    /// End a running stream; its client comes back and goes on.
    Move {
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
    Timer {
        /// From now.
        delay: Micros,
        /// Comes back with the bell.
        token: u64,
    },
    /// A line for the operators.
    Log(String),
}

impl Class {
    /// A class whose repeats are harmless, for examples and tests.
    pub fn example() -> Self {
        Class {
            name: "ask".into(),
            max_attempts: 4,
            aim: 1_000_000,
            aim_per_ktoken: 50_000,
            deadline: 5_000_000,
            token_aim: 60_000,
            effect: Effect::Safe,
            worth: 1.0,
            late_share: 0.2,
        }
    }
}

impl Default for Class {
    fn default() -> Self {
        Class::example()
    }
}

impl Settings {
    /// The class of this name.
    pub fn class(&self, name: &str) -> Option<Arc<Class>> {
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
            balancers: 1,
            zone: 0,
            tick: 1_000,
            roles: vec![Role::Read, Role::Write, Role::Both],
            memory_tokens: vec![200_000; 3],
            classes: vec![Arc::new(Class::example())],
            tenants: Vec::new(),
            over_share_worth: 1.0,
            parallel_tries: false,
            may_cancel: true,
            may_probe: false,
            may_hold: false,
            max_retry_after: 0,
            self_prefill: false,
            resume: false,
            release: 500_000,
            connect_timeout: 250_000,
            conn_idle: 30_000_000,
            answer_slack: 10_000,
            drain_grace: 500_000,
            cold_from: 0.25,
            warm_within: 10_000_000,
            fall_multiple: 2.5,
            fall: 1_000_000,
            ask_within: None,
        }
    }
}
