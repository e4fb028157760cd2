//! Settings of a gateway instance.

use std::net;
use std::path;
use std::time;

use galenahold_domain::name;

/// Settings of an instance of a fleet that is declared whole.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// Its name in logs.
    pub name: name::InstanceName,
    /// Its data centre.
    pub data_centre: name::DataCentreName,
    /// Its own address.
    pub address: net::IpAddr,
    /// Where callers reach it; none where it takes no callers.
    pub callers: Option<net::SocketAddr>,
    /// Where the balancer asks for readiness.
    pub readiness: Option<net::SocketAddr>,
    /// Where operators and backend servers reach it; none where it is no member of the control group.
    pub control: Option<net::SocketAddr>,
    /// The port for other instances, the same at all of them.
    pub peer_port: u16,
    /// The port for metrics.
    pub metrics_port: u16,
    /// Control addresses of instances that may know the control group.
    pub seeds: Vec<net::SocketAddr>,
    /// Its data folder, for a member of the control group.
    pub data_folder: Option<path::PathBuf>,
    /// Whether the whole fleet starts for the first time, so that a control group may be founded.
    pub may_found: bool,
    /// Data folders that may be lost at once without losing what was acknowledged.
    pub losses_borne: usize,
    /// Time between two notices of a backend server.
    pub notice_period: time::Duration,
    /// How old the confirmation of a key may be.
    pub key_freshness: time::Duration,
    /// How long a planned stop may take.
    pub stop_grace: time::Duration,
    /// Attempts beyond the first of each call, as a share of calls, over all instances.
    pub retry_share: f64,
    /// Such attempts that all instances together may make besides.
    pub retry_extra: f64,
    /// Whether engines refuse orders with a lower fencing number than they have seen.
    pub engines_check_fences: bool,
    /// How long orders of two instances have to be apart where engines do not check.
    pub order_lease: time::Duration,
}

/// Periods of notices within which each engine has stated itself to a new leader.
const ROSTER_SETTLE_PERIODS: f64 = 1.25;

impl GatewaySettings {
    /// Returns how long a new leader gives no orders: until it knows what each engine holds, and until an
    /// earlier leader's orders no longer arrive where engines would not refuse them.
    pub(crate) fn order_pause(&self) -> time::Duration {
        let settle_time = self.notice_period.mul_f64(ROSTER_SETTLE_PERIODS);
        if self.engines_check_fences {
            return settle_time;
        }
        settle_time.max(self.order_lease)
    }

    /// Returns where other instances reach this one; its name among them is this address.
    pub(crate) fn peer_address(&self) -> net::SocketAddr {
        net::SocketAddr::new(self.address, self.peer_port)
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
