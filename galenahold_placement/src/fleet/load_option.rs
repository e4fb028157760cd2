//! A way to load a model at an engine.

use std::time;

use galenahold_domain::fleet as domain;
use galenahold_domain::name;

/// A way to load a model at an engine.
pub(super) struct LoadOption<'a> {
    pub(super) record: &'a domain::ServerRecord,
    pub(super) victim: Option<name::ModelName>,
    pub(super) from_store: bool,
    pub(super) load_duration: time::Duration,
    pub(super) cost: f64,
}
