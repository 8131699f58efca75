//! One run: conductors, servers, agents, clients, and the troubles of a seed.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until};

use crate::client::{Ask, Manner};
use crate::oracle::Report;
use crate::plan::Plan;
use crate::shim::COUNTERS;
use crate::world::{lock, World};

/// Clients of each conductor that keep their connections, and the most that they pause between requests.
const REGULARS: usize = 3;
const REGULAR_PAUSE_MS: u64 = 800;

/// What is run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program.
    pub program: PathBuf,
    /// Decides all that is drawn.
    pub seed: u64,
    /// Conductors.
    pub conductors: usize,
    /// Servers of each role.
    pub servers: usize,
    /// Under so many ids each of them is listed: few sockets stand for a large fleet.
    pub ids_per_server: usize,
    /// How many conductors the settings name.
    pub listed_conductors: usize,
    /// Which troubles come.
    pub plan: Plan,
    /// How long troubles and clients come.
    pub length: Duration,
    /// Requests a second at each conductor.
    pub rate: f64,
    /// Reads and writes that are cut short while the network fails, of 1,000.
    pub short_per_mille: u32,
    /// Where files and logs go.
    pub folder: PathBuf,
}

/// What a run has shown.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Rules and requests.
    pub report: Report,
    /// How often each trouble struck.
    pub troubles: BTreeMap<String, usize>,
    /// How often each fault of the shim fired.
    pub fired: BTreeMap<&'static str, u64>,
}

/// Clients of one conductor, until the end.
async fn clients(world: Arc<World>, nth: usize, options: Options, end: Instant) {
    let mut draws = SmallRng::seed_from_u64(options.seed ^ (nth as u64 + 1).wrapping_mul(0x9e37_79b9));
    let mut asks = JoinSet::new();
    for count in 0.. {
        if Instant::now() >= end {
            break;
        }
        let manner = match draws.random_range(0..100) {
            0..12 => Manner::Leaves(Duration::from_millis(draws.random_range(0..400))),
            12..14 => Manner::Stops,
            14..16 => Manner::StopsAgain,
            _ => Manner::Waits,
        };
        let ask = Ask {
            id: format!("{}-{nth}-{count}", options.seed),
            conductor: nth,
            to: world.conductors[nth].listen,
            fragile: draws.random_range(0..3) == 0,
            budget: draws.random_range(Duration::from_millis(400)..options.limits().deadline),
            manner,
        };
        asks.spawn(ask.run(world.oracle.clone()));
        // Open-loop: exponential times between arrivals.
        let gap = -draws.random_range(f64::EPSILON..1.0).ln() / options.rate;
        sleep(Duration::from_secs_f64(gap)).await;
        while asks.try_join_next().is_some() {}
    }
    asks.join_all().await;
}

/// Makes requests one after another on a connection for as long as that stays open, also after SIGTERM.
async fn regular_client(world: Arc<World>, nth: usize, which: usize, options: Options, end: Instant) {
    let seed = options.seed ^ (nth as u64 + 1).wrapping_mul(0x51_7cc1) ^ (which as u64 + 1) << 32;
    let mut draws = SmallRng::seed_from_u64(seed);
    let mut stream = None;
    for count in 0.. {
        sleep(Duration::from_millis(draws.random_range(0..REGULAR_PAUSE_MS))).await;
        if Instant::now() >= end {
            return;
        }
        let ask = Ask {
            id: format!("{}-{nth}-regular-{which}-{count}", options.seed),
            conductor: nth,
            to: world.conductors[nth].listen,
            fragile: draws.random_range(0..3) == 0,
            budget: draws.random_range(Duration::from_millis(400)..options.limits().deadline),
            manner: Manner::Waits,
        };
        let new = stream.is_none();
        let mut connection = match stream.take() {
            Some(open) => open,
            // Nobody listens where a process has just ended.
            None => match TcpStream::connect(ask.to).await {
                Ok(connected) => connected,
                Err(_) => continue,
            },
        };
        if ask.run_on(&mut connection, new, &world.oracle).await {
            stream = Some(connection);
        }
    }
}

/// Plays one seed.
pub async fn run(options: Options) -> std::io::Result<Outcome> {
    let world = Arc::new(World::start(&options).await?);
    let mut starting = JoinSet::new();
    for nth in 0..options.conductors {
        let world = world.clone();
        starting.spawn(async move {
            let process = world.start_process(nth).await;
            *world.conductors[nth].process.lock().await = process;
        });
    }
    starting.join_all().await;
    let begin = Instant::now();
    let mut asking = JoinSet::new();
    for nth in 0..options.conductors {
        let end = begin + options.length;
        asking.spawn(clients(world.clone(), nth, options.clone(), end));
        for which in 0..REGULARS {
            asking.spawn(regular_client(world.clone(), nth, which, options.clone(), end));
        }
    }
    let (mut troubles, mut counts) = (JoinSet::new(), BTreeMap::new());
    for event in options.plan.events(options.seed, options.length) {
        sleep_until((begin + event.at).into()).await;
        for nth in 0..options.conductors {
            world.check_alive(nth).await;
        }
        *counts.entry(format!("{:?}", event.trouble)).or_default() += 1;
        let world = world.clone();
        let mut draws = SmallRng::seed_from_u64(options.seed ^ event.whom as u64);
        troubles.spawn(async move { world.strike(event, &mut draws).await });
    }
    troubles.join_all().await;
    asking.join_all().await;
    for (nth, conductor) in world.conductors.iter().enumerate() {
        world.check_alive(nth).await;
        let Some(process) = conductor.process.lock().await.take() else { continue };
        if let Some(violations @ 1..) = process.violations().await {
            world.oracle.violation(format!("invariant: conductor {nth} counted {violations} of its own"));
        }
        world.end(nth, process).await;
    }
    let fired = lock(&world.fired);
    let fired = COUNTERS.iter().copied().zip(fired.iter().copied()).collect();
    Ok(Outcome { report: world.oracle.report(), troubles: counts, fired })
}
