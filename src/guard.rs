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
struct Place {
    zone: usize,
    cell: u64,
    decodes: bool,
    started: Micros,
}

struct Account {
    effect: Effect,
    max_attempts: u32,
    attempts: u32,
    /// The server of the attempt that is out, and when it was sent.
    out: Option<(Option<Place>, Micros)>,
    /// The first attempt that may have run.
    ran: Option<(Option<Place>, Micros)>,
    /// Its client is back for the rest of an answer.
    came_back: bool,
    ended: bool,
}

/// The account of what has gone out.
#[derive(Default)]
pub struct Guard {
    roles: Vec<Role>,
    open: HashSet<Id>,
    places: HashMap<Id, Place>,
    requests: HashMap<Id, Account>,
    closing: bool,
}

impl Guard {
    /// Nothing has happened yet.
    pub fn new(settings: &Settings) -> Self {
        Guard { roles: settings.roles.clone(), ..Guard::default() }
    }

    /// News of the list.
    pub fn members(&mut self, form: ListUpdateKind, entries: &[ServerEntry]) {
        if matches!(form, ListUpdateKind::Full | ListUpdateKind::StaleCopy) {
            self.open.clear();
            self.places.clear();
        }
        for entry in entries {
            let decodes = self.roles.get(entry.kind).is_none_or(|role| *role != Role::Prefill);
            let place = Place { zone: entry.zone, cell: entry.rack, decodes, started: entry.started };
            match entry.health {
                Health::Up => {
                    self.open.insert(entry.server.clone());
                    self.places.insert(entry.server.clone(), place);
                }
                Health::Draining | Health::Gone => {
                    self.open.remove(&entry.server);
                }
            }
        }
    }

    /// When a server that takes something new was told to have started.
    pub fn started(&self, server: &Id) -> Option<Micros> {
        self.open.get(server).and_then(|server| self.places.get(server)).map(|place| place.started)
    }

    /// Whether an attempt at a server may take effect: it does more there than a prefill.
    pub fn takes_effect(&self, server: &Id) -> bool {
        self.places.get(server).is_none_or(|place| place.decodes)
    }

    /// A request has come.
    pub fn asked(&mut self, query: &Query) {
        let class = &query.class;
        let account = Account {
            effect: class.effect,
            max_attempts: class.max_attempts,
            attempts: 0,
            out: None,
            ran: None,
            came_back: query.resumes_stream,
            ended: false,
        };
        self.requests.insert(query.id.clone(), account);
    }

    /// The conductor is about to stop.
    pub fn closing(&mut self) {
        self.closing = true;
    }

    /// The attempt that was out has ended.
    pub fn attempt_ended(&mut self, id: &Id, outcome: Outcome) {
        let Some(account) = self.requests.get_mut(id) else { return };
        let Some((place, sent)) = account.out.take() else { return };
        let effective = place.is_none_or(|place| place.decodes);
        if effective && !outcome.never_ran() && account.ran.is_none() {
            account.ran = Some((place, sent));
        }
    }

    /// An answer has begun: it is the client's, and nothing more goes out.
    pub fn answer_began(&mut self, id: &Id) {
        if let Some(account) = self.requests.get_mut(id) {
            account.ended = true;
        }
    }

    /// Its client has gone, or has all of its answer.
    pub fn left(&mut self, id: &Id) {
        self.requests.remove(id);
    }

    /// Whether an attempt may go out; if so, it is out.
    pub fn send(&mut self, now: Micros, id: &Id, server: &Id) -> Result<(), Violation> {
        let place = self.places.get(server).copied();
        let account = self.requests.get_mut(id).ok_or(Violation::AfterEnd)?;
        if self.closing {
            return Err(Violation::Closing);
        }
        if account.ended {
            return Err(Violation::AfterEnd);
        }
        if account.out.is_some() {
            return Err(Violation::ConcurrentAttempts);
        }
        if account.attempts >= account.max_attempts {
            return Err(Violation::TooManyAttempts);
        }
        if !self.open.contains(server) {
            return Err(Violation::ServerNotAccepting);
        }
        if !account.may_repeat(now, place) {
            return Err(Violation::UnsafeRepeat);
        }
        account.attempts += 1;
        account.out = Some((place, now));
        Ok(())
    }

    /// Whether a final answer may be given; if so, it is.
    pub fn answer(&mut self, id: &Id, refused: bool) -> Result<(), Violation> {
        let account = self.requests.get_mut(id).ok_or(Violation::SecondAnswer)?;
        if account.ended {
            return Err(Violation::SecondAnswer);
        }
        account.ended = true;
        match refused && !account.may_be_refused() {
            true => Err(Violation::UnsafeRefusal),
            false => Ok(()),
        }
    }
}

impl Account {
    fn may_repeat(&self, now: Micros, to: Option<Place>) -> bool {
        let Some((first, sent)) = self.ran else { return true };
        match self.effect {
            Effect::Safe => true,
            Effect::Unsafe => false,
            Effect::Keyed { scope, window } => {
                let same = match (scope, first, to) {
                    (DedupScope::All, ..) => true,
                    (DedupScope::Zone, Some(first), Some(to)) => first.zone == to.zone,
                    (DedupScope::Rack, Some(first), Some(to)) => first.cell == to.cell,
                    _ => false,
                };
                same && now < sent + window
            }
        }
    }

    /// What is out at a server that decodes may run yet.
    fn may_be_refused(&self) -> bool {
        let out = self.out.is_some_and(|(place, _)| place.is_none_or(|place| place.decodes));
        let harmless = matches!(self.effect, Effect::Safe | Effect::Keyed { scope: DedupScope::All, .. });
        harmless || (self.ran.is_none() && !out && !self.came_back)
    }
}
