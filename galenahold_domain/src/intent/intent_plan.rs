//! The steps from the intent in force to a wanted one, confirmed by their digest.

use serde::{Deserialize, Serialize};

use crate::amount;
use crate::digest;
use crate::intent;

/// The name of the canonical form, hashed first so that digests of other forms differ.
const CANONICAL_FORM_NAME: &[u8] = b"galenahold-plan-1";

/// The changes that a wanted intent makes to the intent of one revision.
///
/// Nothing changes until an operator confirms the plan by its digest: the SHA-256 digest of the
/// base and the steps in their canonical form. The canonical form of a step is its compact JSON. A
/// field that a later version adds must be omitted from it while the field has its default value,
/// so that voters of both versions compute the same digest.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct IntentPlan {
    /// The revision that the plan was computed for.
    pub base: amount::RevisionNumber,
    /// The steps: teams, models and services, each by name, then the weight store's limits.
    pub steps: Vec<intent::IntentStep>,
    /// The digest of the base and the steps, in hexadecimal.
    pub digest: String,
}

impl IntentPlan {
    /// Returns the plan from the intent in force to the wanted one.
    #[must_use]
    pub fn between(
        base: amount::RevisionNumber,
        current: &intent::FleetIntent,
        wanted: &intent::FleetIntent,
    ) -> Self {
        let current = current.clone().normalized();
        let wanted = wanted.clone().normalized();
        Self::between_normalized(base, &current, &wanted)
    }

    /// Returns whether the plan changes nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }

    /// Returns one line for each step, in the form shown to operators.
    #[must_use]
    pub fn lines(&self) -> Vec<String> {
        self.steps.iter().map(ToString::to_string).collect()
    }

    /// Returns the plan between two normalized intents.
    pub(crate) fn between_normalized(
        base: amount::RevisionNumber,
        current: &intent::FleetIntent,
        wanted: &intent::FleetIntent,
    ) -> Self {
        let mut steps = Vec::new();
        push_team_steps(&mut steps, current, wanted);
        push_model_steps(&mut steps, current, wanted);
        push_service_steps(&mut steps, current, wanted);
        if current.store != wanted.store {
            steps.push(intent::IntentStep::ChangeStore {
                before: current.store.clone(),
                after: wanted.store.clone(),
            });
        }
        let digest = plan_digest(base, &steps);
        Self {
            base,
            steps,
            digest,
        }
    }

    /// Returns the parts that the steps set and remove, with the store limits of `wanted`.
    pub(crate) fn delta(&self, wanted: &intent::FleetIntent) -> intent::IntentDelta {
        let mut delta = intent::IntentDelta::default();
        delta.set.store = wanted.store.clone();
        for step in &self.steps {
            match step {
                intent::IntentStep::AddTeam { team: after }
                | intent::IntentStep::ChangeTeam { after, .. } => {
                    delta.set.teams.push(after.clone());
                }
                intent::IntentStep::RemoveTeam { team } => delta.removed_teams.push(team.clone()),
                intent::IntentStep::AddModel { model: after }
                | intent::IntentStep::ChangeModel { after, .. } => {
                    delta.set.models.push(after.clone());
                }
                intent::IntentStep::RemoveModel { model } => {
                    delta.removed_models.push(model.clone());
                }
                intent::IntentStep::AddService { service: after }
                | intent::IntentStep::ChangeService { after, .. } => {
                    delta.set.services.push(after.clone());
                }
                intent::IntentStep::RemoveService { service } => {
                    delta.removed_services.push(service.clone());
                }
                intent::IntentStep::ChangeStore { .. } => {}
            }
        }
        delta
    }
}

fn push_team_steps(
    steps: &mut Vec<intent::IntentStep>,
    current: &intent::FleetIntent,
    wanted: &intent::FleetIntent,
) {
    for difference in intent::part_differences(&current.teams, &wanted.teams) {
        steps.push(match difference {
            intent::PartDifference::Added(team) => {
                intent::IntentStep::AddTeam { team: team.clone() }
            }
            intent::PartDifference::Changed(before, after) => intent::IntentStep::ChangeTeam {
                before: before.clone(),
                after: after.clone(),
            },
            intent::PartDifference::Removed(team) => intent::IntentStep::RemoveTeam {
                team: team.name.clone(),
            },
        });
    }
}

fn push_model_steps(
    steps: &mut Vec<intent::IntentStep>,
    current: &intent::FleetIntent,
    wanted: &intent::FleetIntent,
) {
    for difference in intent::part_differences(&current.models, &wanted.models) {
        steps.push(match difference {
            intent::PartDifference::Added(model) => intent::IntentStep::AddModel {
                model: model.clone(),
            },
            intent::PartDifference::Changed(before, after) => intent::IntentStep::ChangeModel {
                before: before.clone(),
                after: after.clone(),
            },
            intent::PartDifference::Removed(model) => intent::IntentStep::RemoveModel {
                model: model.name.clone(),
            },
        });
    }
}

fn push_service_steps(
    steps: &mut Vec<intent::IntentStep>,
    current: &intent::FleetIntent,
    wanted: &intent::FleetIntent,
) {
    for difference in intent::part_differences(&current.services, &wanted.services) {
        steps.push(match difference {
            intent::PartDifference::Added(service) => intent::IntentStep::AddService {
                service: service.clone(),
            },
            intent::PartDifference::Changed(before, after) => intent::IntentStep::ChangeService {
                before: before.clone(),
                after: after.clone(),
            },
            intent::PartDifference::Removed(service) => intent::IntentStep::RemoveService {
                service: service.name.clone(),
            },
        });
    }
}

/// Returns the digest of the canonical form of a plan, in hexadecimal.
fn plan_digest(base: amount::RevisionNumber, steps: &[intent::IntentStep]) -> String {
    let mut hasher = digest::ContentHasher::new();
    hasher.add_part(CANONICAL_FORM_NAME);
    hasher.add_part(&base.0.to_be_bytes());
    for step in steps {
        let text = serde_json::to_vec(step).unwrap_or_default();
        hasher.add_part(&text);
    }
    hasher.finish().to_string()
}
