//! Identifies an incarnation of a backend server.

slotmap::new_key_type! {
    /// Identifies an incarnation of a backend server in the table; it never names another one later.
    pub struct ServerKey;
}
