//! The leader's answer to a call.

use galenahold_domain::control;
use galenahold_domain::name;
use galenahold_routing::rate;
use serde::{Deserialize, Serialize};

use crate::message;

/// The leader's answer to a call.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ControlReply {
    /// Token grants.
    Grant(rate::GrantReply),
    /// The report was taken.
    Taken,
    /// What the replicated state answered to the command.
    Outcome(control::ControlOutcome),
    /// The answer to a call about the backend servers of declared services.
    Fleet(message::FleetReply),
    /// The answer to an operator's call.
    Operator(message::OperatorReply),
    /// The answering instance does not lead; nothing was done.
    NotLeader {
        /// Who leads, as far as it knows.
        leader: Option<name::InstanceName>,
    },
    /// The call may not come this way, or cannot be done now; nothing was done.
    Refused {
        /// Why.
        reason: String,
    },
    /// The command was proposed and its outcome is unknown.
    OutcomeUnknown,
}
