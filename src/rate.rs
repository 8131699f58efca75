//! Exponentially decaying rates.

use crate::interface::Micros;

/// The rate after `elapsed` without further samples, decayed with a time constant of four seconds.
pub(crate) fn decay(rate: f64, elapsed: Micros) -> f64 {
    rate * (-(elapsed as f64) / 4e6).exp()
}
