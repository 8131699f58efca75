//! The invariants, checked on what stand-in servers and clients have seen. It asks no conductor.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// What sockets and this machine add to each time limit: 50 ms by the rules, 100 ms for this process's
/// delays.
const TIMING_ALLOWANCE: Duration = Duration::from_millis(150);
/// What is held has this much more than the settings say.
const HOLD_ALLOWANCE: Duration = Duration::from_millis(300);
/// The time told to a server may be this much more than what is left.
const REMAINING_TIME_ALLOWANCE: Duration = Duration::from_millis(150);
/// After its client has gone, an attempt may begin for so long.
const CLIENT_LEFT_ALLOWANCE: Duration = Duration::from_millis(100);
/// A final answer that is later than this after its time has not been given.
const LATE_ANSWER_ALLOWANCE: Duration = Duration::from_millis(500);
/// The end of an attempt may be on its way to its server for so long.
const MAX_END_DELAY: Duration = Duration::from_millis(50);

/// The limits that the settings give.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// What is held is taken or let go within this time.
    pub release_timeout: Duration,
    /// Nothing new goes to a server so long after a conductor was told that it drains.
    pub drain_grace: Duration,
    /// What a server that has just started may be sent.
    pub slow_start: SlowStart,
    /// The longest deadline of a class, which decides when SIGKILL may come.
    pub max_deadline: Duration,
}

/// The budget of a server in slow start.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Requests a second that a warm server can do.
    pub capacity_per_s: f64,
    /// Share of it that one can do which starts.
    pub initial_share: f64,
    /// It falls when it gets so many times what it can do,
    pub overload_factor: f64,
    /// within this time.
    pub window: Duration,
    /// It is warm by then.
    pub warm_up_time: Duration,
}

impl SlowStart {
    /// The most that a server may get within the window, so long after its start.
    fn max_requests(&self, age: Duration) -> f64 {
        let warmed_share = (age.as_secs_f64() / self.warm_up_time.as_secs_f64()).min(1.0);
        let share = self.initial_share + (1.0 - self.initial_share) * warmed_share;
        let expected = self.overload_factor * self.capacity_per_s * share * self.window.as_secs_f64();
        // Room for chance, as the rule has it.
        let (deviations, extra) = if expected < 30.0 { (3.0, 3.0) } else { (2.0, 2.0) };
        expected + deviations * expected.sqrt() + extra
    }
}

/// An attempt as its server saw it.
#[derive(Clone, Debug)]
struct Attempt {
    server: usize,
    decode: bool,
    arrived: Instant,
    ended: Option<Instant>,
    never_ran: bool,
    told: Duration,
}

/// What became of a request, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientResult {
    /// A whole answer.
    Served,
    /// A stream that broke off.
    Broken,
    /// 429 or 503.
    Refused,
    /// Any other status.
    Failed,
    /// The connection ended without an answer.
    Nothing,
    /// A connection that had brought answers did, maybe before the request was read.
    Crossed,
}

/// A request as its client knows it.
#[derive(Clone, Debug)]
struct Asked {
    conductor: usize,
    fragile: bool,
    sent: Instant,
    budget: Duration,
    gone: Option<Instant>,
    told: Option<(ClientResult, Instant)>,
}

#[derive(Debug, Default)]
struct Record {
    asked: Option<Asked>,
    attempts: Vec<Attempt>,
    held_since: Option<Instant>,
    held_longest: Duration,
}

/// A span in which a conductor's process was killed, or ended before its time.
type Outages = Vec<(usize, Instant, Instant)>;

#[derive(Debug, Default)]
struct Observations {
    requests: HashMap<String, Record>,
    /// When conductors may count as told that a server takes nothing new, and until when that holds.
    closed_periods: Vec<ClosedPeriod>,
    /// Servers from which nothing comes, each as often as it was silenced.
    silent_servers: Vec<usize>,
    /// When servers have started.
    server_starts: Vec<(usize, Instant)>,
    outages: Outages,
    violations: Vec<String>,
}

/// A time in which a server takes nothing new from a conductor.
#[derive(Clone, Copy, Debug)]
pub struct ClosedPeriod {
    /// The server.
    pub server: usize,
    /// The conductor; all of them where none is named.
    pub conductor: Option<usize>,
    /// Since when it counts as told.
    pub from: Instant,
    /// Until when.
    pub until: Option<Instant>,
}

/// The account of one run; clones share it.
#[derive(Clone, Debug)]
pub struct Oracle {
    observations: Arc<Mutex<Observations>>,
    limits: Limits,
}

/// How a run ended.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Requests by what their clients were told.
    pub results: BTreeMap<&'static str, usize>,
    /// Attempts that reached servers.
    pub attempts: usize,
    /// Rules that were broken, each with its trace.
    pub violations: Vec<String>,
}

impl Oracle {
    /// Nothing has been seen yet.
    pub fn new(limits: Limits) -> Self {
        Oracle { observations: Arc::default(), limits }
    }

    fn observations(&self) -> MutexGuard<'_, Observations> {
        self.observations.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Something that needs no further account was broken.
    pub fn record_violation(&self, message: String) {
        self.observations().violations.push(message);
    }

