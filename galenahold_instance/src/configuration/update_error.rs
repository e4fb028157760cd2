//! Why an update of the configuration was not taken.

use galenahold_domain::amount;
use snafu::Snafu;

/// Why an update of the configuration was not taken.
#[derive(Debug, Snafu)]
pub(crate) enum UpdateError {
    /// It is about a revision below the one in force.
    #[snafu(display("revision {offered} is below revision {held}, which is in force"))]
    Lower {
        /// The revision offered.
        offered: amount::RevisionNumber,
        /// The revision in force.
        held: amount::RevisionNumber,
    },
    /// A change does not follow the revision in force.
    #[snafu(display("a change does not follow revision {held}, which is in force"))]
    Gap {
        /// The revision in force.
        held: amount::RevisionNumber,
    },
}
