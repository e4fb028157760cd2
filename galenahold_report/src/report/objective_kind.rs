//! What an error budget is for.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::count;
use crate::snapshot;

/// What an error budget is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectiveKind {
    /// Requests are answered; failures and refusals inside the rate are bad.
    Availability,
    /// First tokens, or plain services' answers, come in time.
    FirstToken,
    /// Gaps between tokens stay short.
    BetweenTokens,
}

impl ObjectiveKind {
    /// All kinds, in the order of the report.
    pub const ALL: [Self; 3] = [Self::Availability, Self::FirstToken, Self::BetweenTokens];

    /// Returns the target in events per million that have to be good.
    pub(crate) fn target_per_million(self, targets: snapshot::ObjectiveTargets) -> u32 {
        match self {
            Self::Availability => targets.availability_per_million,
            Self::FirstToken | Self::BetweenTokens => targets.latency_per_million,
        }
    }

    /// Returns the good events.
    pub(crate) fn good(self, counts: &count::ObjectiveCounts) -> u64 {
        match self {
            Self::Availability => counts.answered,
            Self::FirstToken => counts.first_token_met,
            Self::BetweenTokens => counts.between_tokens_met,
        }
    }

    /// Returns the bad events.
    pub(crate) fn bad(self, counts: &count::ObjectiveCounts) -> u64 {
        match self {
            Self::Availability => counts.failed + counts.refused_inside_rate,
            Self::FirstToken => counts.first_token_missed,
            Self::BetweenTokens => counts.between_tokens_missed,
        }
    }
}

impl fmt::Display for ObjectiveKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Availability => "availability",
            Self::FirstToken => "first token",
            Self::BetweenTokens => "between tokens",
        })
    }
}