    /// A client is about to send a request.
    pub fn record_request(&self, id: &str, conductor: usize, fragile: bool, budget: Duration) {
        let sent = Instant::now();
        let asked = Asked { conductor, fragile, sent, budget, gone: None, told: None };
        self.observations().requests.entry(id.into()).or_default().asked = Some(asked);
    }

    /// A client has all of its answer, or its connection has ended.
    pub fn record_result(&self, id: &str, result: ClientResult) {
        if let Some(asked) = self.observations().requests.get_mut(id).and_then(|record| record.asked.as_mut())
        {
            asked.told = Some((result, Instant::now()));
        }
    }

    /// A client is about to close its connection.
    pub fn record_client_left(&self, id: &str) {
        if let Some(asked) = self.observations().requests.get_mut(id).and_then(|record| record.asked.as_mut())
        {
            asked.gone = Some(Instant::now());
        }
    }

    /// The last byte of an attempt has come; gives its number.
    pub fn record_attempt(&self, id: &str, server: usize, decode: bool, told: Duration) -> usize {
        let mut observations = self.observations();
        let record = observations.requests.entry(id.into()).or_default();
        let arrived = Instant::now();
        record.attempts.push(Attempt { server, decode, arrived, ended: None, never_ran: false, told });
        record.attempts.len() - 1
    }

    /// An attempt has ended at its server, by its answer or its connection's end.
    pub fn record_attempt_end(&self, id: &str, attempt: usize, never_ran: bool) {
        let mut observations = self.observations();
        let attempts = observations.requests.get_mut(id).and_then(|record| record.attempts.get_mut(attempt));
        if let Some(attempt) = attempts {
            attempt.ended.get_or_insert_with(Instant::now);
            attempt.never_ran |= never_ran;
        }
    }

    /// Nothing comes from a server any more, or something does again.
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

    /// A prompt has been read by this attempt: its state waits. An attempt whose answer is lost in silence
    /// is out for as long as its conductor has said that it waits.
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

    /// What is held is taken or let go; false where nothing was.
    pub fn record_released_kv_cache(&self, id: &str) -> bool {
        let mut observations = self.observations();
        let Some(record) = observations.requests.get_mut(id) else { return false };
        let since = record.held_since.take();
        let waited = since.map_or(Duration::ZERO, |since| since.elapsed());
        record.held_longest = record.held_longest.max(waited);
        since.is_some()
    }

    /// A server takes nothing new.
    pub fn record_closed_server(&self, period: ClosedPeriod) {
        self.observations().closed_periods.push(period);
    }

    /// A server takes requests again.
    pub fn record_reopened_server(&self, server: usize, conductor: Option<usize>) {
        let now = Instant::now();
        for closed in &mut self.observations().closed_periods {
            if closed.server == server && closed.conductor == conductor && closed.until.is_none() {
                closed.until = Some(now);
            }
        }
    }

    /// A server starts, and is cold.
    pub fn record_server_start(&self, server: usize) {
        self.observations().server_starts.push((server, Instant::now()));
    }

    /// A conductor's process did not run in this span: what it had taken ends with it.
    pub fn record_outage(&self, conductor: usize, from: Instant, until: Instant) {
        self.observations().outages.push((conductor, from, until));
    }

    /// Checks all that has been seen.
    pub fn report(&self) -> Report {
        let observations = self.observations();
        let mut report = Report { violations: observations.violations.clone(), ..Report::default() };
        for (id, record) in &observations.requests {
            report.attempts += record.attempts.len();
            let broken_rules = self.check(&observations, record);
            if let Some(asked) = &record.asked {
                let result = match (asked.gone, asked.told) {
                    (Some(_), _) => "left",
                    (_, Some((ClientResult::Served, _))) => "served",
                    (_, Some((ClientResult::Broken, _))) => "broken",
                    (_, Some((ClientResult::Refused, _))) => "refused",
                    (_, Some((ClientResult::Failed, _))) => "failed",
                    (_, Some((ClientResult::Crossed, _))) => "crossed",
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

    /// Whether a server in slow start was sent more than it can bear, by all conductors together.
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

    /// The rules that a request's account breaks.
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
        let answer_due = asked.sent + asked.budget + LATE_ANSWER_ALLOWANCE + TIMING_ALLOWANCE;
        let was_killed = overlaps_outage(asked.conductor, asked.sent, answer_due);
        match asked.told {
            None if asked.gone.is_none() && !was_killed => broken_rules.push("lost: no answer".into()),
            Some((ClientResult::Crossed, _)) if !record.attempts.is_empty() && !was_killed => {
                broken_rules.push("lost: sent on, and closed without an answer".into());
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
            if asked.fragile && attempt.decode && earlier.iter().any(ran) {
                broken_rules.push("duplicate: sent again after it may have run".into());
            }
            if asked.gone.is_some_and(|at| attempt.arrived > at + CLIENT_LEFT_ALLOWANCE + TIMING_ALLOWANCE) {
                broken_rules.push("lost: sent for a client that had gone".into());
            }
            let left = (asked.sent + asked.budget).saturating_duration_since(attempt.arrived);
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
        let waiting = record.held_since.map_or(Duration::ZERO, |since| since.elapsed());
        let held = record.held_longest.max(waiting);
        if held > self.limits.release_timeout + HOLD_ALLOWANCE + TIMING_ALLOWANCE && !was_killed {
            broken_rules.push(format!("pinned: held for {held:?}"));
        }
        broken_rules
    }
}
