//! Real instances as child processes, for tests of the product.

mod caller_answer;
mod child_process;
mod fleet_builder;
mod fleet_caller;
mod instance_addresses;
mod instance_fleet;
mod instance_plan;
mod instance_process;
mod operator_answer;
mod operator_client;
mod peer_links;
mod port_pool;
mod product_binary;
mod serving_builder;
mod serving_fleet;
mod settings_merge;
mod standin_process;

pub use caller_answer::CallerAnswer;
pub use fleet_builder::FleetBuilder;
pub use fleet_caller::FleetCaller;
pub use instance_addresses::InstanceAddresses;
pub use instance_fleet::InstanceFleet;
pub use instance_process::InstanceProcess;
pub use operator_answer::OperatorAnswer;
pub use operator_client::{GivenKey, OperatorClient};
pub use peer_links::{PeerLinks, PeerRoute};
pub use product_binary::product_binary;
pub use serving_builder::ServingBuilder;
pub use serving_fleet::{SERVED_MODEL, SERVED_SERVICE, ServingFleet, WAIT_LIMIT, wait_until};
pub use standin_process::StandInProcess;
