//! Tests the limits of the five rules, and checks them independently over random orders of events.

mod support;
use frosttrail::*;
use std::collections::BTreeMap;
use std::sync::Arc;
use support::*;

fn settings_with_effect(effect: Effect) -> Settings {
    let mut settings = Settings::example();
    Arc::make_mut(&mut settings.classes[0]).effect = effect;
    settings
}

fn harness_with_decode_attempt(effect: Effect, fleet: &[(&str, usize)]) -> RouterHarness {
    let mut harness = RouterHarness::new(settings_with_effect(effect), fleet);
    harness.submit(query("a", 900));
    harness.end_attempt("a", 0, "r", Outcome::PrefillDone);
    harness
}

const FLEET: [(&str, usize); 3] = [("r", 0), ("w1", 1), ("w2", 1)];

#[test]
fn a_queued_request_is_refused_before_its_client_leaves() {
    let mut harness = RouterHarness::new(Settings::example(), &[]);
    // The client leaves before the first-token target of 1.05 s; prefill and a first token take 0.285 s.
    harness.submit(Query { budget: 800 * MS, ..query("a", 900) });
    assert!(!is_refused(&harness.advance(510 * MS), "a"));
    assert!(is_refused(&harness.advance(20 * MS), "a"));
}

#[test]
fn an_unsafe_request_that_may_have_run_is_failed_not_repeated_nor_refused() {
    let mut harness = harness_with_decode_attempt(Effect::Unsafe, &FLEET);
    let out = harness.end_attempt("a", 1, "w1", Outcome::ConnectionLost);
    assert!(is_failed(&out, "a") && sends(&out).is_empty() && !is_refused(&out, "a"));
    assert!(releases_cache(&out, "a"));
}

#[test]
fn an_unsafe_request_that_resumes_a_stream_is_never_refused() {
    for (effect, refused) in [(Effect::Unsafe, false), (Effect::Safe, true)] {
        let mut harness = RouterHarness::new(settings_with_effect(effect), &[]);
        harness.submit(Query { resumes_stream: true, ..query("a", 900) });
        let out = harness.advance(5 * SEC);
        assert_eq!((is_refused(&out, "a"), is_failed(&out, "a")), (refused, !refused), "{effect:?}");
    }
}

#[test]
fn an_unsafe_request_that_never_ran_is_tried_again() {
    let mut harness = harness_with_decode_attempt(Effect::Unsafe, &FLEET);
    assert_eq!(sends(&harness.end_attempt("a", 1, "w1", Outcome::Rejected)).len(), 1);
}

#[test]
fn an_unsafe_request_whose_prefill_broke_is_prefilled_again() {
    let mut harness = RouterHarness::new(settings_with_effect(Effect::Unsafe), &FLEET);
    harness.submit(query("a", 900));
    assert_eq!(sends(&harness.end_attempt("a", 0, "r", Outcome::ConnectionLost)).len(), 1);
}

#[test]
fn a_keyed_request_is_repeated_in_its_scope_and_window_only() {
    let scopes = [(DedupScope::All, true), (DedupScope::Zone, false), (DedupScope::Rack, false)];
    for (scope, may_leave_scope) in scopes {
        // The connection to the next server may take up to its timeout, and the request is sent only then.
        let connect_timeout = Settings::example().connect_timeout;
        let shortest_window = SEC + connect_timeout;
        for (window, in_window) in
            [(10 * SEC, true), (shortest_window + MS, true), (shortest_window, false), (SEC, false)]
        {
            let mut harness = RouterHarness::new(
                settings_with_effect(Effect::Keyed { scope, window }),
                &[("r", 0), ("w1", 1)],
            );
            let far = ServerEntry { rack: 9, zone: 1, ..entry("w2", 1) };
            harness.update_servers(ListUpdateKind::Changes, vec![far]);
            harness.submit(query("a", 900));
            assert_eq!(sends(&harness.end_attempt("a", 0, "r", Outcome::PrefillDone))[0].1, "w1");
            harness.now += SEC;
            let mut sent = sends(&harness.end_attempt("a", 1, "w1", Outcome::ConnectionLost));
            // The attempt may never have arrived, so its KV cache has waited too long: the prompt is
            // prefilled again first.
            assert!(sent.iter().all(|s| s.1 == "r"), "{scope:?} {window}");
            if !sent.is_empty() {
                sent.extend(sends(&harness.end_attempt("a", 2, "r", Outcome::PrefillDone)));
            }
            let to_far = sent.iter().any(|s| s.1 == "w2");
            assert_eq!(to_far, may_leave_scope && in_window, "{scope:?} {window}");
            assert!(in_window || sent.is_empty(), "{scope:?}: the window has passed");
        }
    }
}

