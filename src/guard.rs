//! The guard of what goes out: each action of the decisions is held against the rules once more, by an
//! account of its own that shares nothing with theirs. What breaks a rule is not carried out, and is
//! counted.
//!
//! It watches four things: sending (one attempt out, none after the first event, after the end or after the
//! client has gone, to listed servers that take something new), repeating (by the effect of the class, and
//! the number of attempts), closing (one final answer, no refusal of what may have run) and starting
//! (nothing is begun once the conductor closes).

use std::collections::{HashMap, HashSet};

use crate::interface::*;

/// A rule that an action would have broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// Another attempt of the request is out.
    #[error("an attempt is out already")]
    ConcurrentAttempts,
    /// The request has its final answer, or its client has gone.
    #[error("sent after the request's end")]
    AfterEnd,
    /// The request has used up its attempts.
    #[error("more attempts than the class allows")]
    TooManyAttempts,
    /// An attempt may have run, and the class allows no repeat there or then.
    #[error("a repeat that may take effect twice")]
    UnsafeRepeat,
    /// The server drains, has gone or was never listed.
    #[error("sent to a server that takes nothing new")]
    ServerNotAccepting,
    /// The request has its final answer.
    #[error("a second final answer")]
    SecondAnswer,
    /// Refused, though it may have run.
    #[error("refused although it may have run")]
    UnsafeRefusal,
    /// The conductor closes.
    #[error("begun after the conductor began to close")]
    Closing,
}

impl Violation {
    /// The rule as it stands in figures.
    pub fn label(self) -> &'static str {
        match self {
            Violation::ConcurrentAttempts => "two_out",
            Violation::AfterEnd => "after_end",
            Violation::TooManyAttempts => "too_many_attempts",
            Violation::UnsafeRepeat => "repeat",
            Violation::ServerNotAccepting => "closed_server",
            Violation::SecondAnswer => "second_answer",
            Violation::UnsafeRefusal => "refused",
            Violation::Closing => "closing",
        }
    }
}

/// Where a server stands, for keyed repeats.
#[derive(Clone, Copy)]
struct ServerPlacement {
    zone: usize,
    rack: u64,
    can_decode: bool,
    started_at: Micros,
}

struct RequestRecord {
    effect: Effect,
    max_attempts: u32,
    attempts: u32,
    /// The server of the attempt that is out, and when it was sent.
    in_flight: Option<(Option<ServerPlacement>, Micros)>,
    /// The first attempt that may have run.
    first_execution: Option<(Option<ServerPlacement>, Micros)>,
    /// Its client is back for the rest of an answer.
    resumes_stream: bool,
    is_ended: bool,
}

/// The account of what has gone out.
#[derive(Default)]
pub struct Guard {
    roles: Vec<Role>,
    accepting: HashSet<Id>,
    placements: HashMap<Id, ServerPlacement>,
    requests: HashMap<Id, RequestRecord>,
    is_closing: bool,
}

impl Guard {
    /// Nothing has happened yet.
    pub fn new(settings: &Settings) -> Self {
        Guard { roles: settings.roles.clone(), ..Guard::default() }
    }

    /// News of the list.
    pub fn update_servers(&mut self, form: ListUpdateKind, entries: &[ServerEntry]) {
        if matches!(form, ListUpdateKind::Full | ListUpdateKind::StaleCopy) {
            self.accepting.clear();
            self.placements.clear();
        }
        for entry in entries {
            let can_decode = self.roles.get(entry.kind).is_none_or(|role| *role != Role::Prefill);
            let placement =
                ServerPlacement { zone: entry.zone, rack: entry.rack, can_decode, started_at: entry.started };
            match entry.health {
                Health::Up => {
                    self.accepting.insert(entry.server.clone());
                    self.placements.insert(entry.server.clone(), placement);
                }
                Health::Draining | Health::Gone => {
                    self.accepting.remove(&entry.server);
                }
            }
        }
    }

    /// When a server that takes something new was told to have started.
    pub fn started_at(&self, server: &Id) -> Option<Micros> {
        self.accepting
            .get(server)
            .and_then(|server| self.placements.get(server))
            .map(|placement| placement.started_at)
    }

