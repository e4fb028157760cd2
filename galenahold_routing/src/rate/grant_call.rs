//! One message of an instance to the control leader.

use galenahold_domain::{amount, name};
use serde::{Deserialize, Serialize};

use crate::rate;

/// One message of an instance to the control leader, for all its teams.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GrantCall {
    /// The instance.
    pub instance: name::InstanceName,
    /// Its incarnation.
    pub incarnation: amount::IncarnationNumber,
    /// Grows with each call of the incarnation; the holder takes no reply to an earlier one.
    pub number: u64,
    /// What it states and asks for each team.
    pub teams: Vec<rate::GrantRequest>,
}
