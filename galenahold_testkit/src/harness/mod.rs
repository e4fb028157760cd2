//! Real instances as child processes, for tests of the product.

mod caller_answer;
mod child_process;
mod fleet_builder;
mod fleet_caller;
mod given_key;
mod instance_addresses;
mod instance_fleet;
mod instance_plan;
mod instance_process;
mod operator_answer;
mod operator_client;
mod peer_links;
mod peer_route;
mod port_pool;
mod product_binary;
mod serving_builder;
mod serving_fleet;
mod settings_merge;
mod shared_route;
mod standin_process;

pub use caller_answer::CallerAnswer;
pub use fleet_builder::FleetBuilder;
pub use fleet_caller::FleetCaller;
pub use given_key::GivenKey;
pub use instance_addresses::InstanceAddresses;
pub use instance_fleet::InstanceFleet;
pub use instance_process::InstanceProcess;
pub use operator_answer::OperatorAnswer;
pub use operator_client::OperatorClient;
pub use peer_links::PeerLinks;
pub use peer_route::PeerRoute;
pub use product_binary::product_binary;
pub use serving_builder::ServingBuilder;
pub use serving_fleet::{SERVED_MODEL, SERVED_SERVICE, ServingFleet, WAIT_LIMIT, wait_until};
pub use standin_process::StandInProcess;
