//! Decisions that wait for no other: whether a request is taken while decisions are slow, and what it is
//! answered where none has come in its time. Pure functions of what the request itself knows.

use crate::hash::{hash, share_of};
use crate::interface::{DedupScope, Effect, Micros, Query};

/// A request is refused at the door where its first decision is expected to take more than this share of
/// the time that its client waits.
const MAX_EXPECTED_WAIT_SHARE: f64 = 0.25;
/// A wait that is shorter than this refuses nobody.
const MIN_REFUSAL_WAIT: Micros = 50_000;
/// Share of the release time after which a request lets go of its KV cache by itself. The decisions do so
/// earlier, where they are in time.
const RELEASE_TIMEOUT_SHARE: f64 = 0.9;
/// A final answer is not given before this time has passed, however little the client had left: the decisions
/// give theirs at once then.
const MIN_ANSWER_TIMEOUT: Micros = 50_000;

/// Whether a request is taken whose client waits for `budget` more.
pub fn admits(expected_wait: Micros, budget: Micros) -> bool {
    expected_wait <= MIN_REFUSAL_WAIT || expected_wait as f64 <= budget as f64 * MAX_EXPECTED_WAIT_SHARE
}

/// When a client that was refused without a decision should come back: those that are refused together must
/// not come back together.
pub fn retry_after(max: Micros, query: &Query) -> Micros {
    (max as f64 * (0.5 + 0.5 * share_of(hash(&query.id, 0)))) as Micros
}

/// After how long a request whose client waits for `budget` is answered without a decision.
pub fn answer_timeout(budget: Micros) -> Micros {
    budget.max(MIN_ANSWER_TIMEOUT)
}

/// After how long a request lets go of its KV cache by itself.
pub fn release_timeout(cache_release_timeout: Micros) -> Micros {
    (cache_release_timeout as f64 * RELEASE_TIMEOUT_SHARE) as Micros
}

/// What a request knows of whether it may have run.
#[derive(Clone, Copy, Debug)]
pub struct ExecutionRecord {
    effect: Effect,
    resumes_stream: bool,
    /// An attempt that takes effect is out.
    is_in_flight: bool,
    may_have_run: bool,
}

impl ExecutionRecord {
    /// Nothing has been sent yet.
    pub fn new(query: &Query) -> Self {
        let (effect, resumes_stream) = (query.class.effect, query.resumes_stream);
        ExecutionRecord { effect, resumes_stream, is_in_flight: false, may_have_run: false }
    }

    /// An attempt goes out, to a server at which it takes effect or not.
    pub fn record_send(&mut self, takes_effect: bool) {
        self.is_in_flight = takes_effect;
    }

    /// It has ended, in whatever way: without the decisions' look at it, one that took effect may have run.
    pub fn record_end(&mut self) {
        self.may_have_run |= std::mem::take(&mut self.is_in_flight);
    }

    /// Whether a refusal's promise, that trying again is harmless, would be true.
    pub fn may_be_refused(&self) -> bool {
        let harmless = matches!(self.effect, Effect::Safe | Effect::Keyed { scope: DedupScope::All, .. });
        harmless || !(self.may_have_run || self.is_in_flight || self.resumes_stream)
    }
}
