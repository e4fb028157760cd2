//! Errors of a gateway instance.

use std::io;
use std::net;
use std::path;

use galenahold_consensus::driver;
use snafu::Snafu;

/// Why a gateway instance failed to start or can no longer work.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum GatewayError {
    /// The async runtime did not start.
    #[snafu(display("cannot start the runtime: {source}"))]
    Runtime {
        /// The operating system's error.
        source: io::Error,
    },
    /// The signal handlers could not be registered.
    #[snafu(display("cannot subscribe to signals: {source}"))]
    Signals {
        /// The operating system's error.
        source: io::Error,
    },
    /// An address could not be bound.
    #[snafu(display("cannot listen on {address} for {purpose}: {source}"))]
    Listen {
        /// The address that could not be bound.
        address: net::SocketAddr,
        /// What the address is for.
        purpose: &'static str,
        /// The operating system's error.
        source: io::Error,
    },
    /// The data folder cannot be used.
    #[snafu(display("cannot use data folder {}: {source}", folder.display()))]
    DataFolder {
        /// The data folder.
        folder: path::PathBuf,
        /// The error of opening the data folder.
        source: driver::StartError,
    },
    /// The member of the control group has failed.
    #[snafu(display("{reason}"))]
    Fault {
        /// What failed.
        reason: String,
    },
}
