//! Why a gateway instance did not start.

use std::io;
use std::net;
use std::path;

use galenahold_consensus::driver;
use snafu::Snafu;

/// Why a gateway instance did not start, or can no longer do its work.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum GatewayError {
    /// The runtime did not start.
    #[snafu(display("cannot start the runtime: {source}"))]
    Runtime {
        /// What the system answered.
        source: io::Error,
    },
    /// The signals could not be subscribed to.
    #[snafu(display("cannot subscribe to signals: {source}"))]
    Signals {
        /// What the system answered.
        source: io::Error,
    },
    /// An address cannot be listened on.
    #[snafu(display("cannot listen on {address} for {purpose}: {source}"))]
    Listen {
        /// The address.
        address: net::SocketAddr,
        /// What it is for.
        purpose: &'static str,
        /// What the system answered.
        source: io::Error,
    },
    /// The data folder cannot be used.
    #[snafu(display("cannot use data folder {}: {source}", folder.display()))]
    DataFolder {
        /// The folder.
        folder: path::PathBuf,
        /// What was met.
        source: driver::StartError,
    },
    /// The member of the control group can take no further part.
    #[snafu(display("{reason}"))]
    Fault {
        /// What was met.
        reason: String,
    },
}
