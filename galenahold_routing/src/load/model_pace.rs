//! The speed of a model.

use std::time;

use galenahold_domain::name;

/// How fast a model generates at a server of mean speed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelPace {
    /// The model.
    pub model: name::ModelName,
    /// Time per event.
    pub event: time::Duration,
}
