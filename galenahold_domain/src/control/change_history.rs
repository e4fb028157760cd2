//! Bounded history from which instances that lag behind are sent the changes that they lack.

use std::collections;
use std::sync;

use serde::{Deserialize, Serialize};

use crate::amount;
use crate::control;

const MAX_CHANGES: usize = 4_096;

/// The maximum total size of the kept changes, in parts of the intent.
const MAX_PARTS: usize = 65_536;

/// The latest changes of the configuration, bounded in number and in total size.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct ChangeHistory {
    changes: collections::VecDeque<sync::Arc<control::ConfigurationChange>>,
    parts: usize,
}

impl ChangeHistory {
    /// Appends the change that made the latest revision, and drops the oldest changes beyond the
    /// limits.
    pub(crate) fn push(&mut self, change: control::ConfigurationChange) {
        if matches!(change, control::ConfigurationChange::Declared { .. }) {
            // A whole document supersedes all earlier changes: an instance that lags behind
            // fetches the whole view instead.
            *self = Self::default();
            return;
        }
        self.parts += change.part_count();
        self.changes.push_back(sync::Arc::new(change));
        while self.changes.len() > MAX_CHANGES || self.parts > MAX_PARTS {
            let Some(oldest) = self.changes.pop_front() else {
                return;
            };
            self.parts -= oldest.part_count();
        }
    }

    /// Returns the changes after `revision` up to `current`, the oldest first.
    ///
    /// Returns `None` if one of them is no longer kept or `revision` is after `current`.
    pub(crate) fn since(
        &self,
        revision: amount::RevisionNumber,
        current: amount::RevisionNumber,
    ) -> Option<Vec<control::ConfigurationChange>> {
        let missing = usize::try_from(current.0.checked_sub(revision.0)?).ok()?;
        let first = self.changes.len().checked_sub(missing)?;
        let changes = self.changes.iter().skip(first);
        Some(changes.map(|change| (**change).clone()).collect())
    }
}
