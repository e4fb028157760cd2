//! The report of a plan that lost against another operator's change.

use serde::{Deserialize, Serialize};

use crate::amount;
use crate::name;

/// The reason why a confirmed plan was refused: the intent has changed since the plan's base.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanConflict {
    /// The base of the refused plan.
    pub base: amount::RevisionNumber,
    /// The revision in force.
    pub current: amount::RevisionNumber,
    /// The operator whose plan last changed the intent.
    pub operator: name::OperatorName,
    /// The steps of that plan, one line each.
    pub summary: Vec<String>,
}
