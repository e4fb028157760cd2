//! Why an instance did not run or did not stop in order.

use std::io;

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
    /// The runtime is not linked in.
    #[snafu(display("this build holds no instance runtime; build one that does"))]
    NoRuntime,
}
