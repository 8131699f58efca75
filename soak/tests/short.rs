//! The parts of the soak, and a run of seconds: a seed draws overlapping faults, the oracle finds each broken
//! rule, and the conductor breaks none.

mod support;

use std::process::Command;
use std::time::Duration;

use frosttrail_soak::oracle::{ClientResult, ClosedPeriod, Interrupted, Limits, Oracle, SlowStart};
use frosttrail_soak::plan::draw_faults;
use support::find_program;

const LIMITS: Limits = Limits {
    release_timeout: Duration::from_millis(10),
    drain_grace: Duration::ZERO,
    max_deadline: Duration::from_secs(3),
    slow_start: SlowStart {
        capacity_per_s: 2.0,
        initial_share: 0.5,
        overload_factor: 1.0,
        window: Duration::from_secs(1),
        warm_up_time: Duration::from_secs(60),
    },
};
const BUDGET: Duration = Duration::from_secs(1);

/// Returns the rules that the oracle has found broken for request `a`.
fn broken_rules(oracle: &Oracle) -> Vec<String> {
    let rules = oracle.report().violations;
    rules
        .into_iter()
        .filter_map(|found| found.split_once(": a: Record").map(|(rule, _)| rule.into()))
        .collect()
}

fn oracle_with_request(fragile: bool) -> Oracle {
    let oracle = Oracle::new(LIMITS);
    oracle.record_request("a", 0, fragile, BUDGET);
    oracle
}

#[test]
fn the_oracle_finds_no_broken_rule_in_a_request_that_went_well() {
    let oracle = oracle_with_request(true);
    let prefill = oracle.record_attempt("a", 0, false, BUDGET);
    oracle.record_held_kv_cache("a", prefill);
    oracle.record_attempt_end("a", prefill, false);
    let decode = oracle.record_attempt("a", 1, true, BUDGET);
    assert!(oracle.record_released_kv_cache("a"));
    oracle.record_attempt_end("a", decode, false);
    oracle.record_result("a", ClientResult::Served);
    assert_eq!(broken_rules(&oracle), Vec::<String>::new());
}

#[test]
fn the_oracle_finds_each_rule_that_is_broken() {
    let assert_found = |found: Vec<String>, rule: &str| {
        assert!(found.iter().any(|found| found.starts_with(rule)), "{rule}: {found:?}");
    };
    let retried = oracle_with_request(true);
    for _ in 0..2 {
        let attempt = retried.record_attempt("a", 1, true, BUDGET);
        retried.record_attempt_end("a", attempt, false);
    }
    retried.record_result("a", ClientResult::Refused);
    assert_found(broken_rules(&retried), "duplicate: sent again");
    assert_found(broken_rules(&retried), "duplicate: refused");
    let concurrent = oracle_with_request(false);
    concurrent.record_attempt("a", 0, false, BUDGET);
    concurrent.record_attempt("a", 0, false, BUDGET * 2);
    concurrent.record_result("a", ClientResult::Nothing);
    assert_found(broken_rules(&concurrent), "duplicate: two attempts out");
    assert_found(broken_rules(&concurrent), "deadline");
    assert_found(broken_rules(&concurrent), "lost: closed without an answer");
    for was_sent in [false, true] {
        let crossing = oracle_with_request(false);
        if was_sent {
            let prefill = crossing.record_attempt("a", 0, false, BUDGET / 2);
            crossing.record_attempt_end("a", prefill, false);
        }
        crossing.record_result("a", ClientResult::Crossed);
        assert_eq!(broken_rules(&crossing).iter().any(|rule| rule.starts_with("lost: sent on")), was_sent);
    }
    let violating = oracle_with_request(false);
    let (from, until) = (std::time::Instant::now(), None);
    violating.record_closed_server(ClosedPeriod { server: 0, conductor: None, from, until });
    violating.record_client_left("a");
    let prefill = violating.record_attempt("a", 1, false, BUDGET / 4);
    violating.record_held_kv_cache("a", prefill);
    violating.record_attempt_end("a", prefill, false);
    std::thread::sleep(Duration::from_millis(480));
    violating.record_attempt("a", 0, false, BUDGET / 4);
    assert_found(broken_rules(&violating), "drain");
    assert_found(broken_rules(&violating), "lost: sent for a client that had gone");
    assert_found(broken_rules(&violating), "pinned");
    assert_found(broken_rules(&oracle_with_request(false)), "lost: no answer");
    // The budget is 1 request a second, plus 3 times its square root and 3 for random arrivals.
    for (requests, over) in [(7, 0), (8, 1)] {
        let slow_start = oracle_with_request(false);
        slow_start.record_server_start(0);
        for _ in 0..requests {
            let attempt = slow_start.record_attempt("a", 0, false, BUDGET);
            slow_start.record_attempt_end("a", attempt, false);
        }
        let found = slow_start.report().violations;
        assert_eq!(found.iter().filter(|found| found.starts_with("failback")).count(), over, "{found:?}");
    }
}

