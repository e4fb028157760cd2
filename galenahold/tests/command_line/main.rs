//! Tests of the command line: the built binary against a scripted operators' face.
#![allow(
    clippy::needless_raw_string_hashes,
    reason = "expect-test writes its snapshots with hashes"
)]

mod answers;
mod command_run;
mod help;
mod last_lines;
mod log_lines;
mod refusals;
mod resending;
mod scripted_api;
