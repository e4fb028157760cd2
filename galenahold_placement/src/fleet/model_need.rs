//! A model that should be loaded once more.

use galenahold_domain::declaration;

/// A model that should be loaded once more.
pub(super) struct ModelNeed<'a> {
    pub(super) model: &'a declaration::DeclaredModel,
    pub(super) value: f64,
    /// Which other models may be unloaded for it.
    pub(super) may_evict: Eviction,
    /// Whether it may be fetched from the weight store.
    pub(super) may_fetch: bool,
}

/// Which models may be unloaded for another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Eviction {
    /// None.
    None,
    /// Idle ones that can be loaded again without the weight store.
    Idle,
    /// Those that are worth less.
    LessValuable,
}
