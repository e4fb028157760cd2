//! Real instances as child processes, for tests of the product.

mod caller_answer;
mod child_process;
mod fleet_builder;
mod fleet_caller;
mod fleet_permit;
mod fleet_probe;
mod fleet_wait;
mod instance_addresses;
mod instance_fleet;
mod instance_plan;
mod instance_process;
mod operator_answer;
mod operator_client;
mod peer_links;
mod port_pool;
mod product_binary;
mod revision_watch;
mod settings_merge;
mod standin_process;

pub use caller_answer::CallerAnswer;
pub use fleet_builder::FleetBuilder;
pub use fleet_caller::FleetCaller;
pub use fleet_permit::FleetPermit;
pub use fleet_probe::{FleetProbe, RevisionLook};
pub use fleet_wait::wait_until;
pub use instance_addresses::InstanceAddresses;
pub use instance_fleet::InstanceFleet;
pub use instance_process::InstanceProcess;
pub use operator_answer::OperatorAnswer;
pub use operator_client::{GivenKey, OperatorClient};
pub use peer_links::{PeerLinks, PeerRoute};
pub use product_binary::product_binary;
pub use revision_watch::{RevisionDrop, RevisionWatch};
pub use standin_process::StandInProcess;
