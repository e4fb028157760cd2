//! A call of an operator, passed on to the leader.

use std::net;

use galenahold_domain::amount;
use galenahold_domain::control;
use galenahold_domain::intent;
use galenahold_domain::key;
use galenahold_domain::name;
use serde::{Deserialize, Serialize};

/// A call of an operator, authenticated by the instance that took it.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OperatorCall {
    /// Makes a plan; nothing changes.
    Plan {
        /// The intent that is wanted.
        intent: intent::FleetIntent,
    },
    /// Puts a plan in force.
    Confirm {
        /// Who asks.
        request: control::OperatorRequest,
        /// The revision that the plan was made against.
        base: amount::RevisionNumber,
        /// The plan's digest.
        digest: String,
        /// The intent that is wanted.
        intent: intent::FleetIntent,
    },
    /// Gives a key, of which only the salted hash travels.
    GiveKey {
        /// Who asks.
        request: control::OperatorRequest,
        /// A revision that the operator saw; an old resend never revives a withdrawn key.
        base: amount::RevisionNumber,
        /// The key.
        record: key::KeyRecord,
    },
    /// Withdraws a key.
    WithdrawKey {
        /// Who asks.
        request: control::OperatorRequest,
        /// The key's public part.
        id: name::KeyId,
    },
    /// Returns the configuration in force.
    ShowIntent,
    /// Returns the backend servers that the leader knows.
    ShowServers,
    /// Returns the reservations and replicas.
    ShowReplicas,
    /// Returns how full the order ledger is.
    ShowOrders,
    /// Returns the state of the control group.
    Status,
    /// Adds a member to the control group, which learns before it votes.
    AddMember {
        /// Its name.
        name: name::InstanceName,
        /// Its address for other instances.
        address: net::SocketAddr,
    },
    /// Makes a learner a voter.
    PromoteMember {
        /// Its name.
        name: name::InstanceName,
    },
    /// Takes a member out.
    RemoveMember {
        /// Its name.
        name: name::InstanceName,
    },
}
