//! The document that asks for a plan.

use galenahold_domain::intent;
use serde::Serialize;

/// The document that asks for a plan.
#[derive(Debug, Serialize)]
pub(crate) struct PlanRequest {
    /// The whole wanted intent.
    pub(crate) intent: intent::FleetIntent,
}
