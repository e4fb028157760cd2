//! The answer to a wait for the configuration.

use galenahold_domain::amount;
use galenahold_domain::fleet;
use galenahold_domain::name;
use serde::{Deserialize, Serialize};

use crate::message;

/// The answer to a wait for the configuration.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WatchReply {
    /// The configuration as far as the answering instance knows it.
    Current {
        /// How long ago a quorum confirmed it, in milliseconds, at the moment of the answer.
        age_ms: u64,
        /// How long the answer was held back, in milliseconds.
        held_ms: u64,
        /// The revision that the age is about.
        revision: amount::RevisionNumber,
        /// What is new to the one who waits.
        update: message::ConfigurationUpdate,
        /// The drain list, if it is newer than the one known.
        drains: Option<message::DrainList>,
        /// What is new of the roster of declared services.
        #[serde(default)]
        roster: Option<Box<fleet::RosterUpdate>>,
        /// Entry instances that follow the roster.
        #[serde(default)]
        followers: u32,
        /// The members of the control group that an instance without configured peers may turn to; empty
        /// where the one who waits has them.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        members: Vec<message::ControlMember>,
        /// Tells lists of members apart; zero where there is none.
        #[serde(default)]
        members_mark: u64,
        /// The name of the leader, for calls to it.
        leader: Option<name::InstanceName>,
    },
    /// The answering instance has no confirmed configuration.
    Unavailable {
        /// Who leads, as far as it knows.
        leader: Option<name::InstanceName>,
    },
}
