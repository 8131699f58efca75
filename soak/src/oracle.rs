//! The oracle: records what stub servers and clients see, and checks the rules on these records alone,
//! without asking a conductor.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Added to each time limit for sockets and this machine: 50 ms by the rules, and 100 ms for delays of this
/// process.
const TIMING_ALLOWANCE: Duration = Duration::from_millis(150);
/// A KV cache may be held for this much longer than the settings say.
const HOLD_ALLOWANCE: Duration = Duration::from_millis(300);
/// The remaining time that is sent to a server may exceed the time left by this much.
const REMAINING_TIME_ALLOWANCE: Duration = Duration::from_millis(150);
/// An attempt may begin for this long after its client has left.
const CLIENT_LEFT_ALLOWANCE: Duration = Duration::from_millis(100);
/// A final answer may come this long after the request's budget; a later one counts as lost.
const LATE_ANSWER_ALLOWANCE: Duration = Duration::from_millis(500);
/// A client may be left waiting for this long after a server's last event.
const MAX_WAIT_AFTER_EVENT: Duration = Duration::from_secs(5);
/// The end of an attempt may take this long to reach its server.
const MAX_END_DELAY: Duration = Duration::from_millis(50);

/// The limits that the settings of a run define.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// A KV cache is claimed or released within this time.
    pub release_timeout: Duration,
    /// A conductor sends nothing new to a server once this time has passed since it learned of the drain.
    pub drain_grace: Duration,
    /// What a server in slow start may be sent.
    pub slow_start: SlowStart,
    /// The longest deadline of a class, which decides when SIGKILL may follow SIGTERM.
    pub max_deadline: Duration,
}

/// The budget of a server in slow start.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Requests per second that a server can serve after its slow start.
    pub capacity_per_s: f64,
    /// Share of the capacity that a server has when it starts.
    pub initial_share: f64,
    /// A server fails when it gets more than this many times its capacity within `window`.
    pub overload_factor: f64,
    /// The time within which requests are counted.
    pub window: Duration,
    /// How long slow start lasts.
    pub warm_up_time: Duration,
}

impl SlowStart {
    /// The most requests that a server may get within the window, at this age.
    fn max_requests(&self, age: Duration) -> f64 {
        let warmed_share = (age.as_secs_f64() / self.warm_up_time.as_secs_f64()).min(1.0);
        let share = self.initial_share + (1.0 - self.initial_share) * warmed_share;
        let expected = self.overload_factor * self.capacity_per_s * share * self.window.as_secs_f64();
        // An allowance for random arrivals, as the slow start rule has it.
        let (deviations, extra) = if expected < 30.0 { (3.0, 3.0) } else { (2.0, 2.0) };
        expected + deviations * expected.sqrt() + extra
    }
}

/// An attempt as its server saw it. The report prints it with `Debug`, so its names are part of the output.
#[derive(Clone, Debug)]
struct Attempt {
    server: usize,
    decode: bool,
    arrived: Instant,
    ended: Option<Instant>,
    /// The server rejected the attempt before it ran.
    never_ran: bool,
    /// The remaining time that was sent to the server.
    told: Duration,
    /// When the server wrote its last sound event.
    last_event: Option<Instant>,
    /// The server has written its answer to the end.
    is_whole: bool,
}

/// How a request ended for its client. The report prints the variants by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientResult {
    /// A complete answer.
    Served,
    /// A stream that ended early.
    Broken,
    /// Status 429 or 503.
    Refused,
    /// Any other status.
    Failed,
    /// The connection ended without an answer.
    Nothing,
    /// An answer with events of another request.
    Foreign,
    /// A connection that had carried answers ended without one, maybe before the request was read.
    Crossed,
}

/// A request as its client knows it. The report prints it with `Debug`, so its names are part of the output.
#[derive(Clone, Debug)]
struct Asked {
    conductor: usize,
    /// The request must not run twice.
    fragile: bool,
    sent: Instant,
    /// How long the client waits for the first token.
    budget: Duration,
    /// When the client left early.
    gone: Option<Instant>,
    /// When the request was sent once more under the same id, after its client had left.
    again: Option<Instant>,
    /// The result, and when the client had it.
    told: Option<(ClientResult, Instant)>,
}

