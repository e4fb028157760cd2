//! A measurement of the speed at which an engine generates.

use galenahold_domain::name;
use serde::{Deserialize, Serialize};

/// The time between the events of a model's answers at one server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceSample {
    /// The model.
    pub model: name::ModelName,
    /// Median time between two events, in microseconds.
    pub event_us: u32,
    /// The number of events that were measured.
    pub events: u32,
}
