//! A conductor's metrics, in the text format of Prometheus.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::permit::WithheldReason;
use crate::request::CallError;
use frosttrail::{Outcome, Settings, Violation};
use prometheus::{
    Encoder, Gauge, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// The prefix of all metric names.
const NAMESPACE: &str = "svc";
/// The label for a request's class.
const CLASS_LABEL: &str = "group";
/// The label for a rule.
const RULE_LABEL: &str = "rule";
/// The label value for a request that has had no attempt.
const NO_ATTEMPT: &str = "unsent";
/// The label for the reason why something was done or not done.
const REASON_LABEL: &str = "reason";

/// The label value for a refusal before any decision, as the decisions were too slow.
const EARLY_REFUSAL: &str = "at_the_door";
/// Bucket bounds of the histograms of decisions.
const DECISION_BUCKETS_SECONDS: [f64; 8] = [0.0001, 0.0005, 0.002, 0.01, 0.05, 0.2, 1.0, 5.0];

/// The conductor's counters, gauges and histograms. Clones share them.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    /// Held while a request moves from the open to the ended ones, and while all metrics are gathered.
    request_end_lock: Arc<Mutex<()>>,
    answered: IntCounterVec,
    deferred: IntCounterVec,
    errored: IntCounterVec,
    current: IntGauge,
    /// Attempts that were decided and not sent, by reason.
    withheld: IntCounterVec,
    /// Actions that would have broken a rule and were withheld, by rule.
    violations: IntCounterVec,
    /// Attempts after the first, by how the previous one ended.
    retries: IntCounterVec,
    /// Refusals, by how the last attempt ended.
    refusals: IntCounterVec,
    /// Requests answered as failed, by how the last attempt ended.
    failures: IntCounterVec,
    /// Streams that ended before their answer was complete, by reason.
    pub(crate) streams_cut: IntCounterVec,
    /// Requests rejected for their id, by reason.
    id_conflicts: IntCounterVec,
    /// Final answers that requests gave themselves because no decision came in time, by kind.
    overdue: IntCounterVec,
    /// How long the decisions took for one command.
    decisions: Histogram,
    /// How long commands waited for the decisions.
    decision_waits: Histogram,
    /// The age of the oldest waiting command, in seconds, and the number of waiting commands.
    lag: Gauge,
    backlog: IntGauge,
    /// Attempts that were written completely to instances.
    pub sends: IntCounter,
    /// Responses of instances that could not be used, by reason.
    pub invalid_responses: IntCounterVec,
    /// Connections of clients that were closed, by reason.
    pub client_closes: IntCounterVec,
    /// Instances in the list.
    pub cluster_size: IntGauge,
    /// Listed instances that are avoided, by exclusion or by the decisions.
    pub cluster_unhealthy: IntGauge,
    /// Configurations that were put in force at SIGHUP.
    pub conf_loaded: IntCounter,
    /// Configurations that were rejected at SIGHUP.
    pub conf_invalid: IntCounter,
}

