//! Round robin balancing.

use crate::replica;

/// Picks each candidate in turn, regardless of its load.
#[derive(Debug, Default)]
pub struct RoundRobin {
    turn: usize,
}

impl replica::ReplicaChoice for RoundRobin {
    fn choose<R: rand::Rng>(
        &mut self,
        candidates: &[replica::ReplicaCandidate],
        _request: &replica::ChoiceRequest<'_>,
        _rng: &mut R,
    ) -> Option<replica::ReplicaKey> {
        let turn = self.turn.checked_rem(candidates.len())?;
        self.turn = self.turn.wrapping_add(1);
        candidates.get(turn).map(|candidate| candidate.key)
    }
}
