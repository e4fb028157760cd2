//! Carries out the placement's decisions while this instance leads.

use galenahold_wire::message;
use tokio::sync::mpsc;

use crate::task;

/// Carries out the placement's decisions while this instance leads.
pub(crate) struct PlacementDriver;

impl PlacementDriver {
    /// Starts to take demand.
    pub(crate) fn start(
        mut reports: mpsc::Receiver<message::DemandReport>,
        system: &task::TaskGroup,
    ) {
        system.spawn_until_stop(async move { while reports.recv().await.is_some() {} });
    }
}
