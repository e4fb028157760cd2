//! The running instance: its start, its stop and the wiring of its components.

mod demand_reporter;
mod fleet_instance;
mod instance_error;
mod instance_service;
mod instance_sockets;
mod instance_wiring;
mod stop_reason;
mod task_groups;
mod view_updater;

pub use fleet_instance::FleetInstance;
pub use instance_error::InstanceError;
pub use stop_reason::StopReason;

pub(crate) use demand_reporter::DemandReporter;
pub(crate) use instance_service::InstanceService;
pub(crate) use instance_sockets::BoundSockets;
pub(crate) use instance_wiring::InstanceWiring;
pub(crate) use task_groups::TaskGroups;
pub(crate) use view_updater::ViewUpdater;