/// All that was seen of one request. The report prints it with each violation, so its names are part of the
/// output.
#[derive(Debug, Default)]
struct Record {
    /// The client's side; `None` for an id that reached a server but was sent by no client.
    asked: Option<Asked>,
    attempts: Vec<Attempt>,
    /// Since when a KV cache is held that is neither claimed nor released.
    held_since: Option<Instant>,
    held_longest: Duration,
}

/// Conductors, each with a period in which its process was killed or down: requests may be lost with it.
type Outages = Vec<(usize, Instant, Instant)>;

#[derive(Debug, Default)]
struct Observations {
    requests: HashMap<String, Record>,
    /// Periods in which conductors count as informed that a server takes nothing new.
    closed_periods: Vec<ClosedPeriod>,
    /// Servers whose connections are silent, each as often as it was silenced.
    silent_servers: Vec<usize>,
    /// Servers, and when they started.
    server_starts: Vec<(usize, Instant)>,
    outages: Outages,
    interruptions: Vec<(Interrupted, Instant, Instant)>,
    violations: Vec<String>,
}

/// What may break streams that are sound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interrupted {
    /// A conductor, by its index, whose process ends.
    Conductor(usize),
    /// A server, by its index, whose connections fail.
    Server(usize),
}

/// A period in which a server takes nothing new from a conductor.
#[derive(Clone, Copy, Debug)]
pub struct ClosedPeriod {
    /// Index of the server.
    pub server: usize,
    /// Index of the conductor; `None` means all.
    pub conductor: Option<usize>,
    /// When the conductor counts as informed.
    pub from: Instant,
    /// The end of the period, once it is known.
    pub until: Option<Instant>,
}

/// The observations of one run. Clones share them.
#[derive(Clone, Debug)]
pub struct Oracle {
    observations: Arc<Mutex<Observations>>,
    limits: Limits,
}

/// What the checks of a run have found.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// How many requests ended with each result.
    pub results: BTreeMap<&'static str, usize>,
    /// How many attempts reached servers.
    pub attempts: usize,
    /// Broken rules, each with the record that shows it.
    pub violations: Vec<String>,
}

impl Oracle {
    /// Creates an oracle without observations.
    pub fn new(limits: Limits) -> Self {
        Oracle { observations: Arc::default(), limits }
    }

    fn observations(&self) -> MutexGuard<'_, Observations> {
        self.observations.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a violation that has been found outside the oracle.
    pub fn record_violation(&self, message: String) {
        self.observations().violations.push(message);
    }

    /// Records that a client is about to send a request.
    pub fn record_request(&self, id: &str, conductor: usize, fragile: bool, budget: Duration) {
        let sent = Instant::now();
        let asked = Asked { conductor, fragile, sent, budget, gone: None, again: None, told: None };
        self.observations().requests.entry(id.into()).or_default().asked = Some(asked);
    }

    /// Records that a client has its whole answer, or that its connection has ended.
    pub fn record_result(&self, id: &str, result: ClientResult) {
        if let Some(asked) = self.observations().requests.get_mut(id).and_then(|record| record.asked.as_mut())
        {
            asked.told = Some((result, Instant::now()));
        }
    }

    /// Records that a client is about to close its connection early.
    pub fn record_client_left(&self, id: &str) {
        if let Some(asked) = self.observations().requests.get_mut(id).and_then(|record| record.asked.as_mut())
        {
            asked.gone = Some(Instant::now());
        }
    }

    /// Records that a request whose client has left is about to be sent again under its id.
    pub fn record_return(&self, id: &str) {
        if let Some(asked) = self.observations().requests.get_mut(id).and_then(|record| record.asked.as_mut())
        {
            (asked.again, asked.told) = (Some(Instant::now()), None);
        }
    }

