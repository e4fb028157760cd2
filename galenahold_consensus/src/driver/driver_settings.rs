//! [`DriverSettings`].

/// Limits of the driving thread.
#[derive(Debug, Clone)]
pub(super) struct DriverSettings {
    pub(super) batch_inputs: usize,
    pub(super) pending_proposals: usize,
    pub(super) pending_bytes: usize,
    pub(super) command_bytes: usize,
    pub(super) snapshot_entries: u64,
    pub(super) snapshot_bytes: u64,
}
