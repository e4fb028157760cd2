//! Round robin that skips overloaded replicas.

use crate::replica;

const DEFAULT_LOAD_PERCENT: u32 = 110;
const DEFAULT_SLACK_TOKENS: f64 = 512.0;

/// Picks each candidate in turn, except those whose load exceeds a factor of the mean load.
///
/// Load reports arrive late, which misleads a choice of the least loaded replica. Here they only keep
/// requests away from replicas that fall behind.
#[derive(Debug)]
pub struct BoundedRotation {
    load_percent: u32,
    slack_tokens: f64,
    turn: usize,
}

impl BoundedRotation {
    /// Returns a rotation that bounds a candidate's load to `load_percent` of the mean plus
    /// `slack_tokens`.
    #[must_use]
    pub fn new(load_percent: u32, slack_tokens: f64) -> Self {
        Self {
            load_percent,
            slack_tokens,
            turn: 0,
        }
    }
}

impl Default for BoundedRotation {
    fn default() -> Self {
        Self::new(DEFAULT_LOAD_PERCENT, DEFAULT_SLACK_TOKENS)
    }
}

impl replica::ReplicaChoice for BoundedRotation {
    #[expect(clippy::cast_precision_loss, reason = "there are few candidates")]
    fn choose<R: rand::Rng>(
        &mut self,
        candidates: &[replica::ReplicaCandidate],
        _request: &replica::ChoiceRequest<'_>,
        _rng: &mut R,
    ) -> Option<replica::ReplicaKey> {
        let count = candidates.len();
        let first = self.turn.checked_rem(count)?;
        let total: f64 = candidates.iter().map(|candidate| candidate.tokens).sum();
        let mean = total / count as f64;
        let bound = mean * f64::from(self.load_percent) / 100.0 + self.slack_tokens;
        let (before, after) = candidates.split_at(first);
        let mut rotated = after.iter().chain(before).enumerate();
        let (skipped, chosen) = rotated.find(|(_, candidate)| candidate.tokens <= bound)?;
        self.turn = self.turn.wrapping_add(skipped + 1);
        Some(chosen.key)
    }
}
