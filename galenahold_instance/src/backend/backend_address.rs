//! Network address of a backend server.

use std::net;

use galenahold_domain::amount;
use galenahold_domain::name;

/// The address at which one incarnation of a backend server accepts requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct BackendAddress {
    /// The name of the backend server.
    pub(crate) server: name::ServerName,
    /// The incarnation of the backend server.
    pub(crate) incarnation: amount::IncarnationNumber,
    /// The socket address for requests.
    pub(crate) socket: net::SocketAddr,
}
