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
pub struct Terms {
    /// Of a keeper's lease, and of the longest lease of a part.
    pub lease: Micros,
    /// A part is asked for anew this often, and a keeper renews its own lease this often.
    pub renew: Micros,
    /// What is not answered is said again after this time.
    pub again: Micros,
    /// By how much of itself a clock may run fast or slow.
    pub drift: f64,
    /// The most instances that there will ever be at a time: each has a floor.
    pub most: u32,
}

/// Of the whole budget, what all floors together have.
pub const FLOORS: f64 = 0.1;

impl Default for Terms {
    fn default() -> Self {
        Terms { lease: 3_000_000, renew: 1_000_000, again: 200_000, drift: 0.01, most: 64 }
    }
}

impl Terms {
    /// What an instance has that nobody has granted anything.
    pub fn floor(&self) -> f64 {
        FLOORS / f64::from(self.most.max(1))
    }

    /// What a keeper can lease in all.
    pub fn leased(&self) -> f64 {
        1.0 - FLOORS
    }

    /// A span on whoever must be early: over no later than it is by any other clock.
    pub fn early(&self, span: Micros) -> Micros {
        (span as f64 * (1.0 - self.drift)) as Micros
    }

    /// A span on whoever must be late: over no earlier than it is by any other clock.
    pub fn late(&self, span: Micros) -> Micros {
        (span as f64 * (1.0 + self.drift)).ceil() as Micros
    }
}
