//! Tests slow start across all routers of a fleet. In any window of `overload_duration`, a server that has
//! just started gets at most its budget plus a tolerance for chance. This holds for any number of routers,
//! for unequal traffic, and where routers have just started or learn of the server late.

mod support;

use frosttrail::*;
use support::side::RouterGroup;
use support::*;

/// Requests a second that a warm server gets: one request arrives every 5 ms, for 10 servers of each role.
const WARM_REQUESTS_PER_S: f64 = 20.0;
const SERVERS_PER_ROLE: usize = 10;
/// How long the new server is observed after its start.
const OBSERVED_DURATION: Micros = 6 * SEC;

fn servers() -> Vec<ServerEntry> {
    let servers_of = |kind, letter| (0..SERVERS_PER_ROLE).map(move |n| entry(&format!("{letter}{n}"), kind));
    servers_of(0, 'r').chain(servers_of(1, 'w')).collect()
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Scenario {
    /// All routers have the same traffic.
    EqualTraffic,
    /// A tenth of the routers, at least one, gets half of the traffic and its share of the other half.
    UnequalTraffic,
    /// Half of the routers have just started.
    RestartedRouters,
    /// A third of the routers learns of the new server up to 2 s late.
    LateDiscovery,
}

/// Derives a random number from a hash, which makes failures reproducible.
fn hash_draw(seed: u64, n: usize) -> u64 {
    let mut x = (seed << 32) ^ n as u64 ^ 0x9e37_79b9_7f4a_7c15;
    for _ in 0..3 {
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    }
    x ^ (x >> 31)
}

/// Returns the most requests that the new server got in a window of `overload_duration`, its budget for such
/// a window, and the share of its budget that it got over the whole time.
fn observe_slow_start(routers: u32, scenario: Scenario, seed: u64, kind: usize) -> (f64, f64, f64) {
    let settings = Settings { conductors: routers, ..Settings::example() };
    let mut group = RouterGroup::new(&settings, &servers());
    group.choose_router = Box::new(move |request, routers| {
        let drawn = hash_draw(seed, request);
        let even = (drawn >> 8) as usize % routers;
        match scenario {
            Scenario::UnequalTraffic if drawn % 2 == 0 => even % (routers / 10).max(1),
            _ => even,
        }
    });
    group.run_for(8 * SEC);
    let (begin, name) = (group.now, if kind == 0 { "new-r" } else { "new-w" });
    let new_entry = [ServerEntry { started: begin, ..entry(name, kind) }];
    let mut late_routers = Vec::new();
    for i in 0..routers as usize {
        match scenario {
            Scenario::RestartedRouters if i % 2 == 0 => {
                let all = [servers(), new_entry.to_vec()].concat();
                group.restart_router(i, &settings, &all);
            }
            Scenario::LateDiscovery if i % 3 == 0 => {
                late_routers.push((begin + hash_draw(seed, i) % (2 * SEC), i))
            }
            _ => group.update_servers_at(i, &new_entry),
        }
    }
    while group.now < begin + OBSERVED_DURATION {
        group.run_for(20 * MS);
        let now = group.now;
        late_routers.retain(|&(at, i)| {
            let due = at <= now;
            if due {
                group.update_servers_at(i, &new_entry);
            }
            !due
        });
    }
    let times: Vec<Micros> = group.send_log.iter().filter(|s| &*s.1 == name).map(|s| s.0).collect();
    let sends_in_window =
        |&t: &Micros| times.iter().filter(|&&u| u >= t && u < t + settings.overload_duration).count();
    let max_in_window = times.iter().map(sends_in_window).max().unwrap_or(0) as f64;
    let budget_per_s = WARM_REQUESTS_PER_S * settings.slow_start_initial_share * settings.overload_multiple;
    let budget = budget_per_s * settings.overload_duration as f64 / 1e6;
    (max_in_window, budget, times.len() as f64 / (budget_per_s * OBSERVED_DURATION as f64 / 1e6))
}

#[test]
fn any_number_of_routers_keeps_a_new_server_within_its_budget_and_uses_a_fair_part_of_it() {
    for routers in [2, 3, 20, 30, 300] {
        // Hundreds of routers take long to simulate.
        let seeds = if routers > 100 { 1 } else { 6 };
        for scenario in [
            Scenario::EqualTraffic,
            Scenario::UnequalTraffic,
            Scenario::RestartedRouters,
            Scenario::LateDiscovery,
        ] {
            for kind in [0, 1] {
                let mut shares = Vec::new();
                for seed in 0..seeds {
                    let (max_in_window, budget, share) = observe_slow_start(routers, scenario, seed, kind);
                    let tolerance = 2.0 * budget.sqrt() + 2.0;
                    let case = format!("{routers} routers, {scenario:?}, kind {kind}, seed {seed}");
                    assert!(
                        max_in_window <= budget + tolerance,
                        "{case}: {max_in_window} of {budget} + {tolerance:.1}"
                    );
                    shares.push(share);
                }
                let mean = shares.iter().sum::<f64>() / shares.len() as f64;
                println!("{routers} routers, {scenario:?}, kind {kind}: {mean:.2} of the budget used");
                // Where half of a few routers have just started, the budget follows what the others have
                // observed, which is less.
                let min_share = if scenario == Scenario::RestartedRouters { 0.1 } else { 0.15 };
                assert!(
                    mean >= min_share,
                    "{routers} routers, {scenario:?}, kind {kind}: {mean:.2} of the budget used"
                );
            }
        }
    }
}
