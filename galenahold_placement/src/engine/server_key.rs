//! Key of a backend server.

slotmap::new_key_type! {
    /// Identifies a backend server in the inventory, across its incarnations.
    pub(super) struct ServerKey;
}
