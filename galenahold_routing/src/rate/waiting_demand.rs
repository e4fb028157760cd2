//! A request that waits for tokens, as its instance reports it.

use galenahold_domain::amount;
use serde::{Deserialize, Serialize};

use crate::rate;

/// A waiting request in an instance's call to the control leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingDemand {
    /// Identifies the request at its instance.
    #[serde(rename = "t")]
    pub ticket: rate::ChargeTicket,
    /// The rank of the request; 0 is the most urgent.
    #[serde(rename = "r", default)]
    pub rank: u32,
    /// Whether the caller was rejected before and retries as told.
    #[serde(rename = "b", default)]
    pub is_returning: bool,
    /// Tokens that the request still lacks.
    #[serde(rename = "n")]
    pub missing: amount::TokenCount,
    /// How much longer the request waits for tokens, in milliseconds.
    #[serde(rename = "w", default)]
    pub waits_ms: u64,
}
