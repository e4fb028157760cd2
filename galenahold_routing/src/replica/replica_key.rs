//! The key of a replica in the table.

slotmap::new_key_type! {
    /// Identifies a replica in the table; a key is never reused for another replica.
    pub struct ReplicaKey;
}
