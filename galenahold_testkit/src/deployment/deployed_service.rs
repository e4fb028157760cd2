//! A plain service of a deployment.

use serde::{Deserialize, Serialize};

/// Describes the servers of a plain service, spread evenly over the data centres.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeployedService {
    /// Its name; its calls have paths below `/NAME/`.
    pub name: String,
    /// The number of servers.
    pub count: usize,
    /// Microseconds that each call takes.
    pub call_us: u64,
    /// Tokens that each call counts for.
    pub call_tokens: u64,
}
