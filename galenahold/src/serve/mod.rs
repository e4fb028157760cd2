//! Runs an instance until it is told to stop.

mod serve_error;
mod serve_run;
mod stop_signal;
mod stop_waker;

pub(crate) use serve_error::ServeError;
pub(crate) use serve_run::run;
pub(crate) use stop_signal::StopSignal;
pub(crate) use stop_waker::StopWaker;