    /// Records that a server has written a sound event.
    pub fn record_event(&self, id: &str, attempt: usize) {
        self.with_attempt(id, attempt, |attempt| attempt.last_event = Some(Instant::now()));
    }

    /// Records that a server has written an answer to its end.
    pub fn record_stream_end(&self, id: &str, attempt: usize) {
        self.with_attempt(id, attempt, |attempt| attempt.is_whole = true);
    }

    fn with_attempt(&self, id: &str, attempt: usize, change: impl FnOnce(&mut Attempt)) {
        let mut observations = self.observations();
        let attempts = observations.requests.get_mut(id).and_then(|record| record.attempts.get_mut(attempt));
        if let Some(attempt) = attempts {
            change(attempt);
        }
    }

    /// Records a period in which a conductor ends its streams, or a server's connections may break.
    pub fn record_interruption(&self, interrupted: Interrupted, from: Instant, until: Instant) {
        self.observations().interruptions.push((interrupted, from, until));
    }

    /// Records that the last byte of an attempt has arrived, and returns its number within the request.
    pub fn record_attempt(&self, id: &str, server: usize, decode: bool, remaining: Duration) -> usize {
        let mut observations = self.observations();
        let record = observations.requests.entry(id.into()).or_default();
        let arrived = Instant::now();
        record.attempts.push(Attempt {
            server,
            decode,
            arrived,
            ended: None,
            never_ran: false,
            told: remaining,
            last_event: None,
            is_whole: false,
        });
        record.attempts.len() - 1
    }

    /// Records that an attempt has ended at its server, by its answer or by the end of its connection.
    pub fn record_attempt_end(&self, id: &str, attempt: usize, never_ran: bool) {
        self.with_attempt(id, attempt, |attempt| {
            attempt.ended.get_or_insert_with(Instant::now);
            attempt.never_ran |= never_ran;
        });
    }

    /// Records that a server's connections fall silent, or that they work again.
    pub fn set_server_silent(&self, server: usize, is_silent: bool) {
        let mut observations = self.observations();
        match is_silent {
            true => observations.silent_servers.push(server),
            false => {
                let known = observations.silent_servers.iter().position(|known| *known == server);
                known.map(|at| observations.silent_servers.swap_remove(at));
            }
        }
    }

    /// Records that an attempt has computed a KV cache, which is held from now on. If the server is silent,
    /// the answer is lost and the attempt stays open for as long as its conductor said that it waits: the
    /// hold counts from then.
    pub fn record_held_kv_cache(&self, id: &str, attempt: usize) {
        let mut observations = self.observations();
        let Observations { requests, silent_servers, .. } = &mut *observations;
        let Some(record) = requests.get_mut(id) else { return };
        let Some(prefill) = record.attempts.get(attempt) else { return };
        let now = Instant::now();
        let out_until =
            if silent_servers.contains(&prefill.server) { prefill.arrived + prefill.told } else { now };
        record.held_since = Some(now.max(out_until));
    }

    /// Records that a KV cache is claimed or released, and returns whether one was held.
    pub fn record_released_kv_cache(&self, id: &str) -> bool {
        let mut observations = self.observations();
        let Some(record) = observations.requests.get_mut(id) else { return false };
        let since = record.held_since.take();
        let waited = since.map_or(Duration::ZERO, |since| since.elapsed());
        record.held_longest = record.held_longest.max(waited);
        since.is_some()
    }

    /// Records that a server takes nothing new.
    pub fn record_closed_server(&self, period: ClosedPeriod) {
        self.observations().closed_periods.push(period);
    }

    /// Records that a server takes requests again.
    pub fn record_reopened_server(&self, server: usize, conductor: Option<usize>) {
        let now = Instant::now();
        for closed in &mut self.observations().closed_periods {
            if closed.server == server && closed.conductor == conductor && closed.until.is_none() {
                closed.until = Some(now);
            }
        }
    }

    /// Records that a server starts, and is in slow start.
    pub fn record_server_start(&self, server: usize) {
        self.observations().server_starts.push((server, Instant::now()));
    }

