//! A TCP proxy that injects faults.

mod fault_link;
mod fault_proxy;
mod link_fault;
mod link_pump;

pub use fault_link::FaultLink;
pub use fault_proxy::FaultProxy;
pub use link_fault::{LinkDirection, LinkFault};
