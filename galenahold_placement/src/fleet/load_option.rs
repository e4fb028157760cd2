//! Candidate engine for a model load.

use std::time;

use galenahold_domain::fleet as domain;
use galenahold_domain::name;

/// One way to load a model: an engine, the model to evict there and the cost.
pub(super) struct LoadOption<'a> {
    pub(super) record: &'a domain::ServerRecord,
    pub(super) victim: Option<name::ModelName>,
    pub(super) from_store: bool,
    pub(super) load_duration: time::Duration,
    pub(super) cost: f64,
}
