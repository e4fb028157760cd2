//! Least-load balancing by outstanding tokens.

use crate::replica;

/// Picks the candidate with the fewest estimated outstanding tokens.
#[derive(Debug, Default)]
pub struct LeastOutstanding;

impl replica::ReplicaChoice for LeastOutstanding {
    fn choose<R: rand::Rng>(
        &mut self,
        candidates: &[replica::ReplicaCandidate],
        _request: &replica::ChoiceRequest<'_>,
        _rng: &mut R,
    ) -> Option<replica::ReplicaKey> {
        candidates
            .iter()
            .min_by(|left, right| left.tokens.total_cmp(&right.tokens))
            .map(|candidate| candidate.key)
    }
}
