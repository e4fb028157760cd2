//! Burn rate computation.

use serde::{Deserialize, Serialize};

use crate::count;
use crate::report;
use crate::snapshot;

const PER_MILLION: u32 = 1_000_000;
/// The minimum error budget in the computation, so that a target of 100 % has a finite burn rate.
const MIN_BUDGET_PER_MILLION: u32 = 1;

/// The burn rate of an error budget over one window.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WindowBurn {
    /// The window.
    pub window: count::BurnWindow,
    /// The number of events in the window.
    pub events: u64,
    /// The number of bad events in the window.
    pub bad: u64,
    /// The fraction of bad events divided by the fraction that the target allows; a constant rate of 1 uses up
    /// the budget exactly at the end of its period.
    pub burn_rate: f64,
}

impl WindowBurn {
    pub(super) fn of(
        kind: report::ObjectiveKind,
        targets: snapshot::ObjectiveTargets,
        window: count::BurnWindow,
        counts: &count::ObjectiveCounts,
    ) -> Self {
        Self {
            window,
            events: kind.good(counts) + kind.bad(counts),
            bad: kind.bad(counts),
            burn_rate: burn_rate(kind, targets, counts),
        }
    }
}

/// Returns the fraction of bad events divided by the fraction that the target allows; 0 without bad events.
#[allow(
    clippy::cast_precision_loss,
    reason = "a displayed ratio of counts needs no more than 52 bits"
)]
pub(super) fn burn_rate(
    kind: report::ObjectiveKind,
    targets: snapshot::ObjectiveTargets,
    counts: &count::ObjectiveCounts,
) -> f64 {
    let bad = kind.bad(counts);
    if bad == 0 {
        return 0.0;
    }
    let events = kind.good(counts) + bad;
    let target = kind.target_per_million(targets);
    let budget = PER_MILLION
        .saturating_sub(target)
        .max(MIN_BUDGET_PER_MILLION);
    let bad_per_million = bad as f64 * f64::from(PER_MILLION);
    bad_per_million / (events as f64 * f64::from(budget))
}
