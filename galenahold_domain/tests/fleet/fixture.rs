//! Builds notices of backend servers.

use std::net;
use std::time;

use galenahold_domain::{fleet, name};

/// The period in which servers send notices.
pub(crate) const PERIOD: time::Duration = time::Duration::from_secs(1);

pub(crate) fn address(host: u8) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, 0, host], 8_080))
}

pub(crate) fn notice(server: &str, started_ms: u64, sequence: u64) -> fleet::ServerNotice {
    fleet::ServerNotice {
        name: name::ServerName::from(server),
        started_ms,
        sequence,
        service: name::ServiceName::from("desk"),
        address: address(1),
        data_centre: name::DataCentreName::from("one"),
        slots: 4,
        stage: fleet::ServerStage::Ready,
        removal_in: None,
        models: Vec::new(),
        adapters: Vec::new(),
        copies: fleet::WeightCopies::default(),
    }
}

pub(crate) fn with_address(mut notice: fleet::ServerNotice, host: u8) -> fleet::ServerNotice {
    notice.address = address(host);
    notice
}

pub(crate) fn into_draining(mut notice: fleet::ServerNotice) -> fleet::ServerNotice {
    notice.stage = fleet::ServerStage::Draining;
    notice
}

pub(crate) fn departure(
    server: &str,
    started_ms: u64,
    stage: fleet::DepartureStage,
) -> fleet::ServerDeparture {
    fleet::ServerDeparture {
        name: name::ServerName::from(server),
        started_ms,
        stage,
    }
}
