//! Where and how a trace is played.

use std::net;
use std::time;

use super::{DirectEngine, LoadTarget, TeamKeys};

/// Sets the targets of a run.
#[derive(Debug, Clone)]
pub struct LoadSettings {
    /// A name for the result.
    pub label: String,
    /// The instances, used in turn while they are ready.
    pub targets: Vec<LoadTarget>,
    /// Engines that every second request for their models goes to directly.
    pub straight_engines: Vec<DirectEngine>,
    /// Plain servers for the orders that go directly.
    pub straight_services: Vec<net::SocketAddr>,
    /// The keys of the teams.
    pub keys: TeamKeys,
    /// Time that a request may take.
    pub timeout: time::Duration,
    /// How many times faster the trace is played.
    pub speed: f64,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            label: "run".to_owned(),
            targets: Vec::new(),
            straight_engines: Vec::new(),
            straight_services: Vec::new(),
            keys: TeamKeys::default(),
            timeout: time::Duration::from_mins(1),
            speed: 1.0,
        }
    }
}
