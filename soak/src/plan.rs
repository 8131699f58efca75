//! The schedule of faults: drawn from a seed, so that two or three faults overlap.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// A kind of fault. The report prints the variants by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Kills a conductor's process, and starts a new one.
    Kill,
    /// Terminates a conductor's process, kills it if it overruns its time, and starts a new one.
    Restart,
    /// Starts a second process that takes over, then terminates the first.
    Upgrade,
    /// Reloads the configuration twice in a row, each time with the other agent.
    Reload,
    /// Pauses a conductor's process for 0.14 s, again and again.
    HoldUps,
    /// Shifts a conductor's wall clock by this many milliseconds: an hour forward or back.
    Clock(i64),
    /// Calls on a conductor's state folder fail.
    Disk,
    /// A conductor's calls to accept, connect and socket fail, and its reads and writes are short.
    Network,
    /// Most attempts to open a conductor's configuration fail, during two reloads.
    Configuration,
    /// A conductor's agents are silent.
    SilentAgent,
    /// A server's connections from all conductors fall silent.
    SilentServer,
    /// The connections of half of the servers fall silent.
    SilentHalf,
    /// A server's connections are reset.
    ResetServer,
    /// A server cannot be reached: new connections are closed at once.
    DarkServer,
    /// A server takes requests and never answers.
    HangingServer,
    /// A server rejects all requests.
    FullServer,
    /// A server answers with errors.
    ErringServer,
    /// A server ends its streams early.
    BreakingServer,
    /// A server streams slowly and soundly.
    SlowServer,
    /// A server's streams run into a chunk of 3 GB with events that look sound.
    HugeChunk,
    /// A server's streams end in comments alone.
    Comments,
    /// A server's streams run into a chunk's size line that never ends.
    EndlessSizeLine,
    /// A server's streams run into noise.
    Noise,
    /// A server sends second answers.
    SecondAnswers,
    /// A client sends unsound requests to a conductor at full speed.
    Flood,
    /// Clients stop halfway through large requests to a conductor.
    HalfRequests,
    /// A server drains, and comes back in slow start.
    Drain,
    /// Operators exclude a server at one conductor, and include it again.
    Exclusion,
    /// Idle clients use up a conductor's descriptors.
    Crowd,
    /// One of [`TURNOVER_BATCHES`] batches of all ids leaves the list, and comes back restarted.
    Turnover,
}

/// The number of batches into which all ids are divided for their replacement.
pub const TURNOVER_BATCHES: usize = 48;
/// Interval between batches, and how long a batch is away.
const TURNOVER_INTERVAL: Duration = Duration::from_millis(450);

/// Which troubles a run has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Plan {
    /// Those that the seed draws.
    Drawn,
    /// None but the replacement of a quarter of all ids, batch after batch, in the midst of the run.
    Turnover,
    /// Both.
    DrawnAndTurnover,
}

impl Plan {
    /// Returns the faults of a run, in the order in which they begin.
    pub fn schedule(self, seed: u64, run_duration: Duration) -> Vec<ScheduledFault> {
        let mut faults = match self {
            Plan::Drawn | Plan::DrawnAndTurnover => draw_faults(seed, run_duration),
            Plan::Turnover => Vec::new(),
        };
        if self != Plan::Drawn {
            faults.extend(schedule_turnover(run_duration));
            faults.sort_by_key(|fault| fault.start);
        }
        faults
    }
}

/// Schedules the replacement of a quarter of all ids, batch after batch, from a sixth of the run on.
fn schedule_turnover(run_duration: Duration) -> Vec<ScheduledFault> {
    let batches = TURNOVER_BATCHES / 4;
    let fault = |batch: usize| ScheduledFault {
        kind: FaultKind::Turnover,
        target_draw: batch,
        start: run_duration / 6 + TURNOVER_INTERVAL * batch as u32,
        duration: TURNOVER_INTERVAL,
    };
    (0..batches).map(fault).collect()
}

/// A fault, its target and its time.
#[derive(Clone, Copy, Debug)]
pub struct ScheduledFault {
    /// The kind of fault.
    pub kind: FaultKind,
    /// A drawn number, from which the conductor or server follows; for a turnover, the batch.
    pub target_draw: usize,
    /// When the fault begins, counted from the start of the run.
    pub start: Duration,
    /// How long the fault lasts.
    pub duration: Duration,
}

/// Draws the faults of a run, in the order in which they begin.
pub fn draw_faults(seed: u64, run_duration: Duration) -> Vec<ScheduledFault> {
    use FaultKind::*;
    const ALL: [FaultKind; 30] = [
        Kill,
        Restart,
        Upgrade,
        Reload,
        HoldUps,
        Clock(3_600_000),
        Clock(-3_600_000),
        Disk,
        Network,
        Configuration,
        SilentAgent,
        SilentServer,
        SilentHalf,
        ResetServer,
        DarkServer,
        HangingServer,
        FullServer,
        ErringServer,
        BreakingServer,
        SlowServer,
        HugeChunk,
        Comments,
        EndlessSizeLine,
        Noise,
        SecondAnswers,
        Flood,
        HalfRequests,
        Drain,
        Exclusion,
        Crowd,
    ];
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut faults = Vec::new();
    let mut start = Duration::from_millis(500);
    while start + Duration::from_secs(2) < run_duration {
        let kind = ALL[rng.random_range(0..ALL.len())];
        let duration = Duration::from_millis(rng.random_range(400..2_000));
        faults.push(ScheduledFault { kind, target_draw: rng.random_range(0..1 << 16), start, duration });
        start += Duration::from_millis(rng.random_range(100..500));
    }
    faults
}
