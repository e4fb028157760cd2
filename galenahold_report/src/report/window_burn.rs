//! How fast an error budget burnt over one window.

use serde::{Deserialize, Serialize};

use crate::count;
use crate::report;
use crate::snapshot;

const PER_MILLION: u32 = 1_000_000;
/// The least budget that is reckoned with, so that a target of all events has a finite burn rate.
const MIN_BUDGET_PER_MILLION: u32 = 1;

/// How fast an error budget burnt over one window.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WindowBurn {
    /// The window.
    pub window: count::BurnWindow,
    /// Events of the window.
    pub events: u64,
    /// Bad events of the window.
    pub bad: u64,
    /// The share of bad events over the share that the target allows; 1 uses up the budget just so.
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

/// Returns the share of bad events over the share that the target allows; 0 without events.
#[allow(
    clippy::cast_precision_loss,
    reason = "a ratio of counts for people needs no more than 52 bits"
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