#[test]
fn nothing_is_sent_to_a_server_that_drains_or_is_gone() {
    for health in [Health::Draining, Health::Gone] {
        let mut harness = RouterHarness::new(Settings::example(), &FLEET);
        harness.update_servers(ListUpdateKind::Changes, vec![ServerEntry { health, ..entry("r", 0) }]);
        assert!(sends(&harness.submit(query("a", 900))).is_empty());
    }
    let mut harness = RouterHarness::new(Settings::example(), &FLEET);
    harness.update_servers(ListUpdateKind::Full, vec![entry("w1", 1)]);
    assert!(
        sends(&harness.submit(query("a", 900))).is_empty(),
        "a server that is missing from a full list is gone"
    );
}

#[test]
fn a_server_in_slow_start_gets_only_this_routers_share_of_its_budget() {
    let sent = |conductors| {
        let mut harness = RouterHarness::new(Settings { conductors, ..Settings::example() }, &[("w", 1)]);
        harness.update_servers(
            ListUpdateKind::Changes,
            vec![ServerEntry { started: harness.now, ..entry("r", 0) }],
        );
        let mut send_count = 0;
        for i in 0..200 {
            harness.now += 10 * MS;
            send_count +=
                sends(&harness.submit(query(&format!("q{i}"), 100))).iter().filter(|s| s.1 == "r").count();
        }
        send_count
    };
    assert!((1..=2).contains(&sent(1)), "with no warm peer to compare: {}", sent(1));
    assert!(sent(4) <= sent(1));
}

/// The actions of a router of `conductors`, after these events, for requests while a server is in slow start.
fn actions_after(conductors: u32, events: &[Event]) -> Vec<Vec<Action>> {
    let mut harness = RouterHarness::new(Settings { conductors, ..Settings::example() }, &FLEET);
    for event in events {
        harness.handle(event.clone());
    }
    harness
        .update_servers(ListUpdateKind::Changes, vec![ServerEntry { started: harness.now, ..entry("r", 0) }]);
    let mut all = Vec::new();
    for i in 0..60 {
        harness.now += 10 * MS;
        all.push(harness.submit(query(&format!("q{i}"), 3_000)));
    }
    all
}

#[test]
fn a_quota_share_acts_like_the_same_number_of_routers() {
    let with_share = |conductors, share| actions_after(conductors, &[Event::QuotaShare { share }]);
    for routers in [1, 3, 100] {
        assert_eq!(with_share(7, 1.0 / f64::from(routers)), actions_after(routers, &[]));
    }
    assert_ne!(with_share(1, 0.01), actions_after(1, &[]), "a smaller share has an effect");
    // Shares out of range are harmless.
    for share in [0.0, -1.0, 7.0, f64::INFINITY] {
        with_share(2, share);
    }
}

/// Guards against shares that add up to more than the whole after a reload: a share that the membership has
/// granted stays in force, whatever number of conductors the settings name.
#[test]
fn new_settings_change_the_share_only_while_none_is_granted() {
    let granted = Event::QuotaShare { share: 1.0 / 100.0 };
    let reloaded = |conductors| Event::Settings(Settings { conductors, ..Settings::example() });
    for conductors in [1, 2, 300] {
        let after = actions_after(1, &[granted.clone(), reloaded(conductors)]);
        assert_eq!(after, actions_after(100, &[]), "{conductors}");
        assert_eq!(actions_after(7, &[reloaded(conductors)]), actions_after(conductors, &[]));
    }
}

#[test]
fn the_kv_cache_is_released_when_no_decode_server_is_available() {
    let mut harness = RouterHarness::new(Settings::example(), &FLEET);
    harness.submit(query("a", 900));
    harness.update_servers(ListUpdateKind::Full, vec![entry("r", 0)]);
    assert!(sends(&harness.end_attempt("a", 0, "r", Outcome::PrefillDone)).is_empty());
    assert!(releases_cache(&harness.advance(480 * MS), "a"));
}

