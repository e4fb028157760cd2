//! A declared team with its keys, priority and rate limit.

use crate::amount;
use crate::declaration;
use crate::intent;
use crate::name;

/// A team: its keys, its priority and its rate limit.
#[derive(Debug, Clone, PartialEq)]
pub struct DeclaredTeam {
    /// The team's name.
    pub name: name::TeamName,
    /// The keys by which the team's callers authenticate.
    pub secrets: Vec<declaration::CallerSecret>,
    /// The team's priority, which takes precedence over that of routes; 0 is the highest.
    pub priority: u32,
    /// The rate limit over all instances per second, in the unit of `charge`; zero for no limit.
    pub rate_per_s: u64,
    /// The maximum amount that may be spent at once beyond the rate.
    pub burst: u64,
    /// The way in which a call is charged.
    pub charge: declaration::TeamCharge,
}

impl DeclaredTeam {
    /// Returns whether the team has a rate limit.
    #[must_use]
    pub fn is_limited(&self) -> bool {
        self.rate_per_s > 0
    }

    /// Returns the team's limit in the form that the rate limiter takes.
    #[must_use]
    pub fn rate_intent(&self) -> intent::TeamIntent {
        intent::TeamIntent {
            name: self.name.clone(),
            rate_tokens_per_s: amount::TokensPerSecond(self.rate_per_s),
            burst_tokens: amount::TokenCount(self.burst),
            weight: 1,
        }
    }
}
