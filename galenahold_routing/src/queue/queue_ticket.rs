//! Identifies a queued item.

slotmap::new_key_type! {
    /// Identifies a queued item; it never names another one later.
    pub struct QueueTicket;
}
