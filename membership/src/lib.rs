//! Membership of the conductor's instances (daemons and plug-ins), and the share of their common quota that
//! each may use. `docs/membership.md` describes the protocol, `docs/design/rpc.md` why it was chosen.
//!
//! The invariant is that the shares of all instances add up to at most 1 at every moment. [`election`] elects
//! a leader by lease, [`leader`] is the leader's side of the leases on quota shares, [`lease_holder`] the
//! side of an instance that holds one, and [`instance`] combines the three; none of them uses sockets or
//! reads clocks. [`gossip`] discovers the instances, and [`service`] runs the protocol on a UDP socket.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod election;
pub mod gossip;
pub mod instance;
pub mod leader;
pub mod lease_holder;
pub mod message;
pub mod service;

/// Microseconds on a monotonic clock whose origin is specific to the process.
pub type Micros = u64;

/// Identifies one run of a process: a new value is chosen at each start.
pub type Incarnation = u64;

/// Durations of the lease protocol, and the bounds on clock drift and on instances that it relies on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseConfig {
    /// Duration of the leader's lease, and the longest duration of a lease on a quota share.
    pub duration: Micros,
    /// Interval at which an instance renews its quota share, and the leader its own lease.
    pub renewal_interval: Micros,
    /// Delay before an unanswered message is sent again.
    pub retry_interval: Micros,
    /// Largest error of a clock's rate, in either direction, as a fraction of the elapsed time.
    pub max_clock_drift: f64,
    /// Largest number of instances at any one time. Each of them has a floor share.
    pub max_instances: u32,
}

/// Share of the quota that is set aside for the floor shares of all instances together.
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
    /// Returns the share that an instance may use without a lease.
    pub fn floor_share(&self) -> f64 {
        TOTAL_FLOOR_SHARE / f64::from(self.max_instances.max(1))
    }

    /// Returns the total share that the leader may lease out.
    pub fn leasable_share(&self) -> f64 {
        1.0 - TOTAL_FLOOR_SHARE
    }

    /// Shortens a duration for the side on which a lease must end first: measured by this clock, it ends no
    /// later than the original duration does by any other clock.
    pub fn shorten_by_drift(&self, span: Micros) -> Micros {
        (span as f64 * (1.0 - self.max_clock_drift)) as Micros
    }

    /// Lengthens a duration for the side on which a lease must end last: measured by this clock, it ends no
    /// earlier than the original duration does by any other clock.
    pub fn lengthen_by_drift(&self, span: Micros) -> Micros {
        (span as f64 * (1.0 + self.max_clock_drift)).ceil() as Micros
    }
}
