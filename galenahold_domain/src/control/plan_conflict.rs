//! Why a confirmed plan was not taken.

use serde::{Deserialize, Serialize};

use crate::amount;
use crate::name;

/// Why a confirmed plan was not taken: the configuration has moved on from its base.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanConflict {
    /// The base that the plan names.
    pub base: amount::RevisionNumber,
    /// The revision in force.
    pub current: amount::RevisionNumber,
    /// Who made the revision in force.
    pub operator: name::OperatorName,
    /// What that change did, in a line a step.
    pub summary: Vec<String>,
}
