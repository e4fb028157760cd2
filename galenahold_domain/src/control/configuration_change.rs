//! The changes by which instances follow the configuration from revision to revision.

use serde::{Deserialize, Serialize};

use crate::amount;
use crate::declaration;
use crate::intent;
use crate::key;
use crate::name;

/// One change of the configuration, as it is sent to instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigurationChange {
    /// Parts of the intent were set or removed.
    Intent {
        /// The revision that the change makes.
        revision: amount::RevisionNumber,
        /// Teams, models and services that were added or changed, and the store's limits.
        set: intent::FleetIntent,
        /// Teams that were removed.
        removed_teams: Vec<name::TeamName>,
        /// Models that were removed.
        removed_models: Vec<name::ModelName>,
        /// Services that were removed.
        removed_services: Vec<name::ServiceName>,
    },
    /// A key was given to a team.
    KeyGiven {
        /// The revision that the change makes.
        revision: amount::RevisionNumber,
        /// The record of the key.
        record: key::KeyRecord,
    },
    /// A key was withdrawn.
    KeyWithdrawn {
        /// The revision that the change makes.
        revision: amount::RevisionNumber,
        /// The public part of the key.
        id: name::KeyId,
    },
    /// A whole document that an operator declared replaced the previous one.
    Declared {
        /// The revision that the change makes.
        revision: amount::RevisionNumber,
        /// The document.
        document: declaration::DeclaredDocument,
    },
}

impl ConfigurationChange {
    /// Returns the revision that the change makes.
    #[must_use]
    pub fn revision(&self) -> amount::RevisionNumber {
        match self {
            Self::Intent { revision, .. }
            | Self::KeyGiven { revision, .. }
            | Self::KeyWithdrawn { revision, .. }
            | Self::Declared { revision, .. } => *revision,
        }
    }
}

impl ConfigurationChange {
    /// Returns the number of parts in the change, as a measure of its size.
    pub(crate) fn part_count(&self) -> usize {
        let Self::Intent {
            set,
            removed_teams,
            removed_models,
            removed_services,
            ..
        } = self
        else {
            return 1;
        };
        let adapters: usize = set.models.iter().map(|model| model.adapters.len()).sum();
        let named = set.teams.len() + set.models.len() + set.services.len();
        let removed = removed_teams.len() + removed_models.len() + removed_services.len();
        1 + named + adapters + removed
    }
}
