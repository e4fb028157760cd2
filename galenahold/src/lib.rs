//! The command line of galenahold: commands, the operators' client, output and logs.
//!
//! It decides nothing about the fleet: the instance runtime does, behind the operators' face.

mod client;
mod command;
mod document;
mod logging;
mod output;
mod serve;
mod status;

use std::ffi;
use std::process;

pub use logging::{BoundedWriter, LogLine, LogTail};
pub use status::ExitStatus;

/// Runs a command line and returns the status that the process is to exit with.
///
/// The first argument is the program's name, as in `std::env::args_os`.
pub fn run_command_line(arguments: impl IntoIterator<Item = ffi::OsString>) -> process::ExitCode {
    command::RootCommand::run(arguments).into()
}
