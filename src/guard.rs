//! Checks each action of the decisions against the rules a second time, on records that share nothing with
//! those of the router. An action that would break a rule is suppressed and counted.
//!
//! The guard checks four kinds of rules:
//!
//! - Sends: one attempt in flight at a time; none after the first event of the answer, after the final answer
//!   or after the client has gone; only to listed servers that accept new requests.
//! - Repeats: limited by the effect of the class and by the number of attempts.
//! - Answers: one final answer, and no refusal of a request that may have run.
//! - Shutdown: no send once the conductor is closing.

use std::collections::{HashMap, HashSet};

use crate::interface::*;

/// A rule that an action would have broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// Another attempt of the request is in flight.
    #[error("another attempt of the request is in flight")]
    ConcurrentAttempts,
    /// The request has its final answer, or its client has gone.
    #[error("sent after the end of the request")]
    AfterEnd,
    /// The request has used up its attempts.
    #[error("the request has used all attempts that its class allows")]
    TooManyAttempts,
    /// An attempt may have run, and the class allows no repeat at that server or time.
    #[error("a repeat may take effect twice")]
    UnsafeRepeat,
    /// The server is draining, is gone or was never listed.
    #[error("the server accepts no new requests")]
    ServerNotAccepting,
    /// The request has its final answer.
    #[error("the request already has a final answer")]
    SecondAnswer,
    /// The request may have run, so a refusal would wrongly promise that a retry is harmless.
    #[error("refused although the request may have run")]
    UnsafeRefusal,
    /// The conductor is closing.
    #[error("sent after the conductor began to close")]
    Closing,
}

impl Violation {
    /// Label of the rule in metrics.
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

/// Location and role of a server, for repeats.
#[derive(Clone, Copy)]
struct ServerPlacement {
    zone: usize,
    rack: u64,
    can_decode: bool,
    started_at: Micros,
}

/// What has been sent for an open request.
struct RequestRecord {
    effect: Effect,
    max_attempts: u32,
    attempts: u32,
    /// Server and send time of the attempt in flight.
    in_flight: Option<(Option<ServerPlacement>, Micros)>,
    /// Server and send time of the first attempt that may have run.
    first_execution: Option<(Option<ServerPlacement>, Micros)>,
    /// Whether the client resumes a stream, of which an attempt has run before.
    resumes_stream: bool,
    /// Whether the answer has begun or the final answer was given.
    is_ended: bool,
}

/// Independent check of the actions of the decisions.
#[derive(Default)]
pub struct Guard {
    roles: Vec<Role>,
    /// Servers that accept new requests.
    accepting: HashSet<Id>,
    placements: HashMap<Id, ServerPlacement>,
    requests: HashMap<Id, RequestRecord>,
    is_closing: bool,
}

impl Guard {
    /// A guard without servers and requests.
    pub fn new(settings: &Settings) -> Self {
        Guard { roles: settings.roles.clone(), ..Guard::default() }
    }

    /// Applies an update of the list of servers.
    pub fn update_servers(&mut self, kind: ListUpdateKind, entries: &[ServerEntry]) {
        if matches!(kind, ListUpdateKind::Full | ListUpdateKind::StaleCopy) {
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

    /// Start time of a server, as the list has it; `None` if the server accepts no new requests.
    pub fn started_at(&self, server: &Id) -> Option<Micros> {
        self.accepting
            .get(server)
            .and_then(|server| self.placements.get(server))
            .map(|placement| placement.started_at)
    }

    /// Whether an attempt at a server may take effect, because it does more there than a prefill.
    pub fn takes_effect(&self, server: &Id) -> bool {
        self.placements.get(server).is_none_or(|placement| placement.can_decode)
    }

    /// Registers a new request.
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

    /// Forbids all sends from now on, as the conductor is about to stop.
    pub fn begin_closing(&mut self) {
        self.is_closing = true;
    }

    /// Records the end of the attempt in flight.
    pub fn record_attempt_end(&mut self, id: &Id, outcome: Outcome) {
        let Some(record) = self.requests.get_mut(id) else { return };
        let Some((placement, sent)) = record.in_flight.take() else { return };
        let takes_effect = placement.is_none_or(|placement| placement.can_decode);
        if takes_effect && !outcome.never_ran() && record.first_execution.is_none() {
            record.first_execution = Some((placement, sent));
        }
    }

    /// Records that the answer has begun to reach the client: nothing more may be sent.
    pub fn record_answer_start(&mut self, id: &Id) {
        if let Some(record) = self.requests.get_mut(id) {
            record.is_ended = true;
        }
    }

    /// Removes a request whose client has gone or has its whole answer.
    pub fn remove_request(&mut self, id: &Id) {
        self.requests.remove(id);
    }

    /// Checks whether an attempt may be sent; if so, records it as in flight.
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

    /// Checks whether a final answer may be given, and records that the request has ended.
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

    /// Whether a refusal would be true. An attempt in flight at a server that decodes may still run.
    fn may_be_refused(&self) -> bool {
        let may_run_yet = self
            .in_flight
            .is_some_and(|(placement, _)| placement.is_none_or(|placement| placement.can_decode));
        let harmless = matches!(self.effect, Effect::Safe | Effect::Keyed { scope: DedupScope::All, .. });
        harmless || (self.first_execution.is_none() && !may_run_yet && !self.resumes_stream)
    }
}
