//! The error of starting or running an instance.

use std::io;
use std::net;
use std::path;

use galenahold_consensus::driver;
use snafu::Snafu;

/// The reason why an instance could not start or had to stop.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum InstanceError {
    /// The threads could not be started.
    #[snafu(display("starting the instance's threads: {source}"))]
    Runtime {
        /// The underlying error.
        source: io::Error,
    },
    /// The instance could not listen on an address.
    #[snafu(display(
        "listening on {address} ({field}): {source}; choose a free address of this machine"
    ))]
    Listen {
        /// The settings field of the address.
        field: &'static str,
        /// The address.
        address: net::SocketAddr,
        /// The underlying error.
        source: io::Error,
    },
    /// The data folder could not be opened.
    #[snafu(display("opening the data folder {}: {source}", folder.display()))]
    DataFolder {
        /// The folder.
        folder: path::PathBuf,
        /// The underlying error.
        source: driver::StartError,
    },
    /// The replicated state could not follow the log.
    #[snafu(display("{reason}"))]
    State {
        /// The reason, as reported by the state machine.
        reason: String,
    },
}
