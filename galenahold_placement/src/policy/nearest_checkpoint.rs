//! Selects a server near the checkpoint.

use crate::policy;

/// Cost in seconds of each replica of the artifact in the same data centre.
const SAME_DATA_CENTRE_SECONDS: f64 = 2.0;
/// Cost in seconds of each active request at the server.
const ACTIVE_REQUEST_SECONDS: f64 = 0.02;
/// Cost in seconds of each GiB that stays free after the load.
const FREE_SECONDS_PER_GIB: f64 = 0.001;
const GIB: f64 = 1_073_741_824.0;

/// Prefers servers with a near checkpoint, few replicas in the same data centre and few active
/// requests; among equals, the one with the tightest fit.
#[derive(Debug, Default)]
pub struct NearestCheckpoint;

impl policy::Destination for NearestCheckpoint {
    #[expect(
        clippy::cast_precision_loss,
        reason = "52 bits are precise enough for a cost"
    )]
    fn cost(&self, candidate: &policy::DestinationCandidate) -> f64 {
        let load = candidate.expected_load.as_secs_f64();
        let data_centre_cost =
            f64::from(candidate.replicas_in_data_centre) * SAME_DATA_CENTRE_SECONDS;
        let activity_cost = f64::from(candidate.active_requests) * ACTIVE_REQUEST_SECONDS;
        let free_cost = candidate.free_after_load.0 as f64 / GIB * FREE_SECONDS_PER_GIB;
        load + data_centre_cost + activity_cost + free_cost
    }
}
