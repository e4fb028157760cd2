//! Whether an error budget burns too fast.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::count;
use crate::report;

/// Whether an error budget burns too fast, by several windows and burn rates.
///
/// The rates are those of the Site Reliability Workbook (Google, 2018), chapter 5, "Alerting on SLOs",
/// for a period of 30 days. A short window beside the long one ends the status soon after the cause.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BurnStatus {
    /// Nothing was counted.
    NoEvents,
    /// The budget lasts its period.
    Good,
    /// The budget will be gone before its period ends: look into it.
    SlowBurn,
    /// The budget will be gone within days: act now.
    FastBurn,
}

impl BurnStatus {
    /// The burn rate that uses 2 % of a 30 day budget in 1 hour.
    pub const FAST_RATE: f64 = 14.4;
    /// The burn rate that uses 5 % of a 30 day budget in 6 hours.
    pub const MEDIUM_RATE: f64 = 6.0;
    /// The burn rate that uses 10 % of a 30 day budget in 3 days.
    pub const SLOW_RATE: f64 = 1.0;

    /// Judges the burn rates of all windows.
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
