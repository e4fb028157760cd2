//! Order to an engine.

use std::net;

use galenahold_domain::fleet as domain;
use galenahold_domain::name;

use crate::fleet;

/// Order of the leader to one engine, with what the leader assumes that the engine holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineOrder {
    /// Number of the order, unique within its planner.
    pub number: u64,
    /// The engine.
    pub server: name::ServerName,
    /// Start time of the engine, which identifies one run of it.
    pub started_ms: u64,
    /// Address at which the engine accepts orders.
    pub address: net::SocketAddr,
    /// Models that the engine holds, as far as the leader knows.
    pub held: Vec<name::ModelName>,
    /// Adapters that the engine holds or may hold, as far as the leader knows.
    pub adapters: Vec<domain::HeldAdapter>,
    /// The action to execute.
    pub action: fleet::OrderAction,
}
