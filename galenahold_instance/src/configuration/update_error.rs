//! The error of applying a configuration update.

use galenahold_domain::amount;
use snafu::Snafu;

/// The reason why the configuration cache rejected an update.
#[derive(Debug, Snafu)]
pub(crate) enum UpdateError {
    /// The update is for a revision below the active one.
    #[snafu(display("revision {offered} is below the active revision {held}"))]
    Lower {
        /// The revision of the update.
        offered: amount::RevisionNumber,
        /// The active revision.
        held: amount::RevisionNumber,
    },
    /// A change does not follow the active revision.
    #[snafu(display("a change does not follow the active revision {held}"))]
    Gap {
        /// The active revision.
        held: amount::RevisionNumber,
    },
}
