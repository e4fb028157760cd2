//! Choice of server by free memory.

use crate::policy;

/// Prefers the server with the most free memory, regardless of where the checkpoint is.
#[derive(Debug, Default)]
pub struct WorstFit;

impl policy::Destination for WorstFit {
    #[expect(
        clippy::cast_precision_loss,
        reason = "a cost needs no more than 52 bits"
    )]
    fn cost(&self, candidate: &policy::DestinationCandidate) -> f64 {
        -(candidate.free_after_load.0 as f64)
    }
}
