//! Reports of waiting and running requests, and the demand derived from them.

mod arrival_history;
mod artifact_demand;
mod demand_report;
mod demand_state;
mod replica_work;
mod team_demand;

pub use arrival_history::{ArrivalHistory, GapShare};
pub use artifact_demand::ArtifactDemand;
pub use demand_report::DemandReport;
pub(crate) use demand_state::DemandState;
pub use replica_work::ReplicaWork;
pub use team_demand::TeamDemand;
