//! Need for another copy of a model.

use std::time;

use galenahold_domain::declaration;

/// A model that should get its first or a further copy.
pub(super) struct ModelNeed<'a> {
    pub(super) model: &'a declaration::DeclaredModel,
    /// Value of the copy in requests per second, waiting ones included; a model is evicted only for one
    /// of a higher value.
    pub(super) value: f64,
    /// Weighted calls that the load serves per second of its duration, by which needs are ordered.
    pub(super) urgency: f64,
    /// When the last call will have left for which the load would be made; `None` if calls are expected
    /// beyond those that wait.
    pub(super) leaves_by: Option<time::Instant>,
    /// Which other models may be evicted for it.
    pub(super) may_evict: Eviction,
    /// Whether its weights may be fetched from the weight store.
    pub(super) may_fetch: bool,
}

/// Restriction on the models that may be evicted for another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Eviction {
    /// No model may be evicted.
    None,
    /// Only idle models that can be loaded again without the weight store.
    Idle,
    /// Only models of lower value.
    LessValuable,
}
