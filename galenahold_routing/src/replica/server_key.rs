//! The key of a backend server in the table.

slotmap::new_key_type! {
    /// Identifies an incarnation of a backend server in the table; a key is never reused for another one.
    pub struct ServerKey;
}
