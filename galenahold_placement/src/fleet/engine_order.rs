//! An order to an engine.

use std::net;

use galenahold_domain::fleet as domain;
use galenahold_domain::name;

use crate::fleet;

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineOrder {
    /// Numbers the order at its planner.
    pub number: u64,
    /// The engine.
    pub server: name::ServerName,
    /// Which of its starts.
    pub started_ms: u64,
    /// Where it takes orders.
    pub address: net::SocketAddr,
    /// The models that it holds as far as its leader knows.
    pub held: Vec<name::ModelName>,
    /// The adapters that it holds or may hold as far as its leader knows.
    pub adapters: Vec<domain::HeldAdapter>,
    /// What it is to do.
    pub action: fleet::OrderAction,
}
