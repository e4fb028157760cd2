//! The documents that operators send.

use std::net;

use galenahold_domain::amount;
use galenahold_domain::intent;
use galenahold_domain::name;
use serde::Deserialize;

/// Asks for a plan.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct PlanDocument {
    /// The intent that is wanted.
    pub(crate) intent: intent::FleetIntent,
}

/// Confirms a plan.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ConfirmDocument {
    /// The operator's number for the request.
    pub(crate) request: name::RequestId,
    /// The revision that the plan was made against.
    pub(crate) base: amount::RevisionNumber,
    /// The plan's digest.
    pub(crate) digest: String,
    /// The intent that is wanted.
    pub(crate) intent: intent::FleetIntent,
}

/// Asks for a key.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct GiveKeyDocument {
    /// The operator's number for the request; the key is derived from it.
    pub(crate) request: name::RequestId,
    /// A revision that the operator saw: an old resend never revives a withdrawn key.
    #[serde(default)]
    pub(crate) base: amount::RevisionNumber,
    /// The team.
    pub(crate) team: name::TeamName,
}

/// Withdraws a key.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct WithdrawKeyDocument {
    /// The operator's number for the request.
    pub(crate) request: name::RequestId,
    /// The key's public part.
    pub(crate) id: name::KeyId,
}

/// Names a member of the control group.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct MemberDocument {
    /// Its name.
    pub(crate) name: name::InstanceName,
    /// Its address, where one is added.
    #[serde(default)]
    pub(crate) address: Option<net::SocketAddr>,
}