/// A release sent while an attempt is active frees nothing if the attempt has arrived and waits in its
/// server's queue: its KV cache is still held when the attempt times out, and must be released again.
#[test]
fn a_release_during_an_attempt_that_had_arrived_is_repeated_at_its_end() {
    for outcome in [Outcome::NoAnswer, Outcome::ConnectionLost, Outcome::Rejected, Outcome::NoConnection] {
        let mut harness = RouterHarness::new(Settings::example(), &[("r", 0), ("w", 1)]);
        harness.submit(query("a", 900));
        harness.end_attempt("a", 0, "r", Outcome::PrefillDone);
        assert!(
            releases_cache(&harness.advance(800 * MS), "a"),
            "released in time in case the attempt never arrived"
        );
        // No other attempt can fetch the KV cache: no server is left.
        harness.update_servers(ListUpdateKind::Full, Vec::new());
        let at_its_end = releases_cache(&harness.end_attempt("a", 1, "w", outcome), "a");
        assert!(
            at_its_end || releases_cache(&harness.advance(480 * MS), "a"),
            "{outcome:?}: not released within the configured timeout"
        );
    }
}

#[test]
fn the_kv_cache_is_released_when_the_client_leaves_during_prefill() {
    let mut harness = RouterHarness::new(Settings::example(), &FLEET);
    harness.submit(query("a", 900));
    harness.handle(Event::ClientGone { id: "a".into() });
    let out = harness.end_attempt("a", 0, "r", Outcome::PrefillDone);
    assert!(releases_cache(&out, "a") && sends(&out).is_empty());
}

#[test]
fn the_same_seed_gives_the_same_actions() {
    let run = || {
        let mut simulation = Simulation::new(5, Effect::Safe);
        simulation.run(800);
        format!("{:?}", simulation.log)
    };
    assert_eq!(run(), run());
}

/// A request as the checker observes it, without knowledge of the router's state.
#[derive(Default)]
struct ObservedRequest {
    deadline: Micros,
    attempts: u32,
    /// The active attempt: server, send time, end time, outcome, and whether the answer has started.
    active: Option<(usize, Micros, Micros, Option<Outcome>, bool)>,
    ended: bool,
    /// The time of the last outcome, while a KV cache waits.
    cache_since: Option<Micros>,
    /// Decode and mixed servers that may have run it, with send times.
    executions: Vec<(usize, Micros)>,
}

struct Simulation {
    router: Router,
    settings: Settings,
    effect: Effect,
    random_state: u64,
    now: Micros,
    fleet: Vec<ServerEntry>,
    timers: Vec<(Micros, u64)>,
    requests: BTreeMap<String, ObservedRequest>,
    log: Vec<Action>,
}

impl Simulation {
    fn new(seed: u64, effect: Effect) -> Self {
        // Few routers or many: the share at a server is several requests, or less than one.
        let conductors = if seed % 2 == 0 { 2 } else { 14 };
        // Shorter than most attempts take, or longer.
        let cache_release_timeout = if seed % 3 == 0 { 300 * MS } else { SEC };
        let settings = Settings {
            conductors,
            cache_release_timeout,
            max_retry_after: 500 * MS,
            ..settings_with_effect(effect)
        };
        let names = [("r1", 0), ("r2", 0), ("r3", 0), ("w1", 1), ("w2", 1), ("w3", 1), ("m1", 2), ("m2", 2)];
        let list_entry = |(i, (name, kind)): (usize, &(&str, usize))| ServerEntry {
            rack: i as u64 % 3,
            zone: i % 2,
            ..entry(name, *kind)
        };
        let fleet: Vec<_> = names.iter().enumerate().map(list_entry).collect();
        let mut simulation = Simulation {
            router: Router::new(settings.clone(), seed),
            settings,
            effect,
            random_state: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
            now: 50 * SEC,
            fleet: fleet.clone(),
            timers: Vec::new(),
            requests: BTreeMap::new(),
            log: Vec::new(),
        };
        simulation.handle(Event::Members { kind: ListUpdateKind::StaleCopy, entries: fleet });
        simulation
    }

    fn random_below(&mut self, n: u64) -> u64 {
        self.random_state ^= self.random_state << 13;
        self.random_state ^= self.random_state >> 7;
        self.random_state ^= self.random_state << 17;
        (self.random_state >> 11) % n
    }

    fn handle(&mut self, event: Event) {
        let mut out = Vec::new();
        self.router.handle(self.now, event, &mut out);
        for action in &out {
            self.check(action);
        }
        self.log.extend(out);
    }

