//! Bursts of all teams together.

use serde::{Deserialize, Serialize};

/// Bursts of all teams together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct BurstPlan {
    /// Seconds from one burst to the next.
    pub every_s: f64,
    /// Seconds of each burst.
    pub length_s: f64,
    /// How many times the usual requests come in a burst.
    pub factor: f64,
}

impl BurstPlan {
    /// Returns how many times the usual requests come at a moment.
    pub(crate) fn factor_at(&self, at_s: f64) -> f64 {
        let inside = at_s.rem_euclid(self.every_s.max(f64::EPSILON)) < self.length_s;
        if inside { self.factor } else { 1.0 }
    }
}