impl Metrics {
    /// Creates all metrics at zero. Fails only if a name occurs twice.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let by_label = |name: &str, help: &str, label: &str| {
            let counters = IntCounterVec::new(Opts::new(name, help).namespace(NAMESPACE), &[label])?;
            registry.register(Box::new(counters.clone()))?;
            prometheus::Result::Ok(counters)
        };
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::with_opts(Opts::new(name, help).namespace(NAMESPACE))?;
            registry.register(Box::new(counter.clone()))?;
            prometheus::Result::Ok(counter)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::with_opts(Opts::new(name, help).namespace(NAMESPACE))?;
            registry.register(Box::new(gauge.clone()))?;
            prometheus::Result::Ok(gauge)
        };
        let seconds = |name: &str, help: &str| {
            let options = HistogramOpts::new(name, help).namespace(NAMESPACE);
            let histogram = Histogram::with_opts(options.buckets(DECISION_BUCKETS_SECONDS.to_vec()))?;
            registry.register(Box::new(histogram.clone()))?;
            prometheus::Result::Ok(histogram)
        };
        let lag = Gauge::with_opts(
            Opts::new("decision_lag_seconds", "Age of the oldest command that waits.").namespace(NAMESPACE),
        )?;
        registry.register(Box::new(lag.clone()))?;
        Ok(Metrics {
            overdue: by_label("overdue", "Final answers without a decision in time.", REASON_LABEL)?,
            decisions: seconds("decision_seconds", "What a command costs the decisions.")?,
            decision_waits: seconds("decision_wait_seconds", "How long commands wait for the decisions.")?,
            lag,
            backlog: gauge("decision_backlog", "Commands that wait for the decisions.")?,
            answered: by_label("answered", "Requests served to their last chunk.", CLASS_LABEL)?,
            deferred: by_label("deferred", "Requests refused.", CLASS_LABEL)?,
            errored: by_label("errored", "Requests that failed, or whose client left.", CLASS_LABEL)?,
            withheld: by_label("sends_withheld", "Attempts decided and not begun.", REASON_LABEL)?,
            violations: by_label("violations", "Actions withheld as they would break a rule.", RULE_LABEL)?,
            retries: by_label("retries", "Further attempts, by the end of the one before.", REASON_LABEL)?,
            refusals: by_label("refusals", "Refusals, by the end of the last attempt.", REASON_LABEL)?,
            failures: by_label("failures", "Failed requests, by the end of the last attempt.", REASON_LABEL)?,
            streams_cut: by_label("streams_cut", "Streams ended before their last chunk.", REASON_LABEL)?,
            id_conflicts: by_label("id_conflicts", "Requests rejected for their id.", REASON_LABEL)?,
            invalid_responses: by_label("invalid_responses", "Responses that can't be used.", REASON_LABEL)?,
            client_closes: by_label("client_closes", "Connections of clients closed.", REASON_LABEL)?,
            current: gauge("current", "Requests taken and not ended.")?,
            sends: counter("sends", "Attempts written whole to instances.")?,
            cluster_size: gauge("cluster_size", "Instances in the list.")?,
            cluster_unhealthy: gauge("cluster_unhealthy", "Listed instances that are avoided now.")?,
            conf_loaded: counter("conf_loaded", "Configurations put in force at SIGHUP.")?,
            conf_invalid: counter("conf_invalid", "Configurations turned down at SIGHUP.")?,
            request_end_lock: Arc::default(),
            registry,
        })
    }

    /// Encodes all metrics as text.
    pub fn encode_text(&self) -> prometheus::Result<String> {
        let mut text = Vec::new();
        let metric_families = {
            let _guard = lock(&self.request_end_lock);
            self.registry.gather()
        };
        TextEncoder::new().encode(&metric_families, &mut text)?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    }

    /// Counts an attempt that was not sent.
    pub(crate) fn count_withheld(&self, reason: WithheldReason) {
        self.withheld.with_label_values(&[reason.label()]).inc();
    }

    /// Counts an action that would have broken a rule.
    pub(crate) fn count_violation(&self, violation: Violation) {
        self.violations.with_label_values(&[violation.label()]).inc();
    }

    /// Counts a further attempt after one that ended with `last_outcome`.
    pub(crate) fn count_retry(&self, last_outcome: Outcome) {
        self.retries.with_label_values(&[outcome_label(last_outcome)]).inc();
    }

    /// Counts a refused request, by the outcome of its last attempt if it had one.
    pub(crate) fn count_refusal(&self, last_outcome: Option<Outcome>) {
        self.refusals.with_label_values(&[last_outcome.map_or(NO_ATTEMPT, outcome_label)]).inc();
    }

    /// Counts a request that is answered as failed, by the outcome of its last attempt if it had one.
    pub(crate) fn count_failure(&self, last_outcome: Option<Outcome>) {
        self.failures.with_label_values(&[last_outcome.map_or(NO_ATTEMPT, outcome_label)]).inc();
    }

    /// Counts a request that is rejected for its id.
    pub(crate) fn count_id_conflict(&self, error: CallError) {
        self.id_conflicts.with_label_values(&[error.label()]).inc();
    }

    /// Counts a request that is refused before any decision.
    pub(crate) fn count_early_refusal(&self) {
        self.refusals.with_label_values(&[EARLY_REFUSAL]).inc();
    }

    /// Counts a request that gave its own final answer, a refusal or a failure.
    pub(crate) fn count_overdue(&self, is_refusal: bool) {
        self.overdue.with_label_values(&[if is_refusal { "refused" } else { "failed" }]).inc();
    }

    /// Records how long the decisions took for a command.
    pub(crate) fn observe_decision(&self, took: Duration) {
        self.decisions.observe(took.as_secs_f64());
    }

    /// Records how long a command waited.
    pub(crate) fn observe_wait(&self, wait: Duration) {
        self.decision_waits.observe(wait.as_secs_f64());
    }

    /// Sets the number of waiting commands and the age of the oldest.
    pub(crate) fn set_backlog(&self, waiting_count: usize, oldest_age: Duration) {
        self.backlog.set(waiting_count as i64);
        self.lag.set(oldest_age.as_secs_f64());
    }

    /// Creates the counters of each class, so that they are exported before its first request.
    pub(crate) fn add_classes(&self, settings: &Settings) {
        for class in &settings.classes {
            for counters in [&self.answered, &self.deferred, &self.errored] {
                counters.with_label_values(&[&*class.name]);
            }
        }
    }

    /// Counts a request of this class as open until the result is dropped.
    pub(crate) fn open_request(&self, class: &str) -> RequestMetrics {
        self.current.inc();
        RequestMetrics {
            answered: self.answered.with_label_values(&[class]),
            deferred: self.deferred.with_label_values(&[class]),
            errored: self.errored.with_label_values(&[class]),
            current: self.current.clone(),
            request_end_lock: self.request_end_lock.clone(),
            counted_as: CountedAs::Errored,
        }
    }
}

