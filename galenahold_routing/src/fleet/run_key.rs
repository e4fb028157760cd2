//! The identifier of a call that occupies a slot.

slotmap::new_key_type! {
    /// Identifies a call that was placed at a server and has not ended, within one scheduler.
    pub struct RunKey;
}
