//! Where and how a trace is played.

use std::net;
use std::time;

use super::TeamKeys;

/// Sets the targets of a run.
#[derive(Debug, Clone)]
pub struct LoadSettings {
    /// A name for the result.
    pub label: String,
    /// The instances' callers' addresses, used in turn.
    pub targets: Vec<net::SocketAddr>,
    /// Engines that every second request goes to directly; empty for none.
    pub straight_engines: Vec<net::SocketAddr>,
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
