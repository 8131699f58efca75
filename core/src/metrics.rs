//! What a conductor counts of itself, in the text form that Prometheus reads.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::permit::WithheldReason;
use frosttrail::{Outcome, Settings, Violation};
use prometheus::{
    Encoder, Gauge, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Names begin with this.
const NAMESPACE: &str = "svc";
/// The label that holds a request's class.
const CLASS_LABEL: &str = "group";
/// The label that holds a rule.
const RULE_LABEL: &str = "rule";
/// A request that has had no attempt.
const NO_ATTEMPT: &str = "unsent";
/// The label that holds why something was done, or was not.
const REASON_LABEL: &str = "reason";

/// Refused before any decision, as those were too slow.
const EARLY_REFUSAL: &str = "at_the_door";
/// Bounds of the histograms of decisions, in seconds.
const DECISION_BUCKETS_SECONDS: [f64; 8] = [0.0001, 0.0005, 0.002, 0.01, 0.05, 0.2, 1.0, 5.0];

/// Counters and gauges. Clones count together.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    /// Held while a request moves from the open ones to the ended ones, and while all figures are read.
    request_end_lock: Arc<Mutex<()>>,
    answered: IntCounterVec,
    deferred: IntCounterVec,
    errored: IntCounterVec,
    current: IntGauge,
    /// Attempts that were decided and not begun, by reason.
    withheld: IntCounterVec,
    /// Actions that would have broken a rule and were not carried out, by rule.
    violations: IntCounterVec,
    /// Further attempts, by how the one before had ended.
    retries: IntCounterVec,
    /// Refusals, by how the last attempt had ended.
    refusals: IntCounterVec,
    /// Final answers that requests gave themselves, as no decision came in their time, by kind.
    overdue: IntCounterVec,
    /// What one command has cost the decisions.
    decisions: Histogram,
    /// How long commands have waited for the decisions.
    decision_waits: Histogram,
    /// The age of the oldest command that waits, in seconds, and how many wait.
    lag: Gauge,
    backlog: IntGauge,
    /// Attempts written whole to instances.
    pub sends: IntCounter,
    /// Instances in the list.
    pub cluster_size: IntGauge,
    /// Listed instances that are avoided, by hand or by choice.
    pub cluster_unhealthy: IntGauge,
    /// Files that were put in force at SIGHUP.
    pub conf_loaded: IntCounter,
    /// Files that were turned down at SIGHUP.
    pub conf_invalid: IntCounter,
}

impl Metrics {
    /// All at zero. Fails only where a name stands twice.
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

    /// All of them as text.
    pub fn encode_text(&self) -> prometheus::Result<String> {
        let mut text = Vec::new();
        let metric_families = {
            let _guard = lock(&self.request_end_lock);
            self.registry.gather()
        };
        TextEncoder::new().encode(&metric_families, &mut text)?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    }

    /// An attempt was not begun.
    pub(crate) fn count_withheld(&self, reason: WithheldReason) {
        self.withheld.with_label_values(&[reason.label()]).inc();
    }

    /// An action would have broken a rule.
    pub(crate) fn count_violation(&self, violation: Violation) {
        self.violations.with_label_values(&[violation.label()]).inc();
    }

    /// A further attempt goes out after one that ended so.
    pub(crate) fn count_retry(&self, last_outcome: Outcome) {
        self.retries.with_label_values(&[outcome_label(last_outcome)]).inc();
    }

    /// A request is refused whose last attempt, if there was one, ended so.
    pub(crate) fn count_refusal(&self, last_outcome: Option<Outcome>) {
        self.refusals.with_label_values(&[last_outcome.map_or(NO_ATTEMPT, outcome_label)]).inc();
    }

    /// A request is refused before any decision.
    pub(crate) fn count_early_refusal(&self) {
        self.refusals.with_label_values(&[EARLY_REFUSAL]).inc();
    }

    /// A request has answered itself, with a refusal or a failure.
    pub(crate) fn count_overdue(&self, is_refusal: bool) {
        self.overdue.with_label_values(&[if is_refusal { "refused" } else { "failed" }]).inc();
    }

    /// A command has cost the decisions so much.
    pub(crate) fn observe_decision(&self, took: Duration) {
        self.decisions.observe(took.as_secs_f64());
    }

    /// A command has waited for so long.
    pub(crate) fn observe_wait(&self, wait: Duration) {
        self.decision_waits.observe(wait.as_secs_f64());
    }

    /// So many commands wait, the oldest for so long.
    pub(crate) fn set_backlog(&self, waiting_count: usize, oldest_age: Duration) {
        self.backlog.set(waiting_count as i64);
        self.lag.set(oldest_age.as_secs_f64());
    }

    /// Each class has its figures before its first request.
    pub(crate) fn add_classes(&self, settings: &Settings) {
        for class in &settings.classes {
            for counters in [&self.answered, &self.deferred, &self.errored] {
                counters.with_label_values(&[&*class.name]);
            }
        }
    }

    /// A request of this class has been taken.
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

/// An outcome as it stands in figures.
fn outcome_label(outcome: Outcome) -> &'static str {
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

/// It guards no data, so that a panic elsewhere does no harm.
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

/// One open request. It is counted when this is dropped: as failed, unless it was marked otherwise.
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
    /// The last chunk of its answer has come.
    pub(crate) fn mark_answered(&mut self) {
        self.counted_as = CountedAs::Answered;
    }

    /// It is refused.
    pub(crate) fn mark_deferred(&mut self) {
        self.counted_as = CountedAs::Deferred;
    }

    /// It was no request: its id is in use.
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