    /// Records that a conductor's process did not run in this period: what it had accepted ended with it.
    pub fn record_outage(&self, conductor: usize, from: Instant, until: Instant) {
        self.observations().outages.push((conductor, from, until));
    }

    /// Checks all observations.
    pub fn report(&self) -> Report {
        let observations = self.observations();
        let mut report = Report { violations: observations.violations.clone(), ..Report::default() };
        for (id, record) in &observations.requests {
            report.attempts += record.attempts.len();
            let broken_rules = self.check(&observations, record);
            if let Some(asked) = &record.asked {
                let result = match (asked.gone.filter(|_| asked.again.is_none()), asked.told) {
                    (Some(_), _) => "left",
                    (_, Some((ClientResult::Served, _))) => "served",
                    (_, Some((ClientResult::Broken, _))) => "broken",
                    (_, Some((ClientResult::Refused, _))) => "refused",
                    (_, Some((ClientResult::Failed, _))) => "failed",
                    (_, Some((ClientResult::Crossed, _))) => "crossed",
                    (_, Some((ClientResult::Foreign, _))) => "foreign",
                    (_, Some((ClientResult::Nothing, _)) | None) => "nothing",
                };
                *report.results.entry(result).or_default() += 1;
            }
            report
                .violations
                .extend(broken_rules.into_iter().map(|rule| format!("{rule}: {id}: {record:?}")));
        }
        report.violations.extend(
            observations.server_starts.iter().filter_map(|start| self.check_start(&observations, *start)),
        );
        report
    }

    /// Checks whether all conductors together sent a server in slow start more than it can serve.
    fn check_start(&self, observations: &Observations, (server, start): (usize, Instant)) -> Option<String> {
        let limits = self.limits.slow_start;
        let attempts = observations.requests.values().flat_map(|record| &record.attempts);
        let sent_to = attempts.filter(|attempt| attempt.server == server).map(|attempt| attempt.arrived);
        let mut arrivals: Vec<Instant> =
            sent_to.filter(|at| *at >= start && *at < start + limits.warm_up_time).collect();
        arrivals.sort();
        arrivals.iter().enumerate().find_map(|(index, at)| {
            let count = arrivals[..=index].iter().filter(|before| **before + limits.window > *at).count();
            let max_requests = limits.max_requests(*at - start);
            (count as f64 > max_requests).then(|| {
                format!(
                    "failback: server {server}: {count} of {max_requests:.0}, {:?} after its start",
                    *at - start
                )
            })
        })
    }

    /// Returns the rules on streams that a request's record breaks.
    fn check_stream(&self, observations: &Observations, asked: &Asked, record: &Record) -> Vec<String> {
        let mut broken_rules = Vec::new();
        let Some((attempt, last_event)) =
            record.attempts.last().and_then(|attempt| Some((attempt, attempt.last_event?)))
        else {
            return broken_rules;
        };
        if asked.gone.is_some() {
            return broken_rules;
        }
        let ended = asked.told.map_or_else(Instant::now, |(_, at)| at);
        let waited = ended.saturating_duration_since(last_event);
        if waited > MAX_WAIT_AFTER_EVENT + TIMING_ALLOWANCE {
            broken_rules.push(format!("lost: left waiting for {waited:?} after the last event"));
        }
        let interrupted = [Interrupted::Conductor(asked.conductor), Interrupted::Server(attempt.server)];
        let was_interrupted = observations.interruptions.iter().any(|(what, from, until)| {
            interrupted.contains(what) && *from <= ended && *until >= attempt.arrived
        });
        if attempt.is_whole && matches!(asked.told, Some((ClientResult::Broken, _))) && !was_interrupted {
            broken_rules.push("lost: a sound stream was cut".into());
        }
        broken_rules
    }

