//! Where a run sends its requests.

use std::net;

/// An instance behind the platform's balancer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadTarget {
    /// Where callers connect.
    pub callers: net::SocketAddr,
    /// Where the balancer reads `/ready`; without it the instance always gets requests.
    pub platform: Option<net::SocketAddr>,
}

impl LoadTarget {
    /// Makes a target that always gets requests.
    #[must_use]
    pub fn always(callers: net::SocketAddr) -> Self {
        Self {
            callers,
            platform: None,
        }
    }

    /// Makes a target that gets requests while it is ready.
    #[must_use]
    pub fn while_ready(callers: net::SocketAddr, platform: net::SocketAddr) -> Self {
        Self {
            callers,
            platform: Some(platform),
        }
    }
}
