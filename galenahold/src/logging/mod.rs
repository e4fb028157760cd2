//! Logs: one line per event on standard error.

mod log_line;
mod log_setup;

pub use log_line::LogLine;
pub(crate) use log_setup::start_logging;
