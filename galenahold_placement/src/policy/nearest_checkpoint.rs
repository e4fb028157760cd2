//! Prefers servers near the checkpoint, spread over data centres.

use crate::policy;

const SPREAD_SECONDS: f64 = 2.0;
const BUSY_SECONDS: f64 = 0.02;
const LEFT_SECONDS_PER_GIB: f64 = 0.001;
const GIB: f64 = 1_073_741_824.0;

/// Prefers servers near the checkpoint, spread over data centres and little loaded, with the
/// tightest fit among equals.
#[derive(Debug, Default)]
pub struct NearestCheckpoint;

impl policy::Destination for NearestCheckpoint {
    #[expect(
        clippy::cast_precision_loss,
        reason = "a cost needs no more than 52 bits"
    )]
    fn cost(&self, candidate: &policy::DestinationCandidate) -> f64 {
        let load = candidate.expected_load.as_secs_f64();
        let spread = f64::from(candidate.same_data_centre) * SPREAD_SECONDS;
        let busy = f64::from(candidate.busy) * BUSY_SECONDS;
        let left = candidate.left.0 as f64 / GIB * LEFT_SECONDS_PER_GIB;
        load + spread + busy + left
    }
}
