//! A declared service and the settings of its backend servers.

use std::sync;

use crate::declaration;
use crate::name;

/// A service that backend servers provide.
#[derive(Debug, Clone, PartialEq)]
pub struct DeclaredService {
    /// The service's name.
    pub name: name::ServiceName,
    /// The path of a backend server's health check.
    pub health_path: sync::Arc<str>,
    /// The maximum number of connections that one backend server accepts from all callers together.
    pub max_connections: u32,
    /// The service's model engines; `None` for a plain service.
    pub engine: Option<declaration::DeclaredEngine>,
}
