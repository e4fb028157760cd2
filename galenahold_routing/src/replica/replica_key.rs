//! Identifies a replica.

slotmap::new_key_type! {
    /// Identifies a replica in the table; it never names another one later.
    pub struct ReplicaKey;
}
