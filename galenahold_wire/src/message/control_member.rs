//! Members of the control group.

use galenahold_domain::name;
use serde::{Deserialize, Serialize};

/// A member of the control group as known to the leader.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ControlMember {
    /// The instance's name.
    pub name: name::InstanceName,
    /// The identity of the instance's data folder.
    pub folder: String,
    /// Whether the leader has not heard the instance of late and the group does not depend on it: calls are better sent
    /// to other members.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub absent: bool,
}
