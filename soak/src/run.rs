//! Runs one seed: conductors, servers, agents and clients, and the faults that the seed draws.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until};

use crate::client::{ClientBehavior, ClientRequest};
use crate::oracle::Report;
use crate::plan::Plan;
use crate::shim::COUNTERS;
use crate::testbed::{lock, Testbed};

/// Clients of each conductor that keep their connections.
const PERSISTENT_CLIENTS: usize = 3;
/// The longest pause of such a client between requests.
const MAX_CLIENT_PAUSE_MS: u64 = 800;

/// The parameters of a run.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// The conductor's program.
    pub program: PathBuf,
    /// The seed of all random draws.
    pub seed: u64,
    /// How many conductors run.
    pub conductors: usize,
    /// How many servers of each role run.
    pub servers: usize,
    /// Under how many ids each server is listed, so that few sockets stand for a large fleet.
    pub ids_per_server: usize,
    /// How many conductors the settings name.
    pub listed_conductors: usize,
    /// Which faults are injected.
    pub plan: Plan,
    /// For how long faults begin and clients send requests.
    pub duration: Duration,
    /// Open-loop requests per second at each conductor.
    pub rate: f64,
    /// Reads and writes that are short while the network fails, of 1,000.
    pub short_per_mille: u32,
    /// The folder for configurations and logs.
    pub folder: PathBuf,
}

/// The outcome of a run.
#[derive(Clone, Debug, Default)]
pub struct RunOutcome {
    /// Broken rules, and results of requests.
    pub report: Report,
    /// How often each fault was injected.
    pub fault_counts: BTreeMap<String, usize>,
    /// How often each counter of the fault shim fired.
    pub shim_counts: BTreeMap<&'static str, u64>,
}

/// Starts clients of one conductor at random times, until the end.
async fn run_open_loop_clients(testbed: Arc<Testbed>, conductor: usize, options: RunOptions, end: Instant) {
    let mut rng = SmallRng::seed_from_u64(options.seed ^ (conductor as u64 + 1).wrapping_mul(0x9e37_79b9));
    let mut requests = JoinSet::new();
    for request_index in 0.. {
        if Instant::now() >= end {
            break;
        }
        let behavior = match rng.random_range(0..100) {
            0..12 => ClientBehavior::Leaves(Duration::from_millis(rng.random_range(0..400))),
            12..14 => ClientBehavior::Stops,
            14..16 => ClientBehavior::StopsAgain,
            16..24 => ClientBehavior::ComesAgain(
                Duration::from_millis(rng.random_range(0..500)),
                Duration::from_millis(rng.random_range(0..1_000)),
            ),
            _ => ClientBehavior::Waits,
        };
        let request = ClientRequest {
            id: format!("{}-{conductor}-{request_index}", options.seed),
            conductor,
            address: testbed.conductors[conductor].listen,
            is_fragile: rng.random_range(0..3) == 0,
            budget: rng.random_range(Duration::from_millis(400)..options.limits().max_deadline),
            behavior,
        };
        requests.spawn(request.send(testbed.oracle.clone()));
        // Open loop: the times between arrivals are exponential.
        let interarrival_s = -rng.random_range(f64::EPSILON..1.0).ln() / options.rate;
        sleep(Duration::from_secs_f64(interarrival_s)).await;
        while requests.try_join_next().is_some() {}
    }
    requests.join_all().await;
}

/// Sends requests one after another on a connection for as long as that stays open, also after SIGTERM.
async fn run_persistent_client(
    testbed: Arc<Testbed>,
    conductor: usize,
    client: usize,
    options: RunOptions,
    end: Instant,
) {
    let seed = options.seed ^ (conductor as u64 + 1).wrapping_mul(0x51_7cc1) ^ (client as u64 + 1) << 32;
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut stream = None;
    for request_index in 0.. {
        sleep(Duration::from_millis(rng.random_range(0..MAX_CLIENT_PAUSE_MS))).await;
        if Instant::now() >= end {
            return;
        }
        let request = ClientRequest {
            id: format!("{}-{conductor}-regular-{client}-{request_index}", options.seed),
            conductor,
            address: testbed.conductors[conductor].listen,
            is_fragile: rng.random_range(0..3) == 0,
            budget: rng.random_range(Duration::from_millis(400)..options.limits().max_deadline),
            behavior: ClientBehavior::Waits,
        };
        let is_new = stream.is_none();
        let mut connection = match stream.take() {
            Some(open_connection) => open_connection,
            // Nothing listens where a process has just ended.
            None => match TcpStream::connect(request.address).await {
                Ok(new_connection) => new_connection,
                Err(_) => continue,
            },
        };
        if request.send_on(&mut connection, is_new, &testbed.oracle).await {
            stream = Some(connection);
        }
    }
}

/// Runs the soak for one seed.
pub async fn run_soak(options: RunOptions) -> std::io::Result<RunOutcome> {
    let testbed = Arc::new(Testbed::start(&options).await?);
    let mut starting = JoinSet::new();
    for conductor in 0..options.conductors {
        let testbed = testbed.clone();
        starting.spawn(async move {
            let process = testbed.start_process(conductor).await;
            *testbed.conductors[conductor].process.lock().await = process;
        });
    }
    starting.join_all().await;
    let start = Instant::now();
    let mut clients = JoinSet::new();
    for conductor in 0..options.conductors {
        let end = start + options.duration;
        clients.spawn(run_open_loop_clients(testbed.clone(), conductor, options.clone(), end));
        for client in 0..PERSISTENT_CLIENTS {
            clients.spawn(run_persistent_client(testbed.clone(), conductor, client, options.clone(), end));
        }
    }
    let (mut faults, mut fault_counts) = (JoinSet::new(), BTreeMap::new());
    for fault in options.plan.schedule(options.seed, options.duration) {
        sleep_until((start + fault.start).into()).await;
        for conductor in 0..options.conductors {
            testbed.check_alive(conductor).await;
        }
        *fault_counts.entry(format!("{:?}", fault.kind)).or_default() += 1;
        let testbed = testbed.clone();
        let mut rng = SmallRng::seed_from_u64(options.seed ^ fault.target_draw as u64);
        faults.spawn(async move { testbed.inject(fault, &mut rng).await });
    }
    faults.join_all().await;
    clients.join_all().await;
    for (index, conductor) in testbed.conductors.iter().enumerate() {
        testbed.check_alive(index).await;
        let Some(process) = conductor.process.lock().await.take() else { continue };
        if let Some(violations @ 1..) = process.count_violations().await {
            testbed
                .oracle
                .record_violation(format!("invariant: conductor {index} counted {violations} of its own"));
        }
        testbed.shut_down(index, process).await;
    }
    let shim_counts = lock(&testbed.shim_counts);
    let shim_counts = COUNTERS.iter().copied().zip(shim_counts.iter().copied()).collect();
    Ok(RunOutcome { report: testbed.oracle.report(), fault_counts, shim_counts })
}
