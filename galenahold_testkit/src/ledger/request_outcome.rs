//! How a request ended at a server.

use serde::{Deserialize, Serialize};

/// Says how far a request came.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// It waits or runs.
    Running,
    /// All of it ran.
    Finished,
    /// The caller closed its connection before the end.
    Cancelled,
    /// Nothing of it ran.
    Refused,
    /// It ran in full, and the answer was withheld on purpose.
    Unanswered,
}
