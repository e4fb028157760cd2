//! Kinds of service-level objectives.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::count;
use crate::snapshot;

/// The kind of a service-level objective, each of which has an error budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectiveKind {
    /// Requests are answered; failures and refusals within the team's rate are bad events.
    Availability,
    /// The latency of the first token or, for plain services, of the answer is within its limit.
    FirstToken,
    /// The gaps between tokens are within their limit.
    BetweenTokens,
}

impl ObjectiveKind {
    /// All kinds, in the order in which the report lists them.
    pub const ALL: [Self; 3] = [Self::Availability, Self::FirstToken, Self::BetweenTokens];

    /// Returns the target, in good events per million.
    pub(crate) fn target_per_million(self, targets: snapshot::ObjectiveTargets) -> u32 {
        match self {
            Self::Availability => targets.availability_per_million,
            Self::FirstToken | Self::BetweenTokens => targets.latency_per_million,
        }
    }

    /// Returns the number of good events.
    pub(crate) fn good(self, counts: &count::ObjectiveCounts) -> u64 {
        match self {
            Self::Availability => counts.answered,
            Self::FirstToken => counts.first_token_met,
            Self::BetweenTokens => counts.between_tokens_met,
        }
    }

    /// Returns the number of bad events.
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
