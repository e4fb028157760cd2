//! The interface of load balancing policies.

use crate::replica;

/// A load balancing policy, which picks one of the candidates of a request.
pub trait ReplicaChoice {
    /// Returns the replica to send the request to, or `None` if there is no candidate.
    fn choose<R: rand::Rng>(
        &mut self,
        candidates: &[replica::ReplicaCandidate],
        request: &replica::ChoiceRequest<'_>,
        rng: &mut R,
    ) -> Option<replica::ReplicaKey>;
}
