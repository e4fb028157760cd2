//! Configuration watches (long polls).

use galenahold_domain::amount;
use galenahold_domain::fleet;
use galenahold_domain::name;
use galenahold_routing::load;
use serde::{Deserialize, Serialize};

use crate::message;

/// A long poll that ends when the configuration changes or `hold_ms` has passed.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WatchRequest {
    /// The follower's profile.
    pub card: message::InstanceProfile,
    /// The follower's active configuration revision; zero if there is none.
    pub have: amount::RevisionNumber,
    /// The time since the revision was confirmed, in milliseconds; none before the first confirmation.
    #[serde(default)]
    pub age_ms: Option<u64>,
    /// The version of the follower's drain list; zero if there is none.
    pub drain_version: u64,
    /// The version of the follower's list of suspects; zero if there is none.
    #[serde(default)]
    pub suspect_version: u64,
    /// The follower's position in the roster of declared services; none if it does not follow the roster.
    #[serde(default)]
    pub roster: Option<fleet::RosterCursor>,
    /// The version of the follower's load view; none if it does not follow loads.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load_version: Option<load::LoadVersion>,
    /// The leader known to the follower. An instance that is not the leader delays its reply until it knows of a
    /// different leader.
    #[serde(default)]
    pub leader_known: Option<name::InstanceName>,
    /// Whether requests at the follower are waiting for a backend server, so that roster changes are needed at once.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub in_hurry: bool,
    /// The hash of the follower's member list, taken from an earlier reply; zero if there is none.
    #[serde(default)]
    pub members_mark: u64,
    /// How long the reply may be delayed, in milliseconds.
    pub hold_ms: u64,
}
