//! Statuses that the process exits with.

mod exit_status;

pub use exit_status::ExitStatus;
