//! The galenahold binary: serves as an instance, and changes and inspects a fleet as an operator.

use std::process;

fn main() -> process::ExitCode {
    galenahold::run_command_line(std::env::args_os())
}
