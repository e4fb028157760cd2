//! Calls to the control group's leader.

use galenahold_domain::amount;
use galenahold_domain::control;
use galenahold_domain::crash;
use galenahold_domain::placement;
use galenahold_placement::demand;
use galenahold_routing::rate;
use serde::{Deserialize, Serialize};

use crate::message;

/// A call to the control group's leader.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ControlCall {
    /// Requests and returns token grants.
    Grant(rate::GrantCall),
    /// Reports demand.
    Demand(demand::DemandReport),
    /// Reports that an order from an earlier leadership was never sent and never will be.
    NeverLeft {
        /// The order's reservation.
        id: placement::ReservationId,
        /// The order's fencing number.
        fence: amount::FencingNumber,
    },
    /// Proposes a command to the replicated log. Instances propose only commands about orders and
    /// departures.
    Command(control::ControlCommand),
    /// Reports a crash of a backend server and the calls that may have caused it.
    Crash(crash::CrashReport),
    /// Reports that answers to calls with these parts of prompts have begun, so that the parts are harmless.
    ClearSuspects(Vec<crash::PromptKey>),
    /// A call about the backend servers of declared services.
    Fleet(message::FleetCall),
    /// An operator's call, already authenticated.
    Operator(message::OperatorCall),
}
