//! The difference between two intents, as parts to set and to remove.

use serde::{Deserialize, Serialize};

use crate::amount;
use crate::intent;
use crate::name;

/// The parts of an intent that differ from another intent.
///
/// The size of a delta depends on the changed parts only, not on the size of the intent.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IntentDelta {
    /// The teams, models and services that were added or changed, and the store's limits.
    pub set: intent::FleetIntent,
    /// The teams that were removed.
    pub removed_teams: Vec<name::TeamName>,
    /// The models that were removed.
    pub removed_models: Vec<name::ModelName>,
    /// The services that were removed.
    pub removed_services: Vec<name::ServiceName>,
}

impl IntentDelta {
    /// Returns the delta from the intent in force to the wanted one.
    #[must_use]
    pub fn between(current: &intent::FleetIntent, wanted: &intent::FleetIntent) -> Self {
        let wanted = wanted.clone().normalized();
        let plan = intent::IntentPlan::between(amount::RevisionNumber::ZERO, current, &wanted);
        plan.delta(&wanted)
    }

    /// Returns the intent with the delta applied; `current` must be normalized.
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