    fn check(&mut self, action: &Action) {
        let now = self.now;
        match action {
            Action::SetTimer { delay, token } => self.timers.push((now + delay, *token)),
            Action::Send { id, server, stop_at, send_by } => {
                self.check_send_by(id, *send_by);
                self.check_send(id, server, *stop_at);
            }
            Action::Refuse { id, .. } | Action::Fail { id } => {
                let request = self.requests.get_mut(&**id).expect("an answer for a request that was asked");
                assert!(!request.ended, "a second answer for {id}");
                assert!(now <= request.deadline + self.settings.answer_slack, "{id} answered late");
                request.ended = true;
                let is_repeat_harmless =
                    matches!(self.effect, Effect::Safe | Effect::Keyed { scope: DedupScope::All, .. });
                let exceeds_limit =
                    |a: &Action| matches!(a, Action::Refuse { retry_after, .. } if *retry_after > 500 * MS);
                assert!(!exceeds_limit(action), "{id}: retry-after beyond the configured limit");
                let refused = matches!(action, Action::Refuse { .. });
                assert!(
                    !refused
                        || is_repeat_harmless
                        || (request.executions.is_empty() && request.active.is_none()),
                    "{id} refused unsafely"
                );
            }
            Action::ReleaseCache { id } => {
                // A KV cache that an active attempt waits for stays.
                let request = self.requests.get_mut(&**id).expect("known");
                let is_waiting =
                    request.active.is_some_and(|(server_index, ..)| self.fleet[server_index].kind != 0);
                request.cache_since = request.cache_since.filter(|_| is_waiting);
            }
            Action::Cancel { id, attempt } => {
                let due = now + self.random_below(5) * MS;
                let request = self.requests.get_mut(&**id).expect("known");
                assert!(*attempt < request.attempts, "cancelled an attempt that was never sent");
                if let Some((_, _, at, outcome, false)) = &mut request.active {
                    (*at, *outcome) = (due, Some(Outcome::Cancelled));
                }
            }
            Action::MoveStream { .. } | Action::Probe { .. } | Action::Watch | Action::Log(_) => {}
        }
    }

    /// Checks the `send_by` of a repeat: 150 ms before its window ends, which allows for a stall of the
    /// process.
    fn check_send_by(&self, id: &Id, send_by: Option<Micros>) {
        let Effect::Keyed { window, .. } = self.effect else { return assert_eq!(send_by, None) };
        let first = self.requests[&**id].executions.iter().map(|(_, sent)| *sent).min();
        assert_eq!(send_by, first.map(|sent| sent + window - 150 * MS), "{id}");
    }

    fn check_send(&mut self, id: &Id, server: &Id, stop_at: Micros) {
        let now = self.now;
        let server_index = self.fleet.iter().position(|e| e.server == *server).expect("a listed server");
        assert_eq!(self.fleet[server_index].health, Health::Up, "sent to {server}, which drains or is gone");
        let outcome_draw = self.random_below(100);
        let delay = (1 + self.random_below(400)) * MS;
        let request = self.requests.get_mut(&**id).expect("a send for a request that was asked");
        assert!(!request.ended, "{id} sent after its answer");
        assert!(request.active.is_none(), "two active attempts of {id}");
        assert!(request.attempts < self.settings.classes[0].max_attempts, "too many attempts of {id}");
        assert!(stop_at > now && stop_at <= request.deadline, "invalid attempt timeout");
        let fleet = &self.fleet;
        let may_repeat = |&(first, sent): &(usize, Micros)| match self.effect {
            Effect::Safe => true,
            Effect::Unsafe => false,
            Effect::Keyed { scope, window } => {
                now + self.settings.connect_timeout < sent + window
                    && match scope {
                        DedupScope::All => true,
                        DedupScope::Zone => fleet[first].zone == fleet[server_index].zone,
                        DedupScope::Rack => fleet[first].rack == fleet[server_index].rack,
                    }
            }
        };
        assert!(request.executions.iter().all(may_repeat), "{id} repeated where it may take effect twice");
        request.attempts += 1;
        let is_prefill = self.fleet[server_index].kind == 0;
        let outcome = match outcome_draw {
            0..=4 => Outcome::ConnectionLost,
            5..=9 => Outcome::NoConnection,
            10..=14 => Outcome::Rejected,
            15..=17 => Outcome::Failed,
            18..=24 => Outcome::NoAnswer,
            25 => Outcome::NotSent,
            26..=29 if !is_prefill => Outcome::CacheMissing,
            _ if is_prefill => Outcome::PrefillDone,
            _ => Outcome::Served,
        };
        let at = if outcome == Outcome::NoAnswer { stop_at } else { (now + delay).min(stop_at) };
        let outcome = if at == stop_at { Outcome::NoAnswer } else { outcome };
        request.active = Some((server_index, now, at, Some(outcome), false));
    }

