//! The request documents of the API for operators.

use std::net;

use galenahold_domain::amount;
use galenahold_domain::intent;
use galenahold_domain::name;
use serde::Deserialize;

/// A request for a plan.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct PlanDocument {
    /// The desired intent.
    pub(crate) intent: intent::FleetIntent,
}

/// A request to confirm a plan.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ConfirmDocument {
    /// The operator's request number.
    pub(crate) request: name::RequestId,
    /// The revision against which the plan was made.
    pub(crate) base: amount::RevisionNumber,
    /// The digest of the plan.
    pub(crate) digest: String,
    /// The desired intent.
    pub(crate) intent: intent::FleetIntent,
}

/// A request for a new key.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct GiveKeyDocument {
    /// The operator's request number, from which the key is derived.
    pub(crate) request: name::RequestId,
    /// A revision known to the operator; with it, a late resend cannot restore a withdrawn key.
    #[serde(default)]
    pub(crate) base: amount::RevisionNumber,
    /// The team of the key.
    pub(crate) team: name::TeamName,
}

/// A request to withdraw a key.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct WithdrawKeyDocument {
    /// The operator's request number.
    pub(crate) request: name::RequestId,
    /// The public part of the key.
    pub(crate) id: name::KeyId,
}

/// A request about a member of the control group.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct MemberDocument {
    /// The name of the member.
    pub(crate) name: name::InstanceName,
    /// The address of the member; required to add one.
    #[serde(default)]
    pub(crate) address: Option<net::SocketAddr>,
}
