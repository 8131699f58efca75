//! Which instances of the conductor there are, daemons and plug-ins, and what part of the budgets that they
//! share each may take. `docs/membership.md` describes it, `docs/design/rpc.md` says why it is made this way.
//!
//! The rule is that the parts of all add up to at most 1 at every moment. [`ballot`] elects a keeper by
//! lease, [`keeper`] leases parts, [`holder`] has one, [`instance`] puts the three together; none of them
//! knows sockets or clocks. [`gossip`] finds who is there, [`service`] carries out.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod ballot;
pub mod gossip;
pub mod holder;
pub mod instance;
pub mod keeper;
pub mod message;
pub mod service;

/// Microseconds on a monotonic clock whose zero is the process's own.
pub type Micros = u64;

/// Names a process: drawn anew at each start.
pub type Incarnation = u64;

/// How long leases last, and how far clocks may run apart.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseConfig {
    /// Of a keeper's lease, and of the longest lease of a part.
    pub duration: Micros,
    /// A part is asked for anew this often, and a keeper renews its own lease this often.
    pub renewal_interval: Micros,
    /// What is not answered is said again after this time.
    pub retry_interval: Micros,
    /// By how much of itself a clock may run fast or slow.
    pub max_clock_drift: f64,
    /// The most instances that there will ever be at a time: each has a floor.
    pub max_instances: u32,
}

/// Of the whole budget, what all floors together have.
pub const TOTAL_FLOOR_SHARE: f64 = 0.1;

impl Default for LeaseConfig {
    fn default() -> Self {
        LeaseConfig {
            duration: 3_000_000,
            renewal_interval: 1_000_000,
            retry_interval: 200_000,
            max_clock_drift: 0.01,
            max_instances: 64,
        }
    }
}

impl LeaseConfig {
    /// What an instance has that nobody has granted anything.
    pub fn floor_share(&self) -> f64 {
        TOTAL_FLOOR_SHARE / f64::from(self.max_instances.max(1))
    }

    /// What a keeper can lease in all.
    pub fn leasable_share(&self) -> f64 {
        1.0 - TOTAL_FLOOR_SHARE
    }

    /// A span on whoever must be early: over no later than it is by any other clock.
    pub fn shorten_by_drift(&self, span: Micros) -> Micros {
        (span as f64 * (1.0 - self.max_clock_drift)) as Micros
    }

    /// A span on whoever must be late: over no earlier than it is by any other clock.
    pub fn lengthen_by_drift(&self, span: Micros) -> Micros {
        (span as f64 * (1.0 + self.max_clock_drift)).ceil() as Micros
    }
}
