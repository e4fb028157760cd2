//! What instances know of each other.

use std::net;

use galenahold_domain::amount;
use galenahold_domain::name;
use serde::{Deserialize, Serialize};

/// What instances know of each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceProfile {
    /// The instance's name.
    pub name: name::InstanceName,
    /// New at each start.
    pub incarnation: amount::IncarnationNumber,
    /// Where others reach it.
    pub address: net::SocketAddr,
    /// Its data centre.
    pub data_centre: name::DataCentreName,
}
