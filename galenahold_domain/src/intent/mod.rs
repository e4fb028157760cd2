//! What operators want: models, adapters, services and teams with their rates.

mod adapter_intent;
mod fleet_intent;
mod model_intent;
mod route_kind;
mod service_intent;
mod service_objective;
mod store_limits;
mod team_intent;

pub use adapter_intent::AdapterIntent;
pub use fleet_intent::FleetIntent;
pub use model_intent::ModelIntent;
pub use route_kind::RouteKind;
pub use service_intent::ServiceIntent;
pub use service_objective::ServiceObjective;
pub use store_limits::StoreLimits;
pub use team_intent::TeamIntent;
