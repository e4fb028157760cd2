//! Rows of the burn report.

use galenahold_domain::name;
use serde::{Deserialize, Serialize};

use crate::count;
use crate::report;
use crate::snapshot;

const MICROSECONDS_PER_MILLISECOND: f64 = 1_000.0;

/// The burn rates, requests and waits of one service and team.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnRow {
    /// The service.
    pub service: name::ServiceName,
    /// The team.
    pub team: name::TeamName,
    /// The number of requests in the last hour.
    pub requests: u64,
    /// The number of requests in the last 3 days that were refused although the team was within its rate and
    /// burst.
    pub refused_inside_rate: u64,
    /// The mean wait over the last hour, in milliseconds.
    pub wait_mean_ms: f64,
    /// The longest wait of the last hour, in milliseconds.
    pub wait_max_ms: f64,
    /// The burn of each error budget.
    pub objectives: Vec<report::ObjectiveBurn>,
}

impl BurnRow {
    #[allow(
        clippy::cast_precision_loss,
        reason = "a displayed mean needs no more than 52 bits"
    )]
    pub(super) fn of(entry: &snapshot::BurnEntry) -> Self {
        let hour = entry.counts(count::BurnWindow::OneHour);
        let days = entry.counts(count::BurnWindow::ThreeDays);
        let requests = hour.requests();
        let wait_mean_us = hour.wait_total_us as f64 / requests.max(1) as f64;
        Self {
            service: entry.service.clone(),
            team: entry.team.clone(),
            requests,
            refused_inside_rate: days.refused_inside_rate,
            wait_mean_ms: wait_mean_us / MICROSECONDS_PER_MILLISECOND,
            wait_max_ms: hour.wait_max_us as f64 / MICROSECONDS_PER_MILLISECOND,
            objectives: report::ObjectiveKind::ALL
                .into_iter()
                .map(|kind| report::ObjectiveBurn::of(kind, entry))
                .collect(),
        }
    }

    /// Returns the highest burn rate of the row's budgets over the last hour.
    #[must_use]
    pub fn hour_rate(&self) -> f64 {
        let windows = self.objectives.iter().flat_map(|burn| &burn.windows);
        windows
            .filter(|burn| burn.window == count::BurnWindow::OneHour)
            .map(|burn| burn.burn_rate)
            .fold(0.0, f64::max)
    }

    /// Returns the worst status of the row's budgets.
    #[must_use]
    pub fn status(&self) -> report::BurnStatus {
        let statuses = self.objectives.iter().map(|burn| burn.status);
        statuses.max().unwrap_or(report::BurnStatus::NoEvents)
    }
}
