//! How long parts take to settle, in simulated time: `cargo bench -p frosttrail-membership`.

#[path = "../tests/support/mod.rs"]
mod support;

use support::World;

/// Instances with traffic alike, settled; one place is left for one that joins.
fn site(instances: usize) -> World {
    let mut world = World::new(1, instances + 1);
    for place in 0..instances {
        world.join(place);
    }
    world.run(12_000_000);
    world
}

fn part(world: &World, place: usize) -> f64 {
    let node = &world.nodes[&place];
    node.instance.quota_share(node.local(world.now))
}

/// Milliseconds until it is so.
fn until(world: &mut World, so: impl Fn(&World) -> bool) -> u64 {
    let begin = world.now;
    while !so(world) && world.now < begin + 60_000_000 {
        world.run(1_000);
    }
    (world.now - begin) / 1_000
}

fn main() {
    println!("one way 0.1 to 5.1 ms; leases of 3 s, renewed every second");
    for instances in [3, 30, 300] {
        let mut world = site(instances);
        let whole = world.parts();
        world.join(instances);
        let fair = 0.9 * 0.45 / (instances + 1) as f64;
        let joined = until(&mut world, |w| part(w, instances) > fair);
        let join_whole = until(&mut world, |w| w.parts() > whole * 0.98);
        world.run(5_000_000);
        let before = part(&world, 1);
        world.kill(instances);
        let killed = until(&mut world, |w| w.parts() > whole * 0.98 && part(w, 1) > before);
        println!(
            "{instances} instances: {whole:.3} of the whole in use; a join has nine tenths of an even half \
             after {joined} ms (all settled {join_whole} ms later), a kill is made up for after {killed} ms"
        );
    }
}
