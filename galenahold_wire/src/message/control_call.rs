//! A call to the control group's leader.

use galenahold_domain::amount;
use galenahold_domain::control;
use galenahold_domain::placement;
use galenahold_placement::demand;
use galenahold_routing::rate;
use serde::{Deserialize, Serialize};

use crate::message;

/// A call to the control group's leader.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ControlCall {
    /// Asks for and returns token grants.
    Grant(rate::GrantCall),
    /// Reports demand.
    Demand(demand::DemandReport),
    /// Says that an order of an earlier leadership never left and never will.
    NeverLeft {
        /// The order.
        id: placement::ReservationId,
        /// Its fencing number.
        fence: amount::FencingNumber,
    },
    /// Puts a command into the replicated log. Instances only do so for orders.
    Command(control::ControlCommand),
    /// A call about the backend servers of declared services.
    Fleet(message::FleetCall),
    /// A call of an operator, already authenticated.
    Operator(message::OperatorCall),
}
