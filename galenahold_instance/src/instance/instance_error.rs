//! Why an instance could not start.

use std::io;
use std::net;
use std::path;

use galenahold_consensus::driver;
use snafu::Snafu;

/// Why an instance could not start, or had to stop.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum InstanceError {
    /// The threads could not be started.
    #[snafu(display("starting the instance's threads: {source}"))]
    Runtime {
        /// The cause.
        source: io::Error,
    },
    /// An address could not be listened on.
    #[snafu(display(
        "listening on {address} ({field}): {source}; choose a free address of this machine"
    ))]
    Listen {
        /// The field of the settings.
        field: &'static str,
        /// The address.
        address: net::SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The data folder could not be opened.
    #[snafu(display("opening the data folder {}: {source}", folder.display()))]
    DataFolder {
        /// The folder.
        folder: path::PathBuf,
        /// The cause.
        source: driver::StartError,
    },
    /// The replicated state could not follow the log.
    #[snafu(display("{reason}"))]
    State {
        /// What was met.
        reason: String,
    },
}
