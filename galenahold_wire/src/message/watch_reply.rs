//! Replies to configuration watches.

use galenahold_domain::amount;
use galenahold_domain::crash;
use galenahold_domain::fleet;
use galenahold_domain::name;
use galenahold_routing::leader;
use galenahold_routing::load;
use serde::{Deserialize, Serialize};

use crate::message;

/// The reply to a configuration watch.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WatchReply {
    /// The latest configuration known to the answering instance.
    Current {
        /// The time from the last confirmation by a quorum to the reply, in milliseconds.
        age_ms: u64,
        /// How long the reply was delayed, in milliseconds.
        held_ms: u64,
        /// The revision that `age_ms` refers to.
        revision: amount::RevisionNumber,
        /// The configuration changes that the follower does not have.
        update: message::ConfigurationUpdate,
        /// The drain list, if it is newer than the follower's.
        drains: Option<Box<message::DrainList>>,
        /// The parts of prompts that crash backend servers, if the follower has another version of the list.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        suspects: Option<Box<crash::SuspectList>>,
        /// The roster changes of declared services that the follower does not have.
        #[serde(default)]
        roster: Option<Box<fleet::RosterUpdate>>,
        /// The changes of servers' loads and speeds that the follower does not have.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        loads: Option<Box<load::LoadUpdate>>,
        /// The number of entry instances that follow the roster.
        #[serde(default)]
        followers: u32,
        /// The members of the control group, for followers without configured peers; empty if the follower already
        /// has the list.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        members: Vec<message::ControlMember>,
        /// A hash that identifies the member list; zero if there is none.
        #[serde(default)]
        members_mark: u64,
        /// The leader's name, for calls to the leader.
        leader: Option<name::InstanceName>,
        /// The term of the answering instance; zero if it does not state it.
        #[serde(default)]
        term: u64,
    },
    /// The answering instance has no confirmed configuration.
    Unavailable {
        /// The leader, if the answering instance knows it.
        leader: Option<name::InstanceName>,
        /// The term of the answering instance; zero if it does not state it.
        #[serde(default)]
        term: u64,
    },
}

impl WatchReply {
    /// Creates the reply of an instance that has no confirmed configuration.
    #[must_use]
    pub fn unavailable(hint: leader::LeaderHint) -> Self {
        Self::Unavailable {
            leader: hint.name,
            term: hint.term,
        }
    }
}
