//! A TCP proxy that injects faults.

mod direction_state;
mod fault_link;
mod fault_proxy;
mod link_direction;
mod link_fault;
mod link_pump;
mod socket_owner;

pub use fault_link::FaultLink;
pub use fault_proxy::FaultProxy;
pub use link_direction::LinkDirection;
pub use link_fault::LinkFault;
