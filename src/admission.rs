//! Decisions that a request makes without the router: whether it is admitted while decisions are slow, and
//! how it is answered if no decision has come in time. All are pure functions of the request's own state.

use crate::hash::{hash, share_of, DEFAULT_SALT};
use crate::interface::{DedupScope, Effect, Micros, Query};

/// Largest expected wait for the first decision, as a share of the time for which the client waits. Beyond
/// it, the request is refused on arrival.
const MAX_EXPECTED_WAIT_SHARE: f64 = 0.25;
/// Expected wait up to which every request is admitted.
const MIN_REFUSAL_WAIT: Micros = 50_000;
/// Share of `Settings::cache_release_timeout` after which a request releases its KV cache by itself. The
/// router does so earlier unless its decisions are late.
const RELEASE_TIMEOUT_SHARE: f64 = 0.9;
/// Shortest time before a request is answered without a decision, however small its budget is: for a small
/// budget, the router answers at once.
const MIN_ANSWER_TIMEOUT: Micros = 50_000;

/// Whether a request is admitted whose client waits for `budget`.
pub fn admits(expected_wait: Micros, budget: Micros) -> bool {
    expected_wait <= MIN_REFUSAL_WAIT || expected_wait as f64 <= budget as f64 * MAX_EXPECTED_WAIT_SHARE
}

/// Retry-after, up to `max`, for a client that is refused without a decision. A hash of the request id
/// spreads the retries of clients that are refused together.
pub fn retry_after(max: Micros, query: &Query) -> Micros {
    (max as f64 * (0.5 + 0.5 * share_of(hash(&query.id, DEFAULT_SALT)))) as Micros
}

/// Time after which a request whose client waits for `budget` is answered without a decision.
pub fn answer_timeout(budget: Micros) -> Micros {
    budget.max(MIN_ANSWER_TIMEOUT)
}

/// Time after which a request releases its KV cache by itself.
pub fn release_timeout(cache_release_timeout: Micros) -> Micros {
    (cache_release_timeout as f64 * RELEASE_TIMEOUT_SHARE) as Micros
}

/// A request's own record of whether it may have run.
#[derive(Clone, Copy, Debug)]
pub struct ExecutionRecord {
    effect: Effect,
    resumes_stream: bool,
    /// Whether an attempt that may take effect is in flight.
    is_in_flight: bool,
    may_have_run: bool,
}

impl ExecutionRecord {
    /// The record of a request for which nothing has been sent.
    pub fn new(query: &Query) -> Self {
        let (effect, resumes_stream) = (query.class.effect, query.resumes_stream);
        ExecutionRecord { effect, resumes_stream, is_in_flight: false, may_have_run: false }
    }

    /// Records a send to a server at which the attempt may take effect or not.
    pub fn record_send(&mut self, takes_effect: bool) {
        self.is_in_flight = takes_effect;
    }

    /// Records the end of the attempt in flight. Whatever its outcome, an attempt that may take effect counts
    /// as run, because no decision has looked at the outcome.
    pub fn record_end(&mut self) {
        self.may_have_run |= std::mem::take(&mut self.is_in_flight);
    }

    /// Records that the attempt in flight was cancelled and that its end may not have reached the server yet,
    /// which rules out a refusal whatever the server is.
    pub fn record_unconfirmed_end(&mut self) {
        self.is_in_flight = false;
        self.may_have_run = true;
    }

    /// Whether the request may be refused, which promises that a retry is harmless.
    pub fn may_be_refused(&self) -> bool {
        let harmless = matches!(self.effect, Effect::Safe | Effect::Keyed { scope: DedupScope::All, .. });
        harmless || !(self.may_have_run || self.is_in_flight || self.resumes_stream)
    }
}
