//! The message by which the control leader grants tokens.

use serde::{Deserialize, Serialize};

use crate::rate;

/// The control leader's answer to a call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GrantReply {
    /// The number of the call that this reply answers.
    pub number: u64,
    /// One grant for each team; teams that are not in the intent are left out.
    pub grants: Vec<rate::TokenGrant>,
}
