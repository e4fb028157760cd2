//! One change of the configuration, as it travels to instances.

use serde::{Deserialize, Serialize};

use crate::amount;
use crate::intent;
use crate::key;
use crate::name;

/// One change of the configuration, as it travels to instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigurationChange {
    /// Parts of the intent were set or removed.
    Intent {
        /// The revision that the change makes.
        revision: amount::RevisionNumber,
        /// Teams, models and services that were added or altered, and the store's limits.
        set: intent::FleetIntent,
        /// Teams that were removed.
        removed_teams: Vec<name::TeamName>,
        /// Models that were removed.
        removed_models: Vec<name::ModelName>,
        /// Services that were removed.
        removed_services: Vec<name::ServiceName>,
    },
    /// A key was given.
    KeyGiven {
        /// The revision that the change makes.
        revision: amount::RevisionNumber,
        /// The key.
        record: key::KeyRecord,
    },
    /// A key was withdrawn.
    KeyWithdrawn {
        /// The revision that the change makes.
        revision: amount::RevisionNumber,
        /// The key's public part.
        id: name::KeyId,
    },
}

impl ConfigurationChange {
    /// Returns the revision that the change makes.
    #[must_use]
    pub fn revision(&self) -> amount::RevisionNumber {
        match self {
            Self::Intent { revision, .. }
            | Self::KeyGiven { revision, .. }
            | Self::KeyWithdrawn { revision, .. } => *revision,
        }
    }
}