    fn end_attempt(&mut self, id: &str) {
        let now = self.now;
        let cache_remains = self.random_below(2) == 0;
        let answer_duration = (1 + self.random_below(3_000)) * MS;
        let request = self.requests.get_mut(id).expect("known");
        let Some((server_index, sent, at, Some(outcome), answer_started)) = request.active else { return };
        if outcome == Outcome::Served && !answer_started && !request.ended {
            request.active = Some((server_index, sent, at + answer_duration, Some(outcome), true));
            request.cache_since = None;
            let attempt = request.attempts - 1;
            return self.handle(Event::AnswerStarted { id: id.into(), attempt, elapsed: now - sent });
        }
        request.active = None;
        let is_prefill = self.fleet[server_index].kind == 0;
        use Outcome::*;
        match outcome {
            PrefillDone => request.cache_since = Some(now),
            // A prefill server whose connection broke may have finished the prefill.
            ConnectionLost | Failed if is_prefill => request.cache_since = cache_remains.then_some(now),
            NoAnswer | Cancelled | Rejected | NoConnection | NotSent if is_prefill => {
                request.cache_since = None
            }
            CacheMissing | Served => request.cache_since = None,
            _ => request.cache_since = request.cache_since.map(|_| now),
        }
        if !is_prefill && matches!(outcome, Served | Failed | NoAnswer | ConnectionLost | Cancelled) {
            request.executions.push((server_index, sent));
        }
        let finished = request.ended || outcome == Served;
        request.ended |= finished;
        let attempt = request.attempts - 1;
        let server = self.fleet[server_index].server.clone();
        let elapsed = now - sent;
        let (id, cached_tokens, load) = (id.into(), 0, None);
        self.handle(Event::AttemptEnded {
            id,
            attempt,
            server,
            outcome,
            elapsed,
            cached_tokens,
            finished,
            load,
        });
    }

    /// Changes the server list: a server drains, leaves or restarts, or the source of the list is
    /// unavailable.
    fn change_server_list(&mut self) {
        let server_index = self.random_below(self.fleet.len() as u64) as usize;
        let health =
            *[Health::Draining, Health::Gone].get(self.random_below(8) as usize).unwrap_or(&Health::Up);
        let kind = [ListUpdateKind::Changes, ListUpdateKind::Full, ListUpdateKind::SourceUnavailable]
            [self.random_below(3) as usize];
        if kind == ListUpdateKind::SourceUnavailable {
            // The current list stays in force until the change that follows.
            self.handle(Event::Members { kind, entries: Vec::new() });
        }
        if self.fleet[server_index].health != Health::Up && health == Health::Up {
            self.fleet[server_index].started = self.now;
        }
        self.fleet[server_index].health = health;
        let entries = match kind {
            ListUpdateKind::Full => self.fleet.iter().filter(|e| e.health != Health::Gone).cloned().collect(),
            _ => vec![self.fleet[server_index].clone()],
        };
        let kind = if kind == ListUpdateKind::SourceUnavailable { ListUpdateKind::Changes } else { kind };
        self.handle(Event::Members { kind, entries });
    }

    /// Sends an event that is unusual but valid, or that concerns an unknown request.
    fn inject_odd_event(&mut self) {
        let n = self.requests.len() as u64 + 3;
        let id: Id = format!("q{}", self.random_below(n)).as_str().into();
        let (server, load) = (self.fleet[0].server.clone(), Some(LoadReport::default()));
        let is_known = self.requests.contains_key(&*id);
        match self.random_below(5) {
            0 => self.handle(Event::TimerFired { token: 1 << 40 }),
            1 => self.handle(Event::SlotReservation { id, server, reserved: false }),
            2 => self.handle(Event::ProbeEnded { server, outcome: Outcome::NoConnection, load }),
            3 if !is_known => {
                let (outcome, finished) = (Outcome::PrefillDone, false);
                let (attempt, elapsed, cached_tokens) = (9, 1, 0);
                let event = Event::AttemptEnded {
                    id,
                    attempt,
                    server,
                    outcome,
                    elapsed,
                    cached_tokens,
                    finished,
                    load,
                };
                self.handle(event);
            }
            _ => {
                if let Some(request) = self.requests.get_mut(&*id) {
                    if request.active.is_some_and(|o| o.4) {
                        return;
                    }
                    request.ended = true;
                }
                self.handle(Event::ClientGone { id });
            }
        }
    }

