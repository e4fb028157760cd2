//! Snapshots of request counts.

use galenahold_domain::name;
use serde::{Deserialize, Serialize};

use crate::snapshot;

/// The request counts of one or more instances.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BurnSnapshot {
    /// The instances whose counts are included, sorted by name.
    pub instances: Vec<name::InstanceName>,
    /// One entry for each service and team, sorted by name.
    pub entries: Vec<snapshot::BurnEntry>,
}

impl BurnSnapshot {
    /// Creates the snapshot of one instance.
    pub(crate) fn new(instance: name::InstanceName, mut entries: Vec<snapshot::BurnEntry>) -> Self {
        sort(&mut entries);
        Self {
            instances: vec![instance],
            entries,
        }
    }

    /// Adds the counts of other instances.
    ///
    /// A snapshot that shares an instance with this one is ignored, so that no instance is counted twice.
    pub fn merge(&mut self, other: &Self) {
        let known = |instance| self.instances.contains(instance);
        if other.instances.iter().any(known) {
            return;
        }
        self.instances.extend(other.instances.iter().cloned());
        self.instances.sort();
        for theirs in &other.entries {
            let ours = self
                .entries
                .iter_mut()
                .find(|ours| ours.service == theirs.service && ours.team == theirs.team);
            match ours {
                Some(ours) => ours.merge(theirs),
                None => self.entries.push(theirs.clone()),
            }
        }
        sort(&mut self.entries);
    }
}

fn sort(entries: &mut [snapshot::BurnEntry]) {
    entries.sort_by(|left, right| {
        let left = (&left.service, &left.team);
        left.cmp(&(&right.service, &right.team))
    });
}
