//! Planner state of one engine.

use std::time;

use galenahold_domain::amount;
use galenahold_domain::fleet as domain;
use galenahold_domain::name;

use crate::fleet;

/// State that the planner keeps for an engine in addition to its record.
#[derive(Debug)]
pub(super) struct ServerPlan {
    pub(super) started_ms: u64,
    /// The model order in progress.
    pub(super) order: Option<fleet::OpenOrder>,
    /// The model for which another one is evicted.
    pub(super) evicting_for: Option<name::ModelName>,
    /// When model orders may be sent again.
    pub(super) backoff_until: Option<time::Instant>,
    pub(super) adapters: fleet::AdapterTable,
    /// Time per event relative to the mean engine; above 1 the engine is slower.
    pub(super) pace: f64,
    /// When each loaded model was first seen.
    pub(super) held_since: std::collections::HashMap<name::ModelName, time::Instant>,
    unconfirmed: Vec<UnconfirmedLoad>,
}

/// Ordered load without an answer; its memory may be occupied until the given time.
#[derive(Debug)]
struct UnconfirmedLoad {
    model: name::ModelName,
    bytes: amount::ByteCount,
    from_store: bool,
    until: time::Instant,
}

impl ServerPlan {
    pub(super) fn new(started_ms: u64) -> Self {
        Self {
            started_ms,
            order: None,
            evicting_for: None,
            backoff_until: None,
            adapters: fleet::AdapterTable::default(),
            pace: 1.0,
            held_since: std::collections::HashMap::new(),
            unconfirmed: Vec::new(),
        }
    }

    /// Records a load that may still be executed.
    pub(super) fn add_unconfirmed_load(
        &mut self,
        model: name::ModelName,
        bytes: amount::ByteCount,
        from_store: bool,
        until: time::Instant,
    ) {
        self.unconfirmed.push(UnconfirmedLoad {
            model,
            bytes,
            from_store,
            until,
        });
    }

    /// Counts the unanswered loads from the store that may be in progress.
    pub(super) fn unconfirmed_fetches(
        &self,
        record: &domain::ServerRecord,
        now: time::Instant,
    ) -> usize {
        let fetches = self.unconfirmed.iter().filter(|load| {
            load.from_store && now < load.until && record.model(&load.model).is_none()
        });
        fetches.count()
    }

    /// Returns the memory that unanswered loads may occupy, without models that are known to be
    /// loaded.
    pub(super) fn unconfirmed_bytes(
        &mut self,
        holds: impl Fn(&name::ModelName) -> bool,
        now: time::Instant,
    ) -> u64 {
        self.unconfirmed
            .retain(|load| now < load.until && !holds(&load.model));
        self.unconfirmed.iter().map(|load| load.bytes.0).sum()
    }

    /// Returns the model that the engine is loading or evicting another one for.
    pub(super) fn target(&self) -> Option<&name::ModelName> {
        let order = self.order.as_ref();
        let loaded = order.and_then(|order| match &order.action {
            fleet::OrderAction::LoadModel(model) => Some(model),
            _ => None,
        });
        self.evicting_for.as_ref().or(loaded)
    }

    /// Returns whether a model order may be sent now.
    pub(super) fn accepts_model_order(&self, now: time::Instant) -> bool {
        self.order.is_none() && self.backoff_until.is_none_or(|until| now >= until)
    }
}
