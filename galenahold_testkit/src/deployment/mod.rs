//! The size of a user's deployment, as stand-ins and load tool read it.

mod deployed_adapter;
mod deployed_engines;
mod deployed_model;
mod deployed_service;
mod deployed_team;
mod fleet_deployment;
mod standin_fleet;
mod token_range;

pub use deployed_adapter::DeployedAdapter;
pub use deployed_engines::DeployedEngines;
pub use deployed_model::DeployedModel;
pub use deployed_service::DeployedService;
pub use deployed_team::DeployedTeam;
pub use fleet_deployment::FleetDeployment;
pub use standin_fleet::StandInFleet;
pub use token_range::TokenRange;
