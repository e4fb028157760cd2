//! Selects the server with the most free memory.

use crate::policy;

/// Prefers the server with the most free memory, wherever the checkpoint is.
#[derive(Debug, Default)]
pub struct WorstFit;

impl policy::Destination for WorstFit {
    #[expect(
        clippy::cast_precision_loss,
        reason = "52 bits are precise enough for a cost"
    )]
    fn cost(&self, candidate: &policy::DestinationCandidate) -> f64 {
        -(candidate.free_after_load.0 as f64)
    }
}
