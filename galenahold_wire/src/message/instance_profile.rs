//! Identity and address of an instance.

use std::net;

use galenahold_domain::amount;
use galenahold_domain::name;
use serde::{Deserialize, Serialize};

/// The identity, address and data centre of an instance, as exchanged between instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceProfile {
    /// The instance's name.
    pub name: name::InstanceName,
    /// The incarnation number, which changes at each start.
    pub incarnation: amount::IncarnationNumber,
    /// The address for connections from other instances.
    pub address: net::SocketAddr,
    /// The instance's data centre.
    pub data_centre: name::DataCentreName,
}
