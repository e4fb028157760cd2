//! Settings of the log thread.

/// Limits on batches, pending proposals and the log between snapshots.
#[derive(Debug, Clone)]
pub(super) struct DriverSettings {
    pub(super) batch_inputs: usize,
    pub(super) pending_proposals: usize,
    pub(super) pending_bytes: usize,
    pub(super) command_bytes: usize,
    pub(super) snapshot_entries: u64,
    pub(super) snapshot_bytes: u64,
}
