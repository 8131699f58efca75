//! The invariants, checked on what stand-in servers and clients have seen. It asks no conductor.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// What sockets and this machine add to each time limit: 50 ms by the rules, 100 ms for this process's
/// delays.
const ADDED: Duration = Duration::from_millis(150);
/// What is held has this much more than the settings say.
const HELD_ADDED: Duration = Duration::from_millis(300);
/// The time told to a server may be this much more than what is left.
const TOLD_SLACK: Duration = Duration::from_millis(150);
/// After its client has gone, an attempt may begin for so long.
const GONE_SLACK: Duration = Duration::from_millis(100);
/// A final answer that is later than this after its time has not been given.
const LATE_SLACK: Duration = Duration::from_millis(500);
/// The end of an attempt may be on its way to its server for so long.
const END_TAKES: Duration = Duration::from_millis(50);

/// The limits that the settings give.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// What is held is taken or let go within this time.
    pub release: Duration,
    /// Nothing new goes to a server so long after a conductor was told that it drains.
    pub drain_grace: Duration,
    /// What a server that has just started may be sent.
    pub slow_start: SlowStart,
    /// The longest deadline of a class, which decides when SIGKILL may come.
    pub deadline: Duration,
}

/// The budget of a server in slow start.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Requests a second that a warm server can do.
    pub capacity: f64,
    /// Share of it that one can do which starts.
    pub from: f64,
    /// It falls when it gets so many times what it can do,
    pub multiple: f64,
    /// within this time.
    pub window: Duration,
    /// It is warm by then.
    pub warm_within: Duration,
}

