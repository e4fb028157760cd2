//! A service of backend servers.

use std::sync;

use crate::declaration;
use crate::name;

/// A service of backend servers.
#[derive(Debug, Clone, PartialEq)]
pub struct DeclaredService {
    /// Its name.
    pub name: name::ServiceName,
    /// The path at which a backend server tells its health.
    pub health_path: sync::Arc<str>,
    /// Connections that one backend server takes from all callers together.
    pub max_connections: u32,
    /// Its model engines; none for a plain service.
    pub engine: Option<declaration::DeclaredEngine>,
}