    /// Whether an attempt at a server may take effect: it does more there than a prefill.
    pub fn takes_effect(&self, server: &Id) -> bool {
        self.placements.get(server).is_none_or(|placement| placement.can_decode)
    }

    /// A request has come.
    pub fn register_request(&mut self, query: &Query) {
        let class = &query.class;
        let record = RequestRecord {
            effect: class.effect,
            max_attempts: class.max_attempts,
            attempts: 0,
            in_flight: None,
            first_execution: None,
            resumes_stream: query.resumes_stream,
            is_ended: false,
        };
        self.requests.insert(query.id.clone(), record);
    }

    /// The conductor is about to stop.
    pub fn begin_closing(&mut self) {
        self.is_closing = true;
    }

    /// The attempt that was out has ended.
    pub fn record_attempt_end(&mut self, id: &Id, outcome: Outcome) {
        let Some(record) = self.requests.get_mut(id) else { return };
        let Some((placement, sent)) = record.in_flight.take() else { return };
        let takes_effect = placement.is_none_or(|placement| placement.can_decode);
        if takes_effect && !outcome.never_ran() && record.first_execution.is_none() {
            record.first_execution = Some((placement, sent));
        }
    }

    /// An answer has begun: it is the client's, and nothing more goes out.
    pub fn record_answer_start(&mut self, id: &Id) {
        if let Some(record) = self.requests.get_mut(id) {
            record.is_ended = true;
        }
    }

    /// Its client has gone, or has all of its answer.
    pub fn remove_request(&mut self, id: &Id) {
        self.requests.remove(id);
    }

    /// Whether an attempt may go out; if so, it is out.
    pub fn authorize_send(&mut self, now: Micros, id: &Id, server: &Id) -> Result<(), Violation> {
        let placement = self.placements.get(server).copied();
        let record = self.requests.get_mut(id).ok_or(Violation::AfterEnd)?;
        if self.is_closing {
            return Err(Violation::Closing);
        }
        if record.is_ended {
            return Err(Violation::AfterEnd);
        }
        if record.in_flight.is_some() {
            return Err(Violation::ConcurrentAttempts);
        }
        if record.attempts >= record.max_attempts {
            return Err(Violation::TooManyAttempts);
        }
        if !self.accepting.contains(server) {
            return Err(Violation::ServerNotAccepting);
        }
        if !record.may_repeat(now, placement) {
            return Err(Violation::UnsafeRepeat);
        }
        record.attempts += 1;
        record.in_flight = Some((placement, now));
        Ok(())
    }

    /// Whether a final answer may be given; if so, it is.
    pub fn authorize_answer(&mut self, id: &Id, refused: bool) -> Result<(), Violation> {
        let record = self.requests.get_mut(id).ok_or(Violation::SecondAnswer)?;
        if record.is_ended {
            return Err(Violation::SecondAnswer);
        }
        record.is_ended = true;
        match refused && !record.may_be_refused() {
            true => Err(Violation::UnsafeRefusal),
            false => Ok(()),
        }
    }
}

impl RequestRecord {
    fn may_repeat(&self, now: Micros, to: Option<ServerPlacement>) -> bool {
        let Some((first, sent)) = self.first_execution else { return true };
        match self.effect {
            Effect::Safe => true,
            Effect::Unsafe => false,
            Effect::Keyed { scope, window } => {
                let in_scope = match (scope, first, to) {
                    (DedupScope::All, ..) => true,
                    (DedupScope::Zone, Some(first), Some(to)) => first.zone == to.zone,
                    (DedupScope::Rack, Some(first), Some(to)) => first.rack == to.rack,
                    _ => false,
                };
                in_scope && now < sent + window
            }
        }
    }

    /// What is out at a server that decodes may run yet.
    fn may_be_refused(&self) -> bool {
        let may_run_yet = self
            .in_flight
            .is_some_and(|(placement, _)| placement.is_none_or(|placement| placement.can_decode));
        let harmless = matches!(self.effect, Effect::Safe | Effect::Keyed { scope: DedupScope::All, .. });
        harmless || (self.first_execution.is_none() && !may_run_yet && !self.resumes_stream)
    }
}