impl SlowStart {
    /// The most that a server may get within the window, so long after its start.
    fn most(&self, age: Duration) -> f64 {
        let warmed = (age.as_secs_f64() / self.warm_within.as_secs_f64()).min(1.0);
        let share = self.from + (1.0 - self.from) * warmed;
        let calls = self.multiple * self.capacity * share * self.window.as_secs_f64();
        // Room for chance, as the rule has it.
        let (times, more) = if calls < 30.0 { (3.0, 3.0) } else { (2.0, 2.0) };
        calls + times * calls.sqrt() + more
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
pub enum Told {
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
    told: Option<(Told, Instant)>,
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
struct Seen {
    requests: HashMap<String, Record>,
    /// When conductors may count as told that a server takes nothing new, and until when that holds.
    closed: Vec<Closed>,
    /// Servers from which nothing comes, each as often as it was silenced.
    silent: Vec<usize>,
    /// When servers have started.
    starts: Vec<(usize, Instant)>,
    outages: Outages,
    violations: Vec<String>,
}

/// A time in which a server takes nothing new from a conductor.
#[derive(Clone, Copy, Debug)]
pub struct Closed {
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
    seen: Arc<Mutex<Seen>>,
    limits: Limits,
}

/// How a run ended.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Requests by what their clients were told.
    pub told: BTreeMap<&'static str, usize>,
    /// Attempts that reached servers.
    pub attempts: usize,
    /// Rules that were broken, each with its trace.
    pub violations: Vec<String>,
}

impl Oracle {
    /// Nothing has been seen yet.
    pub fn new(limits: Limits) -> Self {
        Oracle { seen: Arc::default(), limits }
    }

    fn seen(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Something that needs no further account was broken.
    pub fn violation(&self, what: String) {
        self.seen().violations.push(what);
    }

    /// A client is about to send a request.
    pub fn asked(&self, id: &str, conductor: usize, fragile: bool, budget: Duration) {
        let sent = Instant::now();
        let asked = Asked { conductor, fragile, sent, budget, gone: None, told: None };
        self.seen().requests.entry(id.into()).or_default().asked = Some(asked);
    }

    /// A client has all of its answer, or its connection has ended.
    pub fn told(&self, id: &str, told: Told) {
        if let Some(asked) = self.seen().requests.get_mut(id).and_then(|record| record.asked.as_mut()) {
            asked.told = Some((told, Instant::now()));
        }
    }

    /// A client is about to close its connection.
    pub fn gone(&self, id: &str) {
        if let Some(asked) = self.seen().requests.get_mut(id).and_then(|record| record.asked.as_mut()) {
            asked.gone = Some(Instant::now());
        }
    }

    /// The last byte of an attempt has come; gives its number.
    pub fn arrived(&self, id: &str, server: usize, decode: bool, told: Duration) -> usize {
        let mut seen = self.seen();
        let record = seen.requests.entry(id.into()).or_default();
        let arrived = Instant::now();
        record.attempts.push(Attempt { server, decode, arrived, ended: None, never_ran: false, told });
        record.attempts.len() - 1
    }

    /// An attempt has ended at its server, by its answer or its connection's end.
    pub fn ended(&self, id: &str, attempt: usize, never_ran: bool) {
        let mut seen = self.seen();
        let attempts = seen.requests.get_mut(id).and_then(|record| record.attempts.get_mut(attempt));
        if let Some(attempt) = attempts {
            attempt.ended.get_or_insert_with(Instant::now);
            attempt.never_ran |= never_ran;
        }
    }

    /// Nothing comes from a server any more, or something does again.
    pub fn silent(&self, server: usize, silent: bool) {
        let mut seen = self.seen();
        match silent {
            true => seen.silent.push(server),
            false => {
                let known = seen.silent.iter().position(|known| *known == server);
                known.map(|at| seen.silent.swap_remove(at));
            }
        }
    }

    /// A prompt has been read by this attempt: its state waits. An attempt whose answer is lost in silence
    /// is out for as long as its conductor has said that it waits.
    pub fn held(&self, id: &str, attempt: usize) {
        let mut seen = self.seen();
        let Seen { requests, silent, .. } = &mut *seen;
        let Some(record) = requests.get_mut(id) else { return };
        let Some(read) = record.attempts.get(attempt) else { return };
        let now = Instant::now();
        let out_until = if silent.contains(&read.server) { read.arrived + read.told } else { now };
        record.held_since = Some(now.max(out_until));
    }

    /// What is held is taken or let go; false where nothing was.
    pub fn taken(&self, id: &str) -> bool {
        let mut seen = self.seen();
        let Some(record) = seen.requests.get_mut(id) else { return false };
        let since = record.held_since.take();
        let waited = since.map_or(Duration::ZERO, |since| since.elapsed());
        record.held_longest = record.held_longest.max(waited);
        since.is_some()
    }

    /// A server takes nothing new.
    pub fn closed(&self, closed: Closed) {
        self.seen().closed.push(closed);
    }

    /// A server takes requests again.
    pub fn opened(&self, server: usize, conductor: Option<usize>) {
        let now = Instant::now();
        for closed in &mut self.seen().closed {
            if closed.server == server && closed.conductor == conductor && closed.until.is_none() {
                closed.until = Some(now);
            }
        }
    }

    /// A server starts, and is cold.
    pub fn started(&self, server: usize) {
        self.seen().starts.push((server, Instant::now()));
    }

    /// A conductor's process did not run in this span: what it had taken ends with it.
    pub fn outage(&self, conductor: usize, from: Instant, until: Instant) {
        self.seen().outages.push((conductor, from, until));
    }

    /// Checks all that has been seen.
    pub fn report(&self) -> Report {
        let seen = self.seen();
        let mut report = Report { violations: seen.violations.clone(), ..Report::default() };
        for (id, record) in &seen.requests {
            report.attempts += record.attempts.len();
            let found = self.check(&seen, record);
            if let Some(asked) = &record.asked {
                let told = match (asked.gone, asked.told) {
                    (Some(_), _) => "left",
                    (_, Some((Told::Served, _))) => "served",
                    (_, Some((Told::Broken, _))) => "broken",
                    (_, Some((Told::Refused, _))) => "refused",
                    (_, Some((Told::Failed, _))) => "failed",
                    (_, Some((Told::Crossed, _))) => "crossed",
                    (_, Some((Told::Nothing, _)) | None) => "nothing",
                };
                *report.told.entry(told).or_default() += 1;
            }
            report.violations.extend(found.into_iter().map(|rule| format!("{rule}: {id}: {record:?}")));
        }
        report.violations.extend(seen.starts.iter().filter_map(|start| self.check_start(&seen, *start)));
        report
    }

    /// Whether a server in slow start was sent more than it can bear, by all conductors together.
    fn check_start(&self, seen: &Seen, (server, start): (usize, Instant)) -> Option<String> {
        let limits = self.limits.slow_start;
        let attempts = seen.requests.values().flat_map(|record| &record.attempts);
        let sent_to = attempts.filter(|attempt| attempt.server == server).map(|attempt| attempt.arrived);
        let mut arrivals: Vec<Instant> =
            sent_to.filter(|at| *at >= start && *at < start + limits.warm_within).collect();
        arrivals.sort();
        arrivals.iter().enumerate().find_map(|(nth, at)| {
            let within = arrivals[..=nth].iter().filter(|before| **before + limits.window > *at).count();
            let most = limits.most(*at - start);
            (within as f64 > most).then(|| {
                format!("failback: server {server}: {within} of {most:.0}, {:?} after its start", *at - start)
            })
        })
    }

    /// The rules that a request's account breaks.
    fn check(&self, seen: &Seen, record: &Record) -> Vec<String> {
        let mut broken = Vec::new();
        let Some(asked) = &record.asked else {
            return vec!["an id that no client sent".into()];
        };
        let end_of_process = |conductor: usize, from: Instant, to: Instant| {
            seen.outages.iter().any(|(who, begin, end)| *who == conductor && *begin <= to && *end >= from)
        };
        let by = asked.sent + asked.budget + LATE_SLACK + ADDED;
        let killed = end_of_process(asked.conductor, asked.sent, by);
        match asked.told {
            None if asked.gone.is_none() && !killed => broken.push("lost: no answer".into()),
            Some((Told::Crossed, _)) if !record.attempts.is_empty() && !killed => {
                broken.push("lost: sent on, and closed without an answer".into());
            }
            Some((Told::Nothing, _)) if !killed => broken.push("lost: closed without an answer".into()),
            Some((Told::Refused | Told::Failed, at)) if at > by && !killed => {
                broken.push(format!("lost: answered {:?} late", at - by));
            }
            _ => {}
        }
        for (nth, attempt) in record.attempts.iter().enumerate() {
            let earlier = &record.attempts[..nth];
            let is_out = |before: &Attempt| before.ended.is_none_or(|at| at > attempt.arrived + END_TAKES);
            if earlier.iter().any(is_out) {
                broken.push("duplicate: two attempts out".into());
            }
            let ran = |before: &Attempt| before.decode && !before.never_ran;
            if asked.fragile && attempt.decode && earlier.iter().any(ran) {
                broken.push("duplicate: sent again after it may have run".into());
            }
            if asked.gone.is_some_and(|at| attempt.arrived > at + GONE_SLACK + ADDED) {
                broken.push("lost: sent for a client that had gone".into());
            }
            let left = (asked.sent + asked.budget).saturating_duration_since(attempt.arrived);
            if attempt.told > left + TOLD_SLACK + ADDED {
                broken.push(format!("deadline: told {:?}, {left:?} are left", attempt.told));
            }
            let grace = self.limits.drain_grace + ADDED;
            let closed = seen.closed.iter().find(|closed| {
                closed.server == attempt.server
                    && closed.conductor.is_none_or(|conductor| conductor == asked.conductor)
                    && attempt.arrived > closed.from + grace
                    && closed.until.is_none_or(|until| attempt.arrived < until)
            });
            if let Some(closed) = closed {
                broken.push(format!("drain: sent {:?} after the news", attempt.arrived - closed.from));
            }
        }
        let may_have_run = record.attempts.iter().any(|attempt| attempt.decode && !attempt.never_ran);
        if asked.fragile && may_have_run && matches!(asked.told, Some((Told::Refused, _))) {
            broken.push("duplicate: refused after it may have run".into());
        }
        let waiting = record.held_since.map_or(Duration::ZERO, |since| since.elapsed());
        let held = record.held_longest.max(waiting);
        if held > self.limits.release + HELD_ADDED + ADDED && !killed {
            broken.push(format!("pinned: held for {held:?}"));
        }
        broken
    }
}
