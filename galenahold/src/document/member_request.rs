//! The document that changes a member of the control group.

use std::net;

use serde::Serialize;

/// The document that changes a member of the control group.
#[derive(Debug, Serialize)]
pub(crate) struct MemberRequest<'a> {
    /// The instance.
    pub(crate) name: &'a str,
    /// The address that others dial, for a new member.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) address: Option<net::SocketAddr>,
}
