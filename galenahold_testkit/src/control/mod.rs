//! Switches that make a stand-in misbehave on purpose.

mod control_board;
mod server_control;

pub(crate) use control_board::ControlBoard;
pub use server_control::ServerControl;
