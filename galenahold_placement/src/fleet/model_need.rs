//! Need for another copy of a model.

use galenahold_domain::declaration;

/// A model that should get its first or a further copy.
pub(super) struct ModelNeed<'a> {
    pub(super) model: &'a declaration::DeclaredModel,
    pub(super) value: f64,
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
