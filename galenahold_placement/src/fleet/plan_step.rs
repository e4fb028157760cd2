//! What the leader should do next.

use galenahold_domain::fleet as domain;
use galenahold_domain::name;

use crate::fleet;

/// What the leader should do next: first change the roster, then send the orders.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PlanStep {
    /// Orders to send.
    pub orders: Vec<fleet::EngineOrder>,
    /// Models that take no new requests at an engine, or take them again.
    pub retiring: Vec<(name::ServerName, name::ModelName, bool)>,
    /// Loads that began or ended at an engine.
    pub loading: Vec<(name::ServerName, Option<domain::ModelLoading>)>,
    /// What a load from the weight store has shown of its pace.
    pub store_sample: Option<fleet::StoreSample>,
}
