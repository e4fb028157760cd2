//! Power-of-two-choices balancing.

use rand::RngExt;

use crate::replica;

/// Picks the less loaded of two random candidates.
///
/// The random draw keeps instances with the same outdated load reports from all picking the same replica.
#[derive(Debug, Default)]
pub struct TwoChoices;

impl replica::ReplicaChoice for TwoChoices {
    fn choose<R: rand::Rng>(
        &mut self,
        candidates: &[replica::ReplicaCandidate],
        _request: &replica::ChoiceRequest<'_>,
        rng: &mut R,
    ) -> Option<replica::ReplicaKey> {
        let [only] = candidates else {
            return choose_less_loaded(candidates, rng);
        };
        Some(only.key)
    }
}

fn choose_less_loaded<R: rand::Rng>(
    candidates: &[replica::ReplicaCandidate],
    rng: &mut R,
) -> Option<replica::ReplicaKey> {
    if candidates.is_empty() {
        return None;
    }
    let first = rng.random_range(0..candidates.len());
    let offset = rng.random_range(1..candidates.len());
    let second = (first + offset) % candidates.len();
    let (left, right) = (&candidates[first], &candidates[second]);
    let key = if right.tokens < left.tokens {
        right.key
    } else {
        left.key
    };
    Some(key)
}
