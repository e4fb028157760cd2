//! The configuration that an instance has in force.

use std::sync;

use serde::{Deserialize, Serialize};

use crate::amount;
use crate::control;
use crate::declaration;
use crate::error;
use crate::intent;
use crate::key;

/// The whole configuration at one revision: the snapshot that an instance takes on a gap.
///
/// Its parts are shared, so that a clone and a change of a key cost little.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationView {
    /// The revision.
    pub revision: amount::RevisionNumber,
    /// The intent, its teams, models and services ordered by name.
    pub intent: sync::Arc<intent::FleetIntent>,
    /// The keys, ordered by their public part.
    pub keys: key::KeyTable,
    /// The document that an operator declared whole, if one did.
    #[serde(default)]
    pub declared: Option<declaration::DeclaredDocument>,
}

impl ConfigurationView {
    /// Applies the change that makes the next revision.
    ///
    /// Removing a team also removes its keys, so that a team added later under the same name does
    /// not take them over.
    ///
    /// # Errors
    ///
    /// Refuses a change whose revision is not exactly the next; the view is then left as it was.
    pub fn apply(
        &mut self,
        change: &control::ConfigurationChange,
    ) -> Result<(), error::DomainError> {
        let expected = self.revision.next();
        if change.revision() != expected {
            return error::RevisionOutOfOrderSnafu {
                expected,
                found: change.revision(),
            }
            .fail();
        }
        self.apply_unchecked(change);
        self.revision = expected;
        Ok(())
    }

    fn apply_unchecked(&mut self, change: &control::ConfigurationChange) {
        match change {
            control::ConfigurationChange::Intent {
                set,
                removed_teams,
                removed_models,
                removed_services,
                ..
            } => {
                sync::Arc::make_mut(&mut self.intent).merge(
                    set,
                    removed_teams,
                    removed_models,
                    removed_services,
                );
                self.keys.remove_teams(removed_teams);
            }
            control::ConfigurationChange::KeyGiven { record, .. } => {
                self.keys.insert(record.clone());
            }
            control::ConfigurationChange::KeyWithdrawn { id, .. } => {
                self.keys.remove(id);
            }
            control::ConfigurationChange::Declared { document, .. } => {
                self.declared = Some(document.clone());
            }
        }
    }
}
