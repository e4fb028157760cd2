//! Where one incarnation of a backend server takes requests.

use std::net;

use galenahold_domain::amount;
use galenahold_domain::name;

/// Where one incarnation of a backend server takes requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct BackendAddress {
    /// The backend server.
    pub(crate) server: name::ServerName,
    /// Its incarnation.
    pub(crate) incarnation: amount::IncarnationNumber,
    /// Its socket.
    pub(crate) socket: net::SocketAddr,
}
