//! The message by which an instance reports its spending and requests tokens.

use galenahold_domain::{amount, name};
use serde::{Deserialize, Serialize};

use crate::rate;

/// A message from an instance to the control leader, with statements and requests for its teams.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GrantCall {
    /// The calling instance.
    pub instance: name::InstanceName,
    /// The incarnation of the instance.
    pub incarnation: amount::IncarnationNumber,
    /// Increases with each call of the incarnation; the holder accepts no reply to an earlier call.
    pub number: u64,
    /// The statements and requests for each team.
    pub teams: Vec<rate::GrantRequest>,
}
