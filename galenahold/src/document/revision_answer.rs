//! The revision that an instance has in force.

use serde::Deserialize;

/// The revision that an instance has in force.
#[derive(Debug, Deserialize)]
pub(crate) struct RevisionAnswer {
    /// The revision.
    pub(crate) revision: u64,
}
