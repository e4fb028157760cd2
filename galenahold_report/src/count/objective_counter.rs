//! Request counters of one service and team.

use std::time;

use galenahold_domain::intent;

use crate::count;
use crate::snapshot;

/// Request counters of one service and team, with the targets of the most recent request.
#[derive(Debug)]
pub(super) struct ObjectiveCounter {
    targets: snapshot::ObjectiveTargets,
    rings: [count::WindowRing; count::BurnWindow::ALL.len()],
}

impl ObjectiveCounter {
    /// Creates a counter with no requests.
    pub(super) fn new() -> Self {
        Self {
            targets: snapshot::ObjectiveTargets::of(&intent::ServiceObjective::default()),
            rings: count::BurnWindow::ALL.map(count::WindowRing::new),
        }
    }

    /// Counts one request in all windows.
    pub(super) fn record(
        &mut self,
        objective: &intent::ServiceObjective,
        measurement: &count::RequestMeasurement,
        elapsed: time::Duration,
    ) {
        self.targets = snapshot::ObjectiveTargets::of(objective);
        let counts = count::ObjectiveCounts::of(measurement, objective);
        for ring in &mut self.rings {
            ring.add(elapsed, &counts);
        }
    }

    /// Returns the targets of the most recent request.
    pub(super) fn targets(&self) -> snapshot::ObjectiveTargets {
        self.targets
    }

    /// Returns the totals of each window.
    pub(super) fn windows(&self, elapsed: time::Duration) -> Vec<snapshot::WindowCounts> {
        let rings = count::BurnWindow::ALL.into_iter().zip(&self.rings);
        rings
            .map(|(window, ring)| snapshot::WindowCounts {
                window,
                counts: ring.sum(elapsed),
            })
            .collect()
    }

    /// Returns the non-empty buckets of the 6 hour window, newest first.
    pub(super) fn history(&self, elapsed: time::Duration) -> Vec<snapshot::HistoryBucket> {
        let mut history = Vec::new();
        for (window, ring) in count::BurnWindow::ALL.into_iter().zip(&self.rings) {
            if window == snapshot::HistoryBucket::WINDOW {
                let buckets = ring.history(elapsed);
                history = buckets
                    .map(|(age, counts)| snapshot::HistoryBucket {
                        age,
                        counts: *counts,
                    })
                    .collect();
            }
        }
        history.sort_by_key(|bucket: &snapshot::HistoryBucket| bucket.age);
        history
    }
}
