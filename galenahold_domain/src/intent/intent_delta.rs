//! The parts of an intent that differ from another.

use serde::{Deserialize, Serialize};

use crate::amount;
use crate::intent;
use crate::name;

/// The parts of an intent that differ from another, so that a change costs what it alters and not
/// what there is.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IntentDelta {
    /// Teams, models and services that were added or altered, and the store's limits.
    pub set: intent::FleetIntent,
    /// Teams that were removed.
    pub removed_teams: Vec<name::TeamName>,
    /// Models that were removed.
    pub removed_models: Vec<name::ModelName>,
    /// Services that were removed.
    pub removed_services: Vec<name::ServiceName>,
}

impl IntentDelta {
    /// Returns what leads from the intent in force to the wanted one.
    #[must_use]
    pub fn between(current: &intent::FleetIntent, wanted: &intent::FleetIntent) -> Self {
        let wanted = wanted.clone().normalized();
        let plan = intent::IntentPlan::between(amount::RevisionNumber::ZERO, current, &wanted);
        plan.delta(&wanted)
    }

    /// Returns the intent with the delta applied; it must be normalized.
    #[must_use]
    pub fn applied_to(&self, current: &intent::FleetIntent) -> intent::FleetIntent {
        let mut wanted = current.clone();
        wanted.merge(
            &self.set,
            &self.removed_teams,
            &self.removed_models,
            &self.removed_services,
        );
        wanted.normalized()
    }
}
