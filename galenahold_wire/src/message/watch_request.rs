//! A wait for the configuration to move on.

use galenahold_domain::amount;
use galenahold_domain::fleet;
use galenahold_domain::name;
use serde::{Deserialize, Serialize};

use crate::message;

/// A wait for the configuration to move on, or for the hold time to pass.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WatchRequest {
    /// Who waits.
    pub card: message::InstanceProfile,
    /// The revision that it has in force; zero for none.
    pub have: amount::RevisionNumber,
    /// How long ago that was confirmed, in milliseconds; none before the first time.
    #[serde(default)]
    pub age_ms: Option<u64>,
    /// The version of the drain list that it has; zero for none.
    pub drain_version: u64,
    /// How far it follows the roster of declared services; none where it does not.
    #[serde(default)]
    pub roster: Option<fleet::RosterCursor>,
    /// Who leads as far as the one who waits knows. An instance that does not lead then holds its answer
    /// back until it knows of another leader.
    #[serde(default)]
    pub leader_known: Option<name::InstanceName>,
    /// Whether requests wait there for a backend server, so that news of the roster is wanted at once.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub in_hurry: bool,
    /// The mark of the list of members that it has; zero for none.
    #[serde(default)]
    pub members_mark: u64,
    /// How long the answer may be held back, in milliseconds.
    pub hold_ms: u64,
}
