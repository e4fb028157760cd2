//! The intent: the models, adapters, services and teams that operators want, with its validation
//! and the plans that change it.

mod adapter_intent;
mod fleet_intent;
mod intent_delta;
mod intent_plan;
mod intent_problem;
mod intent_step;
mod intent_validation;
mod model_intent;
mod named_part;
mod part_difference;
mod part_field;
mod route_kind;
mod rules;
mod service_document;
mod service_intent;
mod service_objective;
mod store_limits;
mod team_intent;

pub use adapter_intent::AdapterIntent;
pub use fleet_intent::FleetIntent;
pub use intent_delta::IntentDelta;
pub use intent_plan::IntentPlan;
pub use intent_problem::IntentProblem;
pub use intent_step::IntentStep;
pub use intent_validation::IntentValidation;
pub use model_intent::ModelIntent;
pub(crate) use named_part::NamedPart;
pub(crate) use part_difference::{PartDifference, part_differences};
pub(crate) use part_field::{PartField, field_changes, part_fields};
pub use route_kind::RouteKind;
pub use service_intent::ServiceIntent;
pub use service_objective::ServiceObjective;
pub use store_limits::StoreLimits;
pub use team_intent::TeamIntent;