    fn run(&mut self, steps: usize) {
        for step in 0..steps {
            self.now += (1 + self.random_below(6)) * MS;
            let now = self.now;
            let due: Vec<u64> =
                self.timers.iter().filter(|timer| timer.0 <= now).map(|timer| timer.1).collect();
            self.timers.retain(|timer| timer.0 > now);
            due.into_iter().for_each(|token| self.handle(Event::TimerFired { token }));
            let has_ended = |s: &ObservedRequest| s.active.is_some_and(|o| o.2 <= now);
            let ids: Vec<String> =
                self.requests.iter().filter(|(_, s)| has_ended(s)).map(|(id, _)| id.clone()).collect();
            ids.iter().for_each(|id| self.end_attempt(id));
            if self.random_below(12) == 0 {
                let id = format!("q{}", self.requests.len());
                let budget = (300 + self.random_below(4_000)) * MS;
                let request = ObservedRequest { deadline: now + budget, ..ObservedRequest::default() };
                self.requests.insert(id.clone(), request);
                let tokens = 100 + self.random_below(6_000);
                let class = self.settings.classes[0].clone();
                self.handle(Event::Query(Query { budget, class, ..query(&id, tokens) }));
            }
            if self.random_below(80) == 0 {
                self.change_server_list();
            }
            if step % 7 == 0 {
                self.inject_odd_event();
            }
            for (id, request) in &self.requests {
                let is_waiting = request.active.is_none();
                let held_too_long = is_waiting
                    && request.cache_since.is_some_and(|at| now > at + self.settings.cache_release_timeout);
                assert!(!held_too_long, "{id}: its KV cache is neither fetched nor released");
                let is_late =
                    is_waiting && !request.ended && now > request.deadline + self.settings.answer_slack;
                assert!(!is_late, "{id}: no answer in time");
            }
        }
    }
}

#[test]
fn random_orders_of_events_break_no_rule() {
    let window = 2 * SEC;
    let effects = [
        Effect::Safe,
        Effect::Unsafe,
        Effect::Keyed { scope: DedupScope::All, window },
        Effect::Keyed { scope: DedupScope::Zone, window },
        Effect::Keyed { scope: DedupScope::Rack, window },
    ];
    for effect in effects {
        for seed in 0..12 {
            let mut simulation = Simulation::new(seed, effect);
            simulation.run(3_000);
            let send_count = simulation.log.iter().filter(|a| matches!(a, Action::Send { .. })).count();
            assert!(send_count > 20, "the run must include enough sends: {send_count}");
        }
    }
}

#[test]
fn a_request_that_arrives_with_no_time_left_is_refused_at_once() {
    let mut harness = RouterHarness::new(Settings::example(), &FLEET);
    let out = harness.submit(Query { budget: 0, ..query("a", 900) });
    assert!(is_refused(&out, "a") && sends(&out).is_empty());
}

/// The final answers among the actions: `Some` advice for a refusal, `None` for a failure.
fn final_answers(actions: &[Action]) -> Vec<Option<Micros>> {
    let final_answer = |a: &Action| match a {
        Action::Refuse { retry_after, .. } => Some(Some(*retry_after)),
        Action::Fail { .. } => Some(None),
        _ => None,
    };
    actions.iter().filter_map(final_answer).collect()
}

