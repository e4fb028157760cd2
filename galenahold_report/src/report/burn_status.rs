//! Multi-window burn rate alerts.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::count;
use crate::report;

/// The alert status of an error budget, from its burn rates over several windows.
///
/// The thresholds are those of the Site Reliability Workbook (Google, 2018), chapter 5, "Alerting on SLOs",
/// for a period of 30 days. Each threshold has to be reached over a long and a short window; the short one
/// resets the status soon after the cause ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BurnStatus {
    /// No events were counted.
    NoEvents,
    /// The budget will last for its period.
    Good,
    /// The budget will be used up before its period ends and should be investigated.
    SlowBurn,
    /// The budget will be used up within days, which requires immediate action.
    FastBurn,
}

impl BurnStatus {
    /// The burn rate that uses 2 % of a 30 day budget in 1 hour.
    pub const FAST_RATE: f64 = 14.4;
    /// The burn rate that uses 5 % of a 30 day budget in 6 hours.
    pub const MEDIUM_RATE: f64 = 6.0;
    /// The burn rate that uses 10 % of a 30 day budget in 3 days.
    pub const SLOW_RATE: f64 = 1.0;

    /// Determines the status from the burn rates of all windows.
    pub(super) fn of(windows: &[report::WindowBurn]) -> Self {
        let rate = |window| {
            let found = windows.iter().find(|burn| burn.window == window);
            found.map_or(0.0, |burn| burn.burn_rate)
        };
        let both_reach = |long, short, limit| rate(long) >= limit && rate(short) >= limit;
        let fast = both_reach(
            count::BurnWindow::OneHour,
            count::BurnWindow::FiveMinutes,
            Self::FAST_RATE,
        ) || both_reach(
            count::BurnWindow::SixHours,
            count::BurnWindow::OneHour,
            Self::MEDIUM_RATE,
        );
        if fast {
            Self::FastBurn
        } else if both_reach(
            count::BurnWindow::ThreeDays,
            count::BurnWindow::SixHours,
            Self::SLOW_RATE,
        ) {
            Self::SlowBurn
        } else if windows.iter().all(|burn| burn.events == 0) {
            Self::NoEvents
        } else {
            Self::Good
        }
    }
}

impl fmt::Display for BurnStatus {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::NoEvents => "no events",
            Self::Good => "good",
            Self::SlowBurn => "SLOW BURN",
            Self::FastBurn => "FAST BURN",
        })
    }
}
