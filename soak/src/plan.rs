//! What goes wrong, and when: drawn by a seed, so that two or three troubles overlap.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// One kind of trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
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
}

/// A trouble, whom it strikes and when.
#[derive(Clone, Copy, Debug)]
pub struct Event {
    /// What goes wrong.
    pub trouble: Trouble,
    /// Drawn; which conductor or server follows from it.
    pub whom: usize,
    /// When it begins, and for how long.
    pub at: Duration,
    /// For how long.
    pub lasts: Duration,
}

/// The troubles of a run, in the order in which they begin.
pub fn draw(seed: u64, length: Duration) -> Vec<Event> {
    use Trouble::*;
    const ALL: [Trouble; 21] = [
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
    ];
    let mut draws = SmallRng::seed_from_u64(seed);
    let mut events = Vec::new();
    let mut at = Duration::from_millis(500);
    while at + Duration::from_secs(2) < length {
        let trouble = ALL[draws.random_range(0..ALL.len())];
        let lasts = Duration::from_millis(draws.random_range(400..2_000));
        events.push(Event { trouble, whom: draws.random_range(0..1 << 16), at, lasts });
        at += Duration::from_millis(draws.random_range(100..500));
    }
    events
}