    /// Returns the rules that a request's record breaks.
    fn check(&self, observations: &Observations, record: &Record) -> Vec<String> {
        let mut broken_rules = Vec::new();
        let Some(asked) = &record.asked else {
            return vec!["an id that no client sent".into()];
        };
        let overlaps_outage = |conductor: usize, from: Instant, to: Instant| {
            observations.outages.iter().any(|(outage_conductor, begin, end)| {
                *outage_conductor == conductor && *begin <= to && *end >= from
            })
        };
        let sent_last = asked.again.unwrap_or(asked.sent);
        let answer_due = sent_last + asked.budget + LATE_ANSWER_ALLOWANCE + TIMING_ALLOWANCE;
        let was_killed = overlaps_outage(asked.conductor, asked.sent, answer_due);
        match asked.told {
            None if (asked.gone.is_none() || asked.again.is_some()) && !was_killed => {
                broken_rules.push("lost: no answer".into())
            }
            Some((ClientResult::Crossed, _)) if !record.attempts.is_empty() && !was_killed => {
                broken_rules.push("lost: sent on, and closed without an answer".into());
            }
            Some((ClientResult::Foreign, _)) => {
                broken_rules.push("lost: the answer of another request".into())
            }
            Some((ClientResult::Nothing, _)) if !was_killed => {
                broken_rules.push("lost: closed without an answer".into())
            }
            Some((ClientResult::Refused | ClientResult::Failed, at)) if at > answer_due && !was_killed => {
                broken_rules.push(format!("lost: answered {:?} late", at - answer_due));
            }
            _ => {}
        }
        for (index, attempt) in record.attempts.iter().enumerate() {
            let earlier = &record.attempts[..index];
            let is_out =
                |before: &Attempt| before.ended.is_none_or(|at| at > attempt.arrived + MAX_END_DELAY);
            if earlier.iter().any(is_out) {
                broken_rules.push("duplicate: two attempts out".into());
            }
            let ran = |before: &Attempt| before.decode && !before.never_ran;
            let is_after_kill = asked.again.is_some() && was_killed;
            if asked.fragile && attempt.decode && earlier.iter().any(ran) && !is_after_kill {
                broken_rules.push("duplicate: sent again after it may have run".into());
            }
            let has_left = |at: Instant| attempt.arrived > at + CLIENT_LEFT_ALLOWANCE + TIMING_ALLOWANCE;
            if asked.gone.is_some_and(has_left) && asked.again.is_none_or(|again| attempt.arrived < again) {
                broken_rules.push("lost: sent for a client that had gone".into());
            }
            let sent = asked.again.filter(|again| *again <= attempt.arrived).unwrap_or(asked.sent);
            let left = (sent + asked.budget).saturating_duration_since(attempt.arrived);
            if attempt.told > left + REMAINING_TIME_ALLOWANCE + TIMING_ALLOWANCE {
                broken_rules.push(format!("deadline: told {:?}, {left:?} are left", attempt.told));
            }
            let grace = self.limits.drain_grace + TIMING_ALLOWANCE;
            let closed = observations.closed_periods.iter().find(|closed| {
                closed.server == attempt.server
                    && closed.conductor.is_none_or(|conductor| conductor == asked.conductor)
                    && attempt.arrived > closed.from + grace
                    && closed.until.is_none_or(|until| attempt.arrived < until)
            });
            if let Some(closed) = closed {
                broken_rules.push(format!("drain: sent {:?} after the news", attempt.arrived - closed.from));
            }
        }
        let may_have_run = record.attempts.iter().any(|attempt| attempt.decode && !attempt.never_ran);
        if asked.fragile && may_have_run && matches!(asked.told, Some((ClientResult::Refused, _))) {
            broken_rules.push("duplicate: refused after it may have run".into());
        }
        broken_rules.extend(self.check_stream(observations, asked, record));
        let waiting = record.held_since.map_or(Duration::ZERO, |since| since.elapsed());
        let held = record.held_longest.max(waiting);
        if held > self.limits.release_timeout + HOLD_ALLOWANCE + TIMING_ALLOWANCE && !was_killed {
            broken_rules.push(format!("pinned: held for {held:?}"));
        }
        broken_rules
    }
}
