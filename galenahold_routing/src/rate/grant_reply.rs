//! The control leader's answer to a call.

use serde::{Deserialize, Serialize};

use crate::rate;

/// The control leader's answer to a call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GrantReply {
    /// The number of the call that it answers.
    pub number: u64,
    /// An answer a team; teams that the intent does not know are left out.
    pub grants: Vec<rate::TokenGrant>,
}
