//! Picks a replica.

use crate::replica;

/// Picks one of the candidates of a request.
pub trait ReplicaChoice {
    /// Returns the replica to send to, or nothing where there is no candidate.
    fn choose<R: rand::Rng>(
        &mut self,
        candidates: &[replica::ReplicaCandidate],
        request: &replica::ChoiceRequest<'_>,
        rng: &mut R,
    ) -> Option<replica::ReplicaKey>;
}
