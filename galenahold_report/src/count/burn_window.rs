//! Time windows of burn rates.

use std::fmt;
use std::time;

use serde::{Deserialize, Serialize};

/// A sliding time window over which burn rates are computed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BurnWindow {
    /// The last 5 minutes.
    FiveMinutes,
    /// The last hour.
    OneHour,
    /// The last 6 hours.
    SixHours,
    /// The last 3 days.
    ThreeDays,
}

impl BurnWindow {
    /// All windows, shortest first.
    pub const ALL: [Self; 4] = [
        Self::FiveMinutes,
        Self::OneHour,
        Self::SixHours,
        Self::ThreeDays,
    ];

    /// Returns the length of the window.
    #[must_use]
    pub fn span(self) -> time::Duration {
        match self {
            Self::FiveMinutes => time::Duration::from_mins(5),
            Self::OneHour => time::Duration::from_hours(1),
            Self::SixHours => time::Duration::from_hours(6),
            Self::ThreeDays => time::Duration::from_hours(72),
        }
    }

    /// Returns the length of one bucket; the counts of a window are accurate to one bucket.
    #[must_use]
    pub fn bucket_width(self) -> time::Duration {
        match self {
            Self::FiveMinutes => time::Duration::from_secs(10),
            Self::OneHour => time::Duration::from_mins(1),
            Self::SixHours => time::Duration::from_mins(5),
            Self::ThreeDays => time::Duration::from_hours(1),
        }
    }

    /// Returns the number of whole buckets in the window.
    pub(crate) fn bucket_count(self) -> usize {
        let count = self.span().as_secs() / self.bucket_width().as_secs();
        usize::try_from(count).unwrap_or(usize::MAX)
    }
}

impl fmt::Display for BurnWindow {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::FiveMinutes => "5 min",
            Self::OneHour => "1 h",
            Self::SixHours => "6 h",
            Self::ThreeDays => "3 d",
        })
    }
}