#[test]
fn each_request_gets_one_final_answer_with_a_retry_after_where_it_is_refused() {
    let settings =
        |effect| with_max_attempts(2, Settings { max_retry_after: 400 * MS, ..settings_with_effect(effect) });
    let only_answer = |out: Vec<Action>| {
        let answers = final_answers(&out);
        assert_eq!(answers.len(), 1, "{out:?}");
        answers[0]
    };
    let has_retry_after = |answer: Option<Micros>| answer.is_some_and(|t| (200 * MS..=400 * MS).contains(&t));
    let keyed = |scope| Effect::Keyed { scope, window: 2 * SEC };

    // No time is left, or no attempt is left after two that never ran.
    let mut harness = RouterHarness::new(settings(Effect::Safe), &FLEET);
    assert!(has_retry_after(only_answer(harness.submit(Query { budget: 0, ..query("none", 900) }))));
    harness.submit(query("spent", 900));
    harness.end_attempt("spent", 0, "r", Outcome::PrefillDone);
    assert!(has_retry_after(only_answer(harness.end_attempt("spent", 1, "w1", Outcome::Rejected))));

    // The request may have run: it is refused where a repeat is harmless, else failed, without a retry-after.
    let effects = [
        (Effect::Safe, true),
        (keyed(DedupScope::All), true),
        (keyed(DedupScope::Zone), false),
        (keyed(DedupScope::Rack), false),
        (Effect::Unsafe, false),
    ];
    for (effect, may_refuse) in effects {
        let mut harness = RouterHarness::new(settings(effect), &FLEET);
        harness.submit(query("a", 900));
        harness.end_attempt("a", 0, "r", Outcome::PrefillDone);
        let answer = only_answer(harness.end_attempt("a", 1, "w1", Outcome::NoAnswer));
        assert!(
            if may_refuse { has_retry_after(answer) } else { answer.is_none() },
            "{effect:?}: {answer:?}"
        );
    }

    // The client has left or is served: no answer is due.
    let mut harness = RouterHarness::new(settings(Effect::Safe), &FLEET);
    harness.submit(query("left", 900));
    harness.submit(query("served", 900));
    let mut out = harness.handle(Event::ClientGone { id: "left".into() });
    out.extend(harness.end_attempt("left", 0, "r", Outcome::PrefillDone));
    harness.end_attempt("served", 0, "r", Outcome::PrefillDone);
    harness.start_answer("served", 1);
    out.extend(harness.end_attempt("served", 1, "w1", Outcome::Served));
    out.extend(harness.advance(6 * SEC));
    assert!(final_answers(&out).is_empty(), "{out:?}");
}

#[test]
fn an_open_request_keeps_its_class_when_the_settings_change() {
    for (before, after, repeats) in [(Effect::Unsafe, Effect::Safe, 0), (Effect::Safe, Effect::Unsafe, 1)] {
        let mut harness = harness_with_decode_attempt(before, &FLEET);
        harness.handle(Event::Settings(with_max_attempts(1, settings_with_effect(after))));
        let out = harness.end_attempt("a", 1, "w1", Outcome::ConnectionLost);
        assert_eq!(sends(&out).len(), repeats, "{before:?}, then {after:?}");
        // New requests follow the new settings: one attempt is not enough for prefill and decode.
        let class = with_max_attempts(1, settings_with_effect(after)).classes[0].clone();
        assert!(is_refused(&harness.submit(Query { class, ..query("b", 900) }), "b"));
    }
}

#[test]
fn a_removed_class_still_applies_to_its_open_requests() {
    let mut harness = harness_with_decode_attempt(Effect::Unsafe, &FLEET);
    harness.handle(Event::Settings(Settings { classes: Vec::new(), ..settings_with_effect(Effect::Unsafe) }));
    assert!(is_failed(&harness.end_attempt("a", 1, "w1", Outcome::ConnectionLost), "a"));
}

#[test]
fn tenants_keep_their_remaining_quota_when_the_settings_change() {
    let tenant = |name: &str| Tenant { name: name.into(), quota_per_s: 1.0 };
    let settings = |names: &[&str]| {
        let tenants = names.iter().map(|name| tenant(name)).collect();
        Settings { tenants, over_quota_worth: 0.1, ..Settings::example() }
    };
    let mut harness = RouterHarness::new(settings(&["spent", "other"]), &[]);
    harness.submit(Query { tenant: Some(0), ..query("first", 900) });
    harness.handle(Event::Settings(settings(&["new", "spent"])));
    harness.submit(Query { tenant: Some(0), ..query("within", 900) });
    harness.submit(Query { tenant: Some(1), ..query("beyond", 900) });
    // A request beyond its quota is refused after a tenth of its client's budget.
    let out = harness.advance(600 * MS);
    assert!(is_refused(&out, "beyond") && !is_refused(&out, "within"));
}