/// A decode attempt of request `a` whose server has written one event.
fn oracle_with_stream() -> (Oracle, usize) {
    let oracle = oracle_with_request(true);
    let decode = oracle.record_attempt("a", 1, true, BUDGET);
    oracle.record_event("a", decode);
    (oracle, decode)
}

#[test]
fn the_oracle_finds_a_client_that_is_left_waiting() {
    let (oracle, _) = oracle_with_stream();
    std::thread::sleep(Duration::from_millis(5_200));
    oracle.record_result("a", ClientResult::Broken);
    let found = broken_rules(&oracle);
    assert!(found.iter().any(|rule| rule.starts_with("lost: left waiting")), "{found:?}");
}

#[test]
fn the_oracle_finds_a_sound_stream_that_is_cut_unless_its_connections_failed() {
    for interrupted in [None, Some(Interrupted::Conductor(0)), Some(Interrupted::Server(1))] {
        let begun_at = std::time::Instant::now();
        let (oracle, decode) = oracle_with_stream();
        oracle.record_stream_end("a", decode);
        oracle.record_result("a", ClientResult::Broken);
        if let Some(interrupted) = interrupted {
            oracle.record_interruption(interrupted, begun_at, std::time::Instant::now());
        }
        let is_found = broken_rules(&oracle).iter().any(|rule| rule == "lost: a sound stream was cut");
        assert_eq!(is_found, interrupted.is_none(), "{interrupted:?}");
    }
}

#[test]
fn the_oracle_finds_an_id_that_runs_twice_and_a_foreign_answer() {
    let (oracle, decode) = oracle_with_stream();
    oracle.record_client_left("a");
    oracle.record_attempt_end("a", decode, false);
    oracle.record_return("a");
    oracle.record_result("a", ClientResult::Failed);
    assert_eq!(broken_rules(&oracle), Vec::<String>::new());
    let again = oracle.record_attempt("a", 1, true, BUDGET / 2);
    oracle.record_attempt_end("a", again, false);
    let found = broken_rules(&oracle);
    assert_eq!(found, ["duplicate: sent again after it may have run"]);
    let foreign = oracle_with_request(false);
    foreign.record_result("a", ClientResult::Foreign);
    assert_eq!(broken_rules(&foreign), ["lost: the answer of another request"]);
}

#[test]
fn a_prefill_whose_answer_is_lost_is_open_for_as_long_as_its_conductor_waits() {
    for (is_silent, found) in [(true, false), (false, true)] {
        let oracle = oracle_with_request(false);
        if is_silent {
            oracle.set_server_silent(0, true);
        }
        let prefill = oracle.record_attempt("a", 0, false, Duration::from_millis(400));
        oracle.record_held_kv_cache("a", prefill);
        oracle.record_attempt_end("a", prefill, false);
        std::thread::sleep(Duration::from_millis(550));
        oracle.record_result("a", ClientResult::Failed);
        assert_eq!(broken_rules(&oracle).iter().any(|rule| rule.starts_with("pinned")), found, "{is_silent}");
    }
}

#[test]
fn a_seed_draws_the_same_faults_and_several_overlap() {
    let run_duration = Duration::from_secs(12);
    let faults = draw_faults(7, run_duration);
    assert_eq!(format!("{faults:?}"), format!("{:?}", draw_faults(7, run_duration)));
    assert_ne!(format!("{faults:?}"), format!("{:?}", draw_faults(8, run_duration)));
    let count_active = |at: Duration| {
        faults.iter().filter(|fault| fault.start <= at && at < fault.start + fault.duration).count()
    };
    assert!(faults.iter().filter(|fault| count_active(fault.start) >= 2).count() * 2 > faults.len());
}

#[test]
fn the_program_breaks_no_rule_in_a_short_soak() {
    assert_no_rule_is_broken("1", &["--conductors", "4", "--seconds", "6"]);
}

/// Guards against streams that stay open in a chunk of 3 GB, and ids that run twice: the seed draws both.
#[test]
fn the_program_breaks_no_rule_among_spoilt_streams_and_ids_that_come_again() {
    assert_no_rule_is_broken("100", &["--conductors", "3", "--servers", "3"]);
}

/// Runs the soak of one seed.
fn assert_no_rule_is_broken(seed: &str, options: &[&str]) {
    let program = find_program();
    let folder = std::env::temp_dir().join(format!("frosttrail-soak-{seed}-{}", std::process::id()));
    let output = Command::new(env!("CARGO_BIN_EXE_frosttrail-soak"))
        .args(options)
        .args(["--seed", seed, "--program"])
        .arg(&program)
        .arg("--folder")
        .arg(&folder)
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{text}");
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn bad_input_exits_with_status_2() {
    let program = env!("CARGO_BIN_EXE_frosttrail-soak");
    for arguments in [["--program", "nowhere"], ["--rate", "0"]] {
        let output = Command::new(program).args(["--program", program]).args(arguments).output().unwrap();
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{text}");
    }
    let output = Command::new(program).args(["--conductors", "41"]).output().unwrap();
    assert_eq!(output.status.code(), Some(2));
}
