//! What goes wrong, and when: drawn by a seed, so that two or three troubles overlap.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// One kind of trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// A conductor's process is killed, and started anew.
    Kill,
    /// It is told to end, killed when its time is over, and started anew.
    Restart,
    /// A second process takes over, then the first is told to end.
    Upgrade,
    /// New settings and another agent, twice in a row.
    Reload,
    /// It is held up for 0.14 s, again and again.
    HoldUps,
    /// Its wall clock is an hour off: forward or back.
    Clock(i64),
    /// Its state folder fails.
    Disk,
    /// Its calls to accept, connect and socket fail, and reads and writes are short.
    Network,
    /// Its configuration can't be opened, beside two new ones.
    Configuration,
    /// Its agent is silent.
    SilentAgent,
    /// A server's connections fall silent, from all conductors.
    SilentServer,
    /// Those of half of the servers do.
    SilentHalf,
    /// A server's are reset.
    ResetServer,
    /// A server's new connections are refused.
    DarkServer,
    /// A server hangs, is full, errs, or breaks its streams off.
    HangingServer,
    /// It is full.
    FullServer,
    /// It errs.
    ErringServer,
    /// It breaks its streams off.
    BreakingServer,
    /// A server drains, and comes back cold.
    Drain,
    /// Operators take a server out of one conductor's use, and put it back.
    Exclusion,
    /// Idle clients fill a conductor's descriptors.
    Crowd,
    /// A part of all ids, as many as stand for one in [`TURNOVER_BATCHES`], goes and comes back restarted.
    Turnover,
}

/// In so many batches all ids are replaced.
pub const TURNOVER_BATCHES: usize = 48;
/// A batch goes this often, and comes back restarted so much later.
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
    /// The troubles of a run, in the order in which they begin.
    pub fn schedule(self, seed: u64, run_duration: Duration) -> Vec<ScheduledFault> {
        let mut events = match self {
            Plan::Drawn | Plan::DrawnAndTurnover => draw_faults(seed, run_duration),
            Plan::Turnover => Vec::new(),
        };
        if self != Plan::Drawn {
            events.extend(schedule_turnover(run_duration));
            events.sort_by_key(|event| event.start);
        }
        events
    }
}

/// A quarter of all ids in turn, from a sixth of the run on.
fn schedule_turnover(run_duration: Duration) -> Vec<ScheduledFault> {
    let batches = TURNOVER_BATCHES / 4;
    let event = |batch: usize| ScheduledFault {
        kind: FaultKind::Turnover,
        target_draw: batch,
        start: run_duration / 6 + TURNOVER_INTERVAL * batch as u32,
        duration: TURNOVER_INTERVAL,
    };
    (0..batches).map(event).collect()
}

/// A trouble, whom it strikes and when.
#[derive(Clone, Copy, Debug)]
pub struct ScheduledFault {
    /// What goes wrong.
    pub kind: FaultKind,
    /// Drawn; which conductor or server follows from it.
    pub target_draw: usize,
    /// When it begins, and for how long.
    pub start: Duration,
    /// For how long.
    pub duration: Duration,
}

/// The troubles of a run, in the order in which they begin.
pub fn draw_faults(seed: u64, run_duration: Duration) -> Vec<ScheduledFault> {
    use FaultKind::*;
    const ALL: [FaultKind; 22] = [
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
        Drain,
        Exclusion,
        Crowd,
    ];
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut events = Vec::new();
    let mut start = Duration::from_millis(500);
    while start + Duration::from_secs(2) < run_duration {
        let kind = ALL[rng.random_range(0..ALL.len())];
        let duration = Duration::from_millis(rng.random_range(400..2_000));
        events.push(ScheduledFault { kind, target_draw: rng.random_range(0..1 << 16), start, duration });
        start += Duration::from_millis(rng.random_range(100..500));
    }
    events
}
