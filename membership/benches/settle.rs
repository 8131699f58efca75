//! Measures in simulated time how long quota shares take to settle after an instance joins or is killed:
//! `cargo bench -p frosttrail-membership`.

#[path = "../tests/support/mod.rs"]
mod support;

use support::Simulation;

/// Simulates instances until their shares have settled. One host is left for an instance that joins.
fn settled_simulation(instances: usize) -> Simulation {
    let mut simulation = Simulation::new(1, instances + 1);
    for host in 0..instances {
        simulation.join(host);
    }
    simulation.advance(12_000_000);
    simulation
}

fn quota_share(simulation: &Simulation, host: usize) -> f64 {
    let node = &simulation.nodes[&host];
    node.instance.quota_share(node.local_time(simulation.now))
}

/// Returns the simulated time until a condition holds, in milliseconds.
fn milliseconds_until(simulation: &mut Simulation, condition: impl Fn(&Simulation) -> bool) -> u64 {
    let started_at = simulation.now;
    while !condition(simulation) && simulation.now < started_at + 60_000_000 {
        simulation.advance(1_000);
    }
    (simulation.now - started_at) / 1_000
}

fn main() {
    println!("one way 0.1 to 5.1 ms; leases of 3 s, renewed every second");
    for instances in [3, 30, 300] {
        let mut simulation = settled_simulation(instances);
        let total_share = simulation.total_share();
        simulation.join(instances);
        let min_joined_share = 0.9 * 0.45 / (instances + 1) as f64;
        let join_ms = milliseconds_until(&mut simulation, |simulation| {
            quota_share(simulation, instances) > min_joined_share
        });
        let settle_ms =
            milliseconds_until(&mut simulation, |simulation| simulation.total_share() > total_share * 0.98);
        simulation.advance(5_000_000);
        let share_before_kill = quota_share(&simulation, 1);
        simulation.kill(instances);
        let recovery_ms = milliseconds_until(&mut simulation, |simulation| {
            simulation.total_share() > total_share * 0.98 && quota_share(simulation, 1) > share_before_kill
        });
        println!(
            "{instances} instances: {total_share:.3} of the whole in use; a join has nine tenths of an even \
             half after {join_ms} ms (all settled {settle_ms} ms later), a kill is made up for \
             after {recovery_ms} ms"
        );
    }
}
