//! Entries of a snapshot.

use galenahold_domain::name;
use serde::{Deserialize, Serialize};

use crate::count;
use crate::snapshot;

/// The counts of one service and team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BurnEntry {
    /// The service.
    pub service: name::ServiceName,
    /// The team.
    pub team: name::TeamName,
    /// The targets of the objectives.
    pub targets: snapshot::ObjectiveTargets,
    /// The counts of each window, shortest first.
    pub windows: Vec<snapshot::WindowCounts>,
    /// The non-empty buckets of the past 6 hours, newest first.
    pub history: Vec<snapshot::HistoryBucket>,
}

impl BurnEntry {
    /// Returns the counts of a window; all are 0 if the entry lacks the window.
    #[must_use]
    pub fn counts(&self, window: count::BurnWindow) -> count::ObjectiveCounts {
        let found = self.windows.iter().find(|counts| counts.window == window);
        found.map(|counts| counts.counts).unwrap_or_default()
    }

    /// Adds the counts of another instance and keeps the stricter of both targets.
    pub(super) fn merge(&mut self, other: &Self) {
        let strictest = |left: u32, right: u32| left.max(right);
        self.targets = snapshot::ObjectiveTargets {
            latency_per_million: strictest(
                self.targets.latency_per_million,
                other.targets.latency_per_million,
            ),
            availability_per_million: strictest(
                self.targets.availability_per_million,
                other.targets.availability_per_million,
            ),
        };
        for theirs in &other.windows {
            let ours = self
                .windows
                .iter_mut()
                .find(|ours| ours.window == theirs.window);
            match ours {
                Some(ours) => ours.counts.add(&theirs.counts),
                None => self.windows.push(*theirs),
            }
        }
        for theirs in &other.history {
            let ours = self.history.iter_mut().find(|ours| ours.age == theirs.age);
            match ours {
                Some(ours) => ours.counts.add(&theirs.counts),
                None => self.history.push(*theirs),
            }
        }
        self.windows.sort_by_key(|counts| counts.window);
        self.history.sort_by_key(|bucket| bucket.age);
    }
}
