//! Operators' calls, forwarded to the leader.

use std::net;

use galenahold_domain::amount;
use galenahold_domain::control;
use galenahold_domain::intent;
use galenahold_domain::key;
use galenahold_domain::name;
use serde::{Deserialize, Serialize};

/// An operator's call, authenticated by the instance that received it.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OperatorCall {
    /// Computes a plan without changing anything.
    Plan {
        /// The desired intent.
        intent: intent::FleetIntent,
    },
    /// Applies a plan.
    Confirm {
        /// The operator and the operator's number for the request.
        request: control::OperatorRequest,
        /// The configuration revision that the plan is based on.
        base: amount::RevisionNumber,
        /// The plan's digest.
        digest: String,
        /// The desired intent.
        intent: intent::FleetIntent,
    },
    /// Issues a key; only the key's salted hash is sent.
    GiveKey {
        /// The operator and the operator's number for the request.
        request: control::OperatorRequest,
        /// A configuration revision that the operator has seen; prevents a late resend from restoring a withdrawn key.
        base: amount::RevisionNumber,
        /// The record of the key.
        record: key::KeyRecord,
    },
    /// Withdraws a key.
    WithdrawKey {
        /// The operator and the operator's number for the request.
        request: control::OperatorRequest,
        /// The key's public id.
        id: name::KeyId,
    },
    /// Returns the active configuration.
    ShowIntent,
    /// Returns the backend servers known to the leader.
    ShowServers,
    /// Returns the reservations and replicas.
    ShowReplicas,
    /// Returns the usage of the order ledger.
    ShowOrders,
    /// Returns the state of the control group.
    Status,
    /// Adds a member to the control group, as a learner at first.
    AddMember {
        /// The member's name.
        name: name::InstanceName,
        /// The member's address for connections from other instances.
        address: net::SocketAddr,
    },
    /// Promotes a learner to a voter.
    PromoteMember {
        /// The member's name.
        name: name::InstanceName,
    },
    /// Removes a member from the control group.
    RemoveMember {
        /// The member's name.
        name: name::InstanceName,
    },
}
