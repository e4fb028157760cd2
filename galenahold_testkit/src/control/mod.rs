//! Switches that make a stand-in misbehave on purpose.

mod control_switches;
mod server_control;

pub(crate) use control_switches::ControlSwitches;
pub use server_control::ServerControl;
