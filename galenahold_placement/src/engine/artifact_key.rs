//! Key of a model or adapter.

slotmap::new_key_type! {
    /// Identifies a model or adapter in the catalog.
    pub(super) struct ArtifactKey;
}
