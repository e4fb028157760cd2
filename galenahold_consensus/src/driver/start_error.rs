//! [`StartError`].

use std::io;

use snafu::Snafu;

use crate::driver;
use crate::storage;

/// Why a replicated log could not be started.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// The data folder could not be opened.
    #[snafu(display("starting the replicated log: {source}"))]
    Storage {
        /// Why.
        source: storage::StorageError,
    },
    /// The state machine does not know the snapshot.
    #[snafu(display("starting the replicated log: {source}"))]
    Restore {
        /// Why.
        source: driver::RestoreError,
    },
    /// A thread could not be started.
    #[snafu(display("starting a thread of the replicated log: {source}; raise the thread limit"))]
    Spawn {
        /// Why.
        source: io::Error,
    },
    /// The settings name no address for this member.
    #[snafu(display(
        "starting the replicated log: neither the voters nor the settings give this member an address"
    ))]
    Address,
}
