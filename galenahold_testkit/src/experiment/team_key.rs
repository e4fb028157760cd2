//! A key that a team got.

use crate::harness;

/// A key that a team got.
#[derive(Debug)]
pub(crate) struct TeamKey {
    /// The team.
    pub(crate) team: String,
    /// Its key.
    pub(crate) given: harness::GivenKey,
}
