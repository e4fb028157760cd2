//! Settings of replica placement.

use std::time;

use crate::description;
use crate::group;
use crate::reader;

const KEEP_ALIVE: description::FieldDescription = description::FieldDescription::required(
    "keep_alive_s",
    description::ValueKind::Number {
        unit: description::NumberUnit::Seconds,
        min: 0,
        max: 604_800,
    },
    "Time that an idle replica stays loaded: the exact time under `fixed`, the upper bound under `histogram`.",
)
.default_value(description::DefaultValue::Number(300));

const KEEP_ALIVE_POLICY: description::FieldDescription = description::FieldDescription::required(
    "keep_alive_policy",
    description::ValueKind::Word(group::KeepAlivePolicy::WORDS),
    "Policy that decides how long an idle replica stays loaded.",
)
.default_value(description::DefaultValue::Word("histogram"));

const REPLICA_CHOICE_POLICY: description::FieldDescription =
    description::FieldDescription::required(
        "replica_choice_policy",
        description::ValueKind::Word(group::ReplicaChoicePolicy::WORDS),
        "Policy that selects a replica for a request.",
    )
    .default_value(description::DefaultValue::Word("prefix_affinity"));

const LOAD_TIMEOUT: description::FieldDescription = description::FieldDescription::required(
    "load_timeout_s",
    description::ValueKind::Number {
        unit: description::NumberUnit::Seconds,
        min: 1,
        max: 86_400,
    },
    "Timeout of one order to a backend server; where orders are not fenced, a new leader first waits for this time.",
)
.default_value(description::DefaultValue::Number(60));

/// How replicas are loaded, kept loaded and selected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementSettings {
    keep_alive_s: u64,
    keep_alive_policy: group::KeepAlivePolicy,
    replica_choice_policy: group::ReplicaChoicePolicy,
    load_timeout_s: u64,
}

impl PlacementSettings {
    pub(crate) const DESCRIPTION: description::GroupDescription = description::GroupDescription {
        fields: &[
            KEEP_ALIVE,
            KEEP_ALIVE_POLICY,
            REPLICA_CHOICE_POLICY,
            LOAD_TIMEOUT,
        ],
    };

    pub(crate) fn from_group(group: &reader::ParsedGroup) -> Option<Self> {
        let keep_alive_policy = group.text(&KEEP_ALIVE_POLICY)?;
        let replica_choice_policy = group.text(&REPLICA_CHOICE_POLICY)?;
        Some(Self {
            keep_alive_s: group.number(&KEEP_ALIVE)?,
            keep_alive_policy: group::KeepAlivePolicy::from_word(keep_alive_policy)?,
            replica_choice_policy: group::ReplicaChoicePolicy::from_word(replica_choice_policy)?,
            load_timeout_s: group.number(&LOAD_TIMEOUT)?,
        })
    }

    /// Returns the time that an idle replica stays loaded, or its upper bound under the histogram policy.
    #[must_use]
    pub fn keep_alive(&self) -> time::Duration {
        time::Duration::from_secs(self.keep_alive_s)
    }

    /// Returns the policy that decides how long an idle replica stays loaded.
    #[must_use]
    pub fn keep_alive_policy(&self) -> group::KeepAlivePolicy {
        self.keep_alive_policy
    }

    /// Returns the policy that selects a replica for a request.
    #[must_use]
    pub fn replica_choice_policy(&self) -> group::ReplicaChoicePolicy {
        self.replica_choice_policy
    }

    /// Returns the timeout of one order to a backend server.
    #[must_use]
    pub fn load_timeout(&self) -> time::Duration {
        time::Duration::from_secs(self.load_timeout_s)
    }
}
