//! Output of one planning round.

use galenahold_domain::fleet as domain;
use galenahold_domain::name;

use crate::fleet;

/// Changes that the leader has to make: first those of the roster, then the orders.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PlanStep {
    /// Orders to send.
    pub orders: Vec<fleet::EngineOrder>,
    /// Models that an engine retires (`true`) or serves again (`false`).
    pub retiring: Vec<(name::ServerName, name::ModelName, bool)>,
    /// Loads that started (`Some`) or ended (`None`) at an engine.
    pub loading: Vec<(name::ServerName, Option<domain::ModelLoading>)>,
    /// The decisions that the load and eviction orders follow from.
    pub decisions: Vec<fleet::LoadDecision>,
    /// Measurement of a load from the weight store that ended.
    pub store_sample: Option<fleet::StoreSample>,
}
