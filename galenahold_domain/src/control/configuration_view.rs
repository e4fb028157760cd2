//! The configuration as instances hold it and update it change by change.

use std::sync;

use serde::{Deserialize, Serialize};

use crate::amount;
use crate::control;
use crate::declaration;
use crate::error;
use crate::intent;
use crate::key;

/// The whole configuration at one revision: the snapshot that an instance fetches when it has
/// missed changes.
///
/// Its parts are reference-counted, so that a clone and a change of a key cost little.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationView {
    /// The revision.
    pub revision: amount::RevisionNumber,
    /// The intent, with teams, models and services ordered by name.
    pub intent: sync::Arc<intent::FleetIntent>,
    /// The callers' keys, ordered by their public part.
    pub keys: key::KeyTable,
    /// The whole document that an operator declared, if there is one.
    #[serde(default)]
    pub declared: Option<declaration::DeclaredDocument>,
}

impl ConfigurationView {
    /// Applies the change that makes the next revision.
    ///
    /// Removing a team also removes its keys, so that a team that is added later under the same
    /// name does not inherit them.
    ///
    /// # Errors
    ///
    /// Fails if the revision of the change is not exactly the next one; the view is then unchanged.
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
