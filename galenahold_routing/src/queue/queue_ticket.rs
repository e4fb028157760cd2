//! The identifier of a queued item.

slotmap::new_key_type! {
    /// Identifies a queued item; a ticket is never reused for another item.
    pub struct QueueTicket;
}