/// The label value for an outcome.
pub(crate) fn outcome_label(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Served => "served",
        Outcome::PrefillDone => "read_done",
        Outcome::Failed => "failed",
        Outcome::Rejected => "turned_away",
        Outcome::CacheMissing => "state_lost",
        Outcome::NoAnswer => "no_answer",
        Outcome::NoConnection => "no_connection",
        Outcome::ConnectionLost => "connection_lost",
        Outcome::StaleConnection => "stale_connection",
        Outcome::Cancelled => "called_off",
        Outcome::NotSent => "not_sent",
    }
}

/// Ignores poisoning: the mutex guards no data.
fn lock(request_end_lock: &Mutex<()>) -> MutexGuard<'_, ()> {
    request_end_lock.lock().unwrap_or_else(PoisonError::into_inner)
}

#[derive(Clone, Copy, Debug)]
enum CountedAs {
    Answered,
    Deferred,
    Errored,
    NotCounted,
}

/// The metrics of one open request. When dropped, it counts the request as failed unless marked otherwise.
#[derive(Debug)]
pub(crate) struct RequestMetrics {
    answered: IntCounter,
    deferred: IntCounter,
    errored: IntCounter,
    current: IntGauge,
    request_end_lock: Arc<Mutex<()>>,
    counted_as: CountedAs,
}

impl RequestMetrics {
    /// The whole answer has been received.
    pub(crate) fn mark_answered(&mut self) {
        self.counted_as = CountedAs::Answered;
    }

    /// The request is refused.
    pub(crate) fn mark_deferred(&mut self) {
        self.counted_as = CountedAs::Deferred;
    }

    /// The request is not counted, as its id is in use.
    pub(crate) fn mark_not_counted(&mut self) {
        self.counted_as = CountedAs::NotCounted;
    }
}

impl Drop for RequestMetrics {
    fn drop(&mut self) {
        let _guard = lock(&self.request_end_lock);
        self.current.dec();
        match self.counted_as {
            CountedAs::Answered => self.answered.inc(),
            CountedAs::Deferred => self.deferred.inc(),
            CountedAs::Errored => self.errored.inc(),
            CountedAs::NotCounted => {}
        }
    }
}
