//! Settings of a gateway instance.

use std::net;
use std::path;
use std::time;

use galenahold_domain::name;

/// Settings of an instance of a declared fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// The instance's name in logs.
    pub name: name::InstanceName,
    /// The data centre of the instance.
    pub data_centre: name::DataCentreName,
    /// The instance's own address.
    pub address: net::IpAddr,
    /// The address for callers; `None` if the instance does not serve callers.
    pub callers: Option<net::SocketAddr>,
    /// The address for the load balancer's readiness checks.
    pub readiness: Option<net::SocketAddr>,
    /// The address for operators and backend servers; `None` if the instance is not a member of the
    /// control group.
    pub control: Option<net::SocketAddr>,
    /// The port for other instances, the same at all instances.
    pub peer_port: u16,
    /// The address to listen on for other instances, if they reach it by another one, such as that of
    /// a proxy.
    pub peer_listener: Option<net::SocketAddr>,
    /// The port for metrics.
    pub metrics_port: u16,
    /// Control addresses of instances that may know the control group.
    pub seeds: Vec<net::SocketAddr>,
    /// The data folder, if the instance is a member of the control group.
    pub data_folder: Option<path::PathBuf>,
    /// Whether the whole fleet starts for the first time, so that a control group may be
    /// bootstrapped.
    pub may_found: bool,
    /// Number of data folders that may be lost at once without losing acknowledged data.
    pub tolerated_losses: usize,
    /// Time between two notices of a backend server.
    pub notice_period: time::Duration,
    /// Maximum age of the confirmation of a key.
    pub key_freshness: time::Duration,
    /// Maximum duration of a planned stop.
    pub stop_grace: time::Duration,
    /// Attempts beyond the first of each call, as a share of calls, over all instances.
    pub retry_share: f64,
    /// Further attempts in addition to that share, for all instances together.
    pub retry_extra: f64,
    /// Whether engines refuse orders with a lower fencing number than the highest they have seen.
    pub engines_check_fences: bool,
    /// Minimum time between the orders of two leaders if engines do not check fencing numbers.
    pub order_lease: time::Duration,
}

/// Number of notice periods after which every engine has reported to a new leader.
const ROSTER_SETTLE_PERIODS: f64 = 1.25;

impl GatewaySettings {
    /// Returns how long a new leader sends no orders: until it knows what each engine holds and, if
    /// engines do not check fencing numbers, until orders of an earlier leader can no longer
    /// arrive.
    pub(crate) fn order_pause(&self) -> time::Duration {
        let settle_time = self.notice_period.mul_f64(ROSTER_SETTLE_PERIODS);
        if self.engines_check_fences {
            return settle_time;
        }
        settle_time.max(self.order_lease)
    }

    /// Returns the address for other instances, which is also this instance's name among them.
    pub(crate) fn peer_address(&self) -> net::SocketAddr {
        net::SocketAddr::new(self.address, self.peer_port)
    }

    /// Returns the address to listen on for other instances.
    pub(crate) fn peer_listener(&self) -> net::SocketAddr {
        self.peer_listener.unwrap_or_else(|| self.peer_address())
    }

    /// Returns the names of the instances that may know the control group.
    pub(crate) fn seed_names(&self) -> Vec<name::InstanceName> {
        let addresses = self
            .seeds
            .iter()
            .map(|seed| net::SocketAddr::new(seed.ip(), self.peer_port));
        addresses
            .map(|address| name::InstanceName::from(address.to_string()))
            .collect()
    }
}
