//! A team that sends several times its usual requests.

use serde::{Deserialize, Serialize};

/// A team that sends several times its usual requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TeamFactor {
    /// The team.
    pub team: String,
    /// How many times the usual.
    pub factor: f64,
}
