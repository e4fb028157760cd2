//! Why an instance did not run or did not stop in order.

use std::io;

use galenahold_instance::InstanceError;
use snafu::Snafu;

/// Why an instance did not run or did not stop in order.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub(crate) enum ServeError {
    /// The signals could not be subscribed to.
    #[snafu(display("cannot subscribe to the signals that stop the instance: {source}"))]
    Signals {
        /// What the system answered.
        source: io::Error,
    },
    /// The instance could not start.
    #[snafu(display("{source}"))]
    Start {
        /// What was met.
        source: InstanceError,
    },
    /// The instance could no longer do its work and stopped.
    #[snafu(display("{reason}"))]
    Fault {
        /// What was met.
        reason: String,
    },
}
