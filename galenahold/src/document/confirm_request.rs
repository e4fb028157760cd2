//! The document that confirms a plan.

use galenahold_domain::intent;
use serde::Serialize;

/// The document that confirms a plan.
#[derive(Debug, Serialize)]
pub(crate) struct ConfirmRequest<'a> {
    /// The request id.
    pub(crate) request: &'a str,
    /// The revision that the plan was made against.
    pub(crate) base: u64,
    /// The digest of the plan's steps.
    pub(crate) digest: &'a str,
    /// The whole wanted intent.
    pub(crate) intent: intent::FleetIntent,
}
