//! Errors of starting a member.

use std::io;

use snafu::Snafu;

use crate::driver;
use crate::storage;

/// An error from starting a replicated log.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// The data folder could not be opened.
    #[snafu(display("starting the replicated log: {source}"))]
    Storage {
        /// Error of the data folder.
        source: storage::StorageError,
    },
    /// The state machine cannot read the snapshot.
    #[snafu(display("starting the replicated log: {source}"))]
    Restore {
        /// Error of the state machine.
        source: driver::RestoreError,
    },
    /// A thread could not be spawned.
    #[snafu(display("starting a thread of the replicated log: {source}; raise the thread limit"))]
    Spawn {
        /// Error from the operating system.
        source: io::Error,
    },
    /// The settings contain no address for this member.
    #[snafu(display(
        "starting the replicated log: neither the voters nor the settings contain this member's address"
    ))]
    Address,
}
