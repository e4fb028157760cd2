//! Burn rates of one error budget.

use serde::{Deserialize, Serialize};

use crate::count;
use crate::report;
use crate::snapshot;

/// The burn rates and status of one error budget of a service and team.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ObjectiveBurn {
    /// The objective that the budget belongs to.
    pub objective: report::ObjectiveKind,
    /// The target, in good events per million.
    pub target_per_million: u32,
    /// The alert status of the budget.
    pub status: report::BurnStatus,
    /// The fraction of the budget of the last 3 days that is left; below 0 if it is exceeded.
    pub budget_left: f64,
    /// The burn rate of each window, shortest first.
    pub windows: Vec<report::WindowBurn>,
    /// The burn rate of each 5 minute bucket of the past 6 hours that has events, newest first.
    pub history: Vec<report::HistoryBurn>,
}

impl ObjectiveBurn {
    pub(super) fn of(kind: report::ObjectiveKind, entry: &snapshot::BurnEntry) -> Self {
        let windows: Vec<_> = count::BurnWindow::ALL
            .into_iter()
            .map(|window| {
                let counts = entry.counts(window);
                report::WindowBurn::of(kind, entry.targets, window, &counts)
            })
            .collect();
        let longest = windows.last().map_or(0.0, |burn| burn.burn_rate);
        Self {
            objective: kind,
            target_per_million: kind.target_per_million(entry.targets),
            status: report::BurnStatus::of(&windows),
            budget_left: 1.0 - longest,
            windows,
            history: history(kind, entry),
        }
    }
}

fn history(kind: report::ObjectiveKind, entry: &snapshot::BurnEntry) -> Vec<report::HistoryBurn> {
    let has_events = |bucket: &&snapshot::HistoryBucket| {
        kind.good(&bucket.counts) + kind.bad(&bucket.counts) > 0
    };
    let buckets = entry.history.iter().filter(has_events);
    buckets
        .map(|bucket| report::HistoryBurn {
            age: bucket.age,
            burn_rate: report::window_burn::burn_rate(kind, entry.targets, &bucket.counts),
        })
        .collect()
}
