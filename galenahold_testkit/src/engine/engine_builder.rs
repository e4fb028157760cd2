//! The way to start an engine stand-in.

use std::net;

use super::{EngineProcess, EngineSettings, EngineTimings, InitialModel};
use crate::store;
use crate::testkit_error::TestkitError;

/// Collects the settings of an engine and starts it.
///
/// # Examples
///
/// ```
/// use galenahold_testkit::engine::EngineBuilder;
///
/// # fn main() -> Result<(), galenahold_testkit::TestkitError> {
/// let engine = EngineBuilder::new("engine-1").model("llm", "1", 1_000).start()?;
/// assert_eq!(engine.ledger().capacity_bytes, 80_000_000_000);
/// # Ok(())
/// # }
/// ```
#[derive(Debug, Clone, Default)]
pub struct EngineBuilder {
    settings: EngineSettings,
    store: Option<store::StoreTarget>,
}

impl EngineBuilder {
    /// Starts with the default settings under a name.
    #[must_use]
    pub fn new(name: &str) -> Self {
        let mut settings = EngineSettings::default();
        name.clone_into(&mut settings.announce.name);
        Self::from_settings(settings)
    }

    /// Starts with whole settings.
    #[must_use]
    pub fn from_settings(settings: EngineSettings) -> Self {
        Self {
            settings,
            store: None,
        }
    }

    /// Announces the engine to these instances, one in turn.
    #[must_use]
    pub fn instances(mut self, instances: &[net::SocketAddr]) -> Self {
        self.settings.announce.instances = instances.to_vec();
        self
    }

    /// Sets the data centre.
    #[must_use]
    pub fn data_centre(mut self, data_centre: &str) -> Self {
        data_centre.clone_into(&mut self.settings.announce.data_centre);
        self
    }

    /// Sets the milliseconds between announcements.
    #[must_use]
    pub fn announce_interval_ms(mut self, interval_ms: u64) -> Self {
        self.settings.announce.interval_ms = interval_ms;
        self
    }

    /// Sets the memory in bytes.
    #[must_use]
    pub fn memory_bytes(mut self, memory_bytes: u64) -> Self {
        self.settings.memory_bytes = memory_bytes;
        self
    }

    /// Sets whether orders with an old fencing number are refused.
    #[must_use]
    pub fn checks_fencing(mut self, checks: bool) -> Self {
        self.settings.checks_fencing = checks;
        self
    }

    /// Sets whether loads beyond the memory are refused.
    #[must_use]
    pub fn refuse_overcommit(mut self, refuse: bool) -> Self {
        self.settings.refuse_overcommit = refuse;
        self
    }

    /// Sets the requests that run at once.
    #[must_use]
    pub fn max_batch(mut self, max_batch: usize) -> Self {
        self.settings.max_batch = max_batch;
        self
    }

    /// Sets how long things take.
    #[must_use]
    pub fn timings(mut self, timings: EngineTimings) -> Self {
        self.settings.timings = timings;
        self
    }

    /// Has a model ready at the start.
    #[must_use]
    pub fn model(mut self, model: &str, version: &str, bytes: u64) -> Self {
        self.settings.models.push(InitialModel {
            model: model.to_owned(),
            version: version.to_owned(),
            bytes,
        });
        self
    }

    /// Loads through this weight store.
    #[must_use]
    pub fn store(mut self, store: store::StoreTarget) -> Self {
        self.store = Some(store);
        self
    }

    /// Starts the engine.
    ///
    /// # Errors
    ///
    /// Fails when an address or the runtime cannot be had.
    pub fn start(self) -> Result<EngineProcess, TestkitError> {
        EngineProcess::start(self.settings, self.store)
    }
}
