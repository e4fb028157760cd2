//! A member of the control group.

use galenahold_domain::name;
use serde::{Deserialize, Serialize};

/// A member of the control group, as its leader knows it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ControlMember {
    /// The instance.
    pub name: name::InstanceName,
    /// The identity of its data folder.
    pub folder: String,
}
