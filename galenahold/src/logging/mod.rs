//! Logs: one line per event.

mod bounded_writer;
mod log_line;
mod log_setup;
mod log_tail;

pub use bounded_writer::BoundedWriter;
pub use log_line::LogLine;
pub(crate) use log_setup::{LogOutput, start_logging};
pub use log_tail::LogTail;
