//! Replies to calls to the control group's leader.

use galenahold_domain::control;
use galenahold_domain::name;
use galenahold_routing::leader;
use galenahold_routing::rate;
use serde::{Deserialize, Serialize};

use crate::message;

/// The reply to a call to the control group's leader.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ControlReply {
    /// Token grants.
    Grant(rate::GrantReply),
    /// The report was accepted.
    Taken,
    /// The outcome of applying the command to the replicated state.
    Outcome(control::ControlOutcome),
    /// The reply to a call about the backend servers of declared services.
    Fleet(message::FleetReply),
    /// The reply to an operator's call.
    Operator(message::OperatorReply),
    /// The answering instance is not the leader; nothing was done.
    NotLeader {
        /// The leader, if the answering instance knows it.
        leader: Option<name::InstanceName>,
        /// The term of the answering instance; zero if it does not state it.
        #[serde(default)]
        term: u64,
    },
    /// The call is not permitted over this RPC, or cannot be carried out now; nothing was done.
    Refused {
        /// The reason for the refusal.
        reason: String,
    },
    /// The command was proposed, but its outcome is unknown.
    OutcomeUnknown,
}

impl ControlReply {
    /// Creates the reply of an instance that does not lead.
    #[must_use]
    pub fn not_leader(hint: leader::LeaderHint) -> Self {
        Self::NotLeader {
            leader: hint.name,
            term: hint.term,
        }
    }
}
