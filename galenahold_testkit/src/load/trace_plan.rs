//! What a generated trace is like.

use super::{BurstPlan, TeamFactor};
use serde::{Deserialize, Serialize};

/// Sets seed, length and pace of a trace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TracePlan {
    /// The seed; the same seed gives the same trace.
    pub seed: u64,
    /// Seconds of the trace.
    pub duration_s: f64,
    /// Scales the usual requests of all teams.
    pub scale: f64,
    /// Teams that send more, or less, than usual.
    pub team_factors: Vec<TeamFactor>,
    /// Bursts, if any.
    pub bursts: Option<BurstPlan>,
    /// Seconds without a request after which a model counts as idle.
    pub idle_s: f64,
}

impl Default for TracePlan {
    fn default() -> Self {
        Self {
            seed: 1,
            duration_s: 10.0,
            scale: 1.0,
            team_factors: Vec::new(),
            bursts: None,
            idle_s: 60.0,
        }
    }
}

impl TracePlan {
    /// Returns how many times its usual requests a team sends at a moment.
    pub(crate) fn factor(&self, team: &str, at_s: f64) -> f64 {
        let own = self.team_factors.iter().find(|own| own.team == team);
        let burst = self.bursts.map_or(1.0, |bursts| bursts.factor_at(at_s));
        self.scale * own.map_or(1.0, |own| own.factor) * burst
    }

    /// Returns the highest factor that a team can have.
    pub(crate) fn peak_factor(&self, team: &str) -> f64 {
        let burst = self.bursts.map_or(1.0, |bursts| bursts.factor.max(1.0));
        let own = self.team_factors.iter().find(|own| own.team == team);
        self.scale * own.map_or(1.0, |own| own.factor) * burst
    }
}
