//! A team.

use crate::amount;
use crate::declaration;
use crate::intent;
use crate::name;

/// A team: its keys and what it may take.
#[derive(Debug, Clone, PartialEq)]
pub struct DeclaredTeam {
    /// Its name.
    pub name: name::TeamName,
    /// The keys that its callers show.
    pub secrets: Vec<declaration::CallerSecret>,
    /// Its rank, which goes before that of routes; 0 goes first.
    pub priority: u32,
    /// Rate over all instances, in the unit of `charge`; zero for no limit.
    pub rate_per_s: u64,
    /// The most that may be spent at once beyond the rate.
    pub burst: u64,
    /// What one call is charged.
    pub charge: declaration::TeamCharge,
}

impl DeclaredTeam {
    /// Returns whether the team has a limit.
    #[must_use]
    pub fn is_limited(&self) -> bool {
        self.rate_per_s > 0
    }

    /// Returns the team as the rates know it.
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
