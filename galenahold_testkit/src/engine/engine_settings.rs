//! What an engine stand-in is like.

use std::net;

use serde::{Deserialize, Serialize};

use super::EngineTimings;
use crate::announce;

/// A model that is ready at the start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InitialModel {
    /// The model.
    pub model: String,
    /// Its version.
    #[serde(default)]
    pub version: String,
    /// Memory it takes.
    #[serde(default)]
    pub bytes: u64,
}

/// Sets size, speed and manners of an engine stand-in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineSettings {
    /// Its name, and where it announces itself.
    pub announce: announce::AnnounceSettings,
    /// Where it takes requests and orders.
    pub listen: net::SocketAddr,
    /// Where ledger and controls are.
    pub admin: net::SocketAddr,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Whether it refuses loads beyond its memory.
    pub refuse_overcommit: bool,
    /// Memory for models and adapters.
    pub memory_bytes: u64,
    /// Requests that run at once.
    pub max_batch: usize,
    /// Requests that may wait.
    pub max_queue: usize,
    /// Output tokens of the longest natural answer, 0 for as many as asked.
    pub natural_limit: u64,
    /// Blocks of prompt prefixes that are kept.
    pub prefix_blocks: usize,
    /// Milliseconds by which cache events come late.
    pub cache_event_lag_ms: u64,
    /// One in this many cache events is lost; 0 loses none.
    pub cache_event_loss: u64,
    /// Checkpoints kept in memory.
    pub memory_checkpoints: usize,
    /// Checkpoints kept on disk.
    pub disk_checkpoints: usize,
    /// How long things take.
    pub timings: EngineTimings,
    /// Models that are ready at the start.
    pub models: Vec<InitialModel>,
    /// Models whose checkpoint is on disk at the start.
    pub disk_models: Vec<InitialModel>,
}

impl Default for EngineSettings {
    fn default() -> Self {
        let any_port = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        Self {
            announce: announce::AnnounceSettings::default(),
            listen: any_port,
            admin: any_port,
            checks_fencing: false,
            refuse_overcommit: false,
            memory_bytes: 80_000_000_000,
            max_batch: 64,
            max_queue: 4_096,
            natural_limit: 0,
            prefix_blocks: 4_096,
            cache_event_lag_ms: 0,
            cache_event_loss: 0,
            memory_checkpoints: 2,
            disk_checkpoints: 16,
            timings: EngineTimings::default(),
            models: Vec::new(),
            disk_models: Vec::new(),
        }
    }
}
